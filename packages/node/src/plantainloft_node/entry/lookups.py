"""Handlers of look-up requests and of the readiness check."""

import json
from abc import abstractmethod
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import parse_qs

import anyio

from plantainloft_core.routes import CallerLimits
from plantainloft_node.capacity.usage import InstanceCapacity
from plantainloft_node.engine.exchange import Exchange, ExchangeHandler
from plantainloft_node.entry.capacity_control import CapacityControl
from plantainloft_node.entry.component_parameters import UPDATE_INTERVAL_S
from plantainloft_node.fleet.lookup_shares import LookupPositions, sample, weights_by_capacity
from plantainloft_node.fleet.membership import FleetMember, FleetMembership
from plantainloft_node.fleet.reports import member_key

__all__ = ['LocalHandler', 'LookupHandler', 'ReadyHandler', 'front_addresses']

MAX_ADDRESSES = 64
MIN_ADDRESSES_IN_ZONE = 2
# Regions and zones whose weights are kept. Callers may name any text as their zone.
MAX_PLACES = 64
JSON_TYPE = (b'content-type', b'application/json')
_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE


class LocalHandler(ExchangeHandler):
    """Answers requests from this instance's own state, without forwarding them."""

    def limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()

    def is_idempotent(self, exchange: Exchange) -> bool:
        """Return True: these requests have no side effects and may be repeated."""
        return True

    async def handle(self, exchange: Exchange) -> None:
        """Answer with the status and body that ``reply`` returns."""
        status, body = self.reply(exchange)
        await exchange.respond(status, [JSON_TYPE], body)

    @abstractmethod
    def reply(self, exchange: Exchange) -> tuple[int, bytes]:
        """Return the status and the JSON body of the response."""


class ReadyHandler(LocalHandler):
    """Answers the readiness check."""

    def __init__(self, *, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def reply(self, exchange: Exchange) -> tuple[int, bytes]:
        """Return 200 if the instance is ready, else 503."""
        return (HTTPStatus.OK if self._ready() else _UNAVAILABLE), b'{}'


class _Weighed(NamedTuple):
    """The weights of ``candidates``, which are used until ``until``."""

    candidates: list[FleetMember]
    weights: list[float] | None
    until: float


class LookupHandler(LocalHandler):
    """Answers look-ups with the addresses of the entry instances to connect to."""

    def __init__(
        self,
        *,
        members: FleetMembership,
        ready: Callable[[], bool],
        ttl_s: Callable[[], float],
        capacity: CapacityControl,
    ) -> None:
        """``capacity`` is that of this instance."""
        self._capacity = capacity
        self._positions = LookupPositions(instance=members.local_member.name)
        self._weighed_by_place: dict[tuple[str, str], _Weighed] = {}
        self._members = members
        self._ready = ready
        self._ttl_s = ttl_s

    def reply(self, exchange: Exchange) -> tuple[int, bytes]:
        """Return the addresses and how long a caller may cache them."""
        query = parse_qs(exchange.query)
        region = query.get('region', [''])[0]
        zone = query.get('zone', [''])[0]
        serving = self._members.serving_peers(anyio.current_time())
        if self._ready():
            serving.append(self._members.local_member)
        addresses = self._addresses_by_capacity(serving, region=region, zone=zone)
        if addresses is None:
            addresses = front_addresses(serving, region=region, zone=zone)
        if not addresses:
            return _UNAVAILABLE, b'{}'
        ttl = f'{self._ttl_s():g}s'
        return HTTPStatus.OK, json.dumps({'addresses': addresses, 'ttl': ttl}).encode()

    def _addresses_by_capacity(
        self, serving: list[FleetMember], *, region: str, zone: str
    ) -> list[str] | None:
        """Return a selection by capacity; ``None`` if capacities are equal or don't count."""
        own = self._capacity.reported()
        if own is None or len(serving) < MIN_ADDRESSES_IN_ZONE:
            return None
        candidates = _ordered_candidates(serving, region=region, zone=zone)
        weights = self._weights(candidates, own, place=(region, zone))
        if weights is None:
            return None
        named = sample(weights, self._positions.next_position())
        return [candidates[index].caller_address for index in named]

    def _weights(
        self, candidates: list[FleetMember], own: InstanceCapacity, *, place: tuple[str, str]
    ) -> list[float] | None:
        now = anyio.current_time()
        weighed = self._weighed_by_place.get(place)
        if weighed is not None and now < weighed.until and weighed.candidates == candidates:
            return weighed.weights
        known = self._members.capacities
        local_member = self._members.local_member
        capacities = [
            own if one == local_member else known.get(member_key(one), now) for one in candidates
        ]
        weights = weights_by_capacity(capacities, self._capacity.meter.request_cost)
        if len(self._weighed_by_place) >= MAX_PLACES:
            self._weighed_by_place.clear()
        self._weighed_by_place[place] = _Weighed(candidates, weights, now + UPDATE_INTERVAL_S)
        return weights


def front_addresses(serving: list[FleetMember], *, region: str, zone: str) -> list[str]:
    """Return the addresses for callers in ``region`` and ``zone``, at most 64.

    - The instances of the caller's zone, because traffic between zones is
      charged for.
    - If the zone has fewer than two, those of the caller's region, so that a
      caller has an alternative when an instance fails.
    - If the region has none, all instances, so that the callers of a region do
      not all connect to the same one.
    """
    ordered = _ordered_candidates(serving, region=region, zone=zone)
    return [member.caller_address for member in ordered[:MAX_ADDRESSES]]


def _ordered_candidates(serving: list[FleetMember], *, region: str, zone: str) -> list[FleetMember]:
    in_region = [member for member in serving if member.region == region]
    in_zone = [member for member in in_region if member.zone == zone]
    selected = in_zone if len(in_zone) >= MIN_ADDRESSES_IN_ZONE else in_region or serving
    return sorted(selected, key=lambda member: (member.zone != zone, member.name))
