"""Rows of the platform's tables as news, and what they mean.

The store behind is an interface: the product follows two tables, one
with the operator's declarations and one with the endpoints, and keeps
one of its own with its instances.
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
    'News',
    'NewsRow',
    'NewsStore',
    'RoutesDeclared',
    'ZoneEvacuation',
]

DECLARATIONS = 'declarations'
ENDPOINTS = 'endpoints'
INSTANCES = 'instances'
QUARANTINE = 'quarantine'


class NewsRow(NamedTuple):
    """One row as of ``version``; ``content`` is ``None`` once removed."""

    table: str
    key: str
    version: int
    content: bytes | None


class News(NamedTuple):
    """Rows and the store's version up to which they are complete."""

    rows: tuple[NewsRow, ...]
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryLost:
    """The store no longer has the changes asked for; list anew."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutesDeclared:
    """A version of routes, services and limits."""

    table: RouteTable


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneEvacuation:
    """A zone is to get nothing, or may be used again."""

    zone: str
    evacuated: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointListed:
    """An endpoint is listed, or its row changed."""

    record: EndpointRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointGone:
    """An endpoint is no longer listed."""

    endpoint_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointUnreadable:
    """An endpoint's row that says nothing to go by; ``problem`` says why.

    Another writer has replaced what the endpoint said of itself, so what
    was known of it holds no longer.
    """

    endpoint_id: str
    problem: str


Change = RoutesDeclared | ZoneEvacuation | EndpointListed | EndpointGone | EndpointUnreadable


class NewsStore(ABC):
    """The platform's table service, as far as news goes."""

    @abstractmethod
    async def list_rows(self, table: str) -> News | Unreachable:
        """Return all rows of ``table`` as of one moment."""

    @abstractmethod
    async def changes(
        self, table: str, *, after: int, wait_s: float
    ) -> News | HistoryLost | Unreachable:
        """Return rows changed after ``after``; waits for the first one."""

    @abstractmethod
    async def put_row(self, table: str, key: str, content: bytes) -> Unreachable | None:
        """Write one row, whatever it was before."""

    @abstractmethod
    async def remove_row(self, row: NewsRow) -> Unreachable | None:
        """Remove ``row`` if it still has its version; else do nothing."""

    @abstractmethod
    async def replace_row(self, row: NewsRow, content: bytes) -> bool | Unreachable:
        """Write ``content`` over ``row``; return whether it still had its version."""

    @abstractmethod
    async def probe(self) -> Unreachable | None:
        """Make one small call, to see whether the store answers."""

    @abstractmethod
    def decode(self, row: NewsRow) -> Change | Invalid | None:
        """Return what ``row`` means; ``None`` if it concerns nobody here."""
