"""Answers that take long to arrive because of their size, from the store."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketStream, TaskGroup
from entry_fixtures import ScriptedConnection, ScriptedEndpoint

from plantainloft_core.outcomes import Unreachable
from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition
from plantainloft_node.replica.store_rows import DECLARATIONS, RowBatch
from plantainloft_platform.store import CALL_TIMEOUT_S, PlatformStore

pytestmark = pytest.mark.anyio

ROW_COUNT = 40
ROW_BYTES = 4000
PIECE_BYTES = 4096


@pytest.fixture
async def tasks() -> AsyncIterator[TaskGroup]:
    async with anyio.create_task_group() as group:
        yield group
        group.cancel_scope.cancel()


def feed_body() -> bytes:
    rows = [
        {'key': f'k{number}', 'ver': 1, 'value': 'A' * ROW_BYTES} for number in range(ROW_COUNT)
    ]
    return json.dumps({'ver': 1, 'now': '1ms', 'rows': rows}).encode()


async def poll_store_that_sends(
    tasks: TaskGroup, send_body: Callable[[ScriptedConnection, bytes], Awaitable[None]]
) -> object:
    """Return the outcome of a poll that a store answers by ``send_body``."""

    async def answer(connection: ScriptedConnection) -> None:
        await connection.read_request()
        body = feed_body()
        await connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body))
        await send_body(connection, body)

    endpoint = ScriptedEndpoint(script=answer)
    await tasks.start(lambda *, task_status: endpoint.run(task_status=task_status))
    store = PlatformStore(address=endpoint.address)
    position = StorePosition(UNKNOWN_ERA, 0)
    with anyio.fail_after(10):
        return await store.changes_after(DECLARATIONS, after=position, poll_wait_s=0.0)


async def test_an_answer_of_the_store_that_arrives_slowly_is_read_to_its_end(
    tasks: TaskGroup,
) -> None:
    """Guards against large configurations that are cut and read from the start for ever."""

    async def send_slowly(connection: ScriptedConnection, body: bytes) -> None:
        for start in range(0, len(body), PIECE_BYTES):
            await connection.send(body[start : start + PIECE_BYTES])
            await anyio.sleep(2 * CALL_TIMEOUT_S * PIECE_BYTES / len(body))

    outcome = await poll_store_that_sends(tasks, send_slowly)
    assert isinstance(outcome, RowBatch)
    assert len(outcome.rows) == ROW_COUNT


@pytest.mark.parametrize('trickles', [False, True])
async def test_an_answer_of_the_store_that_makes_no_progress_is_given_up(
    tasks: TaskGroup, trickles: bool
) -> None:
    async def stall(connection: ScriptedConnection, body: bytes) -> None:
        await connection.send(body[:PIECE_BYTES])
        while trickles:
            await connection.send(b'A')
            await anyio.sleep(CALL_TIMEOUT_S / 10)
        await anyio.sleep_forever()

    outcome = await poll_store_that_sends(tasks, stall)
    assert isinstance(outcome, Unreachable)


async def test_a_connection_to_the_store_over_a_full_link_is_waited_for(
    tasks: TaskGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a store that counts as lost whenever a poll begins again on a busy link."""

    async def answer(connection: ScriptedConnection) -> None:
        await connection.read_request()
        body = feed_body()
        await connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body)

    connect_tcp = anyio.connect_tcp

    async def connect_late(host: str, port: int) -> SocketStream:
        await anyio.sleep(CALL_TIMEOUT_S / 2)
        return await connect_tcp(host, port)

    endpoint = ScriptedEndpoint(script=answer)
    await tasks.start(lambda *, task_status: endpoint.run(task_status=task_status))
    monkeypatch.setattr(anyio, 'connect_tcp', connect_late)
    assert await PlatformStore(address=endpoint.address).probe() is None
