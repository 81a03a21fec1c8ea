"""Serve an ASGI application with hypercorn until SIGTERM or SIGINT.

A planned stop must not abort requests in flight. On the signal, ``on_stop``
runs, in which a node tells the others that it is leaving. Then the server
stops accepting requests and waits for those in flight. Both parts together
take at most ``grace_s`` from the arrival of the signal.
"""

import logging
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from plantainloft_core.signal_arrival import FirstArrival

__all__ = ['serve_until_signal']

log = logging.getLogger(__name__)


async def serve_until_signal(
    app: Any,
    *,
    bind: str,
    grace_s: float,
    on_stop: Callable[[float], Awaitable[None]] | None = None,
) -> None:
    """Serve ``app`` on ``bind`` (``host:port``) until a stop signal.

    Requests that are still open ``grace_s`` seconds after the signal arrived are cut. ``on_stop``
    gets the time at which it arrived (monotonic).
    """
    config = Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = logging.getLogger('hypercorn.error')
    may_end = anyio.Event()

    async def run_stop(requested_at: float) -> None:
        if on_stop is not None:
            await on_stop(requested_at)
        # Read by the server when it ends.
        config.graceful_timeout = max(0.0, requested_at + grace_s - time.monotonic())

    with _receive_stop_signals() as signals:
        arrival = FirstArrival(signal.SIGTERM, signal.SIGINT)
        async with anyio.create_task_group() as tasks:
            watching = anyio.CancelScope()
            tasks.start_soon(_stop_at_first, signals, arrival, run_stop, may_end, watching)
            await serve(app, config, shutdown_trigger=may_end.wait)
            # Cancelling the whole task group here would cancel this task as well.
            watching.cancel()


@contextmanager
def _receive_stop_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    # Without its handler, another signal would end the process with requests in progress.
    try:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            yield signals
    finally:
        # What is left of the process ends by itself. Blocking the signal would not be
        # enough: other threads would still receive it.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)


async def _stop_at_first(
    signals: AsyncIterator[signal.Signals],
    arrival: FirstArrival,
    run_stop: Callable[[float], Awaitable[None]],
    may_end: anyio.Event,
    scope: anyio.CancelScope,
) -> None:
    with scope:
        async for signum in signals:
            if may_end.is_set():
                log.info('Serve: signal %s ignored while shutting down.', signum)
                continue
            log.info('Serve: received signal %s, shutting down gracefully.', signum)
            await run_stop(arrival.record())
            may_end.set()
