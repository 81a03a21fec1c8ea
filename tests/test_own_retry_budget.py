"""The product's own interface keeps the retry budget of a service."""

import anyio
import httpx
import pytest
from entry_fixtures import ConnectionScript, ScriptedConnection
from own_forwarders import OwnNode, PeerNetwork, start_endpoints

from plantainloft_core.lookup import Member
from plantainloft_core.membership_list import MembershipList, MembershipStatus, MemberUpdate
from plantainloft_core.outcomes import Refused, Served
from plantainloft_node.membership import max_running_members
from plantainloft_node.retry_budget.registry import RetryLimits

pytestmark = pytest.mark.anyio

REFUSAL = b'{"outcome": "refused", "reason": "full"}'
REQUESTS = 50
RATIO = 0.2


async def refuse(connection: ScriptedConnection) -> None:
    while True:
        await connection.read_request()
        await connection.send(
            b'HTTP/1.1 503 No\r\nContent-Length: %d\r\n\r\n' % len(REFUSAL) + REFUSAL
        )


async def test_requests_turned_away_are_retried_within_the_allowance() -> None:
    """Failure: endpoints that turned requests away got each of them twice."""
    async with httpx.AsyncClient() as http, anyio.create_task_group() as tasks:
        scripted, endpoints = await start_endpoints(tasks, [refuse, refuse])
        node = OwnNode(
            name='n1',
            network=PeerNetwork(),
            endpoints=endpoints,
            http=http,
            retry_limits=RetryLimits(ratio=RATIO, fixed_retries=0.0, window_s=10.0),
        )
        for _ in range(REQUESTS):
            assert isinstance(await node.forward(), Refused)
        tasks.cancel_scope.cancel()
    assert len(scripted[0].requests) == REQUESTS
    assert 0 < len(scripted[1].requests) <= RATIO * REQUESTS
    (usage,) = node.forwarder.retry_budgets.usage(anyio.current_time())
    assert usage.sent == len(scripted[1].requests)
    assert usage.withheld == REQUESTS - usage.sent


async def leave(connection: ScriptedConnection) -> None:
    body = REFUSAL.replace(b'full', b'draining')
    while True:
        await connection.read_request()
        await connection.send(b'HTTP/1.1 503 No\r\nContent-Length: %d\r\n\r\n' % len(body) + body)


async def rest(connection: ScriptedConnection) -> None:
    while True:
        await connection.read_request()
        await connection.send(
            b'HTTP/1.1 503 No\r\nRetry-After: 9\r\nContent-Length: %d\r\n\r\n' % len(REFUSAL)
            + REFUSAL
        )


async def serve(connection: ScriptedConnection) -> None:
    while True:
        await connection.read_request()
        await connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')


@pytest.mark.parametrize('turn_away', [leave, rest])
async def test_a_request_turned_away_by_an_endpoint_that_leaves_or_rests_needs_no_budget(
    turn_away: ConnectionScript,
) -> None:
    """Failure: nodes that had just started refused what such an endpoint had turned away."""
    async with httpx.AsyncClient() as http, anyio.create_task_group() as tasks:
        _, endpoints = await start_endpoints(tasks, [turn_away, serve])
        node = OwnNode(name='n1', network=PeerNetwork(), endpoints=endpoints, http=http)
        assert isinstance(await node.forward(), Served)
        tasks.cancel_scope.cancel()
    (usage,) = node.forwarder.retry_budgets.usage(anyio.current_time())
    assert (usage.sent, usage.withheld) == (0, 0)


def make_member(name: str, *, leaving: bool = False) -> Member:
    return Member(name, 'z', f'http://{name}', leaving)


async def test_a_dead_member_may_be_running_unless_it_has_left() -> None:
    """Failure: both sides of a partition divided fixed retries among themselves only."""
    members = MembershipList(local_member=make_member('n1'), suspicion_timeout_s=1.0)
    names = ('n2', 'n3')
    members.apply_updates(
        [MemberUpdate(make_member(name), MembershipStatus.ALIVE) for name in names], 0.0
    )
    assert max_running_members(members) == 3
    members.apply_updates([MemberUpdate(make_member('n2'), MembershipStatus.DEAD)], 1.0)
    assert max_running_members(members) == 3
    left = MemberUpdate(make_member('n3', leaving=True), MembershipStatus.DEAD)
    members.apply_updates([left], 1.0)
    assert max_running_members(members) == 2
