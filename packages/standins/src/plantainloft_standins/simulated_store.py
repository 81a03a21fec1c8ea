"""Simulated platform store: rows, long polls, failure modes and returns from copies.

The failure modes reproduce what the platform's store does. A silent store keeps
the long polls that are open and answers them when it recovers, except those that
expire during the outage. A store that is busy or resets connections fails every
call at once. After an outage the store may return from an older copy of its rows, in
another era: its versions go back and are given out again.
"""

import random
from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple

import anyio

from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.store_position import StorePosition
from plantainloft_node.replica.store_rows import (
    INSTANCES,
    Change,
    ConditionFailed,
    HistoryLost,
    RowBatch,
    RowWrite,
    StoreRow,
    TableStore,
)
from plantainloft_standins.simulated_rows import decode_simulated_row

__all__ = ['FailureMode', 'ModelStore', 'Outage', 'StoreClient']

# Same timeout as in the deployed process, on top of the requested wait. It limits the start
# of an answer, and each stall of its transfer.
CALL_TIMEOUT_S = 1.2
FIRST_ERA = 1


class FailureMode(Enum):
    """How the store fails: calls hang, or fail at once."""

    SILENT = 'silent'
    REFUSING = 'refusing'


class Outage(NamedTuple):
    """A time span in which the store fails for ``instances``, or for all if empty.

    At its end the store returns from a copy that was taken ``copy_age_s`` before its start,
    if that is given.
    """

    start_s: float
    end_s: float
    failure_mode: FailureMode
    instances: frozenset[str] = frozenset()
    copy_age_s: float | None = None

    def affects(self, instance: str, now: float) -> bool:
        """Return whether the outage affects ``instance`` at ``now``."""
        is_affected = not self.instances or instance in self.instances
        return is_affected and self.start_s <= now < self.end_s


class _Write(NamedTuple):
    at: float
    row: StoreRow


class ModelStore:
    """Versioned rows and a notification of their changes."""

    def __init__(self, *, outages: tuple[Outage, ...]) -> None:
        self.outages = outages
        self.era = FIRST_ERA
        self.version = 0
        # Polls for changes after an earlier version are answered as lost history.
        self.oldest_history_version = 0
        self.on_return: Callable[[], None] = _ignore_return
        self._row_by_key: dict[tuple[str, str], StoreRow] = {}
        self._writes: list[_Write] = []
        self._changed = anyio.Event()

    def put(self, table: str, key: str, *, size: int = 1, content: bytes = b'') -> None:
        """Write a row with ``content``, or one of ``size`` bytes that cannot be compressed."""
        self._write(table, key, content or random.Random(self.version).randbytes(size))

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write(table, key, None)

    def content_of(self, table: str, key: str) -> bytes | None:
        """Return the content of a row; ``None`` if there is no such row."""
        row = self._row_by_key.get((table, key))
        return None if row is None else row.content

    def return_from_copy(self, taken_at: float) -> None:
        """Lose what was written after ``taken_at``; versions are given out again."""
        self._writes = [write for write in self._writes if write.at <= taken_at]
        self.era += 1
        self.version = max((write.row.position.version for write in self._writes), default=0)
        self.oldest_history_version = min(self.oldest_history_version, self.version)
        self._row_by_key = {}
        for write in self._writes:
            position = write.row.position._replace(era=self.era)
            key = (write.row.table, write.row.key)
            self._row_by_key[key] = write.row._replace(position=position)
        self.on_return()
        self.notify()

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
            if row.table == table
            and row.position.version > after
            and (after or row.content is not None)
        ]
        return tuple(sorted(found, key=lambda row: row.position.version))

    def position(self) -> StorePosition:
        """Return the current position."""
        return StorePosition(self.era, self.version)

    def has_history(self, after: int) -> bool:
        """Return whether the store has all changes after a version."""
        return self.oldest_history_version <= after <= self.version

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
            for taken_at in self._copies_due(boundary):
                self.return_from_copy(taken_at)
            self.notify()

    def _copies_due(self, now: float) -> list[float]:
        """Return when the copies were taken from which the store returns now."""
        return [
            outage.start_s - outage.copy_age_s
            for outage in self.outages
            if outage.end_s == now and outage.copy_age_s is not None
        ]

    def _write(self, table: str, key: str, content: bytes | None) -> None:
        self.version += 1
        row = StoreRow(table, key, self.position(), content)
        self._row_by_key[(table, key)] = row
        self._writes.append(_Write(anyio.current_time(), row))
        self.notify()


def _ignore_return() -> None:
    """Ignore a return of the store; the default callback."""


def _is_never_cut() -> bool:
    return False


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
        is_cut: Callable[[], bool] = _is_never_cut,
    ) -> None:
        """``byte_s``: transmission time per byte to the instance, in seconds.

        ``is_cut`` returns whether nothing passes between the instance and the store.
        """
        self._is_cut = is_cut
        super().__init__()
        self._store = store
        self._instance = instance
        self._one_way_s = round_trip_s / 2
        self._byte_s = byte_s
        self._clock = clock
        self.calls = 0

    async def list_rows(self, table: str) -> RowBatch | Unreachable:
        """Return all rows."""
        outcome = await self._ask(table, after=0, poll_wait_s=0.0)
        return Unreachable(reason='history lost') if isinstance(outcome, HistoryLost) else outcome

    async def read_row(self, table: str, key: str) -> StoreRow | Unreachable:
        """Return a row that does not exist: instances write no rows in this model."""
        return StoreRow(table, key, self._store.position()._replace(version=0), None)

    async def changes_after(
        self, table: str, *, after: StorePosition, poll_wait_s: float
    ) -> RowBatch | HistoryLost | Unreachable:
        """Long-poll for the rows changed after a version."""
        return await self._ask(table, after=after.version, poll_wait_s=poll_wait_s)

    async def write(
        self, writes: Sequence[RowWrite], *, unchanged: Sequence[StoreRow] = ()
    ) -> ConditionFailed | Unreachable | None:
        """Write nothing: instances are not registered in this model."""
        return await self.probe()

    async def probe(self) -> Unreachable | None:
        """Check that the store answers, with one small call."""
        outcome = await self._ask(INSTANCES, after=0, poll_wait_s=0.0)
        return outcome if isinstance(outcome, Unreachable) else None

    def decode(self, row: StoreRow) -> Change | Invalid | None:
        """Decode ``row`` into the change of an endpoint that it stands for."""
        return decode_simulated_row(row)

    async def _ask(
        self, table: str, *, after: int, poll_wait_s: float
    ) -> RowBatch | HistoryLost | Unreachable:
        self.calls += 1
        outcome: RowBatch | HistoryLost | Unreachable | None = None
        with anyio.move_on_after(CALL_TIMEOUT_S + poll_wait_s):
            await anyio.sleep(self._one_way_s)
            if self._is_cut():
                await anyio.sleep_forever()
            outcome = await self._long_poll(
                table, after=after, expires_at=self._clock() + poll_wait_s
            )
            era = self._store.era
            await anyio.sleep(self._one_way_s)
        if outcome is None:
            return Unreachable(reason='no answer in time')
        # The time limit counts from the last progress of the transfer.
        await anyio.sleep(self._byte_s * _size(outcome))
        if self._is_cut():
            await anyio.sleep(CALL_TIMEOUT_S)
            return Unreachable(reason='no answer in time')
        version = outcome.position.version if isinstance(outcome, RowBatch) else None
        self.eras.record_answer(era, version, self._clock())
        return outcome

    async def _long_poll(
        self, table: str, *, after: int, expires_at: float
    ) -> RowBatch | HistoryLost | Unreachable:
        is_new_call = True
        while True:
            now = self._clock()
            outage = self._store.outage_for(self._instance, now)
            if outage is not None and outage.failure_mode is FailureMode.REFUSING:
                return Unreachable(reason='503')
            if outage is not None and (is_new_call or now >= expires_at):
                await anyio.sleep_forever()
            if outage is None and after and not self._store.has_history(after):
                return HistoryLost()
            rows = self._store.rows(table, after=after)
            if outage is None and (rows or now >= expires_at):
                return RowBatch(rows, self._store.position())
            is_new_call = False
            with anyio.move_on_after(expires_at - now):
                await self._store.changed()


def _size(outcome: RowBatch | HistoryLost | Unreachable) -> int:
    rows = outcome.rows if isinstance(outcome, RowBatch) else ()
    return sum(len(row.content or b'') for row in rows)
