"""Sliding-window event counters and the retry budget of a service."""

from collections import deque
from typing import NamedTuple

__all__ = ['RetryAllowance', 'RetryBudget', 'SlidingWindowCounter']

# Fractions of the allowance that are distributed among instances. Each
# instance retries in proportion to its own requests, so these parts sum to
# the total without coordination. The remainder covers windows that start
# between two counts.
RATIO_FRACTION = 0.85
# A restarted instance has forgotten what it sent and gets its part of the
# fixed allowance again, so every instance may use its part twice in a window.
FIXED_FRACTION = 0.5


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


class RetryAllowance(NamedTuple):
    """Retries allowed to one service per window, over all instances.

    The allowance is ``ratio`` times the requests of the window plus ``fixed_retries``
    retries, which are divided among ``instances``.
    """

    ratio: float
    fixed_retries: float
    instances: int


class RetryBudget:
    """Limits the retries that this instance sends to one service.

    Without a budget, requests that an overloaded service refuses return to it as
    retries: its load rises while successes fall. Retries stay below a ratio of
    the requests of the same window, plus this instance's part of a fixed
    allowance for services with few requests.
    """

    def __init__(self, *, window_s: float) -> None:
        self._requests = SlidingWindowCounter(window_s=window_s)
        self._retries = SlidingWindowCounter(window_s=window_s)

    def record_request(self, now: float) -> None:
        """Count a caller's request for the service."""
        self._requests.add(now)

    def remaining(self, now: float, allowance: RetryAllowance) -> float:
        """Return the number of retries that may be sent now."""
        instances = max(1, allowance.instances)
        fixed = FIXED_FRACTION * allowance.fixed_retries / instances
        allowed = RATIO_FRACTION * allowance.ratio * self._requests.count(now) + fixed
        return allowed - self._retries.count(now)

    def try_acquire(self, now: float, allowance: RetryAllowance) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if self.remaining(now, allowance) < 1:
            return False
        self._retries.add(now)
        return True
