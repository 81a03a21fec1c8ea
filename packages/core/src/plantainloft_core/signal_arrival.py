"""Notice signals when they arrive, before the event loop gets to handle them."""

import signal
import time
from collections.abc import Callable
from types import FrameType

__all__ = ['FirstArrival']


class FirstArrival:
    """When the first one of ``signals`` arrives; their handlers are already installed."""

    def __init__(self, *signals: signal.Signals) -> None:
        self._arrived_at: float | None = None
        for number in signals:
            _call_at_signal(number, self.record)

    def record(self) -> float:
        """Record that one of the signals has arrived; return when the first did (monotonic)."""
        if self._arrived_at is None:
            self._arrived_at = time.monotonic()
        return self._arrived_at


def _call_at_signal(number: signal.Signals, callback: Callable[[], object]) -> None:
    """Call ``callback`` when the signal arrives, and then the handler that is installed now."""
    handler = signal.getsignal(number)

    def handle(signum: int, frame: FrameType | None) -> None:
        callback()
        if callable(handler):
            handler(signum, frame)

    signal.signal(number, handle)
    # System calls go on after the signal, as with the handlers of the event loop.
    signal.siginterrupt(number, False)
