"""At-most-once execution of non-idempotent requests, based on claims in the table.

Before a non-idempotent request (``POST``) is forwarded, the node claims its
``Idempotency-Key`` with a conditional write. Only the node that holds the claim
forwards the request. A retry through any entry instance finds the claim and gets
the recorded answer, or ``Unknown`` while the claim is open. The claim of a request
that did not run is released, so that a retry may run.

The version of the row serves as a fencing token: rows are never deleted, and each
claim, release and record is conditional on the version that was read. A node that
was paused and lost its claim meanwhile therefore cannot change the row. A claim is of
the era of the table in which it was made; see ``claim_recovery``.
"""

import uuid
from typing import NamedTuple

import anyio

from plantainloft_core.outcomes import Refused, Served, Unknown, Unreachable
from plantainloft_core.store_position import UNKNOWN_ERA
from plantainloft_core.table_client import LostResponse, TableClient, TableRow, TxnConflict
from plantainloft_core.txn_batching import TxnBatcher, TxnOutcome
from plantainloft_node.claim_recovery import DONE, RELEASED, ClaimRecovery

__all__ = ['IdempotencyStore', 'KeyClaim']

RETRY_AFTER_S = 1
OUTCOME_READS = 4
OUTCOME_READ_INTERVAL_S = 0.05
_STARTED = 'started'
RECOVERING = 'the idempotency ledger has returned from an older copy'


class KeyClaim(NamedTuple):
    """A claim held by this node: the key of its row, its version and the table's era."""

    key: str
    version: int
    era: int = UNKNOWN_ERA


class IdempotencyStore:
    """Claims idempotency keys and records the outcomes of their requests."""

    def __init__(self, *, client: TableClient, batcher: TxnBatcher, node: str) -> None:
        self._client = client
        self._batcher = batcher
        self._node = node
        self.recovery = ClaimRecovery(client=client, batcher=batcher)

    async def claim(self, service: str, key: str) -> KeyClaim | Served | Unknown | Refused:
        """Claim ``key``; otherwise return the earlier outcome or a refusal."""
        if self.recovery.is_in_progress(anyio.current_time()):
            return _not_run(RECOVERING)
        claimed = await self._claim(f'idem/{service}/{key}')
        if isinstance(claimed, KeyClaim) and self.recovery.is_in_progress(anyio.current_time()):
            # The claim was the first call to show the return.
            await self.release(claimed)
            return _not_run(RECOVERING)
        return claimed

    def record(self, claim: KeyClaim, served: Served) -> None:
        """Store the answer, so that a retry gets it instead of running again."""
        # The caller's answer does not wait for this write. If the write is lost,
        # the claim stays open and retries get Unknown: at-most-once still holds,
        # only the recorded answer is missing.
        value = {
            'state': DONE,
            'status': served.status,
            'body': served.body.decode(errors='replace'),
            'endpoint': served.endpoint,
        }
        if claim.era == self._client.eras.current:
            self._batcher.submit_nowait(
                conditions={claim.key: claim.version}, writes={claim.key: value}
            )

    async def release(self, claim: KeyClaim) -> None:
        """Release the claim of a request that did not run, so that a retry may claim it.

        Otherwise a refused booking could never be made: the caller is told to
        retry, and the retry finds its own key claimed, with an outcome that stays
        unknown.
        """
        self.recovery.forget(claim.key)
        if claim.era == self._client.eras.current:
            await self._write_release(claim.key, version=claim.version)

    async def _claim(self, row_key: str) -> KeyClaim | Served | Unknown | Refused:
        claimed = await self._insert(row_key, version=0)
        if not isinstance(claimed, TableRow):
            return claimed
        if claimed.value['state'] == RELEASED:
            claimed = await self._insert(row_key, version=claimed.version)
        if isinstance(claimed, TableRow):
            return await self._await_outcome(claimed)
        return claimed

    async def _insert(self, row_key: str, *, version: int) -> KeyClaim | Refused | TableRow:
        """Claim the row if it is at ``version``; return the row if it is taken."""
        value = {'state': _STARTED, 'node': self._node, 'claim_id': uuid.uuid4().hex}
        outcome = await self._batcher.submit(conditions={row_key: version}, writes={row_key: value})
        if isinstance(outcome, Unreachable) and not isinstance(outcome, LostResponse):
            return _not_run('idempotency ledger unreachable')
        if not isinstance(outcome, TxnConflict | LostResponse):
            return self._claimed(row_key, value, version=outcome.versions_by_key[row_key])
        return await self._resolve_claim(row_key, version=version, value=value)

    def _claimed(self, row_key: str, value: dict[str, str], *, version: int) -> KeyClaim:
        self.recovery.remember(row_key, value, anyio.current_time())
        return KeyClaim(key=row_key, version=version, era=self._client.eras.current)

    async def _resolve_claim(
        self, row_key: str, *, version: int, value: dict[str, str]
    ) -> KeyClaim | Refused | TableRow:
        """Read the row after a conflict or a lost answer; return our claim if it succeeded."""
        row = await self._client.get(row_key)
        if not isinstance(row, Unreachable) and _version_of(row) == version:
            # The answer to the claim was lost and the row does not contain the
            # claim, but the write may still be in transit. If it took effect after
            # the refusal, it would leave an open claim that no node works on, and
            # retries would get Unknown forever. Writing the row now changes the
            # version on which the delayed write is conditional, so that it fails.
            fence = await self._write_release(row_key, version=version)
            if not isinstance(fence, TxnConflict):
                return _not_run('claim not recorded')
            row = await self._client.get(row_key)
        if row is None or isinstance(row, Unreachable):
            return _not_run('idempotency ledger unreachable')
        if row.value.get('claim_id') == value['claim_id']:
            return self._claimed(row_key, value, version=row.version)
        return row

    async def _write_release(self, row_key: str, *, version: int) -> TxnOutcome:
        """Write a released row if it is at ``version``, which also changes the version."""
        return await self._batcher.submit(
            conditions={row_key: version}, writes={row_key: {'state': RELEASED}}
        )

    async def _await_outcome(self, row: TableRow) -> Served | Unknown | Refused:
        """Return the outcome that another claimant recorded, waiting briefly for it."""
        current: TableRow | Unreachable | None = row
        for _ in range(OUTCOME_READS):
            if isinstance(current, TableRow) and current.value['state'] == DONE:
                return Served(
                    status=current.value['status'],
                    body=current.value['body'].encode(),
                    endpoint=current.value['endpoint'],
                )
            if isinstance(current, TableRow) and current.value['state'] == RELEASED:
                return _not_run('released by another attempt')
            await anyio.sleep(OUTCOME_READ_INTERVAL_S)
            current = await self._client.get(row.key)
        return Unknown(reason='same key in flight or outcome unknown')


def _version_of(row: TableRow | None) -> int:
    return 0 if row is None else row.version


def _not_run(reason: str) -> Refused:
    return Refused(reason=reason, retry_after_s=RETRY_AFTER_S)
