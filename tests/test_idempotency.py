"""At-most-once execution and truthful refusals under failures of the table."""

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest
from entry_fixtures import ScriptedConnection, ScriptedEndpoint
from own_forwarders import OwnNode, PeerNetwork

from plantainloft_core.model import Endpoint
from plantainloft_core.outcomes import Refused, Served, Unknown
from plantainloft_core.table_client import LostResponse, TableClient, TxnCommitted, TxnConflict
from plantainloft_core.txn_batching import TxnBatcher
from plantainloft_node.idempotency import IdempotencyStore, KeyClaim
from plantainloft_node.node_requests import Request
from plantainloft_standins.faults import Faults
from plantainloft_standins.table import TableService

pytestmark = pytest.mark.anyio

ANSWER = Served(status=200, body=b'booked', endpoint='e0')
ROW_KEY = 'idem/booking/k1'


@pytest.fixture
async def batcher(table_client: TableClient) -> AsyncIterator[TxnBatcher]:
    batcher = TxnBatcher(client=table_client, min_interval_s=0.01)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(batcher.run)
        yield batcher
        tasks.cancel_scope.cancel()


@pytest.fixture
def idempotency_store(table_client: TableClient, batcher: TxnBatcher) -> IdempotencyStore:
    return IdempotencyStore(client=table_client, batcher=batcher, node='n1')


async def test_refused_request_may_be_claimed_again(idempotency_store: IdempotencyStore) -> None:
    """Failure: a booking that was refused as "did not run" can never be made.

    The node claims the key, has no capacity and refuses. If the claim stays open, the
    caller's retry with the same key never runs.
    """
    claim = await idempotency_store.claim('booking', 'k1')
    assert isinstance(claim, KeyClaim)
    await idempotency_store.release(claim)
    assert isinstance(await idempotency_store.claim('booking', 'k1'), KeyClaim)


async def test_superseded_claim_cannot_change_the_row(
    idempotency_store: IdempotencyStore, batcher: TxnBatcher, table: TableService
) -> None:
    """Failure: a node that was paused overwrites the claim of another one.

    The node releases its claim and is paused. A retry claims the key, then the first
    node resumes as if it still held the claim and records an answer. The record must
    be conditional on the version of the claim.
    """
    superseded = await idempotency_store.claim('booking', 'k1')
    assert isinstance(superseded, KeyClaim)
    await idempotency_store.release(superseded)
    current = await idempotency_store.claim('booking', 'k1')
    assert isinstance(current, KeyClaim) and current.version > superseded.version
    idempotency_store.record(superseded, ANSWER)
    await batcher.flush(timeout_s=5)
    assert table.rows_by_key[ROW_KEY][1]['state'] == 'started'


async def test_delayed_claim_write_fails_after_a_refusal(
    table_client: TableClient, idempotency_store: IdempotencyStore, table: TableService
) -> None:
    """Failure: the key of a refused booking stays claimed, its outcome unknown.

    The answer to the claim is lost, the row read back is absent and the node refuses.
    Then the delayed write reaches the table. The node must change the version of the
    row before it refuses, so that the delayed write fails.
    """
    delayed: list[dict[str, dict[str, object]]] = []
    original_commit = table_client.commit_transaction

    async def lose_first_response(
        **txn: dict[str, object],
    ) -> TxnCommitted | TxnConflict | LostResponse:
        if not delayed:
            delayed.append(txn)
            return LostResponse(reason='cut')
        return await original_commit(**txn)  # type: ignore[arg-type,return-value]

    table_client.commit_transaction = lose_first_response  # type: ignore[assignment,method-assign]
    assert isinstance(await idempotency_store.claim('booking', 'k1'), Refused)
    assert isinstance(await original_commit(**delayed[0]), TxnConflict)  # type: ignore[arg-type]
    assert isinstance(await idempotency_store.claim('booking', 'k1'), KeyClaim)


async def test_only_one_of_concurrent_claims_of_a_key_succeeds(
    idempotency_store: IdempotencyStore, table: TableService
) -> None:
    """Failure: two retries of one booking in the same batch both run.

    Ten claims of one key are made concurrently while the table loses every answer.
    The batcher must not merge claims of the same row into one write.
    """
    table.faults = Faults(mode='lose_answer')
    outcomes: list[object] = []

    async def claim() -> None:
        outcome = await idempotency_store.claim('booking', 'k1')
        if isinstance(outcome, KeyClaim):
            idempotency_store.record(outcome, ANSWER)
        outcomes.append(outcome)

    async with anyio.create_task_group() as tasks:
        for _ in range(10):
            tasks.start_soon(claim)
    assert sum(isinstance(outcome, KeyClaim) for outcome in outcomes) == 1
    assert all(isinstance(outcome, KeyClaim | Served | Unknown) for outcome in outcomes)


async def test_concurrent_claims_are_batched(
    idempotency_store: IdempotencyStore, batcher: TxnBatcher, table: TableService
) -> None:
    async with anyio.create_task_group() as tasks:
        for index in range(80):
            tasks.start_soon(idempotency_store.claim, 'booking', f'key-{index}')
    assert len(table.rows_by_key) == 80
    assert batcher.batches_sent <= 2


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (b'{"outcome": "refused", "reason": "shed"}', Refused),
        (b'<h1>Bad gateway</h1>', Unknown),
    ],
)
async def test_only_a_refusal_by_the_endpoint_means_not_run(answer: bytes, kind: type) -> None:
    """Failure: a request that already ran is refused as "did not run" and runs twice.

    The endpoint runs the request, then an intermediary answers 503 with a page of
    its own. Only a 503 that states the endpoint's refusal proves that nothing ran.
    """

    async def answer_unavailable(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(
            b'HTTP/1.1 503 No\r\nContent-Length: %d\r\n\r\n' % len(answer) + answer
        )

    endpoint = ScriptedEndpoint(script=answer_unavailable)
    async with httpx.AsyncClient() as http, anyio.create_task_group() as tasks:
        await tasks.start(lambda *, task_status: endpoint.run(task_status=task_status))
        node = OwnNode(name='e1', network=PeerNetwork(), endpoints=[], http=http)
        request = Request('booking', 'POST', 'x', {}, b'', deadline=4e9)
        outcome = await node.forwarder._send_to_endpoint(
            Endpoint('e0', 'booking', 'r', 'z', f'http://{endpoint.address}', 4, 'active'), request
        )
        assert isinstance(outcome, kind)
        tasks.cancel_scope.cancel()


async def test_a_key_that_the_table_has_lost_is_not_claimed_again(
    idempotency_store: IdempotencyStore,
    batcher: TxnBatcher,
    table: TableService,
    table_client: TableClient,
) -> None:
    """Failure: a booking runs twice because its key was claimed in lost seconds."""
    transport = table_client._http._transport
    other_client = TableClient(base_url='http://table', timeout_s=1.0, transport=transport)
    other_batcher = TxnBatcher(client=other_client, min_interval_s=0.01)
    other = IdempotencyStore(client=other_client, batcher=other_batcher, node='n2')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(other_batcher.run)
        tasks.start_soon(idempotency_store.recovery.run)
        table.take_copy()
        assert isinstance(await other.claim('booking', 'k0'), KeyClaim)
        assert isinstance(await idempotency_store.claim('booking', 'k1'), KeyClaim)
        table.return_from_copy()
        assert isinstance(await other.claim('booking', 'k1'), Refused)
        await table_client.get('config/head')
        outcome: object = Refused(reason='', retry_after_s=1)
        with anyio.fail_after(8):
            while isinstance(outcome, Refused):
                await anyio.sleep(0.2)
                outcome = await other.claim('booking', 'k1')
        assert isinstance(outcome, Unknown)
        tasks.cancel_scope.cancel()
    await other_client.close()


async def test_a_claim_of_an_earlier_era_changes_no_row(
    idempotency_store: IdempotencyStore,
    batcher: TxnBatcher,
    table: TableService,
    table_client: TableClient,
) -> None:
    """Failure: a refused request releases the claim of another one, which then runs twice."""
    table.take_copy()
    claim = await idempotency_store.claim('booking', 'k1')
    assert isinstance(claim, KeyClaim)
    table.return_from_copy()
    row = {'state': 'started', 'node': 'n2', 'claim_id': 'other'}
    await table_client.commit_transaction(conditions={}, writes={ROW_KEY: row})
    assert table.rows_by_key[ROW_KEY][0] == claim.version
    await idempotency_store.release(claim)
    idempotency_store.record(claim, ANSWER)
    await batcher.flush(timeout_s=5)
    assert table.rows_by_key[ROW_KEY] == (claim.version, row)
