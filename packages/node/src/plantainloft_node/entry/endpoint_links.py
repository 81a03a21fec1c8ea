"""The components by which endpoints are reached, directly or through peers."""

from typing import NamedTuple

import anyio

from plantainloft_node.engine.connection_pool import ConnectionPool
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
    pool: ConnectionPool

    async def has_ended(self, attempt: EndpointAttempt) -> bool:
        """Return whether the endpoint of ``attempt`` has ended.

        If that is unknown, nothing is reported while links are known to be lost. Else
        the connections to other endpoints decide: if they broke at the same time, the links
        were lost.
        """
        state = self.endpoint_registry.find(attempt.incarnation)
        if state is None:
            return True
        others_are_open = self.pool.others_are_open(attempt.incarnation)
        broke_at = anyio.current_time()
        is_gone = await self.connector.is_gone(state)
        if others_are_open is None:
            # Asked last: this connection may be the first of several to break.
            others_broke = self.monitor.broken.includes_others(attempt.incarnation, broke_at)
            others_are_open = not others_broke
        if is_gone is None:
            # Connections that have fallen silent look open.
            links_are_lost = self.monitor.is_isolated or self.monitor.is_lost(state.record.zone)
            return others_are_open and not links_are_lost
        return is_gone


def build_endpoint_links(
    *,
    names: HeaderNames,
    members: FleetMembership,
    endpoint_registry: EndpointRegistry,
    pool: ConnectionPool,
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
        pool=pool,
    )
