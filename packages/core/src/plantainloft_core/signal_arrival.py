"""Notice signals when they arrive, before the event loop gets to handle them."""

import signal
from collections.abc import Callable
from types import FrameType

__all__ = ['call_at_signal']


def call_at_signal(number: signal.Signals, callback: Callable[[], None]) -> None:
    """Call ``callback`` when the signal arrives, and then the handler that is installed now."""
    handler = signal.getsignal(number)

    def handle(signum: int, frame: FrameType | None) -> None:
        callback()
        if callable(handler):
            handler(signum, frame)

    signal.signal(number, handle)
    # System calls go on after the signal, as with the handlers of the event loop.
    signal.siginterrupt(number, False)
