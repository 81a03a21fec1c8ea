"""Records of quarantined requests in the platform's store.

The records survive the loss of all instances.
"""

import struct
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import NamedTuple

import msgpack

from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.store_position import StorePosition
from plantainloft_node.quarantine.crash_codec import pack_crashes, unpack_crashes
from plantainloft_node.quarantine.crash_records import CrashReport
from plantainloft_node.quarantine.crash_registry import MAX_CRASHES_PER_REQUEST

__all__ = ['QuarantineRecord', 'QuarantineStore', 'StoredRecord', 'VersionConflict']

_MALFORMED = (ValueError, TypeError, struct.error, msgpack.UnpackException)


class QuarantineRecord(NamedTuple):
    """The crashes of a request as of ``written_at`` and the time of its last trial.

    Both times are Unix seconds; ``last_trial_at`` is 0 before the first trial.
    """

    written_at: float
    last_trial_at: float
    crashes: tuple[CrashReport, ...]

    def pack(self) -> bytes:
        """Encode the record."""
        encoded: bytes = msgpack.packb(
            [self.written_at, self.last_trial_at, pack_crashes(self.crashes)]
        )
        return encoded


class StoredRecord(NamedTuple):
    """An encoded record with the key and position of its row."""

    key: str
    position: StorePosition
    encoded: bytes

    def unpack(self) -> QuarantineRecord | Invalid:
        """Decode the record; return ``Invalid`` if it is malformed."""
        try:
            return _unpack_record(self.encoded)
        except _MALFORMED as exc:
            return Invalid(problems=(f'row {self.key} is not a valid quarantine record: {exc}',))


def _unpack_record(encoded: bytes) -> QuarantineRecord:
    written_at, last_trial_at, crashes = msgpack.unpackb(encoded)
    return QuarantineRecord(
        written_at=float(written_at),
        last_trial_at=float(last_trial_at),
        crashes=unpack_crashes(crashes, max_crashes=MAX_CRASHES_PER_REQUEST),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionConflict:
    """The row has changed since it was read, so nothing was written."""


class QuarantineStore(ABC):
    """Stores one row per quarantined request."""

    @abstractmethod
    async def read(self) -> list[StoredRecord] | Unreachable:
        """Return all rows."""

    @abstractmethod
    async def write(self, key: str, encoded: bytes) -> Unreachable | None:
        """Write a row unconditionally."""

    @abstractmethod
    async def replace(
        self, row: StoredRecord, encoded: bytes
    ) -> VersionConflict | Unreachable | None:
        """Replace the record of ``row`` if its version is unchanged."""

    @abstractmethod
    async def remove(self, row: StoredRecord) -> Unreachable | None:
        """Remove ``row`` if its version is unchanged."""
