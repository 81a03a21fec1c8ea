"""One entry instance: the stages observe -> decide -> commit -> apply.

The follower observes the configuration, the load book observes
endpoints, the forwarder decides and sends, the ledger commits claims
for non-idempotent requests.
"""

import logging
import time

import anyio
import httpx
from anyio.abc import TaskStatus

from plantainloft_core.lookup import LookupIndex, Member
from plantainloft_core.outcomes import Refused, Served, Unknown
from plantainloft_core.roster import Roster
from plantainloft_core.serving import serve_until_stopped
from plantainloft_core.steering import (
    HeadroomPolicy,
    NearestRoundRobin,
    SteeringPolicy,
)
from plantainloft_core.table_client import TableClient
from plantainloft_core.txn_batching import TxnBatcher
from plantainloft_node.app import make_app
from plantainloft_node.config import NodeSettings
from plantainloft_node.follower import ConfigFollower
from plantainloft_node.forwarding import Forwarder, Request
from plantainloft_node.idempotency import Claim, IdempotencyLedger
from plantainloft_node.loads import LoadBook
from plantainloft_node.membership import Membership
from plantainloft_node.peering import Handler, Links, Mesh, Traffic, serve_peers
from plantainloft_node.sources import PeerSource
from plantainloft_node.stats import StatsBook

__all__ = ['Node', 'run_node']

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 400
SUSPECT_S = 1.0
MS = 1000


def _myself(settings: NodeSettings) -> Member:
    return Member(
        name=settings.name,
        zone=settings.zone,
        address=settings.advertise,
        leaving=False,
        peer_address=settings.peer_listen,
        # Restarts must supersede what was said of the process before.
        incarnation=int(time.time() * MS),
    )


def make_policy(name: str) -> SteeringPolicy:
    """Return the steering policy named in the settings."""
    if name == 'nearest':
        return NearestRoundRobin()
    return HeadroomPolicy()


class Node:
    """Wires the stages of one entry instance together."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        http: httpx.AsyncClient,
        table: TableClient,
        links: Links,
        traffic: Traffic,
    ) -> None:
        self.settings = settings
        self.traffic = traffic
        self.stats = StatsBook()
        self.roster = Roster(me=_myself(settings), suspect_s=SUSPECT_S)
        self.follower = ConfigFollower(
            client=table,
            poll_s=settings.config_poll_s,
            node_count=lambda: len(self.roster.live()),
        )
        self.mesh = Mesh(
            roster=self.roster,
            links=links,
            version=lambda: self.follower.config.version,
            on_newer=lambda version, address: self.follower.hint(
                version, PeerSource(links=links, address=address)
            ),
        )
        self.follower.on_change = self.mesh.poke
        self.membership = Membership(
            client=table,
            mesh=self.mesh,
            links=links,
            seeds=settings.peer_seeds,
            lease_s=settings.membership_lease_s,
            leave_s=settings.leave_s,
        )
        self.loads = LoadBook(http=http, poll_s=settings.load_poll_s)
        self.batcher = TxnBatcher(client=table, pace_s=settings.claim_pace_s)
        self.ledger = IdempotencyLedger(client=table, batcher=self.batcher, node=settings.name)
        self._index_key = (-1, -1)
        self._index = LookupIndex(config=self.follower.config, members=[])
        self.forwarder = Forwarder(
            http=http,
            policy=make_policy(settings.policy),
            loads=self.loads,
            zone=settings.zone,
        )

    async def listen(self, *, task_status: TaskStatus[None]) -> None:
        """Answer the messages of peers."""
        handler_by_kind: dict[str, Handler] = {
            'beat': self.mesh.handle_beat,
            'roster': self.mesh.handle_roster,
            'changes': self.follower.handle_changes,
            'snapshot': self.follower.handle_snapshot,
        }
        await serve_peers(
            self.settings.peer_listen,
            handler_by_kind,
            traffic=self.traffic,
            task_status=task_status,
        )

    def lookup_index(self) -> LookupIndex:
        """Return the look-up index for the configuration and members now."""
        key = (self.follower.config.version, self.roster.generation)
        if self._index_key != key:
            self._index = LookupIndex(config=self.follower.config, members=self.roster.live())
            self._index_key = key
        return self._index

    async def handle(
        self, request: Request, *, idempotency_key: str | None
    ) -> Served | Refused | Unknown:
        """Forward ``request``, claiming its key first when it has one."""
        config = self.follower.config
        if not config.version:
            return Refused(reason='no configuration yet', retry_after_s=1)
        if idempotency_key is None:
            return await self.forwarder.forward(config, request)
        claim = await self.ledger.claim(request.service, idempotency_key)
        if not isinstance(claim, Claim):
            return claim
        outcome = await self.forwarder.forward(config, request)
        if isinstance(outcome, Served):
            self.ledger.record(claim, outcome)
        elif isinstance(outcome, Refused):
            await self.ledger.release(claim)
        return outcome


async def run_node(settings: NodeSettings) -> None:
    """Run an entry instance until SIGTERM, then stop gracefully."""
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
    async with httpx.AsyncClient(limits=limits) as http:
        table = TableClient(base_url=settings.table_url, timeout_s=settings.table_timeout_s)
        async with anyio.create_task_group() as tasks:
            traffic = Traffic()
            node = Node(
                settings=settings,
                http=http,
                table=table,
                links=Links(tasks=tasks, traffic=traffic),
                traffic=traffic,
            )
            await tasks.start(node.listen)
            tasks.start_soon(node.follower.run)
            tasks.start_soon(node.batcher.run)
            tasks.start_soon(node.membership.run)
            tasks.start_soon(node.mesh.run)
            tasks.start_soon(node.loads.run, lambda: node.follower.config)
            log.info('Node: %s serving on %s.', settings.name, settings.listen)

            async def serve_then_stop() -> None:
                # Run from the task group's host, hypercorn's shutdown and
                # the cancel below ended every planned stop in a CancelledError
                # escaping run_node (a traceback, exit status 1). Serving in a
                # child task keeps the host out of it; the stop is clean.
                await serve_until_stopped(
                    make_app(node),
                    bind=settings.listen,
                    grace_s=settings.grace_s,
                    on_stop=node.membership.leave,
                )
                await node.batcher.flush(within_s=settings.grace_s)
                tasks.cancel_scope.cancel()

            tasks.start_soon(serve_then_stop)
        await table.close()
        log.info('Node: %s stopped.', settings.name)
