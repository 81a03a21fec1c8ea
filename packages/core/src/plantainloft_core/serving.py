"""Serve an ASGI application with hypercorn until SIGTERM or SIGINT.

A planned stop must not abort requests in flight. On the signal, ``on_stop``
runs, in which a node tells the others that it is leaving. Then the server
stops accepting requests and waits up to ``grace_s`` for those in flight.
"""

import logging
import signal
from collections.abc import Awaitable, Callable
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

    async def watch_signals() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for signum in signals:
                log.info('Serve: received signal %s, shutting down gracefully.', signum)
                if on_stop is not None:
                    await on_stop()
                stopping.set()
                return

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals)
        await serve(app, config, shutdown_trigger=stopping.wait)
        tasks.cancel_scope.cancel()
