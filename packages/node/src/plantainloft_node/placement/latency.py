"""Answer times of services and endpoints, as observed by this instance.

Services differ tenfold in how long they work on a request, so no fixed timeout
that distinguishes a silent endpoint from a busy one suits all of them.
"""

from plantainloft_core.routes import RouteTable

__all__ = ['EndpointLatency', 'ServiceLatency', 'longest_timeout_by_service']

# Weight of the newest answer in the moving averages: about 30 answers count (two
# seconds at 15 a second), so one slow endpoint hardly changes the estimate.
NEWEST_WEIGHT = 0.03
# As in RFC 6298: the bound is the mean plus four times the mean deviation.
DEVIATION_FACTOR = 4.0
# With a shorter bound, a pause of this instance or a lost packet (retransmitted
# after at least 0.2 s, at most twice) would look like a silent endpoint.
MIN_SILENCE_S = 0.9
# Detect a silent endpoint while enough of the request's timeout is left to try
# another one.
TIMEOUT_FRACTION = 0.75
# About three answers count for one endpoint: an instance gets only a few a second
# from it, and every request sent to a slow endpoint may time out.
ENDPOINT_NEWEST_WEIGHT = 0.35
ENDPOINT_DECAY_S = 4.0
# Used before the first answer, and before the routes are known.
DEFAULT_MEAN_S = 0.3
DEFAULT_LONGEST_TIMEOUT_S = 1.2


class ServiceLatency:
    """Mean and mean deviation of the answer times of one service, in seconds."""

    def __init__(self) -> None:
        self.longest_timeout_s = DEFAULT_LONGEST_TIMEOUT_S
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def record_response_time(self, took_s: float) -> None:
        """Record the time from sending a request to the end of its answer."""
        if self._mean_s is None:
            self._mean_s = took_s
            self._deviation_s = took_s / 2
            return
        difference_s = took_s - self._mean_s
        self._deviation_s += NEWEST_WEIGHT * (abs(difference_s) - self._deviation_s)
        self._mean_s += NEWEST_WEIGHT * difference_s

    @property
    def mean_s(self) -> float:
        """The mean answer time."""
        return DEFAULT_MEAN_S if self._mean_s is None else self._mean_s

    @property
    def max_silence_s(self) -> float:
        """The time without any answer after which an endpoint counts as silent."""
        upper_bound_s = max(MIN_SILENCE_S, TIMEOUT_FRACTION * self.longest_timeout_s)
        if self._mean_s is None:
            return upper_bound_s
        likely_max_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        return min(upper_bound_s, max(MIN_SILENCE_S, likely_max_s))


class EndpointLatency:
    """Recent mean answer time of one endpoint, in seconds.

    The estimate decays, because an endpoint that is avoided as slow produces no
    answers that could correct it: after a few seconds it is tried again.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._updated_at = 0.0

    def record_response_time(self, took_s: float, now: float) -> None:
        """Record the time of an answer."""
        self._mean_s += ENDPOINT_NEWEST_WEIGHT * (took_s - self._mean_s)
        self._updated_at = now

    def record_abandoned(self, after_s: float, now: float) -> None:
        """Record a request that was abandoned; its answer would have taken longer."""
        if after_s > self._mean_s:
            self.record_response_time(after_s, now)

    def recent_s(self, now: float) -> float:
        """Return the mean answer time, which decays to zero with its age."""
        return self._mean_s * max(0.0, 1 - (now - self._updated_at) / ENDPOINT_DECAY_S)


def longest_timeout_by_service(table: RouteTable) -> dict[str, float]:
    """Return the longest route timeout of each service, in seconds."""
    longest: dict[str, float] = {}
    for routes in table.routes_by_host.values():
        for route in routes:
            for share in route.shares:
                known = longest.get(share.service, 0.0)
                longest[share.service] = max(known, route.timeout_s)
    return longest
