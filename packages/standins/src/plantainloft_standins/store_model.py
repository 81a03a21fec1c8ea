"""A model of the platform's store: rows, polls, and the ways in which it fails.

What it models was seen on the users' platform: a silent store keeps the polls
that it holds and answers them at its return, but for those whose answer is due
while it is away; one that is busy or resets connections ends them at once.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import anyio

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_node.replica.news import (
    DECLARATIONS,
    INSTANCES,
    Change,
    EndpointGone,
    EndpointListed,
    HistoryLost,
    News,
    NewsRow,
    NewsStore,
)

__all__ = ['Manner', 'ModelStore', 'Outage', 'StoreAccess']

# As the calls of the deployed process: given up so long after the answer is due.
CALL_S = 1.2
SERVICE = 'desk'


class Manner(Enum):
    """How the store fails."""

    SILENT = 'silent'
    REFUSING = 'refusing'


class Outage(NamedTuple):
    """A time in which the store fails; ``instances`` empty: all of them."""

    begin_s: float
    end_s: float
    manner: Manner
    instances: frozenset[str] = frozenset()

    def hits(self, instance: str, now: float) -> bool:
        """Return whether ``instance`` is failed at ``now``."""
        concerned = not self.instances or instance in self.instances
        return concerned and self.begin_s <= now < self.end_s


class ModelStore:
    """The rows, and who is told of their changes."""

    def __init__(self, *, outages: tuple[Outage, ...]) -> None:
        self.outages = outages
        self.version = 0
        self._row_by_key: dict[tuple[str, str], NewsRow] = {}
        self._changed = anyio.Event()

    def put(self, table: str, key: str, *, size: int = 1) -> None:
        """Write a row of ``size`` bytes."""
        self._write(table, key, bytes(size))

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write(table, key, None)

    def wake(self) -> None:
        """Have the polls that are held look anew."""
        self._changed.set()
        self._changed = anyio.Event()

    def rows(self, table: str, *, after: int = 0) -> tuple[NewsRow, ...]:
        """Return the rows of ``table`` changed after a version, in order."""
        found = [
            row
            for row in self._row_by_key.values()
            if row.table == table and row.version > after and (after or row.content is not None)
        ]
        return tuple(sorted(found, key=lambda row: row.version))

    def outage_of(self, instance: str, now: float) -> Outage | None:
        """Return the outage that ``instance`` meets at ``now``."""
        return next((one for one in self.outages if one.hits(instance, now)), None)

    async def changed(self) -> None:
        """Wait until a row or the store's state changes."""
        await self._changed.wait()

    async def watch_outages(self) -> None:
        """Wake the polls that are held at each begin and end of an outage."""
        edges = sorted({edge for one in self.outages for edge in (one.begin_s, one.end_s)})
        for edge in edges:
            await anyio.sleep_until(edge)
            self.wake()

    def _write(self, table: str, key: str, content: bytes | None) -> None:
        self.version += 1
        self._row_by_key[(table, key)] = NewsRow(table, key, self.version, content)
        self.wake()


class StoreAccess(NewsStore):
    """The store as one instance meets it."""

    def __init__(
        self,
        *,
        store: ModelStore,
        instance: str,
        round_trip_s: float,
        clock: Callable[[], float],
        byte_s: float = 0.0,
    ) -> None:
        """``byte_s``: how long a byte takes to the instance, in seconds."""
        self._store = store
        self._instance = instance
        self._one_way_s = round_trip_s / 2
        self._byte_s = byte_s
        self._clock = clock
        self.calls = 0

    async def list_rows(self, table: str) -> News | Unreachable:
        """Return all rows."""
        return await self._ask(table, after=0, wait_s=0.0)

    async def changes(
        self, table: str, *, after: int, wait_s: float
    ) -> News | HistoryLost | Unreachable:
        """Return the rows that changed."""
        return await self._ask(table, after=after, wait_s=wait_s)

    async def put_row(self, table: str, key: str, content: bytes) -> Unreachable | None:
        """Write nothing: the model keeps no list of instances."""
        return await self.probe()

    async def remove_row(self, row: NewsRow) -> Unreachable | None:
        """Write nothing: the model keeps no list of instances."""
        return await self.probe()

    async def replace_row(self, row: NewsRow, content: bytes) -> bool | Unreachable:
        """Nothing: endpoints do not crash here."""
        return False

    async def probe(self) -> Unreachable | None:
        """Make one small call."""
        outcome = await self._ask(INSTANCES, after=0, wait_s=0.0)
        return outcome if isinstance(outcome, Unreachable) else None

    def decode(self, row: NewsRow) -> Change | Invalid | None:
        """Return what ``row`` means."""
        change: Change | None = None
        if row.table != DECLARATIONS:
            change = _listed(row.key) if row.content else EndpointGone(endpoint_id=row.key)
        return change

    async def _ask(self, table: str, *, after: int, wait_s: float) -> News | Unreachable:
        self.calls += 1
        outcome: News | Unreachable = Unreachable(reason='no answer in time')
        with anyio.move_on_after(CALL_S + wait_s):
            await anyio.sleep(self._one_way_s)
            outcome = await self._hold(table, after=after, due_at=self._clock() + wait_s)
            await anyio.sleep(self._one_way_s + self._byte_s * _size(outcome))
        return outcome

    async def _hold(self, table: str, *, after: int, due_at: float) -> News | Unreachable:
        arrives = True
        while True:
            now = self._clock()
            outage = self._store.outage_of(self._instance, now)
            if outage is not None and outage.manner is Manner.REFUSING:
                return Unreachable(reason='503')
            if outage is not None and (arrives or now >= due_at):
                await anyio.sleep_forever()
            rows = self._store.rows(table, after=after)
            if outage is None and (rows or now >= due_at):
                return News(rows, self._store.version)
            arrives = False
            with anyio.move_on_after(due_at - now):
                await self._store.changed()


def _size(outcome: News | Unreachable) -> int:
    rows = outcome.rows if isinstance(outcome, News) else ()
    return sum(len(row.content or b'') for row in rows)


def _listed(endpoint_id: str) -> EndpointListed:
    record = EndpointRecord(
        id=endpoint_id,
        service=SERVICE,
        address=f'{endpoint_id}:80',
        zone='a',
        slots=4,
        draining=False,
        cold_s=0.0,
    )
    return EndpointListed(record=record)
