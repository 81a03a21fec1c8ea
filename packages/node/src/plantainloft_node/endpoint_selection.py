"""Endpoint selection: choose an endpoint for a request, or refuse it.

A selector chooses from the node's observations: endpoint loads, the traffic split
of the service over regions, and the node's claims on regional capacity.
``EndpointSelector.update`` updates the split and the claims from the observations
made since the previous update.
"""

import abc
import logging
import random
import time
from collections.abc import Collection, Mapping, Sequence

from plantainloft_core.capacity_claims import CapacityClaims
from plantainloft_core.model import Configuration, Endpoint
from plantainloft_core.outcomes import Refused
from plantainloft_core.steering import (
    Choice,
    EndpointLoad,
    HeadroomPolicy,
    NearestRoundRobin,
    RegionLimits,
    free_slots,
    has_fresh_report,
    usable_slots,
)
from plantainloft_core.target_split import RegionLoad, summarise_regions, target_shares
from plantainloft_core.traffic_split import TrafficSplit
from plantainloft_node.endpoint_loads import EndpointLoadTracker

__all__ = ['UPDATE_INTERVAL_S', 'EndpointSelector', 'NearestZoneSelector', 'TrafficSplitSelector']

log = logging.getLogger(__name__)

UPDATE_INTERVAL_S = 0.5
MIN_LOGGED_MOVE = 0.005


class EndpointSelector(abc.ABC):
    """Chooses endpoints for requests."""

    @abc.abstractmethod
    def select(
        self,
        config: Configuration,
        service: str,
        *,
        tried_endpoints: Sequence[Endpoint],
        allowed_regions: Collection[str] = (),
        excluded_endpoints: Collection[str] = (),
    ) -> Choice | Refused:
        """Choose an endpoint of ``service`` that is not in ``tried_endpoints``.

        ``tried_endpoints`` lists the endpoints that already rejected this request, in order.
        If ``allowed_regions`` is not empty, the request may only run in those regions.
        The endpoints named in ``excluded_endpoints`` must get no request now.
        """

    @abc.abstractmethod
    def record_rejection(self, endpoint: Endpoint) -> None:
        """Record that ``endpoint`` rejected a request or was unreachable."""

    @abc.abstractmethod
    def update(self, config: Configuration, *, live_peers: Collection[str]) -> None:
        """Update the state from the observations since the last update."""

    @abc.abstractmethod
    def shares(self) -> dict[str, dict[str, float]]:
        """Return the current traffic split, by service and region."""

    @abc.abstractmethod
    def adopt_shares(self, shares_by_service: Mapping[str, Mapping[str, float]]) -> None:
        """Use the traffic splits of a peer as the starting point."""


class NearestZoneSelector(EndpointSelector):
    """Baseline policy for comparisons: round robin in the nearest zone."""

    def __init__(self, *, loads: EndpointLoadTracker, zone: str) -> None:
        self._policy = NearestRoundRobin()
        self._loads = loads
        self._zone = zone

    def select(
        self,
        config: Configuration,
        service: str,
        *,
        tried_endpoints: Sequence[Endpoint],
        allowed_regions: Collection[str] = (),
        excluded_endpoints: Collection[str] = (),
    ) -> Choice | Refused:
        """Choose round robin among the nearest endpoints."""
        disallowed = [
            endpoint
            for endpoint in config.endpoints_by_service.get(service, ())
            if allowed_regions and endpoint.region not in allowed_regions
        ]
        return self._policy.choose(
            config,
            service=service,
            zone=self._zone,
            loads_by_endpoint=self._loads.loads_of_service(config, service),
            excluded=[
                *(endpoint.name for endpoint in (*tried_endpoints, *disallowed)),
                *excluded_endpoints,
            ],
        )

    def record_rejection(self, endpoint: Endpoint) -> None:
        """Do nothing: the baseline ignores feedback."""

    def update(self, config: Configuration, *, live_peers: Collection[str]) -> None:
        """Do nothing: the baseline has no state to update."""

    def shares(self) -> dict[str, dict[str, float]]:
        """Return an empty mapping: the baseline has no traffic split."""
        return {}

    def adopt_shares(self, shares_by_service: Mapping[str, Mapping[str, float]]) -> None:
        """Do nothing: the baseline has no traffic split."""


class _RequestCounts:
    """Requests of one service to one region since the last update."""

    def __init__(self) -> None:
        self.sent = 0
        self.rejected = 0


class TrafficSplitSelector(EndpointSelector):
    """Splits traffic over regions within the shift cap, then chooses by headroom."""

    def __init__(
        self, *, loads: EndpointLoadTracker, claims: CapacityClaims, region: str, zone: str
    ) -> None:
        self._policy = HeadroomPolicy(rng=random.Random())
        self._loads = loads
        self._claims = claims
        self._home_region = region
        self._zone = zone
        self._split_by_service: dict[str, TrafficSplit] = {}
        self._counts_by_target: dict[tuple[str, str], _RequestCounts] = {}
        self._peak_inflight_by_region: dict[str, float] = {}

    def select(
        self,
        config: Configuration,
        service: str,
        *,
        tried_endpoints: Sequence[Endpoint],
        allowed_regions: Collection[str] = (),
        excluded_endpoints: Collection[str] = (),
    ) -> Choice | Refused:
        """Choose in the region the split picks; spill over only within the shift cap."""
        excluded = [*(endpoint.name for endpoint in tried_endpoints), *excluded_endpoints]
        service_config = config.services_by_name.get(service)
        if service_config is None:
            return Refused(reason='no such service', retry_after_s=1)
        if allowed_regions:
            return self._choose_in_allowed_regions(
                config, service, allowed_regions=allowed_regions, excluded=excluded
            )
        now = time.monotonic()
        split = self._split(config, service, now)
        # A retry stays in the region of the first attempt. Picking again would give
        # each request two chances to leave a failed region: with a cap of 20 %,
        # 36 % of the traffic would move.
        region = tried_endpoints[0].region if tried_endpoints else split.next_region(now)
        if region is None:
            return Refused(reason='no endpoint', retry_after_s=1)
        choice = self._choose_endpoint(config, service, regions=(region,), excluded=excluded)
        counts = self._request_counts(service, region)
        if not tried_endpoints:
            counts.sent += 1
        if isinstance(choice, Choice):
            return choice
        counts.rejected += 1
        other_regions = [
            name
            for name, region_config in config.regions_by_name.items()
            if name != region and not region_config.evacuating
        ]
        spill_choice = self._choose_endpoint(
            config, service, regions=other_regions, excluded=excluded
        )
        if isinstance(spill_choice, Choice) and split.try_acquire_spillover(
            cap=service_config.shift_cap, now=now
        ):
            return spill_choice
        return choice

    def record_rejection(self, endpoint: Endpoint) -> None:
        """Count the rejection against the region of ``endpoint``."""
        self._request_counts(endpoint.service, endpoint.region).rejected += 1

    def update(self, config: Configuration, *, live_peers: Collection[str]) -> None:
        """Move each split towards regions with headroom and claim the capacity needed."""
        now = time.monotonic()
        for service in config.services_by_name.values():
            split = self._split(config, service.name, now)
            target = target_shares(
                split.shares_by_region,
                self._region_loads(config, service.name),
                home_region=self._home_region,
            )
            moved = split.move_towards(target, cap=service.shift_cap, now=now)
            if moved > MIN_LOGGED_MOVE:
                log.info('Split: moved %.1f %% of the traffic of %s.', moved * 100, service.name)
        self._claims.update_claims(
            config, demand_by_region=self._demand_by_region(config), live_peers=live_peers, now=now
        )
        self._counts_by_target.clear()
        self._peak_inflight_by_region = dict(self._loads.own_inflight_by_region(config))

    def shares(self) -> dict[str, dict[str, float]]:
        """Return the current traffic split, by service and region."""
        return {
            service: {name: round(share, 4) for name, share in split.shares_by_region.items()}
            for service, split in self._split_by_service.items()
        }

    def adopt_shares(self, shares_by_service: Mapping[str, Mapping[str, float]]) -> None:
        """Use the splits of a peer, so that a restart does not move traffic."""
        for service, shares in shares_by_service.items():
            self._split_by_service[service] = TrafficSplit(shares_by_region=shares)

    def _choose_in_allowed_regions(
        self,
        config: Configuration,
        service: str,
        *,
        allowed_regions: Collection[str],
        excluded: Collection[str],
    ) -> Choice | Refused:
        """Choose in ``allowed_regions`` only; the split does not apply to restricted requests."""
        open_regions = [
            name
            for name, region in config.regions_by_name.items()
            if name in allowed_regions and not region.evacuating
        ]
        disallowed = [
            endpoint.name
            for endpoint in config.endpoints_by_service.get(service, ())
            if endpoint.region not in open_regions
        ]
        excluded = [*excluded, *disallowed]
        choice = self._choose_endpoint(config, service, regions=open_regions, excluded=excluded)
        if not isinstance(choice, Choice):
            # Counted as demand, so that the next update claims capacity in these regions.
            for name in open_regions:
                self._request_counts(service, name).rejected += 1
        return choice

    def _split(self, config: Configuration, service: str, now: float) -> TrafficSplit:
        split = self._split_by_service.get(service)
        if split is None:
            loads_by_region = self._region_loads(config, service)
            start = {self._home_region: 1.0}
            if self._home_region not in loads_by_region and loads_by_region:
                start = target_shares({}, loads_by_region, home_region=self._home_region)
            split = TrafficSplit(shares_by_region=start)
            self._split_by_service[service] = split
        return split

    def _choose_endpoint(
        self,
        config: Configuration,
        service: str,
        *,
        regions: Collection[str],
        excluded: Collection[str],
    ) -> Choice | Refused:
        now = time.monotonic()
        own_inflight = self._loads.own_inflight_by_region(config)
        choice = self._policy.choose(
            config,
            service=service,
            zone=self._zone,
            loads_by_endpoint=self._loads.loads_of_service(config, service),
            excluded=excluded,
            limits=RegionLimits(
                own_inflight_by_region=own_inflight,
                max_inflight_by_region={
                    name: self._claims.max_inflight(config, name, now) for name in regions
                },
            ),
        )
        if isinstance(choice, Choice):
            region = choice.endpoint.region
            peak = max(
                self._peak_inflight_by_region.get(region, 0.0), own_inflight.get(region, 0) + 1.0
            )
            self._peak_inflight_by_region[region] = peak
        return choice

    def _region_loads(self, config: Configuration, service: str) -> dict[str, RegionLoad]:
        loads = self._loads.loads_of_service(config, service)
        refused_by_region = {
            region: min(1.0, counts.rejected / counts.sent)
            for (name, region), counts in self._counts_by_target.items()
            if name == service and counts.sent
        }
        endpoints = config.endpoints_by_service.get(service, ())
        return summarise_regions(
            config,
            service,
            usable_slots_by_endpoint={
                ep.name: _usable_slots(ep, loads[ep.name]) for ep in endpoints
            },
            free_slots_by_endpoint={ep.name: free_slots(ep, loads[ep.name]) for ep in endpoints},
            refused_by_region=refused_by_region,
        )

    def _demand_by_region(self, config: Configuration) -> dict[str, float]:
        demand = dict(self._peak_inflight_by_region)
        for (_, region), counts in self._counts_by_target.items():
            demand[region] = demand.get(region, 0.0) + counts.rejected
        return {name: demand.get(name, 0.0) for name in config.regions_by_name}

    def _request_counts(self, service: str, region: str) -> _RequestCounts:
        return self._counts_by_target.setdefault((service, region), _RequestCounts())


def _usable_slots(endpoint: Endpoint, load: EndpointLoad) -> float:
    """Return the slots that may receive traffic; 0 if draining or of unknown load."""
    if load.draining or not has_fresh_report(load):
        return 0.0
    return usable_slots(endpoint, load)
