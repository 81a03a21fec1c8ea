"""How long requests take, by route."""

__all__ = ['RequestDurations']

# Durations count for one to two of these periods.
PERIOD_S = 30.0


class RequestDurations:
    """The longest recent duration of a route's requests, in seconds.

    It covers the time from the head of a request to the end of its response, of requests
    that were sent to an endpoint.
    """

    def __init__(self) -> None:
        self._longest_by_route: dict[str, float] = {}
        self._previous_longest_by_route: dict[str, float] = {}
        self._period_ends_at = float('-inf')

    def record(self, route: str, duration_s: float, now: float) -> None:
        """Record a request that ended at ``now`` (monotonic)."""
        self._start_period_if_due(now)
        if duration_s > self._longest_by_route.get(route, 0.0):
            self._longest_by_route[route] = duration_s

    def longest_s(self, route: str, now: float) -> float | None:
        """Return the longest recent duration, or ``None`` without any."""
        self._start_period_if_due(now)
        durations = [
            longest[route]
            for longest in (self._longest_by_route, self._previous_longest_by_route)
            if route in longest
        ]
        return max(durations, default=None)

    def _start_period_if_due(self, now: float) -> None:
        if now < self._period_ends_at:
            return
        is_recent = now < self._period_ends_at + PERIOD_S
        self._previous_longest_by_route = self._longest_by_route if is_recent else {}
        self._longest_by_route = {}
        self._period_ends_at = now + PERIOD_S
