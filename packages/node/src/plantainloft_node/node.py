"""One entry instance: the components of a node and how they are connected.

The follower tracks the configuration and the load tracker tracks endpoint loads. The
handler admits requests, claims the idempotency keys of non-idempotent ones, and
passes them to the forwarder, which chooses an endpoint and sends them.
"""

import time

import anyio
import httpx
from anyio.abc import TaskStatus

from plantainloft_core.capacity_claims import CapacityClaims
from plantainloft_core.lookup import LookupIndex, Member
from plantainloft_core.membership_list import MembershipList
from plantainloft_core.outcomes import Unreachable
from plantainloft_core.table_client import TableClient
from plantainloft_core.txn_batching import TxnBatcher
from plantainloft_node.config import NodeSettings
from plantainloft_node.config_follower import ConfigFollower
from plantainloft_node.config_sources import PeerConfigSource
from plantainloft_node.endpoint_loads import EndpointLoadTracker, region_headroom
from plantainloft_node.endpoint_selection import (
    UPDATE_INTERVAL_S,
    EndpointSelector,
    NearestZoneSelector,
    TrafficSplitSelector,
)
from plantainloft_node.membership import Membership, max_running_members
from plantainloft_node.node_endpoint_limits import NodeEndpointLimits
from plantainloft_node.node_requests import Request
from plantainloft_node.peering import (
    FrameHandler,
    GossipService,
    PeerConnections,
    PeerTrafficCounter,
    serve_peers,
)
from plantainloft_node.quarantine_table_store import build_node_quarantine
from plantainloft_node.request_pipeline import (
    Outcome,
    Peers,
    build_forwarder,
    build_request_handler,
)
from plantainloft_node.service_stats import ServiceStatsRegistry

__all__ = ['Node']

SUSPICION_TIMEOUT_S = 1.0
ADOPTION_TIMEOUT_S = 2.0
ADOPTION_POLL_INTERVAL_S = 0.05
MS_PER_S = 1000


def _local_member(settings: NodeSettings) -> Member:
    return Member(
        name=settings.name,
        zone=settings.zone,
        address=settings.advertise,
        leaving=False,
        peer_address=settings.peer_listen,
        # A higher incarnation supersedes gossip about the process before a restart.
        incarnation=int(time.time() * MS_PER_S),
    )


def _make_endpoint_selector(
    settings: NodeSettings, *, loads: EndpointLoadTracker, claims: CapacityClaims
) -> EndpointSelector:
    if settings.policy == 'nearest':
        return NearestZoneSelector(loads=loads, zone=settings.zone)
    return TrafficSplitSelector(
        loads=loads, claims=claims, region=settings.region, zone=settings.zone
    )


class Node:
    """Connects the components of one entry instance."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        http: httpx.AsyncClient,
        table: TableClient,
        peer_connections: PeerConnections,
        peer_traffic: PeerTrafficCounter,
    ) -> None:
        self.settings = settings
        self.peer_traffic = peer_traffic
        self._peer_connections = peer_connections
        self.stats = ServiceStatsRegistry()
        self.membership_list = MembershipList(
            local_member=_local_member(settings), suspicion_timeout_s=SUSPICION_TIMEOUT_S
        )
        self.follower = ConfigFollower(
            client=table,
            poll_s=settings.config_poll_s,
            node_count=lambda: len(self.membership_list.live_members()),
        )
        claims = CapacityClaims(home_region=settings.region)
        self._quarantine = build_node_quarantine(
            client=table, membership_list=self.membership_list, broadcast=lambda: self.gossip.wake()
        )
        self._endpoint_limits = NodeEndpointLimits(instance=settings.name, zone=settings.zone)
        self.gossip = GossipService(
            membership_list=self.membership_list,
            claims=claims,
            peer_connections=peer_connections,
            current_position=self.follower.position,
            on_newer_position=lambda position, address: self.follower.note_available_version(
                position, PeerConfigSource(peer_connections=peer_connections, address=address)
            ),
            crash_registry=self._quarantine.crash_registry,
            usage_report=lambda now: self.handler.admission.limiter.usage_report(now),
            endpoint_limits=self._endpoint_limits.registry,
        )
        self.follower.on_config_change = self._on_config_change
        self.membership = Membership(
            client=table,
            gossip=self.gossip,
            peer_connections=peer_connections,
            seeds=settings.peer_seeds,
            lease_s=settings.membership_lease_s,
            leave_s=settings.leave_s,
        )
        self.loads = EndpointLoadTracker(
            http=http,
            poll_s=settings.load_poll_s,
            on_incarnation=lambda name, incarnation: (
                self.forwarder.endpoint_signals.record_incarnation(
                    name, incarnation, anyio.current_time()
                )
            ),
        )
        self.batcher = TxnBatcher(client=table, min_interval_s=settings.claim_interval_s)
        self._index_versions = (-1, -1)
        self._index = LookupIndex(config=self.follower.config, members=[])
        self.endpoint_selector = _make_endpoint_selector(settings, loads=self.loads, claims=claims)
        self.forwarder = build_forwarder(
            peers=Peers(self.membership_list, peer_connections),
            config=lambda: self.follower.config,
            endpoint_selector=self.endpoint_selector,
            loads=self.loads,
            quarantine=self._quarantine,
            endpoint_limits=self._endpoint_limits,
            retry_limits=settings.retry_limits,
        )
        self.handler = build_request_handler(
            settings=settings,
            peer_usage_reports=self.gossip.peer_usage_reports,
            client=table,
            batcher=self.batcher,
            forwarder=self.forwarder,
        )

    async def listen(self, *, task_status: TaskStatus[None]) -> None:
        """Serve calls from peers."""
        handler_by_kind: dict[str, FrameHandler] = {
            'beat': self.gossip.handle_heartbeat,
            'roster': self.gossip.handle_membership_list,
            'splits': self.handle_splits,
            'changes': self.follower.handle_changes,
            'snapshot': self.follower.handle_snapshot,
            'reach': self.forwarder.relay.handle_reach,
            'relay': self.forwarder.relay.handle_relay,
        }
        await serve_peers(
            self.settings.peer_listen,
            handler_by_kind,
            peer_traffic=self.peer_traffic,
            task_status=task_status,
        )

    async def adopt_splits(self) -> None:
        """Copy the current traffic splits of a peer in this region, if there is one.

        Otherwise a node that restarts during an evacuation would send all its traffic
        back to the region that is being evacuated.
        """
        with anyio.move_on_after(ADOPTION_TIMEOUT_S):
            while len(self.membership_list.live_members()) == 1 or not self.follower.config.version:
                await anyio.sleep(ADOPTION_POLL_INTERVAL_S)
        config = self.follower.config
        for peer in self.membership_list.live_members()[1:]:
            if config.region_of_zone(peer.zone) == self.settings.region:
                shares = await self._peer_connections.call(
                    peer.peer_address, 'splits', None, timeout_s=ADOPTION_TIMEOUT_S
                )
                if not isinstance(shares, Unreachable):
                    self.endpoint_selector.adopt_shares(shares)
                    return

    async def run_crash_detection(self) -> None:
        """Run crash checks of endpoints and maintain the quarantine, indefinitely."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._quarantine.run)
            tasks.start_soon(self.forwarder.crash_detector.run)

    async def poll_loads(self) -> None:
        """Poll the endpoints' load reports, indefinitely."""
        await self.loads.run(lambda: self.follower.config, home_region=self.settings.region)

    async def tick(self) -> None:
        """Update the endpoint selector and the admission control periodically."""
        await self.adopt_splits()
        while True:
            live = [member.name for member in self.membership_list.live_members()[1:]]
            self.endpoint_selector.update(self.follower.config, live_peers=live)
            members = self.membership_list.live_members()
            self.handler.admission.tick(self.follower.config, members)
            now = anyio.current_time()
            self._endpoint_limits.update(self.follower.config, members, now)
            self.forwarder.endpoint_signals.remove_expired(self.follower.config, now)
            self._update_retry_budgets(now)
            await anyio.sleep(UPDATE_INTERVAL_S)

    async def handle_splits(self, content: object) -> dict[str, dict[str, float]]:
        """Return this node's current traffic splits to a peer."""
        return self.endpoint_selector.shares()

    def lookup_index(self) -> LookupIndex:
        """Return the look-up index for the current configuration and members."""
        key = (self.follower.config.version, self.membership_list.revision)
        if self._index_versions != key:
            self._index = LookupIndex(
                config=self.follower.config, members=self.membership_list.live_members()
            )
            self._index_versions = key
        return self._index

    def headroom_by_region(self) -> dict[str, float]:
        """Return the free share (0..1) of usable slots in each region."""
        return region_headroom(self.follower.config, self.loads)

    def latency_objective_s(self, service: str) -> float:
        """Return the latency objective of ``service`` in seconds."""
        declared = self.follower.config.services_by_name.get(service)
        return float('inf') if declared is None else declared.slo_ms / MS_PER_S

    async def handle(self, request: Request, *, idempotency_key: str | None) -> Outcome:
        """Handle ``request`` under the active configuration."""
        config = self.follower.config
        return await self.handler.handle(config, request, idempotency_key=idempotency_key)

    def _update_retry_budgets(self, now: float) -> None:
        known = max_running_members(self.membership_list) if self.membership.has_joined else 0
        self.forwarder.retry_budgets.update(instance_count=known, now=now)

    def _on_config_change(self) -> None:
        self.gossip.wake()
        self.loads.wake()
