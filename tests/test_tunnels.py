"""Tunnels between instances: who may open them, how they end, and what they prove."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio
import pytest
from anyio.abc import SocketStream, TaskGroup
from entry_fixtures import (
    ConnectionScript,
    ConnectorChoice,
    ForwardingServer,
    ScriptedConnection,
    ScriptedEndpoint,
    answer_with,
    get_request,
    make_route,
    make_route_table,
    post_request,
    running_forwarding_server,
    signed_ok_response,
)
from tunnel_fixtures import ZONE, TunnelParts, lose_links, start_pair

from plantainloft_node.endpoint_signals.signals import EndpointSignals
from plantainloft_node.engine.attempts import NotSent
from plantainloft_node.engine.connector import (
    ConnectionNeeds,
    DirectConnector,
    EndpointConnector,
)
from plantainloft_node.engine.upstream_connection import UpstreamConnection, connect
from plantainloft_node.entry.endpoint_links import EndpointLinks
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.links.prober import LinkProber
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState
from plantainloft_node.quarantine.crash_detector import EndpointAttempt
from plantainloft_node.quarantine.fingerprints import compute_fingerprint
from plantainloft_node.tunnels.announcements import AnnouncementForwarder
from plantainloft_node.tunnels.client import NoTunnel
from plantainloft_node.tunnels.frames import OpenRequest, OpenResult, pack_open_request

pytestmark = pytest.mark.anyio

WAIT_S = 0.1
PairList = list[tuple[TunnelParts, TunnelParts]]


class PairServer(NamedTuple):
    """A forwarding server without links, its peer, and their endpoints."""

    server: ForwardingServer
    endpoints: list[ScriptedEndpoint]
    user: TunnelParts
    peer: TunnelParts

    @property
    def state(self) -> EndpointState:
        return self.server.endpoint_registry.by_id['i0']

    async def open_tunnel(self) -> UpstreamConnection | NoTunnel:
        return await self.user.client.open(self.state, ConnectionNeeds())


@pytest.fixture
def pairs(monkeypatch: pytest.MonkeyPatch) -> PairList:
    started: PairList = []

    async def make(endpoint_registry: EndpointRegistry, tasks: TaskGroup) -> EndpointConnector:
        started.append(await start_pair(endpoint_registry, tasks))
        return started[-1][0].connector

    monkeypatch.setattr(ConnectorChoice, 'make', staticmethod(make))
    return started


@asynccontextmanager
async def running_pair(pairs: PairList, *scripts: ConnectionScript) -> AsyncIterator[PairServer]:
    async with running_forwarding_server(*scripts) as (server, endpoints):
        user, peer = pairs[-1]
        yield PairServer(server, endpoints, user, peer)


async def connect_to_peer(pair: PairServer, *, local_host: str) -> SocketStream:
    host, _, port = pair.peer.members.local_member.heartbeat_address.rpartition(':')
    return await anyio.connect_tcp(host, int(port), local_host=local_host)


async def answer_until_closed(connection: ScriptedConnection) -> None:
    """Answer without a length and keep the connection open."""
    await connection.read_request()
    await connection.send(b'HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\npart')
    await anyio.sleep_forever()


async def answer_slowly(connection: ScriptedConnection) -> None:
    while True:
        await connection.read_request()
        await anyio.sleep(3 * WAIT_S)
        await connection.send(signed_ok_response(b'ok'))


async def test_a_caller_cannot_pose_as_a_peer(pairs: PairList) -> None:
    """Failure: anybody who reaches the port could open connections to endpoints."""
    async with running_pair(pairs, answer_with(b'')) as pair:
        request = OpenRequest('e1', 'e1-1', pair.state.record.incarnation, 0)
        async with await connect_to_peer(pair, local_host='127.0.0.1') as stream:
            await stream.send(pack_open_request(request))
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()
        assert not pair.endpoints[0].accepted_connections


async def test_a_peer_opens_connections_to_listed_endpoints_only(pairs: PairList) -> None:
    """Failure: an instance could be made to connect to any address."""
    async with running_pair(pairs, answer_with(b'')) as pair:
        record = pair.state.record
        unknown = record._replace(address='127.0.0.1:1').incarnation
        local_host = pair.user.members.local_member.heartbeat_address.partition(':')[0]
        async with await connect_to_peer(pair, local_host=local_host) as stream:
            await stream.send(pack_open_request(OpenRequest('e1', 'e1-1', unknown, 0)))
            assert await stream.receive(1) == bytes((OpenResult.UNKNOWN_ENDPOINT,))


@pytest.mark.parametrize('malformed', [b'\xff\xff', b'\x00\x01\xc1', b'\x00\x02\x91\x07'])
async def test_a_malformed_request_ends_its_connection_only(
    pairs: PairList, malformed: bytes
) -> None:
    """Failure: a malformed message of a peer ended the process."""
    async with running_pair(pairs, answer_with(b'')) as pair:
        local_host = pair.user.members.local_member.heartbeat_address.partition(':')[0]
        async with await connect_to_peer(pair, local_host=local_host) as stream:
            await stream.send(malformed)
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()
        answer = await pair.server.send_request(get_request())
        assert answer.startswith(b'HTTP/1.1 200')


async def test_a_peer_without_links_passes_nothing_on(pairs: PairList) -> None:
    """Failure: requests could go around between instances that reach nothing."""
    async with running_pair(pairs, answer_with(b'')) as pair:
        lose_links(pair.peer.links, anyio.current_time())
        answer = await pair.server.send_request(post_request(b'x'))
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'retry-after' in answer.lower()
        assert not pair.endpoints[0].accepted_connections
        assert pair.peer.server.answers['no_link']
        assert not pair.peer.client.answers


async def test_nothing_is_held_against_an_endpoint_without_a_way_to_it(pairs: PairList) -> None:
    """Failure: endpoints stayed ejected for links that the instance itself had lost."""
    async with running_pair(pairs, answer_with(b'')) as pair:
        lose_links(pair.peer.links, anyio.current_time())
        await pair.server.send_request(get_request())
        assert pair.state.health.is_usable(anyio.current_time())


async def test_a_response_is_incomplete_if_the_peer_ends_before_it(pairs: PairList) -> None:
    """Failure: a response that ends with its connection looked complete when the peer died."""
    async with running_pair(pairs, answer_until_closed) as pair:
        answers: list[bytes] = []

        async def send() -> None:
            answers.append(await pair.server.send_request(post_request(b'x')))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(WAIT_S)
            pair.peer.scope.cancel()
        assert answers[0].startswith(b'HTTP/1.1 502')
        assert len(pair.endpoints[0].requests) == 1
        assert pair.state.health.is_usable(anyio.current_time())


async def test_a_peer_that_shuts_down_cuts_no_request(pairs: PairList) -> None:
    """Failure: requests through a peer were cut when it was restarted."""
    async with running_pair(pairs, answer_slowly) as pair:
        answers: list[bytes] = []

        async def send() -> None:
            answers.append(await pair.server.send_request(post_request(b'x')))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(WAIT_S)
            await pair.peer.server.start_draining()
        assert answers[0].startswith(b'HTTP/1.1 200')
        await anyio.sleep(WAIT_S)
        assert pair.peer.server.open_tunnels == 0
        answer = await pair.server.send_request(post_request(b'x'))
        assert answer.startswith(b'HTTP/1.1 503')
        assert len(pair.endpoints[0].requests) == 1


async def test_a_tunnel_whose_user_reads_nothing_delays_no_shutdown(pairs: PairList) -> None:
    """Guards against a process that is killed at the end of its grace period."""

    async def answer_without_end(connection: ScriptedConnection) -> None:
        await connection.read_request()
        while True:
            await connection.send(b'x' * 65536)

    async with running_pair(pairs, answer_without_end, answer_with(b'')) as pair:
        host = pair.user.members.local_member.heartbeat_address.rpartition(':')[0]
        peer_host, _, port = pair.peer.members.local_member.heartbeat_address.rpartition(':')
        incarnation = pair.state.record.incarnation
        async with await anyio.connect_tcp(peer_host, int(port), local_host=host) as user:
            await user.send(pack_open_request(OpenRequest('e1', 'e1-9', incarnation, 0)))
            await user.send(get_request())
            await anyio.sleep(4 * WAIT_S)
            assert pair.peer.server.open_tunnels == 1
            with anyio.fail_after(2):
                await pair.peer.server.start_draining()


async def test_a_tunnel_that_is_being_opened_when_its_peer_shuts_down_is_refused(
    pairs: PairList, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a tunnel whose user is never asked to give it up."""
    async with running_pair(pairs, answer_with(b'')) as pair:
        connect_at_once = pair.peer.server._connect

        async def connect_slowly(state: EndpointState) -> object:
            await anyio.sleep(WAIT_S)
            return await connect_at_once(state)

        monkeypatch.setattr(pair.peer.server, '_connect', connect_slowly)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pair.server.send_request, get_request())
            await anyio.sleep(WAIT_S / 2)
            await pair.peer.server.start_draining()
        assert pair.peer.server.answers['draining'] == 1
        assert pair.peer.server.open_tunnels == 0


async def test_an_idle_tunnel_is_given_up_when_its_peer_shuts_down(pairs: PairList) -> None:
    """Failure: a request was sent on a tunnel whose peer was about to end."""
    async with running_pair(pairs, answer_with(b'')) as pair:
        await pair.server.send_request(get_request())
        assert pair.peer.server.open_tunnels == 1
        await pair.peer.server.start_draining()
        await anyio.sleep(WAIT_S / 2)
        await pair.server.pool.close_unusable_tunnels(anyio.current_time())
        await anyio.sleep(WAIT_S / 2)
        assert pair.peer.server.open_tunnels == 0
        assert pair.user.client.open_by_peer.total() == 0


async def test_a_tunnel_is_reused_and_closed_with_its_endpoint_connection(
    pairs: PairList,
) -> None:
    async with running_pair(pairs, answer_with(b'')) as pair:
        for _ in range(5):
            await pair.server.send_request(get_request())
        assert pair.peer.server.answers['opened'] == 1
        pair.endpoints[0].stop()
        await anyio.sleep(WAIT_S)
        await pair.server.pool.close_unusable_tunnels(anyio.current_time())
        await anyio.sleep(WAIT_S)
        assert pair.peer.server.open_tunnels == 0


async def test_a_peer_that_reaches_others_confirms_that_an_endpoint_has_ended(
    pairs: PairList,
) -> None:
    """Failure: an endpoint that ended went on being asked for through peers."""
    async with running_pair(pairs, answer_with(b''), answer_with(b'')) as pair:
        pair.endpoints[0].stop()
        await anyio.sleep(WAIT_S)
        tunnel = await pair.open_tunnel()
        assert isinstance(tunnel, NoTunnel)
        assert tunnel.is_unreachable
        assert await pair.user.connector.is_gone(pair.state)
        other = pair.server.endpoint_registry.by_id['i1']
        assert not await pair.user.connector.is_gone(other)


async def test_endpoints_that_ended_are_not_taken_for_lost_links(
    pairs: PairList, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Failure: sound endpoints were not asked after some had crashed, and failures forgotten."""
    monkeypatch.setattr('random.sample', lambda population, count: list(population)[:count])
    async with running_pair(pairs, *[answer_with(b'')] * 5) as pair:
        states = pair.server.endpoint_registry.by_id
        for ended in pair.endpoints[:4]:
            ended.stop()
        await anyio.sleep(WAIT_S)
        for endpoint_id in ('i0', 'i1'):
            tunnel = await pair.user.client.open(states[endpoint_id], ConnectionNeeds())
            assert isinstance(tunnel, NoTunnel)
            assert tunnel.is_unreachable
        assert 'no endpoint is reachable' not in caplog.text


async def test_a_peer_sends_nothing_to_an_endpoint_that_wants_nothing(pairs: PairList) -> None:
    """Failure: an endpoint got requests through a peer that it had told it leaves."""
    async with running_pair(pairs, answer_with(b'')) as pair:
        now = anyio.current_time()
        pair.state.announced.record_response(EndpointSignals(leaves=True), now)
        tunnel = await pair.open_tunnel()
        assert isinstance(tunnel, NoTunnel)
        assert pair.peer.server.answers['unwanted'] == 1


async def test_an_instance_returns_to_its_own_links(pairs: PairList) -> None:
    """Failure: requests went through a peer for good."""
    async with running_pair(pairs, answer_with(b'')) as pair:
        await pair.server.send_request(get_request())
        for _ in range(2):
            await pair.user.connector.test_links(pair.state)
        assert not pair.user.links.is_lost(ZONE)
        await pair.server.pool.close_idle(pair.state.record.incarnation)
        await pair.server.send_request(get_request())
        assert pair.peer.server.answers['opened'] == 1


async def test_a_connection_that_opens_nowhere_is_the_endpoints_fault(pairs: PairList) -> None:
    """Failure: an endpoint that had crashed was not ejected while a peer was asked."""
    async with running_pair(pairs, answer_with(b''), answer_with(b'')) as pair:
        for _ in range(2):
            await pair.user.connector.test_links(pair.state)
        pair.endpoints[0].stop()
        await anyio.sleep(WAIT_S)
        answer = await pair.server.send_request(post_request(b'x', request_id=b'r1'))
        second = await pair.server.send_request(post_request(b'x', request_id=b'r2'))
        assert answer.startswith(b'HTTP/1.1 200')
        assert second.startswith(b'HTTP/1.1 200')
        assert not pair.user.links.is_lost(ZONE)


class HangingConnector(DirectConnector):
    """Connections to endpoints neither open nor fail."""

    async def connect(self, state: EndpointState, needs: ConnectionNeeds) -> NotSent:
        await anyio.sleep_forever()
        raise AssertionError


async def test_a_request_that_was_never_sent_is_refused_at_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: 504 for a request that had only waited for connections, so that it was lost."""

    async def make(_: EndpointRegistry, __: TaskGroup) -> EndpointConnector:
        return HangingConnector(links=LinkMonitor(), id_header=b'')

    monkeypatch.setattr(ConnectorChoice, 'make', staticmethod(make))
    route = make_route(idempotent=False, prefix='/notices/', timeout_s=0.2)
    async with running_forwarding_server(answer_with(b''), table=make_route_table(route)) as (
        server,
        endpoints,
    ):
        answer = await server.send_request(post_request(b'x'))
        assert answer.startswith(b'HTTP/1.1 503')
        assert not endpoints[0].requests


async def test_cold_endpoints_are_tested_if_there_are_no_others(pairs: PairList) -> None:
    """Failure: links lost before a power failure of all endpoints were never tested again."""
    async with running_pair(pairs, answer_with(b'')) as pair:
        pair.state.extend_cold(anyio.current_time() + 60.0)
        prober = LinkProber(
            links=pair.user.links,
            connector=pair.user.connector,
            endpoint_registry=pair.server.endpoint_registry,
        )
        with anyio.move_on_after(2.0):
            await prober.run()
        assert not pair.user.links.is_lost(ZONE)


async def test_the_peer_learns_what_an_endpoint_announced_through_it(pairs: PairList) -> None:
    """Failure: a peer sent requests to an endpoint that had asked for rest on its connection."""
    async with running_pair(pairs, answer_with(b'')) as pair:
        forwarder = AnnouncementForwarder(
            members=pair.peer.members, endpoint_registry=pair.server.endpoint_registry
        )
        incarnation = pair.state.record.incarnation
        assert not await forwarder.answer_call([incarnation, 'yes', 3.0])
        assert not await forwarder.answer_call([incarnation, False, -1.0])
        assert not await forwarder.answer_call(['unknown', False, 3.0])
        assert pair.state.accepts_requests(anyio.current_time())
        assert await forwarder.answer_call([incarnation, False, 3.0])
        assert not pair.state.accepts_requests(anyio.current_time())


async def test_no_crash_is_reported_while_links_are_lost_and_no_peer_answers(
    pairs: PairList,
) -> None:
    """Failure: silent connections that look open made a lost link look like a crash."""
    async with running_pair(pairs, answer_with(b''), answer_with(b'')) as pair:
        pair.peer.scope.cancel()
        await anyio.sleep(WAIT_S)
        other = pair.server.endpoint_registry.by_id['i1']
        await open_idle_connection(pair, other)
        links = EndpointLinks(
            monitor=pair.user.links,
            connector=pair.user.connector,
            client=pair.user.client,
            server=pair.user.server,
            prober=LinkProber(
                links=pair.user.links,
                connector=pair.user.connector,
                endpoint_registry=pair.server.endpoint_registry,
            ),
            announcements=AnnouncementForwarder(
                members=pair.user.members, endpoint_registry=pair.server.endpoint_registry
            ),
            endpoint_registry=pair.server.endpoint_registry,
            pool=pair.server.pool,
        )
        record = pair.state.record
        fingerprint = compute_fingerprint(
            method=b'GET', host=b'', target=b'/', body=b'', address='', credentials=()
        )
        attempt = EndpointAttempt(fingerprint, 'r1', record.incarnation, record.address)
        assert pair.server.pool.others_are_open(record.incarnation)
        assert not await links.has_ended(attempt)


async def open_idle_connection(pair: PairServer, state: EndpointState) -> None:
    connection = await connect(state.record.address)
    connection.usable_until = anyio.current_time() + 60.0
    await pair.server.pool.release(state.record.incarnation, connection)
