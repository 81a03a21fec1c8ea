"""Spillover: requests that run outside their region because their endpoint is full.

At startup no object is cached and every free slot anywhere is needed, so a
large part of the requests spills over. About two seconds later the own region
has free slots. If all spilled traffic returned at once, more of a region's
traffic would change its region than the traffic shift cap allows; if the
spilled share falls slowly, the shift stays within the cap.

Later spillover is not limited: when demand moves in waves from region to
region, a limit would refuse callers while other regions have free slots.
"""

from plantainloft_node.placement.sliding_window import SlidingWindowCounter

__all__ = ['SpilloverDecayLimiter']


class SpilloverDecayLimiter:
    """Limits how fast the share of spilled requests falls after startup.

    From one window to the next the share falls by at most ``max_decrease``, even if the
    own region has free slots, until it is ``max_decrease`` or less. Ending the limit
    after a fixed time would return the remaining traffic all at once.
    """

    def __init__(self, *, window_s: float) -> None:
        self._requests = SlidingWindowCounter(window_s=window_s)
        self._spilled = SlidingWindowCounter(window_s=window_s)
        self._requests_in_two_windows = SlidingWindowCounter(window_s=2 * window_s)
        self._spilled_in_two_windows = SlidingWindowCounter(window_s=2 * window_s)
        self._window_s = window_s
        self._started_at: float | None = None
        self._is_finished = False

    def record_request(self, now: float, *, spilled: bool) -> None:
        """Count a request that is sent."""
        if self._started_at is None:
            self._started_at = now
        self._requests.add(now)
        self._requests_in_two_windows.add(now)
        if spilled:
            self._spilled.add(now)
            self._spilled_in_two_windows.add(now)

    def spilled_share(self, now: float) -> float:
        """Return the share (0..1) of the last window's requests that spilled over."""
        return self._spilled.count(now) / max(1, self._requests.count(now))

    def decays_too_fast(self, now: float, *, max_decrease: float) -> bool:
        """Return whether the spilled share is falling by more than ``max_decrease``."""
        if self._is_finished or self._started_at is None:
            return False
        previous_requests = self._requests_in_two_windows.count(now) - self._requests.count(now)
        if not previous_requests:
            return False
        previous_spilled = self._spilled_in_two_windows.count(now) - self._spilled.count(now)
        if previous_spilled <= max_decrease * previous_requests:
            # The very first requests find free slots, so a low share in the
            # first windows does not mean that the spillover has ended.
            self._is_finished = now - self._started_at > 2 * self._window_s
            return False
        min_spilled = (previous_spilled / previous_requests - max_decrease) * (
            self._requests.count(now) + 1
        )
        return self._spilled.count(now) + 1 <= min_spilled
