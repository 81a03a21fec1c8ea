"""Windows of counts, and the budget for sending a request once more."""

from collections import deque

__all__ = ['RetryBudget', 'WindowCount']

# Half of the allowance, so that instances that count apart (a new one, one
# just restarted, one that is cut off) still stay within it together.
SAFETY = 0.5


class WindowCount:
    """Counts events in a sliding window of ``window_s`` seconds."""

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event at ``now``."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the events in the window that ends at ``now``."""
        times = self._times
        start = now - self._window_s
        while times and times[0] <= start:
            times.popleft()
        return len(times)


class RetryBudget:
    """Limits the repeats to one service from this instance.

    Without it an overloaded service gets its refusals back as more load:
    one would see arrivals climb while successes fall. Repeats stay under
    a share of the requests of the same window, plus this instance's part
    of a fixed allowance for small services.
    """

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio * SAFETY
        self._extra = extra * SAFETY
        self._requests = WindowCount(window_s=window_s)
        self._repeats = WindowCount(window_s=window_s)

    def note_request(self, now: float) -> None:
        """Count a caller's request for the service."""
        self._requests.add(now)

    def left(self, now: float, *, instances: int) -> float:
        """Return how many repeats may be sent now."""
        allowed = self._ratio * self._requests.count(now) + self._extra / max(1, instances)
        return allowed - self._repeats.count(now)

    def take(self, now: float, *, instances: int) -> bool:
        """Take one repeat from the budget, if there is one."""
        if self.left(now, instances=instances) < 1:
            return False
        self._repeats.add(now)
        return True
