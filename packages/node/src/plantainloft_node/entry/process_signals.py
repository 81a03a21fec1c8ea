"""Signals of the platform: SIGTERM stops the process, SIGHUP reloads the settings."""

import logging
import signal
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager

import anyio

from plantainloft_core.signal_arrival import call_at_signal

__all__ = ['ProcessSignals', 'receive_signals']

log = logging.getLogger(__name__)


class ProcessSignals:
    """The signals that the process receives, in order."""

    def __init__(self, *, signals: AsyncIterator[signal.Signals]) -> None:
        self._signals = signals
        self._stop_requested_at: float | None = None

    def record_stop_request(self) -> None:
        """Keep the time of the first SIGTERM; called when it arrives."""
        if self._stop_requested_at is None:
            self._stop_requested_at = time.monotonic()

    async def wait_for_stop(self, *, on_reload: Callable[[], None]) -> float:
        """Wait for SIGTERM and return when it arrived; call ``on_reload`` at each SIGHUP before it.

        The time is monotonic. It comes before the return by the delay of the event loop.
        """
        async for received in self._signals:
            if received == signal.SIGTERM:
                break
            on_reload()
        self.record_stop_request()
        assert self._stop_requested_at is not None
        return self._stop_requested_at

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
            process_signals = ProcessSignals(signals=signals)
            call_at_signal(signal.SIGTERM, process_signals.record_stop_request)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
            yield process_signals
    finally:
        # Blocking the signals would not be enough: other threads would still receive them.
        for ignored in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(ignored, signal.SIG_IGN)
