"""The product's own interface keeps the retry budget of a service."""

from collections.abc import Collection, Mapping, Sequence

import anyio
import httpx
import pytest
from entry_fixtures import ScriptedConnection, ScriptedEndpoint

from plantainloft_core.lookup import Member
from plantainloft_core.membership_list import MembershipList, MembershipStatus, MemberUpdate
from plantainloft_core.model import Configuration, Endpoint, build_configuration
from plantainloft_core.outcomes import Refused
from plantainloft_core.steering import Choice
from plantainloft_node.endpoint_loads import EndpointLoadTracker
from plantainloft_node.endpoint_selection import EndpointSelector
from plantainloft_node.forwarding import Forwarder, Request
from plantainloft_node.membership import max_running_members
from plantainloft_node.node_endpoint_limits import NodeEndpointLimits
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.retry_budget.registry import RetryLimits
from plantainloft_standins.quarantine_store import MemoryQuarantineStore

pytestmark = pytest.mark.anyio

SERVICE = 'booking'
REFUSAL = b'{"outcome": "refused", "reason": "full"}'
REQUESTS = 50
RATIO = 0.2


class InTurnSelector(EndpointSelector):
    """Chooses the first endpoint that was not tried."""

    def __init__(self, *, endpoints: Sequence[Endpoint]) -> None:
        self._endpoints = endpoints

    def select(
        self,
        config: Configuration,
        service: str,
        *,
        tried_endpoints: Sequence[Endpoint],
        allowed_regions: Collection[str] = (),
        excluded_endpoints: Collection[str] = (),
    ) -> Choice | Refused:
        for endpoint in self._endpoints:
            if endpoint not in tried_endpoints:
                return Choice(endpoint=endpoint)
        return Refused(reason='none is left', retry_after_s=1)

    def record_rejection(self, endpoint: Endpoint) -> None:
        """Do nothing."""

    def update(self, config: Configuration, *, live_peers: Collection[str]) -> None:
        """Do nothing."""

    def shares(self) -> dict[str, dict[str, float]]:
        return {}

    def adopt_shares(self, shares_by_service: Mapping[str, Mapping[str, float]]) -> None:
        """Do nothing."""


async def refuse(connection: ScriptedConnection) -> None:
    while True:
        await connection.read_request()
        await connection.send(
            b'HTTP/1.1 503 No\r\nContent-Length: %d\r\n\r\n' % len(REFUSAL) + REFUSAL
        )


async def test_requests_turned_away_are_retried_within_the_allowance() -> None:
    """Failure: endpoints that turned requests away got each of them twice."""
    scripted = [ScriptedEndpoint(script=refuse) for _ in range(2)]
    async with httpx.AsyncClient() as http, anyio.create_task_group() as tasks:
        for endpoint in scripted:
            await tasks.start(
                lambda *, task_status, current=endpoint: current.run(task_status=task_status)
            )
        endpoints = [
            Endpoint(f'e{number}', SERVICE, 'r', 'z', f'http://{one.address}', 4, 'active')
            for number, one in enumerate(scripted)
        ]
        forwarder = Forwarder(
            endpoint_selector=InTurnSelector(endpoints=endpoints),
            loads=EndpointLoadTracker(http=http, poll_s=1),
            quarantine=Quarantine(
                crash_registry=CrashRegistry(),
                store=MemoryQuarantineStore(),
                has_no_live_peers=lambda: False,
                broadcast=lambda: None,
            ),
            endpoint_limits=NodeEndpointLimits(instance='e1', zone='z'),
            retry_limits=RetryLimits(ratio=RATIO, fixed_retries=0.0, window_s=10.0),
        )
        config = build_configuration(
            version=1,
            regions_by_name={},
            services_by_name={},
            endpoints_by_name={one.name: one for one in endpoints},
            client_blocks_by_name={},
        )
        request = Request(SERVICE, 'GET', 'x', {}, b'', deadline=4e9)
        for _ in range(REQUESTS):
            assert isinstance(await forwarder.forward(config, request), Refused)
        tasks.cancel_scope.cancel()
    assert len(scripted[0].requests) == REQUESTS
    assert 0 < len(scripted[1].requests) <= RATIO * REQUESTS
    (usage,) = forwarder.retry_budgets.usage(anyio.current_time())
    assert usage.sent == len(scripted[1].requests)
    assert usage.withheld == REQUESTS - usage.sent


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
