"""The components by which endpoints are reached, directly or through peers."""

from typing import NamedTuple

from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.links.prober import LinkProber
from plantainloft_node.placement.endpoints import EndpointRegistry
from plantainloft_node.quarantine.crash_detector import EndpointAttempt
from plantainloft_node.tunnels.announcements import AnnouncementForwarder
from plantainloft_node.tunnels.client import TunnelClient
from plantainloft_node.tunnels.connector import FallbackConnector
from plantainloft_node.tunnels.server import TunnelServer

__all__ = ['EndpointLinks', 'build_endpoint_links']


class EndpointLinks(NamedTuple):
    """The components that open connections to endpoints and watch the links to them."""

    monitor: LinkMonitor
    connector: FallbackConnector
    client: TunnelClient
    server: TunnelServer
    prober: LinkProber
    announcements: AnnouncementForwarder
    endpoint_registry: EndpointRegistry

    async def has_ended(self, attempt: EndpointAttempt) -> bool:
        """Return whether the endpoint of ``attempt`` has ended."""
        state = self.endpoint_registry.find(attempt.incarnation)
        return state is None or await self.connector.is_gone(state)


def build_endpoint_links(
    *, names: HeaderNames, members: FleetMembership, endpoint_registry: EndpointRegistry
) -> EndpointLinks:
    """Return the components, which share one monitor."""
    monitor = LinkMonitor(on_change=endpoint_registry.forget_failures)
    client = TunnelClient(members=members, id_header=names.request_id)
    announcements = AnnouncementForwarder(members=members, endpoint_registry=endpoint_registry)
    connector = FallbackConnector(
        links=monitor,
        id_header=names.request_id,
        tunnels=client,
        endpoint_registry=endpoint_registry,
        on_signals=announcements.forward,
    )
    return EndpointLinks(
        monitor=monitor,
        connector=connector,
        client=client,
        server=TunnelServer(
            members=members, connector=connector, endpoint_registry=endpoint_registry
        ),
        prober=LinkProber(links=monitor, connector=connector, endpoint_registry=endpoint_registry),
        announcements=announcements,
        endpoint_registry=endpoint_registry,
    )
