"""Request pipeline: admission, idempotency-key claim, forwarding."""

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
from plantainloft_node.forwarding import Forwarder, Request
from plantainloft_node.idempotency import IdempotencyStore, KeyClaim
from plantainloft_node.limits.limiter import RequestLimiter
from plantainloft_node.limits.peer_usage_reports import PeerUsageReports

__all__ = ['Outcome', 'RequestHandler', 'build_request_handler']

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
