"""Applies admission control to one request: from its start to its refusal."""

import random

import anyio

from plantainloft_core.routes import Route
from plantainloft_node.engine.admitted_request import AdmittedRequest
from plantainloft_node.engine.attempts import Attempts, Failed, Refusal
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.headers import find_cookie
from plantainloft_node.engine.stop_admission import StopAdmission
from plantainloft_node.overload.admission import (
    Admit,
    Arrival,
    CallerRequest,
    Reject,
    RejectReason,
)
from plantainloft_node.overload.controller import AdmissionController
from plantainloft_node.overload.returns import Promise
from plantainloft_node.placement.answer_prediction import predict_answer
from plantainloft_node.placement.selection import Selection

__all__ = ['RequestAdmission']


# Bounds of Retry-After while overload control is off: about the time in which endpoints
# finish their current requests, with jitter so that refused callers do not all retry at once.
MIN_RETRY_AFTER_S = 0.15
RETRY_AFTER_JITTER_S = 0.35


class RequestAdmission:
    """Translates requests for the admission controller, and its decisions into refusals.

    A request that begins while overload control is off is not controlled later either.
    """

    def __init__(self, *, names: HeaderNames, controller: AdmissionController | None) -> None:
        """Set up admission; without ``controller``, overload control is always off."""
        self._names = names
        self._controller = controller
        self.stop = StopAdmission()

    def begin(
        self, admitted: AdmittedRequest, service: str, attempts: Attempts, *, now: float
    ) -> Promise | None:
        """Return the promise on which the caller returns, if any.

        ``attempts.admission.has_promise`` is set if the request may go to the service of the
        promise, and it must be sent there then: no other service has room reserved for it.
        """
        controller = self._controller
        if controller is None or not controller.is_active:
            return None
        exchange, route = admitted.exchange, admitted.route
        cookie = find_cookie(exchange.headers, self._names.affinity_cookie)
        # Without a cookie, the affinity key is the request id, which changes on a return.
        key = cookie or exchange.target.decode('latin-1')
        request = CallerRequest(
            digest=controller.digest_caller(exchange.peer_host, route.name, key),
            service=service,
            priority=route.priority,
            organisation=attempts.context.organisation,
            caller_deadline=admitted.caller_deadline,
        )
        promise = controller.begin(request, now)
        if promise is not None and _has_service(route, promise.service):
            request = request._replace(service=promise.service)
            attempts.admission.has_promise = True
        attempts.admission.request = request
        return promise

    def record_outcome(self, promise: Promise | None, *, served: bool) -> None:
        """Record whether the request that came on ``promise`` was answered."""
        if self._controller is not None and promise is not None:
            self._controller.record_outcome(promise, served=served)

    def decide(
        self,
        admitted: AdmittedRequest,
        selection: Selection,
        attempts: Attempts,
        *,
        now: float,
    ) -> Refusal | None:
        """Return the refusal of a request that must not be sent to the selected endpoint.

        Only the first attempt is decided about: later ones are of an admitted request.
        """
        request = attempts.admission.request
        if self._controller is None or request is None or attempts.attempt_count:
            return None
        route = admitted.route
        endpoint, key = selection.endpoint, attempts.context.affinity_key
        # The time to open a connection and the slow work of a cold endpoint are in
        # ``selection.expected_s``, but they are not spent in the queue.
        queued_s = predict_answer(endpoint, route.name, key, selection.load, now).expected_s
        unqueued_s = predict_answer(endpoint, route.name, key, 0.0, now).expected_s
        arrival = Arrival(
            priority=route.priority,
            objective_s=route.latency_objective_s,
            objective_left_s=admitted.exchange.received_at + route.latency_objective_s - now,
            remaining_s=admitted.deadline - now,
            expected_s=selection.expected_s,
            wait_s=max(0.0, queued_s - unqueued_s),
            has_promise=attempts.admission.has_promise,
        )
        decision = self._controller.decide(request, arrival, now)
        if isinstance(decision, Admit):
            attempts.admission.admitted_rank = decision.rank
            return None
        attempts.candidate_loads = f'{selection.endpoint.record.id} {selection.load:.1f}'
        return _refusal(f'short of room: {decision.reason.value}', decision, attempts)

    def refuse(
        self,
        attempts: Attempts,
        reason: str,
        *,
        counted_as: RejectReason,
        earliest_s: float = 0.0,
    ) -> Refusal | Failed:
        """Return the refusal of a request that ended unserved.

        Its caller may return in ``earliest_s`` or later. A request that may have run has
        failed instead.
        """
        if attempts.may_have_run:
            return Failed(reason=reason)
        request = attempts.admission.request
        if self._controller is None or request is None:
            jitter_s = random.random() * RETRY_AFTER_JITTER_S
            return Refusal(
                reason=reason, retry_after_s=max(MIN_RETRY_AFTER_S, earliest_s) + jitter_s
            )
        rejected = self._controller.reject(
            request,
            counted_as,
            anyio.current_time(),
            earliest_s=earliest_s,
            admitted_rank=attempts.admission.admitted_rank,
        )
        return _refusal(reason, rejected, attempts)


def _has_service(route: Route, service: str) -> bool:
    return any(share.service == service and share.weight > 0 for share in route.shares)


def _refusal(reason: str, rejected: Reject, attempts: Attempts) -> Refusal:
    attempts.admission.rejected_for = rejected.reason.value
    return Refusal(
        reason=reason, retry_after_s=rejected.retry_after_s, is_promised=rejected.is_promised
    )
