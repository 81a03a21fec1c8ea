"""The server of the product's own programs."""

import os
import signal
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio
import pytest

from plantainloft_core.serving import serve_until_signal

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def signal_handlers() -> Iterator[None]:
    """Restore the handling of SIGTERM, which a server leaves ignored."""
    before = signal.getsignal(signal.SIGTERM)
    yield
    signal.signal(signal.SIGTERM, before)


async def app(
    scope: dict[str, Any],
    receive: Callable[[], Awaitable[dict[str, Any]]],
    send: Callable[[dict[str, Any]], Awaitable[None]],
) -> None:
    while scope['type'] == 'lifespan':
        event = (await receive())['type']
        await send({'type': f'{event}.complete'})
        if event == 'lifespan.shutdown':
            return


async def test_the_server_returns_to_its_caller_after_a_stop() -> None:
    """Guards against a cancellation that skips what a process does after its last request."""
    events: list[str] = []

    async def record_stop(_: float) -> None:
        events.append('stop')

    async def stop_soon() -> None:
        await anyio.sleep(0.5)
        os.kill(os.getpid(), signal.SIGTERM)
        await anyio.sleep(0.1)
        os.kill(os.getpid(), signal.SIGTERM)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stop_soon)
        with anyio.fail_after(10):
            await serve_until_signal(app, bind='127.0.0.1:0', grace_s=1.0, on_stop=record_stop)
        events.append('returned')
        await anyio.sleep(0.3)
    assert events == ['stop', 'returned']


async def test_a_slow_start_of_a_stop_takes_its_time_from_the_grace_period() -> None:
    """Guards against a process that is killed, as the parts of its stop add up to more."""
    with socket.socket() as free:
        free.bind(('127.0.0.1', 0))
        port = free.getsockname()[1]
    events: list[str] = []

    async def hang(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope['type'] == 'lifespan':
            await app(scope, receive, send)
            return
        os.kill(os.getpid(), signal.SIGTERM)
        try:
            await anyio.sleep_forever()
        finally:
            events.append('cut')

    async def leave(requested_at: float) -> None:
        await anyio.sleep_until(requested_at + 1.5)
        events.append('left')
        tasks.start_soon(record_later, requested_at + 3.0)

    async def record_later(at: float) -> None:
        await anyio.sleep_until(at)
        events.append('killed')

    async def send_request() -> None:
        await anyio.sleep(0.5)
        async with await anyio.connect_tcp('127.0.0.1', port) as stream:
            await stream.send(b'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n')
            await anyio.sleep(4.0)

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_request)
            await serve_until_signal(hang, bind=f'127.0.0.1:{port}', grace_s=2.0, on_stop=leave)
    assert events == ['left', 'cut', 'killed']
