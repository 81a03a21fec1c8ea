"""Rows of the platform's tables, the changes they decode to, and the store interface.

Instances poll two tables of the store, the operator's declarations and the
endpoints, and maintain two more, the instances themselves and the quarantine.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import NamedTuple

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.routes import RouteTable

__all__ = [
    'DECLARATIONS',
    'ENDPOINTS',
    'INSTANCES',
    'QUARANTINE',
    'Change',
    'EndpointGone',
    'EndpointListed',
    'EndpointUnreadable',
    'HistoryLost',
    'RoutesDeclared',
    'RowBatch',
    'StoreRow',
    'TableStore',
    'ZoneEvacuation',
]

DECLARATIONS = 'declarations'
ENDPOINTS = 'endpoints'
INSTANCES = 'instances'
QUARANTINE = 'quarantine'


class StoreRow(NamedTuple):
    """One row as of ``version``; ``content`` is ``None`` if the row was removed."""

    table: str
    key: str
    version: int
    content: bytes | None


class RowBatch(NamedTuple):
    """A set of rows, complete up to ``version`` of the store."""

    rows: tuple[StoreRow, ...]
    version: int


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
    """The operations of the platform's table service that instances use."""

    @abstractmethod
    async def list_rows(self, table: str) -> RowBatch | Unreachable:
        """Return a consistent snapshot of all rows of ``table``."""

    @abstractmethod
    async def changes_after(
        self, table: str, *, after: int, poll_wait_s: float
    ) -> RowBatch | HistoryLost | Unreachable:
        """Return the rows changed after version ``after``.

        Waits up to ``poll_wait_s`` seconds for the first change.
        """

    @abstractmethod
    async def put_row(self, table: str, key: str, content: bytes) -> Unreachable | None:
        """Write one row unconditionally."""

    @abstractmethod
    async def remove_row(self, row: StoreRow) -> Unreachable | None:
        """Remove ``row`` if its version is unchanged; otherwise do nothing."""

    @abstractmethod
    async def replace_row(self, row: StoreRow, content: bytes) -> bool | Unreachable:
        """Replace the content of ``row`` if its version is unchanged.

        Returns whether it was replaced.
        """

    @abstractmethod
    async def probe(self) -> Unreachable | None:
        """Make one small call to check whether the store answers."""

    @abstractmethod
    def decode(self, row: StoreRow) -> Change | Invalid | None:
        """Decode ``row``; returns ``None`` if it is irrelevant to this instance."""
