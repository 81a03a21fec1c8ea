"""Request pipeline: admission, idempotency-key claim, forwarding."""

from collections.abc import Callable
from typing import NamedTuple

from plantainloft_core.membership_list import MembershipList
from plantainloft_core.model import Configuration
from plantainloft_core.outcomes import (
    Limited,
    Quarantined,
    Refused,
    Served,
    Unauthorised,
    Unknown,
)
from plantainloft_core.table_client import TableClient
from plantainloft_core.txn_batching import TxnBatcher
from plantainloft_node.admission import AdmissionControl
from plantainloft_node.config import NodeSettings
from plantainloft_node.endpoint_loads import EndpointLoadTracker
from plantainloft_node.endpoint_relay import EndpointRelay
from plantainloft_node.endpoint_selection import EndpointSelector
from plantainloft_node.engine.http_client import HttpClient
from plantainloft_node.forwarding import Forwarder
from plantainloft_node.idempotency import IdempotencyStore, KeyClaim
from plantainloft_node.limits.limiter import RequestLimiter
from plantainloft_node.limits.peer_usage_reports import PeerUsageReports
from plantainloft_node.node_endpoint_limits import NodeEndpointLimits
from plantainloft_node.node_requests import Request
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.retry_budget.registry import RetryLimits
from plantainloft_node.streams import PeerConnections

__all__ = ['Outcome', 'Peers', 'RequestHandler', 'build_forwarder', 'build_request_handler']

Outcome = Served | Refused | Unknown | Quarantined | Unauthorised | Limited


class RequestHandler:
    """Runs the stages of the pipeline for each request."""

    def __init__(
        self,
        *,
        admission: AdmissionControl,
        idempotency_store: IdempotencyStore,
        forwarder: Forwarder,
    ) -> None:
        self.admission = admission
        self._idempotency_store = idempotency_store
        self.run_claim_recovery = idempotency_store.recovery.run
        self._forwarder = forwarder

    async def handle(
        self, config: Configuration, request: Request, *, idempotency_key: str | None
    ) -> Outcome:
        """Process ``request`` under ``config`` and return its outcome."""
        if not config.version:
            return Refused(reason='no configuration yet', retry_after_s=1)
        admitted = self.admission.admit(config, request)
        if not isinstance(admitted, Request):
            return admitted
        outcome = await self._forward(config, admitted, idempotency_key)
        if isinstance(outcome, Refused | Quarantined):
            self.admission.release(admitted.organisation)
        return outcome

    async def _forward(
        self, config: Configuration, request: Request, idempotency_key: str | None
    ) -> Served | Refused | Unknown | Quarantined:
        quarantined = await self._forwarder.check_quarantine(request)
        if quarantined is not None:
            return quarantined
        if idempotency_key is None:
            return await self._forwarder.forward(config, request)
        claim = await self._idempotency_store.claim(request.service, idempotency_key)
        if not isinstance(claim, KeyClaim):
            return claim
        outcome = await self._forwarder.forward(config, request)
        if isinstance(outcome, Served):
            self._idempotency_store.record(claim, outcome)
        elif isinstance(outcome, Refused):
            await self._idempotency_store.release(claim)
        return outcome


class Peers(NamedTuple):
    """The other nodes, and the connections to them."""

    membership_list: MembershipList
    connections: PeerConnections


def build_forwarder(
    *,
    peers: Peers,
    config: Callable[[], Configuration],
    endpoint_selector: EndpointSelector,
    loads: EndpointLoadTracker,
    quarantine: Quarantine,
    endpoint_limits: NodeEndpointLimits,
    retry_limits: RetryLimits,
) -> Forwarder:
    """Build the forwarder; ``config`` returns the configuration in force."""
    client = HttpClient()
    return Forwarder(
        endpoint_selector=endpoint_selector,
        loads=loads,
        quarantine=quarantine,
        endpoint_limits=endpoint_limits,
        retry_limits=retry_limits,
        client=client,
        relay=EndpointRelay(
            client=client,
            membership_list=peers.membership_list,
            peer_connections=peers.connections,
            config=config,
        ),
    )


def build_request_handler(
    *,
    settings: NodeSettings,
    peer_usage_reports: PeerUsageReports,
    client: TableClient,
    batcher: TxnBatcher,
    forwarder: Forwarder,
) -> RequestHandler:
    """Build the request pipeline of the instance that ``settings`` describe."""
    limiter = RequestLimiter(instance=settings.name, settings=settings.limit_parameters)
    return RequestHandler(
        admission=AdmissionControl(limiter=limiter, peer_usage_reports=peer_usage_reports),
        idempotency_store=IdempotencyStore(client=client, batcher=batcher, node=settings.name),
        forwarder=forwarder,
    )
