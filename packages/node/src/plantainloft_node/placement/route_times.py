"""Processing times by route: a service may have quick and slow ones."""

from collections import OrderedDict

__all__ = ['MAX_ROUTES', 'MAX_TRIALS', 'REFUSALS_PER_PROBE', 'RouteTimes', 'RouteTimesTable']

# Weight of the newest answer in the moving averages: about 20 answers count.
NEWEST_WEIGHT = 0.05
# While all requests for uncached objects are refused for their expected time, one in this
# number is sent: without answers, an estimate that is too high would never be corrected.
REFUSALS_PER_PROBE = 50
# Routes that were used least recently are forgotten beyond this number.
MAX_ROUTES = 4096
# So many requests of a route are sent before its first answer, however long the others of its
# service take: without an answer, a quick route would stay unknown.
MAX_TRIALS = 5


class _Mean:
    """A moving average, in seconds; the plain mean of its first values."""

    def __init__(self) -> None:
        self.value_s: float | None = None
        self._count = 0

    def record(self, newest_s: float) -> None:
        self._count += 1
        known_s = newest_s if self.value_s is None else self.value_s
        weight = max(NEWEST_WEIGHT, 1 / self._count)
        self.value_s = known_s + weight * (newest_s - known_s)


class RouteTimes:
    """Mean processing times of the requests of one route, in seconds.

    Requests for objects that the endpoint has cached and for others are averaged
    separately.
    """

    def __init__(self) -> None:
        self._cached = _Mean()
        self._uncached = _Mean()
        self._refusals_since_answer = 0
        self._trials = 0

    def record_selected(self) -> None:
        """Record that a request is about to be sent."""
        self._trials += 1

    def record(self, processing_s: float, *, cached: bool) -> None:
        """Record one answer's time without round trip and queueing."""
        if cached:
            self._cached.record(processing_s)
        else:
            self._uncached.record(processing_s)
            self._refusals_since_answer = 0

    def allows_refusal(self) -> bool:
        """Return whether one more request may be refused for its expected time.

        Otherwise it must be sent, to measure the time again.
        """
        self._refusals_since_answer += 1
        return self._refusals_since_answer % REFUSALS_PER_PROBE > 0

    def expected_s(self, *, cached: bool, typical_s: float) -> float:
        """Return the expected processing time of a request.

        Before the first answer, that is ``typical_s``, the service's, but none for the first
        requests.
        """
        means = (self._cached, self._uncached) if cached else (self._uncached,)
        known = [mean.value_s for mean in means if mean.value_s is not None]
        if known:
            return min(known)
        if self._cached.value_s is not None:
            return self._cached.value_s
        return 0.0 if self._trials < MAX_TRIALS else typical_s


class RouteTimesTable:
    """The times of a service's routes."""

    def __init__(self) -> None:
        self._times_by_route: OrderedDict[str, RouteTimes] = OrderedDict()

    def of(self, route: str) -> RouteTimes:
        """Return the times of ``route``."""
        times = self._times_by_route.get(route)
        if times is None:
            times = RouteTimes()
            self._times_by_route[route] = times
            if len(self._times_by_route) > MAX_ROUTES:
                self._times_by_route.popitem(last=False)
        else:
            self._times_by_route.move_to_end(route)
        return times
