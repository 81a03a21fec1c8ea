"""The retry budget of one service: how many retries this instance may send.

In any window, all instances together may send a ratio of the callers' requests and some
fixed retries. Each instance keeps a part of that by itself, whatever happens to the others:

- Each request earns a fraction of a retry. Little of it is stored, so that nearly all that
  is sent in a window was earned in it.
- A fixed number of retries may be sent in advance of what requests earn. Each is paid for
  by what is earned later, or is free again after a window.

A process that starts has forgotten what the one before it has sent. So it begins with
nothing stored, and sends no retries in advance before a whole window has passed.
"""

import math
from typing import NamedTuple

from plantainloft_node.placement.sliding_window import SlidingWindowCounter

__all__ = ['RetryAllowance', 'RetryBudget']

# The fraction of the ratio that requests earn. The rest covers retries that are held up on
# the way and arrive together with those of a later moment.
RATIO_FRACTION = 0.9
# The fraction of the fixed retries that is divided among instances.
FIXED_FRACTION = 0.95
# Retries that an instance can store; fewer than one could never be sent.
MIN_STORED = 1.0


class RetryAllowance(NamedTuple):
    """Retries allowed to one service per window, over all instances.

    The allowance is ``ratio`` times the requests of the window plus ``fixed_retries``
    retries, which are divided among ``instances``; 0 while their number is unknown.
    """

    ratio: float
    fixed_retries: float
    instances: int

    @property
    def part(self) -> float:
        """The part of the fixed retries that belongs to each instance."""
        if not self.instances:
            return 0.0
        return FIXED_FRACTION * self.fixed_retries / self.instances

    @property
    def max_stored(self) -> float:
        """The most retries that an instance may store."""
        return max(MIN_STORED, self.part - self.max_advance)

    @property
    def max_advance(self) -> int:
        """The most retries that an instance may send in advance."""
        return max(0, math.floor(self.part - MIN_STORED))


class RetryBudget:
    """Limits the retries that this instance sends to one service.

    Without a budget, requests that an overloaded service refuses return to it as
    retries: its load rises while successes fall.
    """

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._requests = SlidingWindowCounter(window_s=window_s)
        self._retries = SlidingWindowCounter(window_s=window_s)
        # Retries sent in advance that are not paid for.
        self._advance = SlidingWindowCounter(window_s=window_s)
        self._stored = 0.0

    def record_request(self, now: float, allowance: RetryAllowance) -> None:
        """Count a caller's request for the service, and store or pay with what it earns."""
        self._requests.add(now)
        self._add(now, allowance, RATIO_FRACTION * allowance.ratio)

    def request_count(self, now: float) -> int:
        """Return the number of callers' requests in the window that ends now."""
        return self._requests.count(now)

    def retry_count(self, now: float) -> int:
        """Return the number of retries in the window that ends now."""
        return self._retries.count(now)

    def max_retries(self, now: float, allowance: RetryAllowance, *, uptime_s: float) -> float:
        """Return the most retries that the window that ends now allows this instance."""
        earned = RATIO_FRACTION * allowance.ratio * self._requests.count(now)
        if allowance.part < MIN_STORED:
            return max(0.0, earned - MIN_STORED + allowance.part)
        in_advance = allowance.max_advance if uptime_s >= self._window_s else 0
        return earned + in_advance

    def remaining(self, now: float, allowance: RetryAllowance, *, uptime_s: float) -> int:
        """Return the number of retries that may be sent now.

        ``uptime_s`` is the time since the process started.
        """
        if not self._covers_stored(now, allowance):
            return 0
        in_advance = 0
        if uptime_s >= self._window_s:
            in_advance = max(0, allowance.max_advance - self._advance.count(now))
        return math.floor(self._stored) + in_advance

    def try_acquire(self, now: float, allowance: RetryAllowance, *, uptime_s: float) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if not self.remaining(now, allowance, uptime_s=uptime_s):
            return False
        if self._stored >= 1:
            self._stored -= 1
        else:
            self._advance.add(now)
        self._retries.add(now)
        return True

    def release(self, now: float, allowance: RetryAllowance) -> None:
        """Give one retry back that was acquired and not sent."""
        self._retries.remove_newest()
        self._add(now, allowance, 1.0)

    def _add(self, now: float, allowance: RetryAllowance, retries: float) -> None:
        """Store ``retries``, or pay with them for one that was sent in advance."""
        self._stored += retries
        if self._stored > allowance.max_stored and self._advance.count(now):
            self._advance.remove_newest()
            self._stored -= 1
        self._stored = min(allowance.max_stored, self._stored)

    def _covers_stored(self, now: float, allowance: RetryAllowance) -> bool:
        """Return whether the allowance covers one more retry that was stored.

        With more instances than fixed retries, the parts don't cover what all may have
        stored; the requests of the last window have to.
        """
        if allowance.part >= MIN_STORED:
            return True
        return self._retries.count(now) + 1 <= self.max_retries(now, allowance, uptime_s=0.0)
