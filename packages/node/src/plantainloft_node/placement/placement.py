"""Choice of the endpoint for a request, by key affinity within load limits.

Placement is a pure decision, without a clock of its own or network access. The
endpoints of a service are ranked by the request's key, those in the key's region
before others. Of the highest ranked ones, the request goes to the one that
should answer first. A request for which no endpoint has capacity is refused at
once.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from itertools import takewhile
from typing import NamedTuple

from plantainloft_core.routes import Route, ServiceLimits
from plantainloft_node.endpoint_limits.limiter import EndpointLimiter, FleetView
from plantainloft_node.placement.capacity_plan import CapacityPlanner
from plantainloft_node.placement.cold_rate_limit import cold_share
from plantainloft_node.placement.connection_share import (
    ConnectionView,
    UnlimitedConnections,
    connection_share,
)
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState
from plantainloft_node.placement.regions import RegionShares, target_region_shares
from plantainloft_node.placement.rendezvous import rendezvous_score
from plantainloft_node.placement.selection import (
    SPILL_MAX_USED_FRACTION,
    NoCapacity,
    PlacementRequest,
    Selection,
    earliest_completion,
    earliest_in_time,
)
from plantainloft_node.placement.spillover import SpilloverDecayLimiter

__all__ = ['NoCapacity', 'Placement', 'PlacementRequest', 'PlacementSettings', 'Selection']

MAX_CACHED_RANKINGS = 4096
# Fraction of a service's endpoints that may be ejected as failing. With more of
# them ejected, the others could not carry the load.
MAX_EJECTED_FRACTION = 0.3
# Candidate endpoints of a key in its region and in other regions. More candidates
# help a little in bursts, but leave fewer objects cached on every endpoint.
LOCAL_CANDIDATES = 1
REMOTE_CANDIDATES = 1
# The same with overload control, which weighs the cost of an uncached object: with one
# candidate, the busiest of endpoints with few slots has three times the mean load.
MANY_LOCAL_CANDIDATES = 3
MANY_REMOTE_CANDIDATES = 2
# A new connection costs at least this: among candidates that are otherwise equal, one with an
# idle connection is preferred. Predictions are no more exact than that.
MIN_CONNECTION_SETUP_S = 0.02


class PlacementSettings(NamedTuple):
    """Limits of the deployment that placement must keep.

    All instances together may send a cold endpoint ``cold_over`` times the cold rate
    of its service plus ``cold_slack`` requests in a second. ``max_share_step`` is the
    most by which the shares (0..1) of regions change in one update.
    ``max_spill_decrease`` applies after startup: the share (0..1) of requests that run
    outside their region for lack of capacity falls by at most this much from one
    ``shift_window_s`` to the next.
    """

    region: str
    instance: str
    cold_over: float
    cold_slack: float
    max_share_step: float = 0.0094
    max_spill_decrease: float = 0.06
    shift_window_s: float = 2.0


class _Candidates(NamedTuple):
    """Candidates in the key's region and elsewhere.

    Of the region's endpoints, ``limited_ids`` are left out for their request limits and
    ``unwilling_ids`` since they have announced that they want no requests.
    """

    local: list[EndpointState]
    remote: list[EndpointState]
    limited_ids: tuple[str, ...]
    unwilling_ids: tuple[str, ...]


class _CandidateCollector:
    """Collects candidates from endpoints that are added in rank order."""

    def __init__(self, *, region: str, max_local: int, max_remote: int) -> None:
        self._region = region
        self._max_local = max_local
        self._max_remote = max_remote
        self.local: list[EndpointState] = []
        self._remote: list[EndpointState] = []
        self._limited_ids: list[str] = []
        # Endpoints of the region that come back from a rest, but not yet for this key.
        self._ramping: list[EndpointState] = []

    def has_room_for(self, state: EndpointState) -> bool:
        """Return whether there may be one more candidate in the region of ``state``."""
        if state.region == self._region:
            return len(self.local) < self._max_local
        return len(self._remote) < self._max_remote

    def add(self, state: EndpointState, *, may_return: bool) -> None:
        """Add an endpoint; ``may_return``: it gets requests for the key after a rest."""
        is_local = state.region == self._region
        if may_return:
            (self.local if is_local else self._remote).append(state)
        elif is_local:
            self._ramping.append(state)

    def add_limited(self, state: EndpointState) -> None:
        """Add an endpoint that is left out for its request limit."""
        if state.region == self._region:
            self._limited_ids.append(state.record.id)

    def candidates(self, unwilling_ids: tuple[str, ...]) -> _Candidates:
        """Return the candidates.

        If there are no others, an endpoint that comes back from a rest gets all that its
        queue can take: fewer requests are refused.
        """
        local = self.local
        if not local and not self._remote:
            local = self._ramping[: self._max_local]
        return _Candidates(local, self._remote, tuple(self._limited_ids), unwilling_ids)


class Placement:
    """Selects endpoints by key and limits the load of each."""

    def __init__(self, *, settings: PlacementSettings, endpoint_registry: EndpointRegistry) -> None:
        self.settings = settings
        # Whether overload control is active; set periodically.
        self.overload_control = False
        # The number of instances that may be running; 0 while it is unknown.
        self.running_instances = 0
        self.connections: ConnectionView = UnlimitedConnections()
        # Attempts without an endpoint under overload control, since the start.
        self.refused_by_reason: Counter[str] = Counter()
        self._endpoint_registry = endpoint_registry
        self._region_by_instance: dict[str, str] = {}
        self._cold_share_by_id_and_rate: dict[tuple[str, float], int] = {}
        self._ranking_by_key: dict[tuple[str, str], list[str]] = {}
        self._ranked_revision = -1
        # The shares in effect of this region's requests.
        self.shares_by_service: dict[str, RegionShares] = {}
        self.capacity_planner = CapacityPlanner(own_region=settings.region)
        self._failing_services: frozenset[str] = frozenset()
        self._spillover_limiter = SpilloverDecayLimiter(window_s=settings.shift_window_s)
        self.endpoint_limiter = EndpointLimiter(
            instance=settings.instance, registry=endpoint_registry.request_limits
        )

    def select_endpoint(
        self, request: PlacementRequest, service_limits: ServiceLimits, now: float
    ) -> Selection | NoCapacity:
        """Return the endpoint for ``request``, or ``NoCapacity`` if none can take it."""
        found = self._candidates(request, service_limits, now)
        local, remote = found.local, found.remote
        if self.endpoint_limiter:
            idle = self._idle_limited_endpoint(request, service_limits, now, has_local=bool(local))
            if idle is not None:
                return idle
        if not local and not remote:
            return self._no_endpoint(request, found, now)
        ranked = [*local, *remote]
        candidates = [state for state in ranked if not state.is_slow(now)] or ranked
        if local and self._spillover_limiter.decays_too_fast(
            now, max_decrease=self.settings.max_spill_decrease
        ):
            # Shortly after startup: spilled traffic would return too fast.
            candidates = [
                state for state in remote if state.load(now) < state.record.slots
            ] or candidates
        if self.overload_control:
            choice = self._select_in_time(candidates, request, service_limits, now)
        else:
            choice = earliest_completion(candidates, request, now)
        if isinstance(choice, Selection):
            spilled = bool(local) and choice.endpoint in remote
            self._spillover_limiter.record_request(now, spilled=spilled)
            if found.limited_ids or found.unwilling_ids:
                return replace(
                    choice, limited_ids=found.limited_ids, unwilling_ids=found.unwilling_ids
                )
        return choice

    def spilled_share(self, now: float) -> float:
        """Return the share (0..1) of recent requests that spilled over."""
        return self._spillover_limiter.spilled_share(now)

    def update_instances(self, region_by_instance: Mapping[str, str]) -> None:
        """Set the instances among which limits are divided, with their regions."""
        if self._region_by_instance != region_by_instance:
            self._region_by_instance = dict(region_by_instance)
            self._cold_share_by_id_and_rate.clear()

    def update_endpoint_limits(self, fleet: FleetView, now: float) -> None:
        """Update the instances among which the request limits of endpoints are divided."""
        limited = self._endpoint_registry.limited_endpoints()
        self.endpoint_limiter.update(fleet, [state for state, _ in limited], now)

    def update_failing_services(self, now: float) -> None:
        """Ignore ejections in services with too many failing endpoints.

        When many endpoints fail part of their requests at the same time, ejecting
        them leaves none to serve: every request would be refused although, for
        example, half of them would succeed.
        """
        services = []
        for service in self._endpoint_registry.ids_by_service:
            states = self._endpoint_registry.endpoints_of(service)
            failing = sum(state.health.is_failing(now) for state in states)
            if failing > len(states) * MAX_EJECTED_FRACTION:
                services.append(service)
        self._failing_services = frozenset(services)

    def update_region_shares(
        self,
        demand_by_region: Mapping[str, Mapping[str, float]],
        now: float = 0.0,
        *,
        is_overload_control_active: bool = False,
    ) -> None:
        """Update the region shares for a demand (requests a second) by service and region."""
        planner = self.capacity_planner
        if is_overload_control_active:
            planner.update(demand_by_region, self._endpoint_registry.processing_by_service, now)
        else:
            planner.reset()
        for service in self._endpoint_registry.ids_by_service:
            slots = self._slots_by_region(service)
            if is_overload_control_active:
                target = planner.target_shares(service, slots, now)
            else:
                target = target_region_shares(
                    own_region=self.settings.region,
                    slots=slots,
                    demand=demand_by_region.get(service, {}),
                )
            shares = self.shares_by_service.get(service)
            if shares is None:
                shares = RegionShares(
                    own_region=self.settings.region, max_step=self.settings.max_share_step
                )
                self.shares_by_service[service] = shares
            moves_traffic = not is_overload_control_active or planner.has_had_demand(service)
            shares.update(target, slots, moves_traffic=moves_traffic)

    def record_sent(self, state: EndpointState, now: float) -> None:
        """Count a request sent to ``state`` against the limits that apply to it."""
        if state.is_cold(now):
            state.cold_limiter.record_sent(now)
        if self.endpoint_limiter:
            self.endpoint_limiter.record_sent(state, now)

    def _candidates(
        self, request: PlacementRequest, service_limits: ServiceLimits, now: float
    ) -> '_Candidates':
        """Return the key's candidates in its region, and those elsewhere."""
        region = self._region_of(request)
        by_id = self._endpoint_registry.by_id
        collector = _CandidateCollector(
            region=region,
            max_local=MANY_LOCAL_CANDIDATES if self.overload_control else LOCAL_CANDIDATES,
            max_remote=MANY_REMOTE_CANDIDATES if self.overload_control else REMOTE_CANDIDATES,
        )
        for endpoint_id in self._ranking(request):
            state = by_id[endpoint_id]
            if not collector.has_room_for(state) or endpoint_id in request.tried_endpoint_ids:
                continue
            if not self._is_eligible(state, request.route, service_limits, now):
                continue
            if self.endpoint_limiter and not self.endpoint_limiter.allows(state, now):
                collector.add_limited(state)
            else:
                collector.add(state, may_return=state.announced.accepts_key(request.key, now))
        unwilling_ids: tuple[str, ...] = ()
        if self._endpoint_registry.announcements:
            ranked = (by_id[endpoint_id] for endpoint_id in self._ranking(request))
            unwilling_ids = _unwilling_ids(ranked, now, region=region, first=collector.local[:1])
        return collector.candidates(unwilling_ids)

    def _select_in_time(
        self,
        candidates: Sequence[EndpointState],
        request: PlacementRequest,
        service_limits: ServiceLimits,
        now: float,
    ) -> Selection | NoCapacity:
        """Return the best of ``candidates`` to which there may be a connection."""
        share = connection_share(service_limits.max_connections, instances=self.running_instances)

        def setup_s(state: EndpointState) -> float:
            if self.connections.has_idle(state.record.incarnation, now):
                return 0.0
            round_trips = self._endpoint_registry.round_trips
            return max(MIN_CONNECTION_SETUP_S, round_trips.round_trip_s(state.record.zone))

        connectable = [
            state
            for state in candidates
            if self.connections.may_carry(state.record.incarnation, share=share, now=now)
        ]
        choice: Selection | NoCapacity = NoCapacity(reason='every share of connections is used')
        if connectable:
            choice = earliest_in_time(connectable, request, now, setup_s=setup_s)
        if isinstance(choice, Selection):
            return replace(choice, connection_share=share)
        self.refused_by_reason[choice.reason] += 1
        return choice

    def _idle_limited_endpoint(
        self,
        request: PlacementRequest,
        service_limits: ServiceLimits,
        now: float,
        *,
        has_local: bool,
    ) -> Selection | None:
        """Return an endpoint whose request limit would not be used up otherwise.

        The keys of one instance alone may not use up its share: in a large fleet, it has
        few requests for the keys of each endpoint.
        """
        region = self._region_of(request)
        limiter = self.endpoint_limiter
        limiter.record_demand(request.service, region, now)
        if not has_local:
            for other_region in self._slots_by_region(request.service).keys() - {region}:
                limiter.record_demand(request.service, other_region, now)
        for limited in limiter.idle_endpoints(request.service, region, now):
            state = self._endpoint_registry.by_id.get(limited.record.id)
            if state is None or limited.record.id in request.tried_endpoint_ids:
                continue
            load = state.load(now)
            if load < state.record.slots * SPILL_MAX_USED_FRACTION and self._is_eligible(
                state, request.route, service_limits, now
            ):
                rank = self._ranking(request).index(state.record.id)
                expected_s = state.expected_s(request.key, load, now)
                return Selection(endpoint=state, load=load, rank=rank, expected_s=expected_s)
        return None

    def _no_endpoint(
        self, request: PlacementRequest, found: '_Candidates', now: float
    ) -> NoCapacity:
        if not found.limited_ids:
            return NoCapacity(
                reason='no endpoint is usable',
                load_summary=', '.join(found.unwilling_ids),
                retry_after_s=_earliest_rest_end_s(
                    self._endpoint_registry.endpoints_of(request.service), request.route, now
                ),
            )
        return NoCapacity(
            reason='every endpoint is at its request limit',
            load_summary=', '.join(found.limited_ids),
            retry_after_s=self.endpoint_limiter.retry_after_s(request.service, now),
        )

    def _region_of(self, request: PlacementRequest) -> str:
        """Return the region in which the request's key should run."""
        allowed = request.route.regions
        shares = self.shares_by_service.get(request.service)
        region = shares.region_of(request.key) if shares else None
        if region is None:
            region = self.settings.region
        if not allowed or region in allowed:
            return region
        if self.settings.region in allowed:
            return self.settings.region
        return max(allowed, key=lambda name: rendezvous_score(request.key, name))

    def _slots_by_region(self, service: str) -> dict[str, float]:
        slots: dict[str, float] = {}
        for state in self._endpoint_registry.endpoints_of(service):
            usable = not (
                state.is_leaving or state.record.zone in self._endpoint_registry.evacuated_zones
            )
            slots[state.region] = slots.get(state.region, 0.0) + state.record.slots * usable
        return slots

    def _is_eligible(
        self, state: EndpointState, route: Route, service_limits: ServiceLimits, now: float
    ) -> bool:
        record = state.record
        if not state.accepts_requests(now):
            return False
        if record.zone in self._endpoint_registry.evacuated_zones:
            return False
        if route.regions and state.region not in route.regions:
            return False
        include_failing = state.record.service in self._failing_services
        if not state.health.is_usable(now, include_failing=include_failing):
            return False
        return not state.is_cold(now) or state.cold_limiter.allows(
            now, share=self._cold_share(state, service_limits)
        )

    def _cold_share(self, state: EndpointState, service_limits: ServiceLimits) -> int:
        settings = self.settings
        max_rate = service_limits.cold_requests_per_s * settings.cold_over + settings.cold_slack
        known = self._cold_share_by_id_and_rate.get((state.record.id, max_rate))
        if known is not None:
            return known
        share = cold_share(
            max_rate=max_rate,
            instance=settings.instance,
            region_by_instance=self._region_by_instance,
            endpoint_id=state.record.id,
            region=state.region,
        )
        self._cold_share_by_id_and_rate[(state.record.id, max_rate)] = share
        return share

    def _ranking(self, request: PlacementRequest) -> list[str]:
        if self._ranked_revision != self._endpoint_registry.revision:
            self._ranking_by_key.clear()
            self._cold_share_by_id_and_rate.clear()
            self._ranked_revision = self._endpoint_registry.revision
        cache_key = (request.service, request.key)
        ranking = self._ranking_by_key.get(cache_key)
        if ranking is None:
            if len(self._ranking_by_key) >= MAX_CACHED_RANKINGS:
                self._ranking_by_key.clear()
            ids = self._endpoint_registry.ids_by_service.get(request.service, ())
            ranking = sorted(
                ids, key=lambda endpoint_id: -rendezvous_score(request.key, endpoint_id)
            )
            self._ranking_by_key[cache_key] = ranking
        return ranking


def _unwilling_ids(
    ranked: Iterable[EndpointState], now: float, *, region: str, first: Sequence[EndpointState]
) -> tuple[str, ...]:
    """Return the endpoints of ``region`` ranked before ``first`` that want no requests."""
    passed_over = takewhile(lambda state: state not in first, ranked)
    return tuple(
        state.record.id
        for state in passed_over
        if state.region == region and not state.accepts_requests(now)
    )


def _earliest_rest_end_s(
    endpoints: Iterable[EndpointState], route: Route, now: float
) -> float | None:
    """Return the time until the first of ``endpoints`` is back, if all that stay are resting."""
    ends = [
        state.announced.rest_ends_at
        for state in endpoints
        if not state.is_leaving and (not route.regions or state.region in route.regions)
    ]
    earliest = min(ends, default=now)
    return earliest - now if earliest > now else None
