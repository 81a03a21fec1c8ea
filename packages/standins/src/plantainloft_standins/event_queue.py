"""Virtual time that advances from event to event."""

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

__all__ = ['EventQueue']


class _Event(NamedTuple):
    at: float
    number: int
    callback: Callable[[], None]


class EventQueue:
    """Runs callbacks in the order of their times; ``now`` is in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = itertools.count()
        self._events: list[_Event] = []

    def next_number(self) -> int:
        """Return a number that was not returned before."""
        return next(self._numbers)

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` after ``seconds`` of virtual time."""
        event = _Event(self.now + seconds, self.next_number(), callback)
        heapq.heappush(self._events, event)

    def run_for(self, seconds: float) -> None:
        """Advance virtual time, running the events that fall due."""
        end_s = self.now + seconds
        while self._events and self._events[0].at <= end_s:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.callback()
        self.now = end_s
