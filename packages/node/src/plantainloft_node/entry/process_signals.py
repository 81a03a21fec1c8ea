"""Signals of the platform: SIGTERM stops the process, SIGHUP reloads the settings."""

import logging
import signal
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager

import anyio

from plantainloft_core.signal_arrival import FirstArrival

__all__ = ['ProcessSignals', 'receive_signals']

log = logging.getLogger(__name__)


class ProcessSignals:
    """The signals that the process receives, in order."""

    def __init__(
        self, *, signals: AsyncIterator[signal.Signals], stop_request: FirstArrival
    ) -> None:
        self._signals = signals
        self._stop_request = stop_request

    async def wait_for_stop(self, *, on_reload: Callable[[], None]) -> float:
        """Wait for SIGTERM and return when it arrived; call ``on_reload`` at each SIGHUP before it.

        The time is monotonic. It comes before the return by the delay of the event loop.
        """
        async for received in self._signals:
            if received == signal.SIGTERM:
                break
            on_reload()
        return self._stop_request.record()

    async def log_ignored(self) -> None:
        """Log the signals that come while the process stops; none of them changes the stop."""
        async for received in self._signals:
            log.info(
                'Entry: %s ignored while stopping.',
                received.name,
                extra={'kind': 'stop', 'fields': {'signal': received.name}},
            )


@contextmanager
def receive_signals() -> Iterator[ProcessSignals]:
    """Handle the signals within the context.

    The handlers must stay installed until the process has stopped. Without them, a second
    SIGTERM or a SIGHUP would have its default effect and end the process at once, with
    requests still in progress. Afterwards, both are ignored.
    """
    try:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            stop_request = FirstArrival(signal.SIGTERM)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
            yield ProcessSignals(signals=signals, stop_request=stop_request)
    finally:
        # Blocking the signals would not be enough: other threads would still receive them.
        for ignored in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(ignored, signal.SIG_IGN)
