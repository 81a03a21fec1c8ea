"""Serve an ASGI application with hypercorn until SIGTERM or SIGINT.

A planned stop must not abort requests in flight. On the signal, ``on_stop``
runs, in which a node tells the others that it is leaving. Then the server
stops accepting requests and waits up to ``grace_s`` for those in flight.
"""

import logging
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

__all__ = ['serve_until_signal']

log = logging.getLogger(__name__)


async def serve_until_signal(
    app: Any,
    *,
    bind: str,
    grace_s: float,
    on_stop: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serve ``app`` on ``bind`` (``host:port``) until a stop signal."""
    config = Config()
    config.bind = [bind]
    config.graceful_timeout = grace_s
    config.accesslog = None
    config.errorlog = logging.getLogger('hypercorn.error')
    stopping = anyio.Event()
    with _receive_stop_signals() as signals:
        async with anyio.create_task_group() as tasks:
            watching = anyio.CancelScope()
            tasks.start_soon(_stop_at_first, signals, stopping, on_stop, watching)
            await serve(app, config, shutdown_trigger=stopping.wait)
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
    stopping: anyio.Event,
    on_stop: Callable[[], Awaitable[None]] | None,
    scope: anyio.CancelScope,
) -> None:
    with scope:
        async for signum in signals:
            if stopping.is_set():
                log.info('Serve: signal %s ignored while shutting down.', signum)
                continue
            log.info('Serve: received signal %s, shutting down gracefully.', signum)
            if on_stop is not None:
                await on_stop()
            stopping.set()
