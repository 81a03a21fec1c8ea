"""Answers of peers that take long to arrive, and what else their connection carries."""

from collections.abc import AsyncIterator
from functools import partial
from socket import SO_RCVBUF, SOL_SOCKET
from typing import Any

import anyio
import msgpack
import pytest
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.streams import PeerConnection, PeerTrafficCounter, serve_peers
from plantainloft_standins.processes import free_port

pytestmark = pytest.mark.anyio

ROW_COUNT = 40
ROW_BYTES = 4000
PIECE_BYTES = 4096
PEER_TIMEOUT_S = 0.4


@pytest.fixture
async def tasks() -> AsyncIterator[TaskGroup]:
    async with anyio.create_task_group() as group:
        yield group
        group.cancel_scope.cancel()


async def relay_slowly(
    source: SocketStream, target: SocketStream, *, bytes_per_s: float | None
) -> None:
    try:
        while True:
            received = await source.receive(PIECE_BYTES)
            if bytes_per_s is not None:
                await anyio.sleep(len(received) / bytes_per_s)
            await target.send(received)
    except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


async def start_slow_path(tasks: TaskGroup, address: str, *, bytes_per_s: float) -> str:
    """Start a relay to ``address`` that returns answers at a limited rate; return its address."""
    host, _, port = address.rpartition(':')
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=0)

    async def serve(caller: SocketStream) -> None:
        peer = await anyio.connect_tcp(host, int(port))
        # Otherwise the answers wait in the buffers of this machine, not at their sender.
        peer.extra(SocketAttribute.raw_socket).setsockopt(SOL_SOCKET, SO_RCVBUF, PIECE_BYTES)
        async with caller, peer, anyio.create_task_group() as directions:
            directions.start_soon(partial(relay_slowly, caller, peer, bytes_per_s=None))
            directions.start_soon(partial(relay_slowly, peer, caller, bytes_per_s=bytes_per_s))

    tasks.start_soon(listener.serve, serve)
    return f'127.0.0.1:{listener.extra(SocketAttribute.local_port)}'


async def connect_to_peer(
    tasks: TaskGroup, handlers: dict[str, Any], *, bytes_per_s: float
) -> PeerConnection:
    address = f'127.0.0.1:{free_port()}'
    traffic = PeerTrafficCounter()
    await tasks.start(partial(serve_peers, peer_traffic=traffic), address, handlers)
    path = await start_slow_path(tasks, address, bytes_per_s=bytes_per_s)
    return PeerConnection(address=path, tasks=tasks, peer_traffic=traffic)


async def answer_with_rows(content: int) -> list[bytes]:
    return [b'x' * ROW_BYTES] * content


async def test_an_answer_of_a_peer_that_arrives_slowly_is_read_to_its_end(
    tasks: TaskGroup,
) -> None:
    """Guards against links that carry the first part of the same rows over and over."""
    total_bytes = ROW_COUNT * ROW_BYTES
    connection = await connect_to_peer(
        tasks, {'rows': answer_with_rows}, bytes_per_s=total_bytes / (3 * PEER_TIMEOUT_S)
    )
    with anyio.fail_after(10):
        rows = await connection.call('rows', ROW_COUNT, timeout_s=PEER_TIMEOUT_S)
    assert rows == await answer_with_rows(ROW_COUNT)


async def test_a_call_that_times_out_does_not_cut_an_answer_that_is_arriving(
    tasks: TaskGroup,
) -> None:
    """Guards against a transfer that starts again since another call on its link got no answer."""

    async def never_answer(_: object) -> None:
        await anyio.sleep_forever()

    total_bytes = ROW_COUNT * ROW_BYTES
    connection = await connect_to_peer(
        tasks,
        {'rows': answer_with_rows, 'probe': never_answer},
        bytes_per_s=total_bytes / (3 * PEER_TIMEOUT_S),
    )
    outcomes: dict[str, Any] = {}

    async def call(kind: str) -> None:
        outcomes[kind] = await connection.call(kind, ROW_COUNT, timeout_s=PEER_TIMEOUT_S)

    with anyio.fail_after(10):
        async with anyio.create_task_group() as calls:
            calls.start_soon(call, 'rows')
            calls.start_soon(call, 'probe')
    assert isinstance(outcomes['probe'], Unreachable)
    assert outcomes['rows'] == await answer_with_rows(ROW_COUNT)


async def test_a_small_answer_does_not_wait_for_a_large_one_before_it(tasks: TaskGroup) -> None:
    """Guards against probes and row changes that time out behind a whole configuration."""
    connection = await connect_to_peer(
        tasks, {'rows': answer_with_rows}, bytes_per_s=ROW_COUNT * ROW_BYTES / 2
    )
    finished: list[int] = []

    async def call(row_count: int) -> None:
        await connection.call('rows', row_count, timeout_s=5)
        finished.append(row_count)

    async with anyio.create_task_group() as calls:
        calls.start_soon(call, 100 * ROW_COUNT)
        await anyio.sleep(0.2)
        calls.start_soon(call, 1)
        with anyio.fail_after(30):
            while not finished:
                await anyio.sleep(0.02)
        assert finished == [1]
        calls.cancel_scope.cancel()


async def test_a_build_that_knows_no_parts_gets_a_large_answer_whole(tasks: TaskGroup) -> None:
    address = f'127.0.0.1:{free_port()}'
    await tasks.start(
        partial(serve_peers, peer_traffic=PeerTrafficCounter()), address, {'rows': answer_with_rows}
    )
    host, _, port = address.rpartition(':')
    unpacker = msgpack.Unpacker()
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(msgpack.packb(['rows', 7, ROW_COUNT]))
        with anyio.fail_after(5):
            while (frame := next(unpacker, None)) is None:
                unpacker.feed(await stream.receive())
    assert frame == ['reply', 7, await answer_with_rows(ROW_COUNT)]


@pytest.mark.parametrize(
    'frame',
    [
        3,
        [],
        ['reply', 1],
        ['reply', [], 'x'],
        ['part', 1, 'no bytes'],
        ['part', 1, None],
        ['last_part', 1, b''],
        ['last_part', 1, b'\xc1'],
        ['last_part', 1, b'\x92\x01'],
    ],
)
async def test_a_malformed_answer_ends_the_call_and_nothing_else(
    tasks: TaskGroup, frame: object
) -> None:
    """Guards against an error of the task that reads answers, which would end the process."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=0)

    async def serve(caller: SocketStream) -> None:
        async with caller:
            await caller.receive()
            await caller.send(msgpack.packb(frame))
            await anyio.sleep_forever()

    tasks.start_soon(listener.serve, serve)
    connection = PeerConnection(
        address=f'127.0.0.1:{listener.extra(SocketAttribute.local_port)}',
        tasks=tasks,
        peer_traffic=PeerTrafficCounter(),
    )
    with anyio.fail_after(5):
        assert isinstance(await connection.call('rows', 1, timeout_s=2), Unreachable)
