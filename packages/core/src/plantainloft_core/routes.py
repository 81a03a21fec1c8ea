"""Routes: which requests go to which service, and how they are forwarded.

A ``RouteTable`` is one numbered version of all the declared settings that
forwarding uses. It is immutable, so a request that keeps a reference to it
sees the same version from start to end.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainloft_core.organisations import NO_ORGANISATIONS, Organisation, OrganisationIndex

__all__ = [
    'NO_REGIONS',
    'CallerLimits',
    'Route',
    'RouteTable',
    'ServiceLimits',
    'WeightedService',
    'build_route_table',
]

# For a route whose requests may run in no region: a set that no region is in.
# An empty set would mean all regions.
NO_REGIONS = frozenset(('',))


class WeightedService(NamedTuple):
    """A service and its relative weight in the traffic split of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route for the requests to ``host`` whose path starts with ``prefix``.

    ``timeout_s`` is the longest time that a caller waits, ``max_attempts`` the
    number of endpoints that a request may be sent to, and ``priority`` its rank
    (0 is served first). ``shares`` are the services that the route's requests
    are split over. ``regions`` are the only regions in which requests may run;
    an empty set means all. A ``public`` route requires no key, even if
    organisations are declared. Responses of a route with ``is_download`` are large.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    latency_objective_s: float
    max_attempts: int
    priority: int
    shares: tuple[WeightedService, ...]
    sticky: bool
    regions: frozenset[str]
    public: bool = False
    is_download: bool = False

    def with_organisation_settings(self, organisation: Organisation) -> 'Route':
        """Return this route with the settings of ``organisation`` applied.

        The regions are those that both allow. If there are none, they are
        ``NO_REGIONS``, and no endpoint may be used.
        """
        priority = self.priority if organisation.priority is None else organisation.priority
        regions = self.regions or organisation.regions
        if self.regions and organisation.regions:
            regions = (self.regions & organisation.regions) or NO_REGIONS
        return self._replace(priority=priority, regions=regions)


class ServiceLimits(NamedTuple):
    """The load that endpoints of a service can take.

    ``cold_requests_per_s`` is the number of requests per second that a cold
    endpoint can take, and ``warmup_s`` is how long an endpoint is cold after its
    start.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    cold_requests_per_s: float


class CallerLimits(NamedTuple):
    """Limits on the size and duration of what a caller sends."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable(NamedTuple):
    """One version of all routes, services, limits and organisations.

    ``has_downloads`` says whether any route has large responses.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, ServiceLimits]
    limits: CallerLimits
    organisations: OrganisationIndex = NO_ORGANISATIONS
    has_downloads: bool = False

    @property
    def requires_keys(self) -> bool:
        """Whether routes that are not public require a key."""
        return bool(self.organisations.by_name)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix that matches ``path``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def build_route_table(
    *,
    version: int,
    routes: Iterable[Route],
    services: Iterable[ServiceLimits],
    limits: CallerLimits,
    organisations: OrganisationIndex = NO_ORGANISATIONS,
) -> RouteTable:
    """Return a table with ``routes`` indexed by host, longest prefix first."""
    routes_by_host: dict[str, list[Route]] = {}
    longest_first = sorted(routes, key=lambda route: -len(route.prefix))
    for route in longest_first:
        routes_by_host.setdefault(route.host, []).append(route)
    return RouteTable(
        version=version,
        routes_by_host={host: tuple(host_routes) for host, host_routes in routes_by_host.items()},
        services_by_name={service.name: service for service in services},
        limits=limits,
        organisations=organisations,
        has_downloads=any(route.is_download for route in longest_first),
    )


EMPTY_ROUTE_TABLE = build_route_table(version=0, routes=(), services=(), limits=CallerLimits())
