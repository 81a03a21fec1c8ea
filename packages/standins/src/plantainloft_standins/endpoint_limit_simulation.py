"""Simulation of endpoints that name request limits, in front of many entry instances.

Runs the production placement, limiters, membership and datagrams of each entry instance
in virtual time, on the simulated fleet. Endpoints answer each request after a random
time, with the limit that they name then.
"""

import math
import random
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.routes import Route, ServiceLimits, WeightedService
from plantainloft_node.entry.component_parameters import UPDATE_INTERVAL_S
from plantainloft_node.fleet.demand import fleet_view
from plantainloft_node.placement.endpoints import EndpointRegistry
from plantainloft_node.placement.placement import (
    Placement,
    PlacementRequest,
    PlacementSettings,
    Selection,
)
from plantainloft_standins.fleet_simulation import FleetModel, ModelInstance

__all__ = ['EndpointLimitSimulation', 'ModelLimit']

SERVICE = 'desk'
SLOTS = 8
KEYS = 200
SETTLE_TIME_S = 8.0
# Bounds of the time that an endpoint takes for a response.
MIN_RESPONSE_S = 0.1
MAX_RESPONSE_S = 0.9
DEADLINE_S = 2.5
_SERVICE_LIMITS = ServiceLimits(
    name=SERVICE,
    health_path='/health',
    max_connections=0,
    warmup_s=0.0,
    cold_requests_per_s=0.0,
)
_ROUTE = Route(
    name='files',
    host='desk.example',
    prefix='/files/',
    idempotent=True,
    timeout_s=DEADLINE_S,
    latency_objective_s=0.5,
    max_attempts=2,
    priority=0,
    shares=(WeightedService(SERVICE, 1.0),),
    sticky=True,
    regions=frozenset(),
)

LimitHeader = Callable[[float], list[bytes]]


class ModelLimit(NamedTuple):
    """The limits of an endpoint: ``header_values`` by seconds since the fleet has settled."""

    endpoint_id: str
    header_values: LimitHeader


class _Arrival(NamedTuple):
    endpoint_id: str
    instance: str
    at: float


class _Node(NamedTuple):
    """An instance and the placement of its current process."""

    instance: ModelInstance
    placement: Placement


class EndpointLimitSimulation:
    """Sends requests through the fleet and records which reached which endpoint.

    ``per_s`` is the number of requests a second of all callers together. If
    ``callers_at`` is empty, all running instances get requests. All times that methods
    take count from when the fleet has settled.
    """

    def __init__(
        self,
        *,
        model: FleetModel,
        limits: Iterable[ModelLimit],
        per_s: float,
        endpoints_per_region: int = 8,
        callers_at: tuple[str, ...] = (),
        seed: int = 0,
    ) -> None:
        self.model = model
        self.callers_at = callers_at
        self.refused = 0
        self.arrivals: list[_Arrival] = []
        self._header_by_endpoint = {limit.endpoint_id: limit.header_values for limit in limits}
        self._rng = random.Random(seed)
        self._per_s = per_s
        self._endpoints_per_region = endpoints_per_region
        self._node_by_name: dict[str, _Node] = {}
        model.start_all()
        self._tick()
        model.run_for(SETTLE_TIME_S)
        self.began_at = model.now
        self._send_next()

    def run_for(self, seconds: float) -> None:
        """Advance virtual time."""
        self.model.run_for(seconds)

    def count(self, endpoint_id: str, since_s: float, until_s: float) -> int:
        """Return the requests that reached an endpoint in this time."""
        return sum(since_s <= at < until_s for at in self._arrival_times(endpoint_id))

    def most_in_window(
        self, endpoint_id: str, window_s: float, *, since_s: float, until_s: float = math.inf
    ) -> int:
        """Return the most arrivals in any window that begins between the two times."""
        times = self._arrival_times(endpoint_id)
        return max(
            (self.count(endpoint_id, at, at + window_s) for at in times if since_s <= at < until_s),
            default=0,
        )

    def _arrival_times(self, endpoint_id: str) -> list[float]:
        return [
            arrival.at - self.began_at
            for arrival in self.arrivals
            if arrival.endpoint_id == endpoint_id
        ]

    def _send_next(self) -> None:
        self.model.after(self._rng.expovariate(self._per_s), self._send_next)
        running = self.model.running()
        names = [name for name in self.callers_at or running if name in running]
        if names:
            self._send(self._node(self._rng.choice(names)))

    def _send(self, node: _Node) -> None:
        now = self.model.now
        request = PlacementRequest(
            route=_ROUTE,
            service=SERVICE,
            key=str(self._rng.randrange(KEYS)),
            tried_endpoint_ids=frozenset(),
            remaining_s=DEADLINE_S,
        )
        selection = node.placement.select_endpoint(request, _SERVICE_LIMITS, now)
        if not isinstance(selection, Selection):
            self.refused += 1
            return
        state = selection.endpoint
        node.placement.record_sent(state, now)
        state.in_flight += 1
        name = node.instance.members.local_member.name
        self.arrivals.append(_Arrival(state.record.id, name, now))
        response_s = self._rng.uniform(MIN_RESPONSE_S, MAX_RESPONSE_S)
        self.model.after(response_s, partial(self._answer, node, selection, now))

    def _answer(self, node: _Node, selection: Selection, sent_at: float) -> None:
        state = selection.endpoint
        state.in_flight -= 1
        if not node.instance.runs:
            return
        header_values = self._header_by_endpoint.get(state.record.id, _no_header)
        now = self.model.now
        state.record_request_limit(header_values(now - self.began_at), sent_at=sent_at, now=now)

    def _tick(self) -> None:
        for name, instance in self.model.instance_by_name.items():
            if instance.runs:
                _update_placement(self._node(name), self.model.now)
        self.model.after(UPDATE_INTERVAL_S, self._tick)

    def _node(self, name: str) -> _Node:
        instance = self.model.instance_by_name[name]
        node = self._node_by_name.get(name)
        if node is None or node.instance is not instance:
            node = _Node(instance, self._make_placement(instance))
            self._node_by_name[name] = node
        return node

    def _make_placement(self, instance: ModelInstance) -> Placement:
        member = instance.members.local_member
        regions = sorted({name.partition('-')[0] for name in self.model.instance_by_name})
        endpoint_registry = EndpointRegistry(
            region_by_zone={f'{region}-z0': region for region in regions}
        )
        endpoint_registry.request_limits = instance.endpoint_limits
        for region in regions:
            for number in range(self._endpoints_per_region):
                endpoint_registry.add_or_update(_endpoint_record(region, number), self.model.now)
        settings = PlacementSettings(
            region=member.region, instance=member.name, cold_over=0.0, cold_slack=0.0
        )
        return Placement(settings=settings, endpoint_registry=endpoint_registry)


def _endpoint_record(region: str, number: int) -> EndpointRecord:
    endpoint_id = f'{region}-ep{number}'
    return EndpointRecord(
        id=endpoint_id,
        service=SERVICE,
        address=f'{endpoint_id}:80',
        zone=f'{region}-z0',
        slots=SLOTS,
        draining=False,
        cold_s=0.0,
    )


def _no_header(at_s: float) -> list[bytes]:
    return []


def _update_placement(node: _Node, now: float) -> None:
    members = node.instance.members
    region_by_instance = members.region_by_limit_sharer(now)
    node.placement.update_instances(region_by_instance)
    if node.placement.endpoint_limiter:
        node.placement.update_endpoint_limits(fleet_view(members, region_by_instance, now), now)
