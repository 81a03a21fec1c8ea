"""Rows of the platform's tables, the changes they decode to, and the store interface.

Instances poll two tables of the store, the operator's declarations and the
endpoints, and maintain three more: the instances themselves, the quarantine, and the
fences of conditional writes.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.routes import RouteTable
from plantainloft_core.store_eras import StoreEras
from plantainloft_core.store_position import StorePosition

__all__ = [
    'DECLARATIONS',
    'ENDPOINTS',
    'FENCES',
    'INSTANCES',
    'QUARANTINE',
    'Change',
    'ConditionFailed',
    'EndpointGone',
    'EndpointListed',
    'EndpointUnreadable',
    'HistoryLost',
    'RoutesDeclared',
    'RowBatch',
    'RowWrite',
    'StoreRow',
    'TableStore',
    'ZoneEvacuation',
]

DECLARATIONS = 'declarations'
ENDPOINTS = 'endpoints'
INSTANCES = 'instances'
QUARANTINE = 'quarantine'
FENCES = 'fences'


class StoreRow(NamedTuple):
    """One row as of ``position``; ``content`` is ``None`` if the row was removed."""

    table: str
    key: str
    position: StorePosition
    content: bytes | None


class RowBatch(NamedTuple):
    """A set of rows, complete up to ``position`` of the store."""

    rows: tuple[StoreRow, ...]
    position: StorePosition


class RowWrite(NamedTuple):
    """A row to write; ``content`` is ``None`` to remove it."""

    table: str
    key: str
    content: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ConditionFailed:
    """A row has changed, so nothing was written."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryLost:
    """The store no longer has the requested changes; the table must be listed again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutesDeclared:
    """A new version of routes, services and limits was declared."""

    table: RouteTable


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneEvacuation:
    """An availability zone was evacuated, or may be used again."""

    zone: str
    evacuated: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointListed:
    """An endpoint was added, or its row changed."""

    record: EndpointRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointGone:
    """The row of an endpoint was removed."""

    endpoint_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointUnreadable:
    """The row of an endpoint cannot be decoded, for the reason in ``problem``.

    Another writer has overwritten the endpoint's own data, so its last valid row
    no longer applies.
    """

    endpoint_id: str
    problem: str


Change = RoutesDeclared | ZoneEvacuation | EndpointListed | EndpointGone | EndpointUnreadable


class TableStore(ABC):
    """The operations of the platform's table service that instances use.

    ``eras`` is updated by each answer of the store.
    """

    def __init__(self) -> None:
        self.eras = StoreEras()

    @abstractmethod
    async def list_rows(self, table: str) -> RowBatch | Unreachable:
        """Return a consistent snapshot of all rows of ``table``."""

    @abstractmethod
    async def read_row(self, table: str, key: str) -> StoreRow | Unreachable:
        """Return one row; its content is ``None`` if there is no such row."""

    @abstractmethod
    async def changes_after(
        self, table: str, *, after: StorePosition, poll_wait_s: float
    ) -> RowBatch | HistoryLost | Unreachable:
        """Return the rows changed after the version of ``after``.

        Waits up to ``poll_wait_s`` seconds for the first change. The answer may be of
        another era than ``after``; then it is no continuation of it.
        """

    @abstractmethod
    async def write(
        self, writes: Sequence[RowWrite], *, unchanged: Sequence[StoreRow] = ()
    ) -> ConditionFailed | Unreachable | None:
        """Write or remove rows, all or none, if all ``unchanged`` rows have their versions.

        The store compares versions only, so a condition of an earlier era may hold for
        another content; use ``FencedWriter`` for conditional writes.
        """

    @abstractmethod
    async def probe(self) -> Unreachable | None:
        """Make one small call to check whether the store answers."""

    @abstractmethod
    def decode(self, row: StoreRow) -> Change | Invalid | None:
        """Decode ``row``; returns ``None`` if it is irrelevant to this instance."""
