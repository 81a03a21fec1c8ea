"""Forward one request: choose an endpoint, send the request, report the outcome.

If the endpoint itself refuses the request (a 503 whose body says so) or the
connection is refused, the request did not run and another endpoint may be tried.
Any failure after the request was sent (a timeout, a closed connection, a 503 from
an intermediary) is ``Unknown``: the request may have run.
"""

import json
import logging
import time
from collections.abc import Collection, Sequence
from http import HTTPStatus
from typing import NamedTuple

import anyio

from plantainloft_core.model import Configuration, Endpoint
from plantainloft_core.outcomes import Quarantined, Refused, Served, Unknown
from plantainloft_node.endpoint_loads import EndpointLoadTracker
from plantainloft_node.endpoint_relay import EndpointRelay
from plantainloft_node.endpoint_requests import build_upstream_request, host_of
from plantainloft_node.endpoint_selection import EndpointSelector
from plantainloft_node.engine.attempts import Failed, NotSent
from plantainloft_node.engine.http_client import BufferedResponse, HttpClient
from plantainloft_node.node_endpoint_limits import NodeEndpointLimits, limit_header_values
from plantainloft_node.node_endpoint_signals import NodeEndpointSignals
from plantainloft_node.node_requests import Request
from plantainloft_node.quarantine.crash_detector import (
    CrashDetector,
    EndpointAttempt,
    refuses_connections,
)
from plantainloft_node.quarantine.quarantine import Blocked, Quarantine
from plantainloft_node.request_stop import RequestStop
from plantainloft_node.retry_budget.registry import RetryBudgets, RetryLimits

__all__ = ['Forwarder']

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 2
MS_PER_S = 1000.0
_UNAVAILABLE = 503
_DRAINING = 'draining'
_FORWARDED_HEADERS = ('content-type', 'idempotency-key')
# A restarted endpoint keeps its name, so incarnations are told apart by time: two
# crashes of one endpoint are further apart than this.
MIN_CRASH_INTERVAL_S = 2.0


class _NotArrived(NamedTuple):
    """The request did not run, since it did not reach the endpoint."""

    reason: str


class _Leaving(NamedTuple):
    """The endpoint did not run the request, since it is leaving."""

    reason: str


class Forwarder:
    """Sends each request to the endpoint that the selector chooses."""

    def __init__(
        self,
        *,
        endpoint_selector: EndpointSelector,
        loads: EndpointLoadTracker,
        quarantine: Quarantine,
        endpoint_limits: NodeEndpointLimits,
        retry_limits: RetryLimits,
        client: HttpClient,
        relay: EndpointRelay,
    ) -> None:
        self.endpoint_limits = endpoint_limits
        self.retry_budgets = RetryBudgets(limits=retry_limits)
        self.endpoint_signals = NodeEndpointSignals()
        self.stop = RequestStop()
        self._client = client
        self.relay = relay
        self._endpoint_selector = endpoint_selector
        self._loads = loads
        self.quarantine = quarantine
        self.crash_detector = CrashDetector(
            on_crash=quarantine.record_crash, has_ended=self._has_ended
        )

    async def check_quarantine(self, request: Request) -> Quarantined | None:
        """Return the quarantine outcome if ``request`` must not be sent, else None."""
        if not self.quarantine.crash_registry:
            return None
        admission = await self.quarantine.admit(request.fingerprint())
        if isinstance(admission, Blocked):
            return Quarantined(reason=f'{admission.crash_count} endpoints ended under it')
        return None

    async def forward(self, config: Configuration, request: Request) -> Served | Refused | Unknown:
        """Send ``request`` to an endpoint, trying another if it did not run."""
        refusal: Refused | None = None
        arrived = False
        # An endpoint that leaves or asks for rest turns away a request or two of each node: to send
        # those elsewhere takes no budget.
        is_retry = False
        self.retry_budgets.record_request(request.service, anyio.current_time())
        tried_endpoints: list[Endpoint] = []
        for _ in range(MAX_ATTEMPTS):
            now = anyio.current_time()
            endpoint = self._select(config, request, tried_endpoints, now)
            if isinstance(endpoint, Refused):
                refusal = refusal or endpoint
                break
            if is_retry and not self.retry_budgets.try_acquire(request.service, now):
                break
            tried_endpoints.append(endpoint)
            outcome = await self._send_to_endpoint(
                endpoint, request, through_peer=self.relay.is_lost(endpoint)
            )
            if not isinstance(outcome, Refused | _NotArrived | _Leaving):
                return outcome
            self._endpoint_selector.record_rejection(endpoint)
            refusal = Refused(reason=outcome.reason, retry_after_s=1)
            if isinstance(outcome, _NotArrived):
                self._give_back(request.service, is_retry=is_retry)
                continue
            arrived = True
            is_retry = is_retry or self._may_turn_away_more(endpoint, outcome)
        refusal = refusal or Refused(reason='not tried', retry_after_s=1)
        if arrived or not tried_endpoints:
            return refusal
        return await self._send_through_peer(tried_endpoints[0], request, refusal)

    def _may_turn_away_more(self, endpoint: Endpoint, outcome: Refused | _Leaving) -> bool:
        now = anyio.current_time()
        return isinstance(outcome, Refused) and self.endpoint_signals.accepts_requests(
            endpoint.name, now
        )

    def _give_back(self, service: str, *, is_retry: bool) -> None:
        if is_retry:
            self.retry_budgets.release(service, anyio.current_time())

    def _select(
        self,
        config: Configuration,
        request: Request,
        tried_endpoints: Sequence[Endpoint],
        now: float,
    ) -> Endpoint | Refused:
        """Choose an endpoint that was not tried, is not at its limit and takes requests."""
        stopping = self.stop.refuse(request)
        if stopping is not None:
            return stopping
        at_limit = self.endpoint_limits.endpoints_at_limit(config, request.service, now)
        unwilling = self.endpoint_signals.unwilling_endpoints(
            config, request.service, request.path, now
        )
        choice = self._endpoint_selector.select(
            config,
            request.service,
            tried_endpoints=tried_endpoints,
            allowed_regions=request.organisation.regions if request.organisation else frozenset(),
            excluded_endpoints=(*at_limit, *unwilling),
        )
        if isinstance(choice, Refused):
            retry_after_s = self.endpoint_signals.retry_after_s(config, request.service, now)
            return _explain_refusal(choice, at_limit, unwilling, retry_after_s)
        return choice.endpoint

    async def _send_through_peer(
        self, endpoint: Endpoint, request: Request, refusal: Refused
    ) -> Served | Refused | Unknown:
        """Send ``request`` through a peer; return ``refusal`` if no peer can."""
        if self.stop.refuse(request) is not None:
            return refusal
        outcome = await self._send_to_endpoint(endpoint, request, through_peer=True)
        return refusal if isinstance(outcome, _NotArrived | _Leaving) else outcome

    async def _send_to_endpoint(
        self, endpoint: Endpoint, request: Request, *, through_peer: bool = False
    ) -> Served | Refused | Unknown | _NotArrived | _Leaving:
        name = endpoint.name
        address = endpoint.address
        remaining_s = request.deadline - time.time()
        if remaining_s <= 0:
            return _NotArrived(reason='deadline passed')
        self._loads.record_started(name)
        sent_at = anyio.current_time()
        self.endpoint_limits.record_sent(endpoint, sent_at)
        answer: BufferedResponse | NotSent | Failed = Failed(reason='no answer in time')
        try:
            with (
                anyio.move_on_after(remaining_s),
                self.stop.open_request(request, sent_at=sent_at),
            ):
                answer = await self._exchange(endpoint, request, through_peer=through_peer)
        finally:
            self._loads.record_finished(name)
        if isinstance(answer, NotSent):
            problem = answer.reason if answer.withdrawn else 'unreachable'
            return _NotArrived(reason=f'{name} {problem}')
        now = anyio.current_time()
        self.stop.record(
            request, sent_at=sent_at, now=now, is_finished=isinstance(answer, BufferedResponse)
        )
        if isinstance(answer, Failed):
            if answer.connection_lost:
                self.crash_detector.check_after_disconnect(
                    _endpoint_attempt(name, address, request)
                )
            return Unknown(reason=f'{name}: {answer.reason}')
        self.endpoint_limits.record_response(endpoint, answer.head, sent_at=sent_at, now=now)
        self.endpoint_signals.record_response(name, answer.head, sent_at=sent_at, now=now)
        if answer.head.status == _UNAVAILABLE:
            return self._interpret_unavailable(name, answer.body)
        if answer.head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self.quarantine.record_answer(request.fingerprint(), anyio.current_time())
        return Served(
            status=answer.head.status,
            body=answer.body,
            endpoint=name,
            request_limits=tuple(limit_header_values(answer.head)),
        )

    async def _exchange(
        self, endpoint: Endpoint, request: Request, *, through_peer: bool
    ) -> BufferedResponse | NotSent | Failed:
        """Send ``request`` from here or through a peer, and wait for the response."""
        headers = {
            key: value for key, value in request.headers.items() if key in _FORWARDED_HEADERS
        }
        if request.organisation is not None:
            headers['x-organisation'] = request.organisation.name
        headers['x-deadline-ms'] = str(int(request.deadline * MS_PER_S))
        upstream_request = build_upstream_request(
            endpoint.address,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
        )
        if through_peer:
            return await self.relay.send(
                endpoint,
                upstream_request,
                allowed_regions=request.organisation.regions if request.organisation else (),
                timeout_s=request.deadline - time.time(),
            )
        return await self._client.send(
            host_of(endpoint.address),
            upstream_request,
            may_send=lambda: self.endpoint_signals.accepts_requests(
                endpoint.name, anyio.current_time()
            ),
        )

    async def _has_ended(self, attempt: EndpointAttempt) -> bool:
        if not await refuses_connections(attempt):
            return False
        return await self.relay.is_gone(attempt.incarnation.partition('@')[0])

    def _interpret_unavailable(self, name: str, body: bytes) -> Refused | Unknown | _Leaving:
        # A 503 proves that nothing ran only if its body is the endpoint's own
        # refusal. A 503 from a faulty endpoint or an intermediary may follow an
        # execution; a retry could then execute one idempotency key twice.
        refusal = _parse_refusal_reason(body)
        if refusal is None:
            return Unknown(reason=f'{name}: 503 without a refusal')
        if refusal == _DRAINING:
            self._loads.note_draining(name)
            return _Leaving(reason=f'{name} {refusal}')
        return Refused(reason=f'{name} {refusal}', retry_after_s=1)


def _explain_refusal(
    refusal: Refused, at_limit: Collection[str], unwilling: Collection[str], retry_after_s: int
) -> Refused:
    reasons = [refusal.reason]
    for state, names in (('at their request limits', at_limit), ('leaving or resting', unwilling)):
        if names:
            reasons.append(f'{state}: {", ".join(sorted(names))}')
    return Refused(
        reason='; '.join(reasons), retry_after_s=max(refusal.retry_after_s, retry_after_s)
    )


def _endpoint_attempt(name: str, address: str, request: Request) -> EndpointAttempt:
    interval_number = int(time.time() / MIN_CRASH_INTERVAL_S)
    return EndpointAttempt(
        fingerprint=request.fingerprint(),
        request_id=request.headers.get('idempotency-key', ''),
        incarnation=f'{name}@{interval_number}',
        address=host_of(address),
    )


def _parse_refusal_reason(body: bytes) -> str | None:
    """Return the reason if ``body`` is an endpoint's own refusal, else None."""
    try:
        content = json.loads(body)
    except ValueError:
        return None
    if not isinstance(content, dict) or content.get('outcome') != 'refused':
        return None
    return str(content.get('reason', 'unavailable'))
