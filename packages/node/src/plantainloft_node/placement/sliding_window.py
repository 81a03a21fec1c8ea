"""Counts of events in a sliding window of time."""

from collections import deque

__all__ = ['SlidingWindowCounter']


class SlidingWindowCounter:
    """Counts events in a sliding window of ``window_s`` seconds."""

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event at ``now``."""
        self._times.append(now)
        # Also expire here: if nothing calls ``count``, memory would otherwise
        # grow with every event.
        self._expire(now)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends at ``now``."""
        self._expire(now)
        return len(self._times)

    def remove_newest(self) -> None:
        """Remove the newest event, if there is one."""
        if self._times:
            self._times.pop()

    def time_of(self, index: int) -> float | None:
        """Return the time of the event at ``index`` (0 is the oldest), if it exists."""
        return self._times[index] if 0 <= index < len(self._times) else None

    def __len__(self) -> int:
        """Return the number of stored events."""
        return len(self._times)

    def _expire(self, now: float) -> None:
        start = now - self._window_s
        while self._times and self._times[0] <= start:
            self._times.popleft()
