"""Forwarders of the product's own interface, with scripted endpoints and peers."""

from collections.abc import Collection, Mapping, Sequence
from typing import Any

import httpx
import msgpack
from anyio.abc import TaskGroup
from entry_fixtures import ConnectionScript, ScriptedEndpoint

from plantainloft_core.lookup import Member
from plantainloft_core.membership_list import MembershipList, MembershipStatus, MemberUpdate
from plantainloft_core.model import Configuration, Endpoint, build_configuration
from plantainloft_core.outcomes import Refused, Unreachable
from plantainloft_core.steering import Choice
from plantainloft_node.endpoint_loads import EndpointLoadTracker
from plantainloft_node.endpoint_selection import EndpointSelector
from plantainloft_node.forwarding import Forwarder
from plantainloft_node.node_endpoint_limits import NodeEndpointLimits
from plantainloft_node.node_requests import Request
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.request_pipeline import Peers, build_forwarder
from plantainloft_node.retry_budget.registry import DEFAULT_RETRY_LIMITS, RetryLimits
from plantainloft_standins.quarantine_store import MemoryQuarantineStore

SERVICE = 'booking'
# Nothing listens there: connections are refused.
UNREACHABLE_ADDRESS = 'http://127.0.0.1:9'


class InTurnSelector(EndpointSelector):
    """Chooses the first endpoint that was not tried."""

    def select(
        self,
        config: Configuration,
        service: str,
        *,
        tried_endpoints: Sequence[Endpoint],
        allowed_regions: Collection[str] = (),
        excluded_endpoints: Collection[str] = (),
    ) -> Choice | Refused:
        for endpoint in config.endpoints_by_service[service]:
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


class PeerNetwork:
    """Delivers calls between nodes that are in one process; acts as ``PeerConnections``."""

    def __init__(self) -> None:
        self.node_by_address: dict[str, OwnNode] = {}
        self.calls: list[tuple[str, str]] = []

    async def call(
        self, address: str, kind: str, content: Any, *, timeout_s: float
    ) -> Any | Unreachable:
        self.calls.append((address, kind))
        node = self.node_by_address.get(address)
        if node is None:
            return Unreachable(reason='down')
        relay = node.forwarder.relay
        handler = relay.handle_reach if kind == 'reach' else relay.handle_relay
        answer = await handler(msgpack.unpackb(msgpack.packb(content)))
        return msgpack.unpackb(msgpack.packb(answer))


class OwnNode:
    """A node's forwarder; the endpoints in ``lost`` can't be reached from it."""

    def __init__(
        self,
        *,
        name: str,
        network: PeerNetwork,
        endpoints: Sequence[Endpoint],
        http: httpx.AsyncClient,
        lost: Collection[str] = (),
        zone: str = 'z',
        retry_limits: RetryLimits = DEFAULT_RETRY_LIMITS,
    ) -> None:
        self.config = make_configuration(
            endpoint._replace(address=UNREACHABLE_ADDRESS) if endpoint.name in lost else endpoint
            for endpoint in endpoints
        )
        self.member = Member(name, zone, f'http://{name}', False, peer_address=name)
        self.members = MembershipList(local_member=self.member, suspicion_timeout_s=1.0)
        self.quarantine = Quarantine(
            crash_registry=CrashRegistry(),
            store=MemoryQuarantineStore(),
            has_no_live_peers=lambda: False,
            broadcast=lambda: None,
        )
        self.forwarder: Forwarder = build_forwarder(
            peers=Peers(self.members, network),  # type: ignore[arg-type]
            config=lambda: self.config,
            endpoint_selector=InTurnSelector(),
            loads=EndpointLoadTracker(http=http, poll_s=1),
            quarantine=self.quarantine,
            endpoint_limits=NodeEndpointLimits(instance=name, zone=zone),
            retry_limits=retry_limits,
        )
        network.node_by_address[name] = self

    def know(self, *nodes: 'OwnNode') -> None:
        """Add ``nodes`` as live members."""
        updates = [MemberUpdate(node.member, MembershipStatus.ALIVE) for node in nodes]
        self.members.apply_updates(updates, 0.0)

    async def forward(self, *, method: str = 'GET', body: bytes = b'') -> object:
        """Forward one request and return its outcome."""
        request = Request(SERVICE, method, 'x', {}, body, deadline=4e9)
        return await self.forwarder.forward(self.config, request)


def make_configuration(endpoints: Any) -> Configuration:
    return build_configuration(
        version=1,
        regions_by_name={},
        services_by_name={},
        endpoints_by_name={endpoint.name: endpoint for endpoint in endpoints},
        client_blocks_by_name={},
    )


async def start_endpoints(
    tasks: TaskGroup, scripts: Sequence[ConnectionScript]
) -> tuple[list[ScriptedEndpoint], list[Endpoint]]:
    """Start an endpoint for each script; return them with their records ``e0``, ``e1``..."""
    scripted = [ScriptedEndpoint(script=script) for script in scripts]
    for one in scripted:
        await tasks.start(lambda *, task_status, current=one: current.run(task_status=task_status))
    records = [
        Endpoint(f'e{number}', SERVICE, 'r', 'z', f'http://{one.address}', 4, 'active')
        for number, one in enumerate(scripted)
    ]
    return scripted, records
