"""An event loop whose clock jumps to the next timer instead of waiting.

Minutes of timers and sleeps pass in the time that the code between them
takes, and in the same order in every run. Only for code that uses no sockets,
files or threads: no file descriptor ever becomes ready on this loop.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

__all__ = ['run_in_virtual_time']

Result = TypeVar('Result')


class _NonBlockingSelector(selectors.SelectSelector):
    """Reports the requested timeout to `advance` and returns without blocking."""

    def __init__(self, advance: Callable[[float], None]) -> None:
        super().__init__()
        self._advance = advance

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError('deadlock: every task waits for something other than time')
        self._advance(timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual_s = 0.0
        super().__init__(_NonBlockingSelector(self._advance))

    def time(self) -> float:
        return self._virtual_s

    def _advance(self, seconds: float) -> None:
        self._virtual_s += max(0.0, seconds)


def run_in_virtual_time(main: Callable[[], Coroutine[Any, Any, Result]]) -> Result:
    """Run ``main`` to completion; the virtual clock starts at 0 seconds.

    Raises ``RuntimeError`` if all tasks wait for something other than time.
    """
    loop = _VirtualLoop()
    try:
        return loop.run_until_complete(main())
    finally:
        loop.close()
