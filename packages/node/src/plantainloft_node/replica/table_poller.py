"""Polls one table of the store by long polling."""

import logging
import random
from collections.abc import Callable

import anyio

from plantainloft_core.outcomes import Unreachable
from plantainloft_core.store_position import StorePosition, latest_position
from plantainloft_node.replica.row_updates import STORE_SOURCE, RowUpdates
from plantainloft_node.replica.store_rows import HistoryLost, RowBatch, TableStore

__all__ = ['TablePoller']

log = logging.getLogger(__name__)

BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 1.0
# Interval of the checks whether other instances still poll the table.
DELEGATION_CHECK_INTERVAL_S = 0.1


class TablePoller:
    """Keeps the replica of one table up to date."""

    def __init__(
        self,
        *,
        table: str,
        store: TableStore,
        updates: RowUpdates,
        batch_pause_s: float,
        long_poll_wait_s: Callable[[], float],
        delegates_polling: Callable[[], bool],
        relisting_delay_s: Callable[[], float],
    ) -> None:
        """``batch_pause_s`` is the pause after each change, which batches further ones.

        ``long_poll_wait_s`` returns how long a poll waits for a change,
        ``delegates_polling`` whether other instances poll the table on behalf of this
        one, and ``relisting_delay_s`` how long it waits for a peer to send the table after
        the store has returned from a copy.
        """
        self._table = table
        self._store = store
        self._rows = updates.rows
        self._updates = updates
        self._store_availability = updates.routing_state.store_availability
        self._batch_pause_s = batch_pause_s
        self._long_poll_wait_s = long_poll_wait_s
        self._delegates_polling = delegates_polling
        self._relisting_delay_s = relisting_delay_s
        self._last_position: StorePosition | None = None
        self._backoff_s = BACKOFF_MIN_S
        self._histories_lost = 0
        self.is_connected = False
        self.last_answer_at = 0.0
        self._restart_requested = anyio.Event()
        self._poll_requested = False

    def poll_now(self) -> None:
        """Poll once even if polling is delegated: a peer announced rows that it does not send."""
        self._poll_requested = True

    def restart_poll(self) -> None:
        """Restart the poll: a peer knows of a change that this replica lacks.

        The connection of the pending poll may have stalled.
        """
        self._restart_requested.set()

    async def run(self) -> None:
        """Poll the table until cancelled."""
        while True:
            if self._has_store_returned():
                await self._wait_before_listing()
            while (
                self.has_initial_listing and self._delegates_polling() and not self._poll_requested
            ):
                await anyio.sleep(DELEGATION_CHECK_INTERVAL_S)
            self._restart_requested = anyio.Event()
            await self._poll()

    @property
    def has_initial_listing(self) -> bool:
        """Whether the whole table was read since the start or the last loss of history."""
        return self._resume_position() is not None

    def _has_store_returned(self) -> bool:
        """Return whether the table was read, but not since the store returned from a copy."""
        return self._last_position is not None and self._resume_position() is None

    async def _wait_before_listing(self) -> None:
        """Wait for this instance's turn, or until a peer has sent the table."""
        with anyio.move_on_after(self._relisting_delay_s()):
            while self._has_store_returned():
                await anyio.sleep(DELEGATION_CHECK_INTERVAL_S)

    async def _poll(self) -> None:
        outcome: RowBatch | HistoryLost | Unreachable | None = None
        poll_wait_s = self._current_poll_wait_s()
        after = self._resume_position()
        self._poll_requested = False
        sent_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_restart, tasks.cancel_scope)
            outcome = await self._fetch(after, poll_wait_s)
            tasks.cancel_scope.cancel()
        if outcome is None:
            return
        now = anyio.current_time()
        if isinstance(outcome, Unreachable):
            self._store_availability.record_failure(due_at=min(sent_at + poll_wait_s, now))
            await self._handle_unreachable(outcome.reason)
            return
        self._store_availability.record_answer(sent_at=sent_at, now=now)
        if not self.is_connected:
            self.is_connected = True
            log.info('Store: following %s.', self._table, extra={'kind': 'store_regained'})
        self.last_answer_at = now
        self._backoff_s = BACKOFF_MIN_S
        await self._handle_answer(outcome, after, now)

    async def _handle_answer(
        self, outcome: RowBatch | HistoryLost, after: StorePosition | None, now: float
    ) -> None:
        if after is not None and after.era != self._store.eras.current:
            # The store has returned from a copy: the answer has only a part of the
            # changes, or none because the copy lacks the version.
            return
        if isinstance(outcome, HistoryLost):
            await self._handle_lost_history()
            return
        self._histories_lost = 0
        if outcome.position.era != self._store.eras.current:
            # The answer of an earlier era was late, or an era was reported that the store
            # does not have.
            await anyio.sleep(BACKOFF_MAX_S)
            return
        if after is None:
            self._updates.apply_listing(self._table, outcome, now, source=STORE_SOURCE)
        else:
            self._updates.apply_changes(outcome.rows, now, source=STORE_SOURCE)
        self._last_position = outcome.position
        if outcome.rows:
            await anyio.sleep(self._batch_pause_s)

    async def _handle_lost_history(self) -> None:
        log.warning(
            'Store: history of %s is no longer available, listing the table again.',
            self._table,
            extra={'kind': 'store_history'},
        )
        self._last_position = None
        # A history that is lost again right after the listing would be a loop of calls.
        await anyio.sleep(min(BACKOFF_MAX_S, BACKOFF_MIN_S * self._histories_lost))
        self._histories_lost += 1

    async def _cancel_on_restart(self, scope: anyio.CancelScope) -> None:
        await self._restart_requested.wait()
        scope.cancel()

    def _current_poll_wait_s(self) -> float:
        # An unresponsive store drops the calls that it receives. A long poll sent
        # during an outage times out only seconds after the outage, and until then
        # the recovery goes unnoticed. So polls do not wait while disconnected.
        return (
            self._long_poll_wait_s()
            if self.is_connected and self._resume_position() is not None
            else 0.0
        )

    async def _fetch(
        self, after: StorePosition | None, poll_wait_s: float
    ) -> RowBatch | HistoryLost | Unreachable:
        if after is None:
            return await self._store.list_rows(self._table)
        return await self._store.changes_after(self._table, after=after, poll_wait_s=poll_wait_s)

    def _resume_position(self) -> StorePosition | None:
        """Return the position to poll from; ``None`` if the table has to be listed.

        After delegated polling the replica is newer than the last poll, as peers sent rows.
        """
        if self._last_position is None:
            return None
        position = latest_position(
            (self._last_position, self._rows.position_by_table.get(self._table))
        )
        is_current = position is not None and position.era == self._store.eras.current
        return position if is_current else None

    async def _handle_unreachable(self, reason: str) -> None:
        if self.is_connected:
            log.warning(
                'Store: %s not followed.',
                self._table,
                extra={'kind': 'store_lost', 'fields': {'reason': reason}},
            )
        self.is_connected = False
        await anyio.sleep(self._backoff_s * (1 + random.random()))
        self._backoff_s = min(BACKOFF_MAX_S, self._backoff_s * 2)
