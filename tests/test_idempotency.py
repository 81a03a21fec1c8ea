"""At most once, and refusals that are true, under failures of the table."""

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest
from entry_fixtures import Conversation, RawEndpoint

from plantainloft_core.outcomes import Refused, Served, Unknown
from plantainloft_core.table_client import LostAnswer, TableClient, TxnConflict, TxnDone
from plantainloft_core.txn_batching import TxnBatcher
from plantainloft_node.forwarding import Forwarder, Request
from plantainloft_node.idempotency import Claim, IdempotencyLedger
from plantainloft_node.loads import LoadBook
from plantainloft_node.quarantine.crash_book import CrashBook
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_standins.faults import Faults
from plantainloft_standins.quarantine_store import MemoryQuarantineStore
from plantainloft_standins.table import TableService

pytestmark = pytest.mark.anyio

DONE = Served(status=200, body=b'booked', endpoint='e0')
ROW = 'idem/booking/k1'


@pytest.fixture
async def batcher(client: TableClient) -> AsyncIterator[TxnBatcher]:
    batcher = TxnBatcher(client=client, pace_s=0.01)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(batcher.run)
        yield batcher
        tasks.cancel_scope.cancel()


@pytest.fixture
def ledger(client: TableClient, batcher: TxnBatcher) -> IdempotencyLedger:
    return IdempotencyLedger(client=client, batcher=batcher, node='n1')


async def test_refused_booking_may_be_made_later(ledger: IdempotencyLedger) -> None:
    """Symptom: a booking refused with "did not run" could never be made.

    Sequence: the node claims the key, finds no headroom, refuses; the
    caller comes back with the same key. Cause guarded: the claim of a
    request that did not run stays open.
    """
    claim = await ledger.claim('booking', 'k1')
    assert isinstance(claim, Claim)
    await ledger.release(claim)
    assert isinstance(await ledger.claim('booking', 'k1'), Claim)


async def test_superseded_claimant_changes_nothing(
    ledger: IdempotencyLedger, batcher: TxnBatcher, table: TableService
) -> None:
    """Symptom: a paused node wakes and overwrites another's record.

    Sequence: a claimant releases its key, is paused, wakes believing it
    still holds the claim, and records an answer; meanwhile a retry holds
    the key. Cause guarded: a record not conditioned on the claim's version.
    """
    old = await ledger.claim('booking', 'k1')
    assert isinstance(old, Claim)
    await ledger.release(old)
    new = await ledger.claim('booking', 'k1')
    assert isinstance(new, Claim) and new.version > old.version
    ledger.record(old, DONE)
    await batcher.flush(within_s=5)
    assert table.rows_by_key[ROW][1]['state'] == 'started'


async def test_claim_that_lands_late_is_fenced_off(
    client: TableClient, ledger: IdempotencyLedger, table: TableService
) -> None:
    """Symptom: a refused booking's key is stuck, its outcome unknown for good.

    Sequence: the claim's connection is cut, so its answer is lost; the
    row read back is absent, the node refuses; then the delayed write
    reaches the table. Cause guarded: refusing without moving the row on.
    """
    delayed: list[dict[str, dict[str, object]]] = []
    real_txn = client.txn

    async def cut_first(**txn: dict[str, object]) -> TxnDone | TxnConflict | LostAnswer:
        if not delayed:
            delayed.append(txn)
            return LostAnswer(reason='cut')
        return await real_txn(**txn)  # type: ignore[arg-type,return-value]

    client.txn = cut_first  # type: ignore[assignment,method-assign]
    assert isinstance(await ledger.claim('booking', 'k1'), Refused)
    assert isinstance(await real_txn(**delayed[0]), TxnConflict)  # type: ignore[arg-type]
    assert isinstance(await ledger.claim('booking', 'k1'), Claim)


async def test_claims_of_one_key_at_once_one_wins_and_others_replay(
    ledger: IdempotencyLedger, table: TableService
) -> None:
    """Symptom: two retries of one booking in the same batch both run.

    Sequence: ten claims of one key are made at once while the table loses
    every answer. Cause guarded: merging claims of one row in one write.
    """
    table.faults = Faults(mode='lose_answer')
    outcomes: list[object] = []

    async def claim() -> None:
        outcome = await ledger.claim('booking', 'k1')
        if isinstance(outcome, Claim):
            ledger.record(outcome, DONE)
        outcomes.append(outcome)

    async with anyio.create_task_group() as tasks:
        for _ in range(10):
            tasks.start_soon(claim)
    assert sum(isinstance(outcome, Claim) for outcome in outcomes) == 1
    assert all(isinstance(outcome, Claim | Served | Unknown) for outcome in outcomes)


async def test_many_claims_are_one_write(
    ledger: IdempotencyLedger, batcher: TxnBatcher, table: TableService
) -> None:
    async with anyio.create_task_group() as tasks:
        for index in range(80):
            tasks.start_soon(ledger.claim, 'booking', f'key-{index}')
    assert len(table.rows_by_key) == 80
    assert batcher.sent <= 2


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (b'{"outcome": "refused", "reason": "shed"}', Refused),
        (b'<h1>Bad gateway</h1>', Unknown),
    ],
)
async def test_only_the_endpoints_own_refusal_means_not_run(answer: bytes, kind: type) -> None:
    """Symptom: told "did not run", the caller books again; it ran twice.

    Sequence: an endpoint runs the request, then something between answers
    503 with a page of its own. Cause guarded: any 503 read as a refusal.
    """

    async def unavailable(talk: Conversation) -> None:
        await talk.request()
        await talk.say(b'HTTP/1.1 503 No\r\nContent-Length: %d\r\n\r\n' % len(answer) + answer)

    endpoint = RawEndpoint(script=unavailable)
    async with httpx.AsyncClient() as http, anyio.create_task_group() as tasks:
        await tasks.start(lambda *, task_status: endpoint.run(task_status=task_status))
        loads = LoadBook(http=http, poll_s=1)
        quarantine = Quarantine(
            book=CrashBook(),
            store=MemoryQuarantineStore(),
            is_alone=lambda: False,
            spread=lambda: None,
        )
        forwarder = Forwarder(
            decider=None,  # type: ignore[arg-type]
            loads=loads,
            quarantine=quarantine,
        )
        request = Request('booking', 'POST', 'x', {}, b'', deadline=4e9)
        outcome = await forwarder._send('e0', f'http://{endpoint.address}', request)
        assert isinstance(outcome, kind)
        tasks.cancel_scope.cancel()
