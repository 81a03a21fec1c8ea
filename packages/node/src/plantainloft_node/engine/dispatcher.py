"""Obtains the response to one request: choose an endpoint, send, and retry.

What the caller may be told depends on what was sent. A refusal (503 with
``Retry-After``) promises that the request did not run and never will, so it is
given only if nothing was sent or the endpoints themselves reported that they did
not run it. Otherwise only the endpoint's own response, 502 or 504 is correct.
"""

import logging
from http import HTTPStatus
from typing import NamedTuple

import anyio

from plantainloft_core.routes import RouteTable
from plantainloft_node.engine.admitted_request import AdmittedRequest
from plantainloft_node.engine.attempts import (
    Answered,
    Attempts,
    Failed,
    NotRun,
    NotSent,
    PlacementDetails,
    Refusal,
)
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.headers import Headers, forwardable_headers
from plantainloft_node.engine.request_admission import RequestAdmission
from plantainloft_node.engine.responses import request_id
from plantainloft_node.engine.sender import EndpointRequest, Sender
from plantainloft_node.engine.upstream_connection import UpstreamRequest
from plantainloft_node.overload.admission import RejectReason
from plantainloft_node.placement.demand import DemandMeter
from plantainloft_node.placement.placement import NoCapacity, Placement, PlacementRequest, Selection
from plantainloft_node.placement.weighted_round_robin import SmoothWeightedRoundRobin
from plantainloft_node.quarantine.crash_detector import CrashDetector, EndpointAttempt
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.quarantine.fingerprints import RequestFingerprint, compute_fingerprint
from plantainloft_node.quarantine.quarantine import AdmissionDecision, Admitted, Blocked, Quarantine
from plantainloft_node.retry_budget.registry import RetryBudgets

__all__ = ['Dispatcher']

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
# Failed connection attempts after which a request is refused.
MAX_CONNECT_FAILURES = 3
# Misdirected attempts of a request beyond which it is not retried.
MAX_MISDIRECTED = 2


class _Unplaced(NamedTuple):
    """The request is not sent to an endpoint (any more), with the result."""

    result: Refusal | Failed


class Dispatcher:
    """Sends a request to endpoints until it is answered or may not be retried."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        placement: Placement,
        sender: Sender,
        retry_budgets: RetryBudgets,
        crash_detector: CrashDetector,
        quarantine: Quarantine,
        admission: RequestAdmission | None = None,
    ) -> None:
        """Set up the dispatcher; without ``admission``, overload control is always off."""
        self.admission = admission or RequestAdmission(names=names, controller=None)
        self._names = names
        self._crash_detector = crash_detector
        self._quarantine = quarantine
        self._placement = placement
        self._sender = sender
        self.retry_budgets = retry_budgets
        self._round_robin_by_route: dict[str, SmoothWeightedRoundRobin] = {}
        self.demand = DemandMeter()

    @property
    def crash_registry(self) -> CrashRegistry:
        """The crashes of endpoints, by the request that caused them."""
        return self._quarantine.crash_registry

    async def dispatch(
        self, admitted: AdmittedRequest, route_table: RouteTable, attempts: Attempts
    ) -> Answered | Refusal | Failed | Blocked:
        """Return the response, or why there is none.

        May be cancelled at any time; ``attempts`` then tells whether the request may
        have run.
        """
        admission = await self._admit(admitted)
        if isinstance(admission, Blocked):
            return admission
        # The same request has crashed endpoints before and could crash another one.
        send_once = admission != Admitted()
        route = admitted.route
        round_robin = self._round_robin_by_route.setdefault(route.name, SmoothWeightedRoundRobin())
        service = round_robin.next_service(route.shares)
        return await self._send_controlled(
            admitted, service, route_table, attempts, send_once=send_once
        )

    def record_streamed_response(self, attempt: EndpointAttempt, *, complete: bool) -> None:
        """Record how the streamed response of ``attempt`` ended."""
        if complete:
            self._quarantine.record_answer(attempt.fingerprint, anyio.current_time())
        else:
            self._crash_detector.check_after_disconnect(attempt)

    async def _admit(self, admitted: AdmittedRequest) -> AdmissionDecision:
        if not self._quarantine.crash_registry:
            return Admitted()
        return await self._quarantine.admit(self._fingerprint(admitted))

    async def _send_controlled(
        self,
        admitted: AdmittedRequest,
        service: str,
        route_table: RouteTable,
        attempts: Attempts,
        *,
        send_once: bool,
    ) -> Answered | Refusal | Failed:
        """Send the request, and settle its promise and its retries when it has ended."""
        now = anyio.current_time()
        promise = self.admission.begin(admitted, service, attempts, now=now)
        if promise is not None and attempts.admission.has_promise:
            service = promise.service
        self.retry_budgets.record_request(service, now)
        self.demand.record_request(service)
        outcome: Answered | Refusal | Failed | None = None
        try:
            outcome = await self._send_until_final(
                admitted, service, route_table, attempts, send_once=send_once
            )
        finally:
            self.admission.record_outcome(promise, served=isinstance(outcome, Answered))
            if attempts.has_unsent_retry:
                self.retry_budgets.release(service, anyio.current_time())
        return outcome

    async def _send_until_final(
        self,
        admitted: AdmittedRequest,
        service: str,
        route_table: RouteTable,
        attempts: Attempts,
        *,
        send_once: bool,
    ) -> Answered | Refusal | Failed:
        while True:
            outcome = await self._attempt(admitted, service, route_table, attempts)
            if isinstance(outcome, _Unplaced):
                return outcome.result
            if isinstance(outcome, Answered | Failed):
                is_last = send_once or _is_final(outcome)
                if is_last or not self._may_retry_executed(admitted, service, attempts):
                    return outcome
                if isinstance(outcome, Answered) and outcome.body_source is not None:
                    # The rest of a long error response is not read.
                    await outcome.body_source.close()
            elif not self._may_retry_unexecuted(admitted, service, attempts, outcome):
                return self.admission.refuse(
                    attempts,
                    '; '.join(attempts.failure_reasons()),
                    counted_as=RejectReason.NOT_RUN,
                )

    async def _attempt(
        self, admitted: AdmittedRequest, service: str, route_table: RouteTable, attempts: Attempts
    ) -> Answered | NotSent | NotRun | Failed | _Unplaced:
        now = anyio.current_time()
        if not self._may_finish(admitted, now):
            return _Unplaced(self.admission.stop.refuse(attempts))
        remaining_s = admitted.deadline - now
        placement_request = PlacementRequest(
            admitted.route,
            service,
            admitted.affinity_key,
            frozenset(attempts.tried_endpoint_ids),
            remaining_s,
        )
        selection = self._placement.select_endpoint(
            placement_request, route_table.services_by_name[service], now
        )
        if isinstance(selection, NoCapacity):
            attempts.candidate_loads = selection.load_summary
            return _Unplaced(
                self.admission.refuse(
                    attempts,
                    selection.reason,
                    counted_as=RejectReason.NO_ENDPOINT,
                    earliest_s=selection.retry_after_s or 0.0,
                )
            )
        rejection = self.admission.decide(admitted, selection, attempts, now=now)
        if rejection is not None:
            return _Unplaced(rejection)
        self._placement.record_sent(selection.endpoint, now)
        endpoint_request = self._build_endpoint_request(
            admitted,
            selection,
            now,
            strip_organisation_key=route_table.requires_keys,
            attempts=attempts,
        )
        may_have_run_before = attempts.may_have_run
        attempts.current_endpoint_id = selection.endpoint.record.id
        attempts.placement = _placement_details(selection, admitted, now)
        outcome = await self._sender.send(selection.endpoint, endpoint_request)
        attempts.record(
            selection.endpoint.record.id, outcome, may_have_run_before=may_have_run_before
        )
        if isinstance(outcome, Answered):
            self._note_answered(admitted, selection, outcome, attempts)
        else:
            self._note_unanswered(admitted, selection, outcome, attempts)
        return outcome

    def _note_answered(
        self, admitted: AdmittedRequest, selection: Selection, outcome: Answered, attempts: Attempts
    ) -> None:
        # A 5xx does not show that the request is harmless: it may report a deadline that
        # passed before the run reached the point at which it crashes the endpoint.
        if outcome.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return
        if outcome.body_source is None:
            self._quarantine.record_answer(self._fingerprint(admitted), anyio.current_time())
        else:
            attempts.streamed_attempt = self._endpoint_attempt(admitted, selection)

    def _note_unanswered(
        self,
        admitted: AdmittedRequest,
        selection: Selection,
        outcome: NotSent | NotRun | Failed,
        attempts: Attempts,
    ) -> None:
        fields: dict[str, object] = {
            'request': request_id(admitted.exchange, self._names),
            'endpoint': selection.endpoint.record.id,
            'attempt': attempts.attempt_count,
            'load': round(selection.load, 1),
            'outcome': type(outcome).__name__,
            'reason': outcome.reason,
        }
        if attempts.path is not None:
            fields['via'] = attempts.path.peer
            fields['tunnel'] = attempts.path.tunnel
        if isinstance(outcome, Failed) and outcome.connection_lost:
            attempt = self._endpoint_attempt(admitted, selection)
            fields['fingerprint'] = str(attempt.fingerprint)
            self._crash_detector.check_after_disconnect(attempt)
        log.info(
            'Front: attempt at endpoint %s failed: %s.',
            selection.endpoint.record.id,
            outcome.reason,
            extra={'kind': 'try', 'fields': fields},
        )

    def _endpoint_attempt(self, admitted: AdmittedRequest, selection: Selection) -> EndpointAttempt:
        record = selection.endpoint.record
        return EndpointAttempt(
            fingerprint=self._fingerprint(admitted),
            request_id=request_id(admitted.exchange, self._names),
            incarnation=record.incarnation,
            address=record.address,
        )

    def _fingerprint(self, admitted: AdmittedRequest) -> RequestFingerprint:
        exchange = admitted.exchange
        credentials = (exchange.header(name) or b'' for name in self._names.credential_headers)
        return compute_fingerprint(
            method=exchange.method,
            host=exchange.header(b'host') or b'',
            target=exchange.target,
            body=admitted.body,
            address=exchange.peer_host,
            credentials=credentials,
        )

    def _may_retry_executed(
        self, admitted: AdmittedRequest, service: str, attempts: Attempts
    ) -> bool:
        """Return whether a request that may have run may be sent again."""
        if not admitted.route.idempotent or not admitted.body_complete:
            return False
        if self._quarantine.crash_registry.summary_for(
            self._fingerprint(admitted), anyio.current_time()
        ).is_quarantined:
            return False
        return self._take_retry(admitted, service, attempts)

    def _may_retry_unexecuted(
        self,
        admitted: AdmittedRequest,
        service: str,
        attempts: Attempts,
        outcome: NotSent | NotRun,
    ) -> bool:
        """Return whether a request that did not run may be sent to another endpoint."""
        if isinstance(outcome, NotSent):
            return attempts.connect_failures < MAX_CONNECT_FAILURES
        return admitted.body_complete and self._take_retry(admitted, service, attempts)

    def _take_retry(self, admitted: AdmittedRequest, service: str, attempts: Attempts) -> bool:
        if (
            attempts.sent_count >= admitted.route.max_attempts
            or attempts.misdirected_count > MAX_MISDIRECTED
        ):
            attempts.record_withheld_retry('attempts')
            return False
        now = anyio.current_time()
        if now >= admitted.deadline:
            return False
        if not self._may_finish(admitted, now):
            attempts.record_withheld_retry('stopping')
            return False
        if self.retry_budgets.try_acquire(service, now):
            attempts.record_granted_retry()
            return True
        attempts.record_withheld_retry('budget')
        return False

    def _may_finish(self, admitted: AdmittedRequest, now: float) -> bool:
        """Return whether the process still runs when the request has been answered."""
        return self.admission.stop.admits(admitted.route.name, deadline=admitted.deadline, now=now)

    def _build_endpoint_request(
        self,
        admitted: AdmittedRequest,
        selection: Selection,
        now: float,
        *,
        strip_organisation_key: bool,
        attempts: Attempts,
    ) -> EndpointRequest:
        names = self._names
        exchange = admitted.exchange
        replaced_headers = frozenset((names.timeout_ms, names.target_endpoint, names.organisation))
        if strip_organisation_key:
            replaced_headers |= {names.organisation_key}
        if admitted.body_complete and exchange.header(b'transfer-encoding'):
            replaced_headers |= {b'content-length'}
        headers: Headers = forwardable_headers(exchange.headers, exclude=replaced_headers)
        remaining_ms = max(1, int((admitted.deadline - now) * MS_PER_S))
        headers.append((names.timeout_ms, str(remaining_ms).encode()))
        headers.append((names.target_endpoint, selection.endpoint.record.id.encode()))
        if admitted.organisation is not None:
            headers.append((names.organisation, admitted.organisation.name.encode()))
        if exchange.header(b'transfer-encoding'):
            headers.append((b'transfer-encoding', b'chunked'))
        request = UpstreamRequest(
            method=exchange.method,
            target=exchange.target,
            headers=headers,
            body=admitted.body,
            body_complete=admitted.body_complete,
            request_id=exchange.header(names.request_id) or b'',
        )
        return EndpointRequest(
            request=request,
            streamed_body=None if admitted.body_complete else exchange.body,
            route=admitted.route.name,
            affinity_key=admitted.affinity_key,
            had_free_slot=selection.load < selection.endpoint.record.slots,
            is_retry=attempts.attempt_count > 0,
            may_repeat=admitted.route.idempotent and admitted.body_complete,
            priority=admitted.route.priority,
            allowed_regions=admitted.route.regions,
            on_send=attempts.record_send,
            uses_refusal_load=self._placement.overload_control,
            connection_share=selection.connection_share,
        )


def _placement_details(
    selection: Selection, admitted: AdmittedRequest, now: float
) -> PlacementDetails:
    record = selection.endpoint.record
    return PlacementDetails(
        endpoint_id=record.id,
        zone=record.zone,
        region=selection.endpoint.region,
        slots=record.slots,
        load=round(selection.load, 1),
        rank=selection.rank,
        cold=selection.endpoint.is_cold(now),
        served_key_recently=selection.endpoint.recent_keys.contains(admitted.affinity_key, now),
        delay_s=now - admitted.exchange.received_at,
        limited_endpoint_ids=selection.limited_ids,
        unwilling_endpoint_ids=selection.unwilling_ids,
    )


def _is_final(outcome: Answered | Failed) -> bool:
    return isinstance(outcome, Answered) and (
        outcome.head.status < HTTPStatus.INTERNAL_SERVER_ERROR
    )
