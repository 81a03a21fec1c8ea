"""An event loop whose clock jumps to the next timer instead of waiting.

Minutes of timers and sleeps pass in the time that the code between them
takes, in the same order at every run. For code that meets no sockets, files
or threads: nothing ever becomes readable here.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

__all__ = ['run_in_virtual_time']

Result = TypeVar('Result')


class _JumpingSelector(selectors.SelectSelector):
    """Tells how long it was to wait, and does not."""

    def __init__(self, pass_time: Callable[[float], None]) -> None:
        super().__init__()
        self._pass_time = pass_time

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError('nothing is left to wait for: all tasks are stuck')
        self._pass_time(timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual_s = 0.0
        super().__init__(_JumpingSelector(self._pass_time))

    def time(self) -> float:
        return self._virtual_s

    def _pass_time(self, seconds: float) -> None:
        self._virtual_s += max(0.0, seconds)


def run_in_virtual_time(main: Callable[[], Coroutine[Any, Any, Result]]) -> Result:
    """Run ``main`` to its end; seconds are virtual, from 0 on.

    Raises ``RuntimeError`` if all tasks wait for something other than time.
    """
    loop = _VirtualLoop()
    try:
        return loop.run_until_complete(main())
    finally:
        loop.close()
