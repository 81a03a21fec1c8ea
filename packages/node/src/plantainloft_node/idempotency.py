"""At-most-once for non-idempotent requests, by claims in the table.

Before a non-idempotent request (``POST``) is forwarded, the node claims
its ``Idempotency-Key`` with a conditional write. Only the claimant
forwards; a retry through any entry instance finds the claim and gets
the recorded answer, or ``Unknown`` while it is open. A claim whose
request did not run is released, so the caller's retry may run.

The row's version is the fencing token: a row is never deleted, each
claim, release and record is conditioned on the version it saw, so a
claimant that was paused and superseded can change nothing.
"""

import uuid
from typing import NamedTuple

import anyio

from plantainloft_core.outcomes import Refused, Served, Unknown, Unreachable
from plantainloft_core.table_client import LostAnswer, Row, TableClient, TxnConflict
from plantainloft_core.txn_batching import TxnBatcher, TxnOutcome

__all__ = ['Claim', 'IdempotencyLedger']

RETRY_AFTER_S = 1
SETTLE_READS = 4
SETTLE_PAUSE_S = 0.05
_STARTED = 'started'
_RELEASED = 'released'
_DONE = 'done'


class Claim(NamedTuple):
    """This node holds the key; ``version`` is the claim row's version."""

    key: str
    version: int


class IdempotencyLedger:
    """Claims and records outcomes of non-idempotent requests."""

    def __init__(self, *, client: TableClient, batcher: TxnBatcher, node: str) -> None:
        self._client = client
        self._batcher = batcher
        self._node = node

    async def claim(self, service: str, key: str) -> Claim | Served | Unknown | Refused:
        """Claim ``key``; or return the earlier outcome, or refuse."""
        row_key = f'idem/{service}/{key}'
        claimed = await self._insert(row_key, version=0)
        if not isinstance(claimed, Row):
            return claimed
        if claimed.value['state'] == _RELEASED:
            claimed = await self._insert(row_key, version=claimed.version)
        if isinstance(claimed, Row):
            return await self._settled(claimed)
        return claimed

    def record(self, claim: Claim, served: Served) -> None:
        """Store the answer so a retry gets it instead of a second run."""
        # The caller's answer does not wait for this write. If it never
        # lands the claim stays open and retries are told Unknown: at
        # most once still holds, only the replay is lost.
        value = {
            'state': _DONE,
            'status': served.status,
            'body': served.body.decode(errors='replace'),
            'endpoint': served.endpoint,
        }
        self._batcher.post(conditions={claim.key: claim.version}, writes={claim.key: value})

    async def release(self, claim: Claim) -> None:
        """Give the key up: its request did not run, a retry may claim it.

        Without this a refused booking could never be made: the caller is
        told "did not run, come back", comes back, and finds its own key
        open, with an outcome nobody will ever know.
        """
        await self._move_on(claim.key, version=claim.version)

    async def _insert(self, row_key: str, *, version: int) -> Claim | Refused | Row:
        """Claim the row at ``version``; return the row if it is taken."""
        claim_id = uuid.uuid4().hex
        value = {'state': _STARTED, 'node': self._node, 'claim_id': claim_id}
        outcome = await self._batcher.submit(conditions={row_key: version}, writes={row_key: value})
        if isinstance(outcome, Unreachable) and not isinstance(outcome, LostAnswer):
            return _not_run('idempotency ledger unreachable')
        if not isinstance(outcome, TxnConflict | LostAnswer):
            return Claim(key=row_key, version=outcome.versions_by_key[row_key])
        return await self._who_holds(row_key, version=version, claim_id=claim_id)

    async def _who_holds(
        self, row_key: str, *, version: int, claim_id: str
    ) -> Claim | Refused | Row:
        """Return our claim if it did land, else the row that stands."""
        row = await self._client.get(row_key)
        if not isinstance(row, Unreachable) and _version_of(row) == version:
            # Our claim's answer was lost and the row does not show it,
            # yet the write may still be on its way. Landing after we
            # refused, it would leave an open claim that no node works on,
            # and retries would be told Unknown for good. Moving the row
            # past the version it is conditioned on makes it fail.
            fence = await self._move_on(row_key, version=version)
            if not isinstance(fence, TxnConflict):
                return _not_run('claim not recorded')
            row = await self._client.get(row_key)
        if row is None or isinstance(row, Unreachable):
            return _not_run('idempotency ledger unreachable')
        if row.value.get('claim_id') == claim_id:
            return Claim(key=row_key, version=row.version)
        return row

    async def _move_on(self, row_key: str, *, version: int) -> TxnOutcome:
        """Release the row if it is at ``version``, moving it past that."""
        return await self._batcher.submit(
            conditions={row_key: version}, writes={row_key: {'state': _RELEASED}}
        )

    async def _settled(self, row: Row) -> Served | Unknown | Refused:
        """Return the outcome another claimant recorded, or will shortly."""
        found: Row | Unreachable | None = row
        for _ in range(SETTLE_READS):
            if isinstance(found, Row) and found.value['state'] == _DONE:
                return Served(
                    status=found.value['status'],
                    body=found.value['body'].encode(),
                    endpoint=found.value['endpoint'],
                )
            if isinstance(found, Row) and found.value['state'] == _RELEASED:
                return _not_run('released by another attempt')
            await anyio.sleep(SETTLE_PAUSE_S)
            found = await self._client.get(row.key)
        return Unknown(reason='same key in flight or outcome unknown')


def _version_of(row: Row | None) -> int:
    return 0 if row is None else row.version


def _not_run(reason: str) -> Refused:
    return Refused(reason=reason, retry_after_s=RETRY_AFTER_S)
