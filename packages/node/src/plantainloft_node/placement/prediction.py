"""Prediction of answer times: round trip, processing and queueing for a slot.

Processing takes a third of the time if the endpoint has the object cached, and
the round trip to another region takes up a considerable part of a latency
objective. These times decide whether a request should queue at an endpoint that
has its object cached or go to a free endpoint that has not. All of them are
observed; none is configured.
"""

from collections import OrderedDict

from plantainloft_node.placement.load_estimate import UsualLoad
from plantainloft_node.placement.route_times import RouteTimesTable

__all__ = ['ProcessingTimes', 'RecentKeys', 'WorkFactor', 'ZoneRoundTrips']

# Weight of the newest answer in the moving averages: about 20 answers count.
NEWEST_WEIGHT = 0.05
# Used before the first answer.
DEFAULT_PROCESSING_S = 0.3
# An endpoint is assumed to have cached the last MAX_RECENT_KEYS objects of its
# answers to this instance, each for RECENT_KEY_TTL_S after its last answer. An
# endpoint handles about a dozen requests a second, including those of other
# instances.
MAX_RECENT_KEYS = 64
RECENT_KEY_TTL_S = 20.0
# A connection that opens faster than the estimate indicates a shorter round trip;
# one that opens more slowly may only have met a busy endpoint.
DECREASE_WEIGHT = 0.5
INCREASE_WEIGHT = 0.02
# The usual factor, also of an endpoint that reports none.
USUAL_WORK_FACTOR = 1.0
# Episodes of slow work last about 0.6 s. The mean of what is left of one falls linearly
# with the age of the report.
WORK_FACTOR_DECAY_S = 0.6


class ProcessingTimes:
    """Mean processing times of a service's requests, in seconds, and its usual load.

    Requests for objects that the endpoint has cached and for others are averaged
    separately.
    """

    def __init__(self) -> None:
        self._overall_s: float | None = None
        self._cached_s: float | None = None
        self._uncached_s: float | None = None
        self._cold_s: float | None = None
        self.routes = RouteTimesTable()
        self.usual_load = UsualLoad()

    def record(
        self, processing_s: float, *, cached: bool, cold: bool = False, route: str = ''
    ) -> None:
        """Record one answer's time without round trip and queueing.

        ``cached``: the endpoint had the object cached. ``cold``: it was cold. ``route`` is the
        name of the request's route.
        """
        if cold:
            self._cold_s = _moving_average(self._cold_s, processing_s)
        self._overall_s = _moving_average(self._overall_s, processing_s)
        if cached:
            self._cached_s = _moving_average(self._cached_s, processing_s)
        else:
            self._uncached_s = _moving_average(self._uncached_s, processing_s)
        self.routes.of(route).record(processing_s, cached=cached)

    @property
    def is_measured(self) -> bool:
        """Whether any answer was measured; the expected times are a guess otherwise."""
        return self._overall_s is not None

    @property
    def mean_s(self) -> float:
        """The mean over all requests."""
        return DEFAULT_PROCESSING_S if self._overall_s is None else self._overall_s

    def expected_s(self, *, cached: bool) -> float:
        """Return the expected processing time of a request."""
        uncached_s = DEFAULT_PROCESSING_S if self._uncached_s is None else self._uncached_s
        if not cached or self._cached_s is None:
            return uncached_s
        return min(uncached_s, self._cached_s)

    def expected_cold_s(self) -> float:
        """Return the expected processing time of a request at a cold endpoint."""
        return max(self._cold_s or 0.0, self.expected_s(cached=False))


class RecentKeys:
    """Keys that one endpoint recently answered to this instance."""

    def __init__(self) -> None:
        self._answered_at_by_key: OrderedDict[str, float] = OrderedDict()

    def record(self, key: str, now: float) -> None:
        """Record an answer for ``key``."""
        self._answered_at_by_key[key] = now
        self._answered_at_by_key.move_to_end(key)
        if len(self._answered_at_by_key) > MAX_RECENT_KEYS:
            self._answered_at_by_key.popitem(last=False)

    def contains(self, key: str, now: float) -> bool:
        """Return whether the endpoint is likely to have the object of ``key`` cached."""
        answered_at = self._answered_at_by_key.get(key)
        return answered_at is not None and now - answered_at < RECENT_KEY_TTL_S


class WorkFactor:
    """How long work takes on an endpoint's machine, as a multiple of the usual time."""

    def __init__(self) -> None:
        self._reported = USUAL_WORK_FACTOR
        self._reported_at = 0.0

    def record(self, factor: float, now: float) -> None:
        """Record the factor that the endpoint has reported."""
        self._reported = factor
        self._reported_at = now

    def current(self, now: float) -> float:
        """Return the last reported factor, which decays to 1.0 with its age."""
        weight = max(0.0, 1 - (now - self._reported_at) / WORK_FACTOR_DECAY_S)
        return USUAL_WORK_FACTOR + weight * (self._reported - USUAL_WORK_FACTOR)


class ZoneRoundTrips:
    """Round-trip times to availability zones, estimated from connection setup."""

    def __init__(self) -> None:
        self._round_trip_s_by_zone: dict[str, float] = {}

    def record(self, zone: str, opened_after_s: float) -> None:
        """Record the time that opening a connection took."""
        known_s = self._round_trip_s_by_zone.get(zone, opened_after_s)
        difference_s = opened_after_s - known_s
        weight = DECREASE_WEIGHT if difference_s < 0 else INCREASE_WEIGHT
        self._round_trip_s_by_zone[zone] = known_s + weight * difference_s

    def by_zone(self) -> dict[str, float]:
        """Return the known round-trip times by availability zone."""
        return dict(self._round_trip_s_by_zone)

    def round_trip_s(self, zone: str) -> float:
        """Return the round-trip time to ``zone``, or 0 if unknown."""
        return self._round_trip_s_by_zone.get(zone, 0.0)


def _moving_average(known_s: float | None, newest_s: float) -> float:
    if known_s is None:
        return newest_s
    return known_s + NEWEST_WEIGHT * (newest_s - known_s)
