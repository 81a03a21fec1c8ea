"""Request limits that endpoints name, on the product's own interface."""

from collections.abc import Collection, Iterable, Sequence
from http import HTTPStatus
from typing import NamedTuple

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.lookup import Member
from plantainloft_core.model import Configuration, Endpoint
from plantainloft_node.endpoint_limits.limiter import EndpointLimiter, FleetView, LimitUsage
from plantainloft_node.endpoint_limits.registry import EndpointLimitRegistry, endpoint_number
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.headers import find_all_headers
from plantainloft_node.engine.upstream_connection import ResponseHead
from plantainloft_node.recent_instances import RecentInstances

__all__ = ['NodeEndpointLimits', 'limit_header_values']

REQUEST_LIMIT_HEADERS = HeaderNames().request_limit


class _LimitedEndpoint(NamedTuple):
    """An endpoint; ``region`` is its availability zone, the area that divides its limit.

    Nodes prefer the endpoints of their own zone.
    """

    record: EndpointRecord
    region: str


class NodeEndpointLimits:
    """Keeps this node's part of the limits that endpoints name."""

    def __init__(self, *, instance: str, zone: str) -> None:
        """``instance`` is the name of this node, ``zone`` its availability zone."""
        self._zone = zone
        self.registry = EndpointLimitRegistry()
        self._limiter = EndpointLimiter(instance=instance, registry=self.registry)
        self._recent_instances = RecentInstances()

    def endpoints_at_limit(
        self, config: Configuration, service: str, now: float
    ) -> Collection[str]:
        """Return the endpoints of ``service`` that must get no more requests now."""
        if not self.registry:
            return ()
        limited = [
            _limited_endpoint(endpoint) for endpoint in config.endpoints_by_service.get(service, ())
        ]
        self._limiter.record_demand(service, self._zone, now)
        return [
            endpoint.record.id for endpoint in limited if not self._limiter.allows(endpoint, now)
        ]

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Count a request sent to ``endpoint``."""
        if self.registry:
            self._limiter.record_sent(_limited_endpoint(endpoint), now)
            self._limiter.record_demand(endpoint.service, endpoint.zone, now)

    def record_response(
        self, endpoint: Endpoint, head: ResponseHead, *, sent_at: float, now: float
    ) -> None:
        """Record the limit that a response names, or that it names none."""
        header_values = limit_header_values(head)
        if header_values or head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            incarnation = _limited_endpoint(endpoint).record.incarnation
            self.registry.record_response(incarnation, header_values, sent_at=sent_at, now=now)

    def update(self, config: Configuration, live: Iterable[Member], now: float) -> None:
        """Update the nodes that divide the limits; ``live`` includes this node."""
        members = list(live)
        zone_by_name = self._recent_instances.update(members, now)
        if not self.registry:
            return
        reachable = frozenset(member.name for member in members) & zone_by_name.keys()
        fleet = FleetView(
            region_by_instance=zone_by_name,
            reachable_instances=reachable,
            reachable_fraction=len(reachable) / max(1, len(zone_by_name)),
        )
        self._limiter.update(fleet, self._limited(config), now)

    def usage(self, config: Configuration, now: float) -> list[LimitUsage]:
        """Return the limits that endpoints name, with this node's use of them."""
        usages = []
        for endpoint in self._limited(config):
            known = self.registry.get(endpoint_number(endpoint.record.incarnation))
            if known is not None:
                usages.append(self._limiter.usage(endpoint, known, now))
        return usages

    def _limited(self, config: Configuration) -> list[_LimitedEndpoint]:
        numbers = self.registry.numbers()
        endpoints = map(_limited_endpoint, config.endpoints_by_name.values())
        return [
            endpoint
            for endpoint in endpoints
            if endpoint_number(endpoint.record.incarnation) in numbers
        ]


def limit_header_values(head: ResponseHead) -> Sequence[bytes]:
    """Return the limits that a response names."""
    return find_all_headers(head.headers, REQUEST_LIMIT_HEADERS)


def _limited_endpoint(endpoint: Endpoint) -> _LimitedEndpoint:
    # A restarted endpoint keeps its name here, and so the limit that it named before,
    # until its first response without one.
    record = EndpointRecord(
        id=endpoint.name,
        service=endpoint.service,
        address=endpoint.address,
        zone=endpoint.zone,
        slots=endpoint.slots,
        draining=False,
        cold_s=0.0,
    )
    return _LimitedEndpoint(record, endpoint.zone)
