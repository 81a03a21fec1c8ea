"""Group commit: many small transactions sent to the table as one.

The platform's table service takes several hundred writes a second for
the whole deployment. Each non-idempotent request needs two conditional
writes; sent one by one they would use the budget up at a few hundred
requests a second. The batcher sends at most one transaction per
``pace_s``, holding everything that waited meanwhile, so a node's write
rate has a ceiling that does not depend on its request rate.
"""

import collections
import itertools
import time
from typing import Any

import anyio

from plantainloft_core.outcomes import Unreachable
from plantainloft_core.table_client import TableClient, TxnConflict, TxnDone

__all__ = ['TxnBatcher', 'TxnOutcome']

MAX_ROWS = 100
POST_ATTEMPTS = 3

TxnOutcome = TxnDone | TxnConflict | Unreachable


class _Pending:
    """One transaction waiting to be sent, and then its outcome."""

    def __init__(
        self, *, conditions: dict[str, int], writes: dict[str, Any], attempts: int = 1
    ) -> None:
        self.conditions = conditions
        self.writes = writes
        self.attempts = attempts
        self.settled = anyio.Event()
        self.outcome: TxnOutcome = Unreachable(reason='not sent')

    def keys(self) -> set[str]:
        return self.conditions.keys() | self.writes.keys()

    def settle(self, outcome: TxnOutcome) -> None:
        self.outcome = outcome
        self.settled.set()


class TxnBatcher:
    """Sends waiting transactions together, at most one per ``pace_s``.

    The transactions of one batch touch different rows, so a failed
    condition of one never fails another: after a conflict the others go
    into the next batch. A lost answer is reported to every transaction
    of its batch, since each may have taken effect.
    """

    def __init__(self, *, client: TableClient, pace_s: float) -> None:
        self.sent = 0
        self._client = client
        self._pace_s = pace_s
        self._queue: collections.deque[_Pending] = collections.deque()
        self._wake = anyio.Event()
        self._idle = anyio.Event()
        self._idle.set()
        self._last_sent = 0.0

    async def submit(self, *, conditions: dict[str, int], writes: dict[str, Any]) -> TxnOutcome:
        """Send a transaction with the next batch and return its outcome."""
        pending = _Pending(conditions=conditions, writes=writes)
        self._push(pending)
        await pending.settled.wait()
        return pending.outcome

    def post(self, *, conditions: dict[str, int], writes: dict[str, Any]) -> None:
        """Send a transaction with the next batch; do not wait for it.

        Tried a few times while the table is unreachable, then dropped:
        only for writes whose loss breaks no promise.
        """
        self._push(_Pending(conditions=conditions, writes=writes, attempts=POST_ATTEMPTS))

    async def flush(self, *, within_s: float) -> None:
        """Wait until nothing waits to be sent, at most ``within_s``."""
        with anyio.move_on_after(within_s):
            await self._idle.wait()

    async def run(self) -> None:
        """Send batches forever."""
        while True:
            await self._wake.wait()
            wait_s = self._last_sent + self._pace_s - time.monotonic()
            if wait_s > 0:
                await anyio.sleep(wait_s)
            await self._send(self._take())
            if not self._queue:
                self._wake = anyio.Event()
                self._idle.set()

    def _push(self, pending: _Pending) -> None:
        self._queue.append(pending)
        if self._idle.is_set():
            self._idle = anyio.Event()
        self._wake.set()

    def _take(self) -> list[_Pending]:
        batch: list[_Pending] = []
        keys: set[str] = set()
        later: list[_Pending] = []
        while self._queue and len(keys) < MAX_ROWS:
            pending = self._queue.popleft()
            if keys.isdisjoint(pending.keys()):
                batch.append(pending)
                keys |= pending.keys()
            else:
                later.append(pending)
        self._queue.extendleft(reversed(later))
        return batch

    async def _send(self, batch: list[_Pending]) -> None:
        self._last_sent = time.monotonic()
        self.sent += 1
        outcome = await self._client.txn(
            conditions=dict(itertools.chain(*(pending.conditions.items() for pending in batch))),
            writes=dict(itertools.chain(*(pending.writes.items() for pending in batch))),
        )
        for pending in batch:
            self._settle(pending, outcome)

    def _settle(self, pending: _Pending, outcome: TxnOutcome) -> None:
        if isinstance(outcome, TxnConflict):
            conflicts = outcome.versions_by_key.keys() & pending.conditions.keys()
            if not conflicts:
                # Another transaction of the batch failed, not this one.
                self._queue.appendleft(pending)
                return
            found = {key: outcome.versions_by_key[key] for key in conflicts}
            pending.settle(TxnConflict(versions_by_key=found))
            return
        pending.attempts -= 1
        if isinstance(outcome, Unreachable) and pending.attempts > 0:
            self._queue.append(pending)
            return
        pending.settle(outcome)
