"""How long requests take, by route."""

from collections import Counter

__all__ = ['RequestDurations']

# Durations count for one to two of these periods.
PERIOD_S = 30.0
# The longest of fewer durations says little about the next one.
MIN_SAMPLES = 20


class RequestDurations:
    """The longest recent duration of a route's requests, in seconds.

    It covers the time from the head of a request to the end of its response, of requests
    that were sent to an endpoint.
    """

    def __init__(self) -> None:
        self._longest_by_route: dict[str, float] = {}
        self._previous_longest_by_route: dict[str, float] = {}
        self._count_by_route: Counter[str] = Counter()
        self._previous_count_by_route: Counter[str] = Counter()
        self._period_ends_at = float('-inf')

    def record(self, route: str, duration_s: float, now: float) -> None:
        """Record a request that ended at ``now`` (monotonic)."""
        self._start_period_if_due(now)
        self._count_by_route[route] += 1
        if duration_s > self._longest_by_route.get(route, 0.0):
            self._longest_by_route[route] = duration_s

    def longest_s(self, route: str, now: float) -> float | None:
        """Return the longest recent duration, or ``None`` if there are too few."""
        self._start_period_if_due(now)
        if self._count_by_route[route] + self._previous_count_by_route[route] < MIN_SAMPLES:
            return None
        durations = [
            longest[route]
            for longest in (self._longest_by_route, self._previous_longest_by_route)
            if route in longest
        ]
        return max(durations)

    def _start_period_if_due(self, now: float) -> None:
        if now < self._period_ends_at:
            return
        is_recent = now < self._period_ends_at + PERIOD_S
        self._previous_longest_by_route = self._longest_by_route if is_recent else {}
        self._previous_count_by_route = self._count_by_route if is_recent else Counter()
        self._longest_by_route = {}
        self._count_by_route = Counter()
        self._period_ends_at = now + PERIOD_S
