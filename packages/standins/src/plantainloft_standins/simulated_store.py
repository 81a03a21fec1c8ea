"""Simulated platform store: rows, long polls and failure modes.

The failure modes reproduce what the platform's store does. A silent store keeps
the long polls that are open and answers them when it recovers, except those that
expire during the outage. A store that is busy or resets connections fails every
call at once.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import anyio

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_node.replica.store_rows import (
    DECLARATIONS,
    INSTANCES,
    Change,
    EndpointGone,
    EndpointListed,
    HistoryLost,
    RowBatch,
    StoreRow,
    TableStore,
)

__all__ = ['FailureMode', 'ModelStore', 'Outage', 'StoreClient']

# Same timeout as in the deployed process, on top of the requested wait.
CALL_TIMEOUT_S = 1.2
SERVICE = 'desk'


class FailureMode(Enum):
    """How the store fails: calls hang, or fail at once."""

    SILENT = 'silent'
    REFUSING = 'refusing'


class Outage(NamedTuple):
    """A time span in which the store fails for ``instances``, or for all if empty."""

    start_s: float
    end_s: float
    failure_mode: FailureMode
    instances: frozenset[str] = frozenset()

    def affects(self, instance: str, now: float) -> bool:
        """Return whether the outage affects ``instance`` at ``now``."""
        is_affected = not self.instances or instance in self.instances
        return is_affected and self.start_s <= now < self.end_s


class ModelStore:
    """Versioned rows and a notification of their changes."""

    def __init__(self, *, outages: tuple[Outage, ...]) -> None:
        self.outages = outages
        self.version = 0
        self._row_by_key: dict[tuple[str, str], StoreRow] = {}
        self._changed = anyio.Event()

    def put(self, table: str, key: str, *, size: int = 1) -> None:
        """Write a row of ``size`` bytes."""
        self._write(table, key, bytes(size))

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write(table, key, None)

    def notify(self) -> None:
        """Make open long polls check the rows and outages again."""
        self._changed.set()
        self._changed = anyio.Event()

    def rows(self, table: str, *, after: int = 0) -> tuple[StoreRow, ...]:
        """Return the rows of ``table`` changed after a version, in version order.

        Removed rows are included only if ``after`` is given.
        """
        found = [
            row
            for row in self._row_by_key.values()
            if row.table == table and row.version > after and (after or row.content is not None)
        ]
        return tuple(sorted(found, key=lambda row: row.version))

    def outage_for(self, instance: str, now: float) -> Outage | None:
        """Return the outage that affects ``instance`` at ``now``, if any."""
        return next((one for one in self.outages if one.affects(instance, now)), None)

    async def changed(self) -> None:
        """Wait until a row changes or an outage begins or ends."""
        await self._changed.wait()

    async def watch_outages(self) -> None:
        """Notify open long polls whenever an outage begins or ends."""
        boundaries = sorted(
            {boundary for one in self.outages for boundary in (one.start_s, one.end_s)}
        )
        for boundary in boundaries:
            await anyio.sleep_until(boundary)
            self.notify()

    def _write(self, table: str, key: str, content: bytes | None) -> None:
        self.version += 1
        self._row_by_key[(table, key)] = StoreRow(table, key, self.version, content)
        self.notify()


class StoreClient(TableStore):
    """One instance's connection to the store, with its latency."""

    def __init__(
        self,
        *,
        store: ModelStore,
        instance: str,
        round_trip_s: float,
        clock: Callable[[], float],
        byte_s: float = 0.0,
    ) -> None:
        """``byte_s``: transmission time per byte to the instance, in seconds."""
        self._store = store
        self._instance = instance
        self._one_way_s = round_trip_s / 2
        self._byte_s = byte_s
        self._clock = clock
        self.calls = 0

    async def list_rows(self, table: str) -> RowBatch | Unreachable:
        """Return all rows."""
        return await self._ask(table, after=0, poll_wait_s=0.0)

    async def changes_after(
        self, table: str, *, after: int, poll_wait_s: float
    ) -> RowBatch | HistoryLost | Unreachable:
        """Long-poll for the rows changed after a version."""
        return await self._ask(table, after=after, poll_wait_s=poll_wait_s)

    async def put_row(self, table: str, key: str, content: bytes) -> Unreachable | None:
        """Write nothing: instances are not registered in this model."""
        return await self.probe()

    async def remove_row(self, row: StoreRow) -> Unreachable | None:
        """Remove nothing: instances are not registered in this model."""
        return await self.probe()

    async def replace_row(self, row: StoreRow, content: bytes) -> bool | Unreachable:
        """Replace nothing: endpoints do not crash in this model."""
        return False

    async def probe(self) -> Unreachable | None:
        """Check that the store answers, with one small call."""
        outcome = await self._ask(INSTANCES, after=0, poll_wait_s=0.0)
        return outcome if isinstance(outcome, Unreachable) else None

    def decode(self, row: StoreRow) -> Change | Invalid | None:
        """Decode ``row`` into the change of an endpoint that it stands for."""
        change: Change | None = None
        if row.table != DECLARATIONS:
            change = _listed(row.key) if row.content else EndpointGone(endpoint_id=row.key)
        return change

    async def _ask(self, table: str, *, after: int, poll_wait_s: float) -> RowBatch | Unreachable:
        self.calls += 1
        outcome: RowBatch | Unreachable = Unreachable(reason='no answer in time')
        with anyio.move_on_after(CALL_TIMEOUT_S + poll_wait_s):
            await anyio.sleep(self._one_way_s)
            outcome = await self._long_poll(
                table, after=after, expires_at=self._clock() + poll_wait_s
            )
            await anyio.sleep(self._one_way_s + self._byte_s * _size(outcome))
        return outcome

    async def _long_poll(
        self, table: str, *, after: int, expires_at: float
    ) -> RowBatch | Unreachable:
        is_new_call = True
        while True:
            now = self._clock()
            outage = self._store.outage_for(self._instance, now)
            if outage is not None and outage.failure_mode is FailureMode.REFUSING:
                return Unreachable(reason='503')
            if outage is not None and (is_new_call or now >= expires_at):
                await anyio.sleep_forever()
            rows = self._store.rows(table, after=after)
            if outage is None and (rows or now >= expires_at):
                return RowBatch(rows, self._store.version)
            is_new_call = False
            with anyio.move_on_after(expires_at - now):
                await self._store.changed()


def _size(outcome: RowBatch | Unreachable) -> int:
    rows = outcome.rows if isinstance(outcome, RowBatch) else ()
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
