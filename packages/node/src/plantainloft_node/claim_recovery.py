"""Idempotency keys that the table has lost by returning from an older copy.

A key that was claimed in the lost seconds could be claimed again, and its request would run
twice. Each node remembers the keys that it has claimed recently and writes them again after
a return. Until all nodes have had the time to do so, no key is claimed.
"""

import collections
from typing import Any

import anyio

from plantainloft_core.table_client import TableClient, TableRow, TxnCommitted
from plantainloft_core.txn_batching import TxnBatcher

__all__ = ['DONE', 'RELEASED', 'ClaimRecovery']

# States of the row of a key.
RELEASED = 'released'
DONE = 'done'

# Older than any copy from which the table returns.
REMEMBERED_S = 30.0
MAX_REMEMBERED = 20_000
# Nodes notice a return by their next read of the table or a heartbeat, within a second, and
# write what they remember.
RECOVERY_S = 2.5
RETRY_S = 0.1


class ClaimRecovery:
    """The keys that this node has claimed recently."""

    def __init__(self, *, client: TableClient, batcher: TxnBatcher) -> None:
        self._client = client
        self._eras = client.eras
        self._batcher = batcher
        self._claimed_at_by_key: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._value_by_key: dict[str, Any] = {}

    def remember(self, row_key: str, value: Any, now: float) -> None:
        """Remember that ``row_key`` was claimed with ``value``."""
        self.forget(row_key)
        self._claimed_at_by_key[row_key] = now
        self._value_by_key[row_key] = value
        while self._is_oldest_expired(now):
            oldest, _ = self._claimed_at_by_key.popitem(last=False)
            self._value_by_key.pop(oldest)

    def forget(self, row_key: str) -> None:
        """Forget a key whose request did not run."""
        self._claimed_at_by_key.pop(row_key, None)
        self._value_by_key.pop(row_key, None)

    def is_in_progress(self, now: float) -> bool:
        """Return whether other nodes may still have lost keys to write again."""
        last_return = self._eras.last_return
        return last_return is not None and now - last_return.noticed_at < RECOVERY_S

    async def run(self) -> None:
        """Write remembered keys again whenever the table has returned, until cancelled."""
        while True:
            await self._eras.wait_for_return()
            async with anyio.create_task_group() as tasks:
                for row_key, value in self._value_by_key.items():
                    tasks.start_soon(self._write_again, row_key, value)

    async def _write_again(self, row_key: str, value: Any) -> None:
        """Write a claim, unless the table has it or its outcome.

        A node that had not noticed the return may have claimed the key. It releases it.
        """
        deadline = anyio.current_time() + RECOVERY_S
        version = 0
        while anyio.current_time() < deadline:
            outcome = await self._batcher.submit(
                conditions={row_key: version}, writes={row_key: value}
            )
            if isinstance(outcome, TxnCommitted):
                return
            row = await self._client.get(row_key)
            if isinstance(row, TableRow):
                if row.value == value or row.value['state'] == DONE:
                    return
                # Wait for the release of a claim that is not this one.
                version = row.version if row.value['state'] == RELEASED else 0
            await anyio.sleep(RETRY_S)

    def _is_oldest_expired(self, now: float) -> bool:
        if not self._claimed_at_by_key:
            return False
        oldest_at = next(iter(self._claimed_at_by_key.values()))
        return len(self._claimed_at_by_key) > MAX_REMEMBERED or now - oldest_at > REMEMBERED_S
