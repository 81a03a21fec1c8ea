"""Polls one table of the store by long polling."""

import logging
import random
from collections.abc import Callable

import anyio

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.replica.routing_state import RoutingState
from plantainloft_node.replica.row_replica import RowReplica
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
        rows: RowReplica,
        routing_state: RoutingState,
        batch_pause_s: float,
        long_poll_wait_s: Callable[[], float],
        delegates_polling: Callable[[], bool],
    ) -> None:
        """``batch_pause_s`` is the pause after each change, which batches further ones.

        ``long_poll_wait_s`` returns how long a poll waits for a change,
        ``delegates_polling`` whether other instances poll the table on behalf of this
        one.
        """
        self._table = table
        self._store = store
        self._rows = rows
        self._routing_state = routing_state
        self._batch_pause_s = batch_pause_s
        self._long_poll_wait_s = long_poll_wait_s
        self._delegates_polling = delegates_polling
        self._last_version: int | None = None
        self._backoff_s = BACKOFF_MIN_S
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
            while (
                self.has_initial_listing and self._delegates_polling() and not self._poll_requested
            ):
                await anyio.sleep(DELEGATION_CHECK_INTERVAL_S)
            self._restart_requested = anyio.Event()
            await self._poll()

    @property
    def has_initial_listing(self) -> bool:
        """Whether the whole table was read since the start or the last loss of history."""
        return self._last_version is not None

    async def _poll(self) -> None:
        outcome: RowBatch | HistoryLost | Unreachable | None = None
        poll_wait_s = self._current_poll_wait_s()
        self._poll_requested = False
        sent_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_restart, tasks.cancel_scope)
            outcome = await self._fetch(poll_wait_s)
            tasks.cancel_scope.cancel()
        if outcome is None:
            return
        now = anyio.current_time()
        if isinstance(outcome, Unreachable):
            self._routing_state.store_availability.record_failure(
                due_at=min(sent_at + poll_wait_s, now)
            )
            await self._handle_unreachable(outcome.reason)
            return
        self._routing_state.store_availability.record_answer(sent_at=sent_at, now=now)
        if not self.is_connected:
            self.is_connected = True
            log.info('Store: following %s.', self._table, extra={'kind': 'store_regained'})
        self.last_answer_at = now
        self._backoff_s = BACKOFF_MIN_S
        if isinstance(outcome, HistoryLost):
            log.warning(
                'Store: history of %s is no longer available, listing the table again.',
                self._table,
                extra={'kind': 'store_history'},
            )
            self._last_version = None
            return
        self._apply_batch(outcome, now)
        if outcome.rows:
            await anyio.sleep(self._batch_pause_s)

    async def _cancel_on_restart(self, scope: anyio.CancelScope) -> None:
        await self._restart_requested.wait()
        scope.cancel()

    def _current_poll_wait_s(self) -> float:
        # An unresponsive store drops the calls that it receives. A long poll sent
        # during an outage times out only seconds after the outage, and until then
        # the recovery goes unnoticed. So polls do not wait while disconnected.
        return (
            self._long_poll_wait_s()
            if self.is_connected and self._last_version is not None
            else 0.0
        )

    async def _fetch(self, poll_wait_s: float) -> RowBatch | HistoryLost | Unreachable:
        if self._last_version is None:
            return await self._store.list_rows(self._table)
        # After delegated polling the replica is newer than the last poll, as peers sent rows.
        after = max(self._last_version, self._rows.newest_version_by_table.get(self._table, 0))
        return await self._store.changes_after(self._table, after=after, poll_wait_s=poll_wait_s)

    def _apply_batch(self, batch: RowBatch, now: float) -> None:
        if self._last_version is None:
            fresh = self._rows.merge_listing(self._table, batch)
        else:
            fresh = self._rows.merge(batch.rows)
        self._last_version = batch.version
        self._routing_state.apply_rows(fresh, now, source='store')

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
