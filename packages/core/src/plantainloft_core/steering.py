"""Load-balancing policies: which endpoint receives the next request.

The node observes loads, a policy picks an endpoint, and the node forwards
the request. Policies do no I/O, so they can be tested and fuzzed without a
network.
"""

import abc
import itertools
import random
from collections.abc import Collection, Iterator, Mapping
from typing import NamedTuple

from plantainloft_core.model import Configuration, Endpoint
from plantainloft_core.outcomes import Refused

__all__ = [
    'Choice',
    'EndpointLoad',
    'HeadroomPolicy',
    'NearestRoundRobin',
    'RegionLimits',
    'SteeringPolicy',
    'active_endpoints',
    'free_slots',
    'has_fresh_report',
    'usable_slots',
]

REPORT_MAX_AGE_S = 4.0
SLOW_START_S = 10.0
COLD_START_SHARE = 0.25
RETRY_AFTER_S = 1
SAMPLE_SIZE = 2
_SAME_ZONE = 0
_SAME_REGION = 1
_OTHER_REGION = 2


class EndpointLoad(NamedTuple):
    """What one node knows about the load of one endpoint.

    ``local_inflight`` is the exact number of this node's own requests in
    flight. ``reported_inflight`` comes from the endpoint's last report, which
    is ``report_age_s`` old; it is ``None`` if no report has arrived yet.
    ``in_service_s`` is how long this node has known the endpoint, and
    ``draining`` whether the endpoint reports that it is shutting down.
    """

    local_inflight: int
    reported_inflight: int | None
    report_age_s: float
    in_service_s: float
    draining: bool = False


class RegionLimits(NamedTuple):
    """This node's requests in flight by region, and the most allowed.

    Regions that are missing from ``max_inflight_by_region`` may not be chosen.
    """

    own_inflight_by_region: Mapping[str, int]
    max_inflight_by_region: Mapping[str, float]

    def allows_one_more(self, region: str) -> bool:
        """Return whether one more request may be sent to ``region``."""
        allowed = self.max_inflight_by_region.get(region, 0.0)
        return self.own_inflight_by_region.get(region, 0) + 1 <= allowed


class Choice(NamedTuple):
    """The endpoint chosen for one request."""

    endpoint: Endpoint


def active_endpoints(
    config: Configuration, service: str, excluded: Collection[str] = ()
) -> list[Endpoint]:
    """Return the active endpoints of ``service`` that are not ``excluded``."""
    endpoints = config.endpoints_by_service.get(service, ())
    return [ep for ep in endpoints if ep.state == 'active' and ep.name not in excluded]


def _tier(config: Configuration, endpoint: Endpoint, zone: str) -> int:
    if endpoint.zone == zone:
        return _SAME_ZONE
    if endpoint.region == config.region_of_zone(zone):
        return _SAME_REGION
    return _OTHER_REGION


class SteeringPolicy(abc.ABC):
    """Picks an endpoint for a request, or refuses the request."""

    @abc.abstractmethod
    def choose(
        self,
        config: Configuration,
        *,
        service: str,
        zone: str,
        loads_by_endpoint: Mapping[str, EndpointLoad],
        excluded: Collection[str] = (),
        limits: RegionLimits | None = None,
    ) -> Choice | Refused:
        """Choose an endpoint of ``service`` for a caller in ``zone``.

        Endpoints named in ``excluded`` are never chosen.
        """


class NearestRoundRobin(SteeringPolicy):
    """Round robin among the nearest endpoints: same zone, region, or any.

    This policy ignores load. It is the baseline for benchmarks.
    """

    def __init__(self) -> None:
        self._turns: Iterator[int] = itertools.count()

    def choose(
        self,
        config: Configuration,
        *,
        service: str,
        zone: str,
        loads_by_endpoint: Mapping[str, EndpointLoad],
        excluded: Collection[str] = (),
        limits: RegionLimits | None = None,
    ) -> Choice | Refused:
        """Choose round robin among the nearest endpoints."""
        endpoints = active_endpoints(config, service, excluded)
        if not endpoints:
            return Refused(reason='no endpoint', retry_after_s=RETRY_AFTER_S)
        nearest_tier = min(_tier(config, endpoint, zone) for endpoint in endpoints)
        nearest = sorted(
            (ep for ep in endpoints if _tier(config, ep, zone) == nearest_tier),
            key=lambda endpoint: endpoint.name,
        )
        return Choice(endpoint=nearest[next(self._turns) % len(nearest)])


def has_fresh_report(load: EndpointLoad) -> bool:
    """Return whether the endpoint has reported its load recently."""
    return load.reported_inflight is not None and load.report_age_s <= REPORT_MAX_AGE_S


def usable_slots(endpoint: Endpoint, load: EndpointLoad) -> float:
    """Return how many requests ``endpoint`` may have in flight now.

    A new endpoint starts with a quarter of its slots and gets all of them
    over ``SLOW_START_S``. Requests are slow until its caches are warm, so a
    large traffic shift must not reach it all at once.
    """
    warm_fraction = min(1.0, load.in_service_s / SLOW_START_S)
    share = COLD_START_SHARE + (1 - COLD_START_SHARE) * warm_fraction
    return max(1.0, endpoint.slots * share)


def estimated_inflight(load: EndpointLoad) -> float:
    """Return the estimated number of requests in flight at the endpoint.

    A stale or missing report does not mean that the endpoint is idle. In that
    case only this node's own requests are counted, and ``free_slots`` allows
    one request at a time, which shows as a low share of that endpoint in the
    node's metrics.
    """
    if load.reported_inflight is None or not has_fresh_report(load):
        return float(load.local_inflight)
    return float(max(load.reported_inflight, load.local_inflight))


def free_slots(endpoint: Endpoint, load: EndpointLoad) -> float:
    """Return this node's estimate of the free slots at ``endpoint``."""
    if load.draining:
        return 0
    if not has_fresh_report(load):
        # The load is unknown: allow one request in flight as a probe.
        return 1.0 - load.local_inflight
    return usable_slots(endpoint, load) - estimated_inflight(load)


_UNKNOWN_LOAD = EndpointLoad(
    local_inflight=0,
    reported_inflight=None,
    report_age_s=0,
    in_service_s=0,
)


class HeadroomPolicy(SteeringPolicy):
    """Power of two choices by headroom, in the nearest tier that has some.

    The requests in flight at a region's endpoints never exceed the region's
    ``capacity``. If no endpoint has a free slot, the request is refused at
    once with a ``Retry-After``.

    Load reports lag, so for a while all nodes see the same endpoint as the
    least loaded. If every node chose it, requests would queue there while
    other endpoints are idle. Taking the better of two random endpoints is
    almost as good and spreads the requests.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        config: Configuration,
        *,
        service: str,
        zone: str,
        loads_by_endpoint: Mapping[str, EndpointLoad],
        excluded: Collection[str] = (),
        limits: RegionLimits | None = None,
    ) -> Choice | Refused:
        """Choose an endpoint in the nearest tier that has headroom."""
        endpoints = active_endpoints(config, service, excluded)
        if not endpoints:
            return Refused(reason='no endpoint', retry_after_s=RETRY_AFTER_S)
        usable_regions = _regions_below_limits(config, loads_by_endpoint, limits)
        candidates_by_tier: dict[int, list[_Candidate]] = {}
        for endpoint in endpoints:
            free = free_slots(endpoint, loads_by_endpoint.get(endpoint.name, _UNKNOWN_LOAD))
            if free >= 1 and endpoint.region in usable_regions:
                tier = _tier(config, endpoint, zone)
                candidates_by_tier.setdefault(tier, []).append(_Candidate(free, endpoint))
        if not candidates_by_tier:
            return Refused(reason='no headroom', retry_after_s=RETRY_AFTER_S)
        nearest = candidates_by_tier[min(candidates_by_tier)]
        sample = self._rng.sample(nearest, k=min(SAMPLE_SIZE, len(nearest)))
        # The sample is in random order, so ties are broken at random.
        return Choice(endpoint=max(sample, key=_free_slots_of).endpoint)


class _Candidate(NamedTuple):
    free_slots: float
    endpoint: Endpoint


def _free_slots_of(candidate: _Candidate) -> float:
    return candidate.free_slots


def _regions_below_limits(
    config: Configuration,
    loads_by_endpoint: Mapping[str, EndpointLoad],
    limits: RegionLimits | None,
) -> set[str]:
    """Return the regions that may take one more request."""
    inflight_by_region = _inflight_by_region(config, loads_by_endpoint)
    return {
        name
        for name, region in config.regions_by_name.items()
        if inflight_by_region.get(name, 0) + 1 <= region.capacity
        and (limits is None or limits.allows_one_more(name))
    }


def _inflight_by_region(
    config: Configuration,
    loads_by_endpoint: Mapping[str, EndpointLoad],
) -> dict[str, float]:
    by_region: dict[str, float] = {}
    for name, load in loads_by_endpoint.items():
        endpoint = config.endpoints_by_name.get(name)
        if endpoint is None:
            continue
        by_region[endpoint.region] = by_region.get(endpoint.region, 0) + estimated_inflight(load)
    return by_region
