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

from plantainloft_core.signal_arrival import call_at_signal

__all__ = ['serve_until_signal']

log = logging.getLogger(__name__)


class _Stop:
    """A stop of the server: when its signal arrived, and whether the server may end."""

    def __init__(self) -> None:
        self.may_end = anyio.Event()
        self.requested_at: float | None = None

    def record_request(self) -> None:
        """Keep the time of the first signal."""
        if self.requested_at is None:
            self.requested_at = time.monotonic()


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
    stop = _Stop()

    async def run_stop(requested_at: float) -> None:
        if on_stop is not None:
            await on_stop(requested_at)
        # Read by the server once it has been told to end.
        config.graceful_timeout = max(0.0, requested_at + grace_s - time.monotonic())

    with _receive_stop_signals(stop) as signals:
        async with anyio.create_task_group() as tasks:
            watching = anyio.CancelScope()
            tasks.start_soon(_stop_at_first, signals, stop, run_stop, watching)
            await serve(app, config, shutdown_trigger=stop.may_end.wait)
            # Cancelling the whole task group here would cancel this task as well.
            watching.cancel()


@contextmanager
def _receive_stop_signals(stop: _Stop) -> Iterator[AsyncIterator[signal.Signals]]:
    # Without its handler, another signal would end the process with requests in progress.
    try:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            for number in (signal.SIGTERM, signal.SIGINT):
                call_at_signal(number, stop.record_request)
            yield signals
    finally:
        # What is left of the process ends by itself. Blocking the signal would not be
        # enough: other threads would still receive it.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)


async def _stop_at_first(
    signals: AsyncIterator[signal.Signals],
    stop: _Stop,
    run_stop: Callable[[float], Awaitable[None]],
    scope: anyio.CancelScope,
) -> None:
    with scope:
        async for signum in signals:
            if stop.may_end.is_set():
                log.info('Serve: signal %s ignored while shutting down.', signum)
                continue
            log.info('Serve: received signal %s, shutting down gracefully.', signum)
            await run_stop(stop.requested_at or time.monotonic())
            stop.may_end.set()
