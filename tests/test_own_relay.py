"""Nodes of the product's own interface that lose their links to endpoints."""

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest
from anyio.abc import TaskGroup
from entry_fixtures import ScriptedConnection
from own_forwarders import OwnNode, PeerNetwork, start_endpoints

from plantainloft_core.outcomes import Refused, Served, Unknown
from plantainloft_node.engine.attempts import NotSent
from plantainloft_node.engine.http_client import HttpClient
from plantainloft_node.engine.upstream_connection import UpstreamRequest

pytestmark = pytest.mark.anyio

EVERY_ENDPOINT = ('e0', 'e1')


async def answer(connection: ScriptedConnection) -> None:
    while True:
        await connection.read_request()
        await connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')


async def break_off(connection: ScriptedConnection) -> None:
    await connection.read_request()


@pytest.fixture
async def tasks() -> AsyncIterator[TaskGroup]:
    async with anyio.create_task_group() as group:
        yield group
        group.cancel_scope.cancel()


@pytest.fixture
async def http() -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient() as client:
        yield client


async def test_requests_of_a_node_without_links_go_through_a_peer(
    tasks: TaskGroup, http: httpx.AsyncClient
) -> None:
    """Failure: a node that had lost its links refused every request."""
    scripted, endpoints = await start_endpoints(tasks, [answer, answer])
    network = PeerNetwork()
    cut = OwnNode(name='n1', network=network, endpoints=endpoints, http=http, lost=EVERY_ENDPOINT)
    sound = OwnNode(name='n2', network=network, endpoints=endpoints, http=http)
    cut.know(sound)
    outcomes = [await cut.forward(method='POST', body=b'{}') for _ in range(5)]
    assert all(isinstance(outcome, Served) for outcome in outcomes)
    assert sum(len(one.requests) for one in scripted) == len(outcomes)
    assert scripted[0].requests[0].endswith(b'{}')
    assert [kind for _, kind in network.calls].count('reach') == 1


async def test_a_node_that_nobody_helps_refuses_at_once(
    tasks: TaskGroup, http: httpx.AsyncClient
) -> None:
    """Failure: nodes without links asked each other for each request."""
    scripted, endpoints = await start_endpoints(tasks, [answer, answer])
    network = PeerNetwork()
    nodes = [
        OwnNode(name=name, network=network, endpoints=endpoints, http=http, lost=EVERY_ENDPOINT)
        for name in ('n1', 'n2', 'n3')
    ]
    nodes[0].know(*nodes[1:])
    with anyio.fail_after(2):
        outcomes = [await nodes[0].forward() for _ in range(20)]
    assert all(isinstance(outcome, Refused) for outcome in outcomes)
    assert not any(one.requests for one in scripted)
    assert len(network.calls) == 2


async def test_a_peer_that_fails_on_the_way_leaves_the_outcome_unknown(
    tasks: TaskGroup, http: httpx.AsyncClient
) -> None:
    """Failure: a request that may have run at an endpoint was refused as not run."""
    scripted, endpoints = await start_endpoints(tasks, [break_off])
    network = PeerNetwork()
    cut = OwnNode(name='n1', network=network, endpoints=endpoints, http=http, lost=EVERY_ENDPOINT)
    cut.know(OwnNode(name='n2', network=network, endpoints=endpoints, http=http))
    assert isinstance(await cut.forward(), Unknown)
    assert len(scripted[0].requests) == 1


async def test_an_endpoint_that_a_peer_reaches_has_not_crashed(
    tasks: TaskGroup, http: httpx.AsyncClient
) -> None:
    """Failure: nodes without links reported crashes of sound endpoints."""
    _, endpoints = await start_endpoints(tasks, [answer, answer])
    network = PeerNetwork()
    cut = OwnNode(name='n1', network=network, endpoints=endpoints, http=http, lost=EVERY_ENDPOINT)
    sound = OwnNode(name='n2', network=network, endpoints=endpoints, http=http)
    assert await cut.forwarder.relay.is_gone('e0')
    cut.know(sound)
    assert not await cut.forwarder.relay.is_gone('e0')


async def test_an_endpoint_that_nobody_reaches_has_crashed_unless_all_links_are_lost(
    tasks: TaskGroup, http: httpx.AsyncClient
) -> None:
    _, endpoints = await start_endpoints(tasks, [answer, answer])
    network = PeerNetwork()
    cut = OwnNode(name='n1', network=network, endpoints=endpoints, http=http, lost=EVERY_ENDPOINT)
    also_cut = OwnNode(
        name='n2', network=network, endpoints=endpoints, http=http, lost=EVERY_ENDPOINT
    )
    sound = OwnNode(name='n3', network=network, endpoints=endpoints, http=http, lost=('e0',))
    cut.know(also_cut)
    assert not await cut.forwarder.relay.is_gone('e0')
    cut.know(sound)
    assert await cut.forwarder.relay.is_gone('e1') is False
    await anyio.sleep(1.1)
    assert await cut.forwarder.relay.is_gone('e0')


async def test_the_only_endpoint_of_a_zone_can_crash(
    tasks: TaskGroup, http: httpx.AsyncClient
) -> None:
    """Failure: with one endpoint in each zone no crash was ever counted."""
    _, endpoints = await start_endpoints(tasks, [answer, answer])
    endpoints[1] = endpoints[1]._replace(zone='z2')
    network = PeerNetwork()
    nodes = [
        OwnNode(name=name, network=network, endpoints=endpoints, http=http, lost=('e0',))
        for name in ('n1', 'n2')
    ]
    nodes[0].know(nodes[1])
    assert await nodes[0].forwarder.relay.is_gone('e0')


async def test_a_connection_that_hangs_was_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: a request whose connection never opened ended as unknown at its deadline."""

    async def hang(address: str) -> None:
        await anyio.sleep_forever()

    monkeypatch.setattr('plantainloft_node.engine.http_client.connect', hang)
    request = UpstreamRequest(b'GET', b'/', [], b'', body_complete=True)
    with anyio.fail_after(2):
        outcome = await HttpClient().send('127.0.0.1:9', request)
    assert isinstance(outcome, NotSent)
