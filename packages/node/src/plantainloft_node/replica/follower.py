"""Follows one table of the store by long polling."""

import logging
import random
from collections.abc import Callable

import anyio

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.replica.beliefs import Beliefs
from plantainloft_node.replica.news import HistoryLost, News, NewsStore
from plantainloft_node.replica.rows import RowCopy

__all__ = ['TableFollower']

log = logging.getLogger(__name__)

BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 1.0
# Interval of the checks whether other instances still poll the table.
REST_CHECK_INTERVAL_S = 0.1


class TableFollower:
    """Keeps the replica of one table up to date."""

    def __init__(
        self,
        *,
        table: str,
        store: NewsStore,
        rows: RowCopy,
        routing_state: Beliefs,
        pause_s: float,
        long_poll_wait_s: Callable[[], float],
        delegates_polling: Callable[[], bool],
    ) -> None:
        """``pause_s`` is the pause after each change, which batches further ones.

        ``long_poll_wait_s`` returns how long a poll waits for a change,
        ``delegates_polling`` whether other instances poll the table on behalf of this
        one.
        """
        self._table = table
        self._store = store
        self._rows = rows
        self._routing_state = routing_state
        self._pause_s = pause_s
        self._long_poll_wait_s = long_poll_wait_s
        self._delegates_polling = delegates_polling
        self._last_version: int | None = None
        self._backoff_s = BACKOFF_MIN_S
        self.in_touch = False
        self.heard_at = 0.0
        self._woken = anyio.Event()
        self._poll_requested = False

    def poll_now(self) -> None:
        """Poll once even at rest: a peer announced rows that it does not send."""
        self._poll_requested = True

    def wake(self) -> None:
        """Restart the poll: a peer knows of a change that this replica lacks.

        The connection of the pending poll may have stalled.
        """
        self._woken.set()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            while self.has_listed and self._delegates_polling() and not self._poll_requested:
                await anyio.sleep(REST_CHECK_INTERVAL_S)
            self._woken = anyio.Event()
            await self._poll()

    @property
    def has_listed(self) -> bool:
        """Whether the whole table was read since the start or the last lost history."""
        return self._last_version is not None

    async def _poll(self) -> None:
        outcome: News | HistoryLost | Unreachable | None = None
        wait_s = self._poll_wait_s()
        self._poll_requested = False
        sent_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_wake, tasks.cancel_scope)
            outcome = await self._fetch(wait_s)
            tasks.cancel_scope.cancel()
        if outcome is None:
            return
        now = anyio.current_time()
        if isinstance(outcome, Unreachable):
            self._routing_state.store.note_failed(due_at=min(sent_at + wait_s, now))
            await self._handle_unreachable(outcome.reason)
            return
        self._routing_state.store.note_answered(sent_at=sent_at, now=now)
        if not self.in_touch:
            self.in_touch = True
            log.info('Store: following %s again.', self._table, extra={'kind': 'store_regained'})
        self.heard_at = now
        self._backoff_s = BACKOFF_MIN_S
        if isinstance(outcome, HistoryLost):
            log.warning(
                'Store: history of %s is no longer available, listing the table again.',
                self._table,
                extra={'kind': 'store_history'},
            )
            self._last_version = None
            return
        self._take(outcome, now)
        if outcome.rows:
            await anyio.sleep(self._pause_s)

    async def _cancel_on_wake(self, scope: anyio.CancelScope) -> None:
        await self._woken.wait()
        scope.cancel()

    def _poll_wait_s(self) -> float:
        # An unresponsive store drops the calls that it receives. A long poll sent
        # during an outage times out only seconds after the outage, and until then
        # the recovery goes unnoticed. So polls do not wait while out of touch.
        return self._long_poll_wait_s() if self.in_touch and self._last_version is not None else 0.0

    async def _fetch(self, wait_s: float) -> News | HistoryLost | Unreachable:
        if self._last_version is None:
            return await self._store.list_rows(self._table)
        # After a rest the replica is newer than the last poll, as peers sent rows.
        after = max(self._last_version, self._rows.newest_by_table.get(self._table, 0))
        return await self._store.changes(self._table, after=after, wait_s=wait_s)

    def _take(self, news: News, now: float) -> None:
        if self._last_version is None:
            fresh = self._rows.merge_listing(self._table, news)
        else:
            fresh = self._rows.merge(news.rows)
        self._last_version = news.version
        self._routing_state.take(fresh, now, source='store')

    async def _handle_unreachable(self, reason: str) -> None:
        if self.in_touch:
            log.warning(
                'Store: %s not followed.',
                self._table,
                extra={'kind': 'store_lost', 'fields': {'reason': reason}},
            )
        self.in_touch = False
        await anyio.sleep(self._backoff_s * (1 + random.random()))
        self._backoff_s = min(BACKOFF_MAX_S, self._backoff_s * 2)
