"""Requests that run outside their region because their endpoint is full.

At a start all objects are cold and every free slot anywhere is needed, so
a good part of the requests spills. Two seconds later the own region has
room. Taken back at once, more of a region's traffic changes its region
from one moment to the next than a shift may. Let to fall slowly, it stays
within that.

Later spills are not bounded: with demand that goes in waves from region to
region, a bound has callers refused while there is room elsewhere.
"""

from plantainloft_node.placing.budget import WindowCount

__all__ = ['SpillFall']


class SpillFall:
    """Lets the share of spilled requests fall slowly after a start.

    From one window to the next it falls by ``step`` at most, though the
    own region has room again, until it is no more than ``step``. Ended
    after a fixed time, what is left of it would come back at once.
    """

    def __init__(self, *, window_s: float) -> None:
        self._requests = WindowCount(window_s=window_s)
        self._spilled = WindowCount(window_s=window_s)
        self._requests_of_both = WindowCount(window_s=2 * window_s)
        self._spilled_of_both = WindowCount(window_s=2 * window_s)
        self._window_s = window_s
        self._started_at: float | None = None
        self._has_fallen = False

    def note_request(self, now: float, *, spilled: bool) -> None:
        """Count a request that is sent."""
        if self._started_at is None:
            self._started_at = now
        self._requests.add(now)
        self._requests_of_both.add(now)
        if spilled:
            self._spilled.add(now)
            self._spilled_of_both.add(now)

    def share(self, now: float) -> float:
        """Return the share (0..1) of the last window's requests that spilled."""
        return self._spilled.count(now) / max(1, self._requests.count(now))

    def is_too_fast(self, now: float, *, step: float) -> bool:
        """Return whether the share falls by more than ``step``."""
        if self._has_fallen or self._started_at is None:
            return False
        requests = self._requests_of_both.count(now) - self._requests.count(now)
        if not requests:
            return False
        spilled = self._spilled_of_both.count(now) - self._spilled.count(now)
        if spilled <= step * requests:
            # The very first requests find room; they tell nothing yet.
            self._has_fallen = now - self._started_at > 2 * self._window_s
            return False
        least = (spilled / requests - step) * (self._requests.count(now) + 1)
        return self._spilled.count(now) + 1 <= least
