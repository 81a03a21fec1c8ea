"""A peer that serves tunnels, and an instance without links that uses them."""

import itertools
import socket
from typing import NamedTuple

import anyio
import pytest
from anyio.abc import TaskGroup
from entry_fixtures import HEADER_NAMES, ConnectorChoice

from plantainloft_node.engine.connector import EndpointConnector
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.fleet.reports import FleetMember, Heartbeat
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.placement.endpoints import EndpointRegistry
from plantainloft_node.tunnels import client
from plantainloft_node.tunnels.announcements import AnnouncementForwarder
from plantainloft_node.tunnels.client import TunnelClient
from plantainloft_node.tunnels.connector import FallbackConnector
from plantainloft_node.tunnels.server import TunnelServer

ZONE = 'a'
# In which the peer answers although the tests run on a busy machine.
BUSY_MACHINE_TIMEOUT_S = 10.0
_HOST_NUMBERS = itertools.count(1)


class TunnelParts(NamedTuple):
    """The components of one instance that open and serve tunnels."""

    members: FleetMembership
    links: LinkMonitor
    client: TunnelClient
    connector: FallbackConnector
    server: TunnelServer
    scope: anyio.CancelScope

    async def serve(self) -> None:
        """Serve tunnels until ``scope`` is cancelled, as if the process had ended."""
        with self.scope:
            await self.server.listen(self.members.local_member.heartbeat_address)


def make_member(name: str, *, host: str, zone: str = ZONE, region: str = 'ankara') -> FleetMember:
    with socket.socket() as sock:
        sock.bind((host, 0))
        port = sock.getsockname()[1]
    return FleetMember(name, 1, region, zone, f'{host}:1', f'{host}:{port}')


def make_parts(member: FleetMember, endpoint_registry: EndpointRegistry) -> TunnelParts:
    members = FleetMembership(local_member=member)
    links = LinkMonitor(on_change=endpoint_registry.forget_failures)
    tunnel_client = TunnelClient(members=members, id_header=HEADER_NAMES.request_id)
    announcements = AnnouncementForwarder(members=members, endpoint_registry=endpoint_registry)
    connector = FallbackConnector(
        links=links,
        id_header=HEADER_NAMES.request_id,
        tunnels=tunnel_client,
        endpoint_registry=endpoint_registry,
        on_signals=announcements.forward,
    )
    server = TunnelServer(members=members, connector=connector, endpoint_registry=endpoint_registry)
    return TunnelParts(members, links, tunnel_client, connector, server, anyio.CancelScope())


async def start_pair(
    endpoint_registry: EndpointRegistry, tasks: TaskGroup
) -> tuple[TunnelParts, TunnelParts]:
    """Return an instance whose links are lost, and a peer that serves tunnels."""
    number = next(_HOST_NUMBERS) % 250
    user_member = make_member('e1', host=f'127.0.7.{number}')
    peer_member = make_member('e2', host=f'127.0.6.{number}')
    user = make_parts(user_member, endpoint_registry)
    peer = make_parts(peer_member, endpoint_registry)
    now = anyio.current_time()
    user.members.record_heartbeat(_heartbeat(peer_member), now + 3600.0)
    peer.members.record_heartbeat(_heartbeat(user_member), now + 3600.0)
    lose_links(user.links, now)
    tasks.start_soon(peer.serve)
    await _wait_until_listening(peer_member.heartbeat_address)
    return user, peer


async def _wait_until_listening(address: str) -> None:
    host, _, port = address.rpartition(':')
    with anyio.fail_after(10):
        while True:
            try:
                stream = await anyio.connect_tcp(host, int(port))
            except OSError:
                await anyio.sleep(0.01)
                continue
            await stream.aclose()
            return


def lose_links(links: LinkMonitor, now: float) -> None:
    for incarnation in ('x', 'y'):
        links.record_reached_by_peer(ZONE, incarnation, now, zone_size=2)
    assert links.is_lost(ZONE)


@pytest.fixture
def endpoints_behind_a_peer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have each forwarding server of the test reach its endpoints through a peer."""

    async def make(endpoint_registry: EndpointRegistry, tasks: TaskGroup) -> EndpointConnector:
        user, _ = await start_pair(endpoint_registry, tasks)
        return user.connector

    # There is only one peer: without it, requests are refused.
    monkeypatch.setattr(client, 'REGION_ANSWER_TIMEOUT_S', BUSY_MACHINE_TIMEOUT_S)
    monkeypatch.setattr(ConnectorChoice, 'make', staticmethod(make))


def _heartbeat(member: FleetMember) -> Heartbeat:
    return Heartbeat(member, True, False, {}, {})
