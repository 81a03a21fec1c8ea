"""The server of the product's own programs."""

import os
import signal
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

    async def record_stop() -> None:
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
