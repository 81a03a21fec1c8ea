"""The retry budget of one service: how many retries this instance may send."""

from typing import NamedTuple

from plantainloft_node.placement.sliding_window import SlidingWindowCounter

__all__ = ['RetryAllowance', 'RetryBudget']

# Fractions of the allowance that are distributed among instances. Each
# instance retries in proportion to its own requests, so these parts sum to
# the total without coordination. The remainder covers windows that start
# between two counts.
RATIO_FRACTION = 0.85
# A restarted instance has forgotten what it sent and gets its part of the
# fixed allowance again, so every instance may use its part twice in a window.
FIXED_FRACTION = 0.5


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

    def request_count(self, now: float) -> int:
        """Return the number of callers' requests in the window that ends now."""
        return self._requests.count(now)

    def retry_count(self, now: float) -> int:
        """Return the number of retries in the window that ends now."""
        return self._retries.count(now)

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
