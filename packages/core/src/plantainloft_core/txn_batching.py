"""Group commit: many small transactions are sent to the table as one.

The platform's table service accepts several hundred writes per second for
the whole deployment. Each non-idempotent request needs two conditional
writes, so sending them one by one would exhaust this at a few hundred
requests per second. The batcher sends at most one transaction per
``min_interval_s``, with everything that was queued meanwhile. This bounds a
node's write rate independently of its request rate.
"""

import collections
import itertools
import time
from typing import Any

import anyio

from plantainloft_core.outcomes import Unreachable
from plantainloft_core.table_client import TableClient, TxnCommitted, TxnConflict

__all__ = ['TxnBatcher', 'TxnOutcome']

MAX_BATCH_ROWS = 100
NOWAIT_ATTEMPTS = 3

TxnOutcome = TxnCommitted | TxnConflict | Unreachable


class _PendingTransaction:
    """A queued transaction and, once ``settled`` is set, its outcome."""

    def __init__(
        self, *, conditions: dict[str, int], writes: dict[str, Any], attempts_left: int = 1
    ) -> None:
        self.conditions = conditions
        self.writes = writes
        self.attempts_left = attempts_left
        self.settled = anyio.Event()
        self.outcome: TxnOutcome = Unreachable(reason='not sent')

    def keys(self) -> set[str]:
        return self.conditions.keys() | self.writes.keys()

    def settle(self, outcome: TxnOutcome) -> None:
        self.outcome = outcome
        self.settled.set()


class TxnBatcher:
    """Sends queued transactions in batches, at most one batch per ``min_interval_s``.

    The transactions of a batch touch different rows, so a conflict can be
    attributed to the transactions that caused it; the others go into the next
    batch. If the response to a batch is lost, this is reported to each caller
    that waits for one of its transactions, because all may have been applied.
    """

    def __init__(self, *, client: TableClient, min_interval_s: float) -> None:
        self.batches_sent = 0
        self._client = client
        self._min_interval_s = min_interval_s
        self._queue: collections.deque[_PendingTransaction] = collections.deque()
        self._has_work = anyio.Event()
        self._idle = anyio.Event()
        self._idle.set()
        self._last_sent_at = 0.0

    async def submit(self, *, conditions: dict[str, int], writes: dict[str, Any]) -> TxnOutcome:
        """Queue a transaction for the next batch and return its outcome."""
        pending = _PendingTransaction(conditions=conditions, writes=writes)
        self._enqueue(pending)
        await pending.settled.wait()
        return pending.outcome

    def submit_nowait(self, *, conditions: dict[str, int], writes: dict[str, Any]) -> None:
        """Queue a transaction for the next batch without waiting for it.

        It is dropped after ``NOWAIT_ATTEMPTS`` attempts while the table is
        unreachable, so use this only for writes whose loss violates no guarantee.
        """
        self._enqueue(
            _PendingTransaction(conditions=conditions, writes=writes, attempts_left=NOWAIT_ATTEMPTS)
        )

    async def flush(self, *, timeout_s: float) -> None:
        """Wait until the queue is empty, for at most ``timeout_s`` seconds."""
        with anyio.move_on_after(timeout_s):
            await self._idle.wait()

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._has_work.wait()
            wait_s = self._last_sent_at + self._min_interval_s - time.monotonic()
            if wait_s > 0:
                await anyio.sleep(wait_s)
            await self._send_batch(self._next_batch())
            if not self._queue:
                self._has_work = anyio.Event()
                self._idle.set()

    def _enqueue(self, pending: _PendingTransaction) -> None:
        self._queue.append(pending)
        if self._idle.is_set():
            self._idle = anyio.Event()
        self._has_work.set()

    def _next_batch(self) -> list[_PendingTransaction]:
        batch: list[_PendingTransaction] = []
        keys: set[str] = set()
        deferred: list[_PendingTransaction] = []
        while self._queue and len(keys) < MAX_BATCH_ROWS:
            pending = self._queue.popleft()
            if keys.isdisjoint(pending.keys()):
                batch.append(pending)
                keys |= pending.keys()
            else:
                deferred.append(pending)
        self._queue.extendleft(reversed(deferred))
        return batch

    async def _send_batch(self, batch: list[_PendingTransaction]) -> None:
        self._last_sent_at = time.monotonic()
        self.batches_sent += 1
        outcome = await self._client.commit_transaction(
            conditions=dict(itertools.chain(*(pending.conditions.items() for pending in batch))),
            writes=dict(itertools.chain(*(pending.writes.items() for pending in batch))),
        )
        for pending in batch:
            self._settle(pending, outcome)

    def _settle(self, pending: _PendingTransaction, outcome: TxnOutcome) -> None:
        if isinstance(outcome, TxnConflict):
            conflicts = outcome.versions_by_key.keys() & pending.conditions.keys()
            if not conflicts:
                # The conflict was caused by another transaction of the batch.
                self._queue.appendleft(pending)
                return
            conflict_versions = {key: outcome.versions_by_key[key] for key in conflicts}
            pending.settle(TxnConflict(versions_by_key=conflict_versions))
            return
        pending.attempts_left -= 1
        if isinstance(outcome, Unreachable) and pending.attempts_left > 0:
            self._queue.append(pending)
            return
        pending.settle(outcome)
