"""Choice of the endpoint for a request, by key affinity within load limits.

Placement is a pure decision, without a clock of its own or network access. The
endpoints of a service are ranked by the request's key, those in the key's region
before others. Of the highest ranked ones, the request goes to the one that
should answer first. A request for which no endpoint has capacity is refused at
once.
"""

from collections.abc import Mapping
from typing import NamedTuple

from plantainloft_core.routes import Route, ServiceLimits
from plantainloft_node.placing.affinity import score
from plantainloft_node.placing.choosing import (
    NoCapacity,
    PlacementRequest,
    Selection,
    earliest_completion,
)
from plantainloft_node.placing.cold import cold_share
from plantainloft_node.placing.endpoints import EndpointBook, EndpointState
from plantainloft_node.placing.regions import RegionShares, target_region_shares
from plantainloft_node.placing.spilling import SpillFall

__all__ = ['NoCapacity', 'Placement', 'PlacementRequest', 'PlacementTerms', 'Selection']

MAX_CACHED_RANKINGS = 4096
# Fraction of a service's endpoints that may be ejected as failing. With more of
# them ejected, the others could not carry the load.
MAX_EJECTED_FRACTION = 0.3
# Candidate endpoints of a key in its region and in other regions. More candidates
# help a little in bursts, but leave fewer objects cached on every endpoint.
NEAR_CANDIDATES = 1
FAR_CANDIDATES = 1


class PlacementTerms(NamedTuple):
    """Limits of the deployment that placement must keep.

    All instances together may send a cold endpoint ``cold_over`` times its cold
    rate plus ``cold_slack`` requests in a second. ``shift_step`` is the most by
    which the shares (0..1) of regions change in one update. ``spill_step`` is the
    most by which the share of requests that run outside their region for lack of
    capacity falls, after startup, from one ``shift_window_s`` to the next.
    """

    region: str
    instance: str
    cold_over: float
    cold_slack: float
    shift_step: float = 0.0094
    spill_step: float = 0.06
    shift_window_s: float = 2.0


class Placement:
    """Selects endpoints by key and limits the load of each."""

    def __init__(self, *, terms: PlacementTerms, book: EndpointBook) -> None:
        self.terms = terms
        self._book = book
        self._region_by_instance: dict[str, str] = {}
        self._cold_share_by_id: dict[tuple[str, float], int] = {}
        self._ranking_by_key: dict[tuple[str, str], list[str]] = {}
        self._ranked_generation = -1
        self._shares_by_service: dict[str, RegionShares] = {}
        self._failing_services: frozenset[str] = frozenset()
        self._spill_fall = SpillFall(window_s=terms.shift_window_s)

    def choose(
        self, request: PlacementRequest, service_limits: ServiceLimits, now: float
    ) -> Selection | NoCapacity:
        """Return the endpoint for ``request``, or that none has capacity."""
        near, far = self._candidates(request, service_limits, now)
        if not near and not far:
            return NoCapacity(reason='no endpoint is usable')
        ranked = [*near, *far]
        candidates = [state for state in ranked if not state.is_slow(now)] or ranked
        if near and self._spill_fall.is_too_fast(now, step=self.terms.spill_step):
            # Shortly after startup: spilled traffic would return too fast.
            candidates = [
                state for state in far if state.load(now) < state.record.slots
            ] or candidates
        choice = earliest_completion(candidates, request, now)
        if isinstance(choice, Selection):
            spilled = bool(near) and choice.endpoint in far
            self._spill_fall.note_request(now, spilled=spilled)
        return choice

    @property
    def instance_count(self) -> int:
        """The number of instances among which limits are divided."""
        return len(self._region_by_instance)

    def spilled_share(self, now: float) -> float:
        """Return the share (0..1) of recent requests that spilled over."""
        return self._spill_fall.share(now)

    def update_instances(self, region_by_instance: Mapping[str, str]) -> None:
        """Set the instances among which limits are divided, with their regions."""
        if self._region_by_instance != region_by_instance:
            self._region_by_instance = dict(region_by_instance)
            self._cold_share_by_id.clear()

    def update_ejections(self, now: float) -> None:
        """Ignore ejections in services with too many failing endpoints.

        When many endpoints fail part of their requests at the same time, ejecting
        them leaves none to serve: every request would be refused although, for
        example, half of them would succeed.
        """
        services = []
        for service in self._book.ids_by_service:
            states = self._book.endpoints_of(service)
            failing = sum(state.health.failing(now) for state in states)
            if failing > len(states) * MAX_EJECTED_FRACTION:
                services.append(service)
        self._failing_services = frozenset(services)

    def update_regions(self, demand_by_region: Mapping[str, Mapping[str, float]]) -> None:
        """Update the region shares for a demand (requests a second) by service and region."""
        for service in self._book.ids_by_service:
            slots = self._slots_by_region(service)
            target = target_region_shares(
                own_region=self.terms.region, slots=slots, demand=demand_by_region.get(service, {})
            )
            shares = self._shares_by_service.get(service)
            if shares is None:
                shares = RegionShares(own_region=self.terms.region, max_step=self.terms.shift_step)
                self._shares_by_service[service] = shares
            shares.update(target, slots)

    def note_sent(self, state: EndpointState, now: float) -> None:
        """Count a request as sent to ``state``."""
        if state.is_cold(now):
            state.cold_limiter.note_sent(now)

    def _candidates(
        self, request: PlacementRequest, service_limits: ServiceLimits, now: float
    ) -> tuple[list[EndpointState], list[EndpointState]]:
        """Return the key's candidates in its region, and those elsewhere."""
        region = self._region(request)
        near: list[EndpointState] = []
        far: list[EndpointState] = []
        for endpoint_id in self._ranking(request):
            state = self._book.by_id[endpoint_id]
            group, max_count = (
                (near, NEAR_CANDIDATES) if state.region == region else (far, FAR_CANDIDATES)
            )
            if len(group) >= max_count or endpoint_id in request.tried:
                continue
            if self._is_eligible(state, request.route, service_limits, now):
                group.append(state)
        return near, far

    def _region(self, request: PlacementRequest) -> str:
        """Return the region in which the request's key should run."""
        allowed = request.route.regions
        shares = self._shares_by_service.get(request.service)
        region = shares.region_of(request.key) if shares else None
        if region is None:
            region = self.terms.region
        if not allowed or region in allowed:
            return region
        if self.terms.region in allowed:
            return self.terms.region
        return max(allowed, key=lambda name: score(request.key, name))

    def _slots_by_region(self, service: str) -> dict[str, float]:
        slots: dict[str, float] = {}
        for state in self._book.endpoints_of(service):
            usable = not (state.record.draining or state.record.zone in self._book.evacuated_zones)
            slots[state.region] = slots.get(state.region, 0.0) + state.record.slots * usable
        return slots

    def _is_eligible(
        self, state: EndpointState, route: Route, service_limits: ServiceLimits, now: float
    ) -> bool:
        record = state.record
        if record.draining or record.zone in self._book.evacuated_zones:
            return False
        if route.regions and state.region not in route.regions:
            return False
        include_failing = state.record.service in self._failing_services
        if not state.health.usable(now, include_failing=include_failing):
            return False
        return not state.is_cold(now) or state.cold_limiter.allows(
            now, share=self._cold_share(state, service_limits)
        )

    def _cold_share(self, state: EndpointState, service_limits: ServiceLimits) -> int:
        terms = self.terms
        bound = service_limits.cold_requests_per_s * terms.cold_over + terms.cold_slack
        known = self._cold_share_by_id.get((state.record.id, bound))
        if known is not None:
            return known
        share = cold_share(
            bound=bound,
            me=terms.instance,
            region_by_instance=self._region_by_instance,
            endpoint_id=state.record.id,
            region=state.region,
        )
        self._cold_share_by_id[(state.record.id, bound)] = share
        return share

    def _ranking(self, request: PlacementRequest) -> list[str]:
        if self._ranked_generation != self._book.generation:
            self._ranking_by_key.clear()
            self._cold_share_by_id.clear()
            self._ranked_generation = self._book.generation
        cache_key = (request.service, request.key)
        ranking = self._ranking_by_key.get(cache_key)
        if ranking is None:
            if len(self._ranking_by_key) >= MAX_CACHED_RANKINGS:
                self._ranking_by_key.clear()
            ids = self._book.ids_by_service.get(request.service, ())
            ranking = sorted(ids, key=lambda endpoint_id: -score(request.key, endpoint_id))
            self._ranking_by_key[cache_key] = ranking
        return ranking
