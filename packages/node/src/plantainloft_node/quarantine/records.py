"""Quarantined requests in the platform's store, where they outlast every process."""

import struct
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import NamedTuple

import msgpack

from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_node.quarantine.crash_book import MAX_CRASHES_PER_REQUEST
from plantainloft_node.quarantine.crash_codec import pack_crashes, unpack_crashes
from plantainloft_node.quarantine.crashes import CrashReport

__all__ = ['Outdated', 'QuarantineRecord', 'QuarantineStore', 'StoredRecord']

_MALFORMED = (ValueError, TypeError, struct.error, msgpack.UnpackException)


class QuarantineRecord(NamedTuple):
    """The crashes under a request as of ``written_at``, and its last trial.

    Both times are Unix seconds; ``last_trial_at`` is 0 before the first trial.
    """

    written_at: float
    last_trial_at: float
    crashes: tuple[CrashReport, ...]

    def pack(self) -> bytes:
        """Return the record's bytes."""
        packed: bytes = msgpack.packb(
            [self.written_at, self.last_trial_at, pack_crashes(self.crashes)]
        )
        return packed


class StoredRecord(NamedTuple):
    """A record and the row that holds it."""

    key: str
    version: int
    packed: bytes

    def unpack(self) -> QuarantineRecord | Invalid:
        """Return the record, or why the row holds none."""
        try:
            return _unpack_record(self.packed)
        except _MALFORMED as exc:
            return Invalid(problems=(f'row {self.key} is no quarantined request: {exc}',))


def _unpack_record(packed: bytes) -> QuarantineRecord:
    written_at, last_trial_at, crashes = msgpack.unpackb(packed)
    return QuarantineRecord(
        written_at=float(written_at),
        last_trial_at=float(last_trial_at),
        crashes=unpack_crashes(crashes, max_crashes=MAX_CRASHES_PER_REQUEST),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Outdated:
    """The row has changed since it was read; nothing was written."""


class QuarantineStore(ABC):
    """The rows of quarantined requests, one a request."""

    @abstractmethod
    async def read(self) -> list[StoredRecord] | Unreachable:
        """Return all rows."""

    @abstractmethod
    async def write(self, key: str, packed: bytes) -> Unreachable | None:
        """Write a row, whatever it was before."""

    @abstractmethod
    async def replace(self, row: StoredRecord, packed: bytes) -> Outdated | Unreachable | None:
        """Write over ``row`` if it still has its version."""

    @abstractmethod
    async def remove(self, row: StoredRecord) -> Unreachable | None:
        """Remove ``row`` if it still has its version."""
