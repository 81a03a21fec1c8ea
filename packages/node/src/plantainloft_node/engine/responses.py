"""Responses to callers: forwarded from endpoints, refusals and failures."""

import logging
from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Protocol

import anyio

from plantainloft_core.organisations import DIGEST_PREFIX_DIGITS, digest_key
from plantainloft_core.routes import Route
from plantainloft_node.engine.attempts import Answered, Attempts, Failed, Refusal
from plantainloft_node.engine.connection_end import ConnectionEnd
from plantainloft_node.engine.exchange import Exchange
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.headers import Headers, forwardable_headers
from plantainloft_node.engine.upstream_connection import BrokenAnswerError, UpstreamConnection
from plantainloft_node.limits.limiter import LimitExceeded
from plantainloft_node.quarantine.crash_detector import EndpointAttempt
from plantainloft_node.quarantine.quarantine import Blocked

__all__ = ['DEADLINE_EXCEEDED', 'ResponseSender', 'request_id']

log = logging.getLogger(__name__)

MS_PER_S = 1000.0
DEADLINE_EXCEEDED = 'out of time'
_STATUSES_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_STATUS_BY_FAILURE = MappingProxyType({DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT})


def request_id(exchange: Exchange, names: HeaderNames) -> str:
    """Return the request id sent by the caller, or an empty string."""
    return (exchange.header(names.request_id) or b'').decode('latin-1')


class StreamObserver(Protocol):
    """Receives how the streamed response of an attempt ended."""

    def __call__(self, attempt: EndpointAttempt, *, complete: bool) -> None:
        """``complete``: the response reached its end."""


class ResponseSender:
    """Sends responses, and logs and counts the outcome of each request."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        record_outcome: Callable[[str, str, float], None],
        on_streamed: StreamObserver,
    ) -> None:
        """Set up the sender.

        ``record_outcome`` is called with the name of the route, the outcome and the
        seconds since the request was received, ``on_streamed`` when a streamed response
        has ended.
        """
        self._names = names
        self._on_streamed = on_streamed
        self._record_outcome = record_outcome

    async def refuse_unconfigured(self, exchange: Exchange, refusal: Refusal) -> None:
        """Refuse a request that arrived before any configuration."""
        self._log_outcome(exchange, 'refused', {'reason': refusal.reason, 'version': 0})
        await self.respond_refused(exchange, refusal)

    def record_cancelled(self, exchange: Exchange, route: Route, attempts: Attempts) -> str:
        """Record that the connection ended before the response did.

        Returns ``caller_left``, or ``aborted`` if the caller did not end it.
        """
        elapsed_s = anyio.current_time() - exchange.received_at
        end = exchange.connection_end
        kind = 'caller_left' if end is ConnectionEnd.CALLER else 'aborted'
        self._record_outcome(route.name, kind, elapsed_s)
        fields = _log_fields(route, attempts, elapsed_s)
        fields['waiting_for'] = attempts.current_endpoint_id
        if end is not ConnectionEnd.CALLER:
            fields['ended_by'] = end.value
            fields['may_have_run'] = attempts.may_have_run
            fields['response_started'] = exchange.response_started
        self._log_outcome(exchange, kind, fields)
        return kind

    async def respond_no_route(self, exchange: Exchange, *, version: int) -> None:
        """Respond 404: no route of configuration ``version`` matches."""
        host = (exchange.header(b'host') or b'').decode('latin-1')
        fields: dict[str, object] = {'version': version, 'host': host, 'path': exchange.path}
        self._log_outcome(exchange, 'no_route', fields)
        await self._respond_empty(exchange, HTTPStatus.NOT_FOUND)

    async def respond_unauthorised(
        self, exchange: Exchange, route: Route, *, version: int, key: bytes | None
    ) -> None:
        """Respond 401: no organisation holds ``key``.

        ``key`` is ``None`` unless the request has exactly one.
        """
        self._record_outcome(
            route.name, 'unauthorised', anyio.current_time() - exchange.received_at
        )
        digest = None if key is None else digest_key(key)[:DIGEST_PREFIX_DIGITS]
        fields: dict[str, object] = {'route': route.name, 'version': version, 'key_digest': digest}
        self._log_outcome(exchange, 'unauthorised', fields)
        headers = [
            *self._request_id_headers(exchange),
            (b'www-authenticate', self._names.organisation_key),
        ]
        await exchange.respond(HTTPStatus.UNAUTHORIZED, headers)

    async def respond_limit_exceeded(
        self, exchange: Exchange, route: Route, exceeded: LimitExceeded, *, version: int
    ) -> None:
        """Respond 429 with ``Retry-After``: the organisation's limit is exceeded."""
        self._record_outcome(route.name, 'over_limit', anyio.current_time() - exchange.received_at)
        fields: dict[str, object] = {
            'route': route.name,
            'version': version,
            'organisation': exceeded.organisation,
            'share': round(exceeded.share, 1),
            'used': exceeded.used,
            'fleet_used': exceeded.fleet.used,
            'fleet_wanted': exceeded.fleet.wanted,
            'retry_after_s': round(exceeded.retry_after_s, 2),
        }
        self._log_outcome(exchange, 'over_limit', fields)
        retry_after = f'{exceeded.retry_after_s:.2f}'.encode()
        headers = [*self._request_id_headers(exchange), (b'retry-after', retry_after)]
        await exchange.respond(HTTPStatus.TOO_MANY_REQUESTS, headers)

    async def respond_unreadable(self, exchange: Exchange, status: int) -> None:
        """Respond to a request whose body is too large, malformed or arrives too slowly."""
        is_too_large = status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        kind = 'too_large' if is_too_large else 'improper'
        self._log_outcome(exchange, kind, {'status': int(status)})
        await self._respond_empty(exchange, status)

    async def respond(
        self,
        exchange: Exchange,
        route: Route,
        outcome: Answered | Refusal | Failed | Blocked,
        attempts: Attempts,
    ) -> None:
        """Send the response that corresponds to ``outcome``."""
        elapsed_s = anyio.current_time() - exchange.received_at
        fields = _log_fields(route, attempts, elapsed_s)
        if isinstance(outcome, Answered):
            fields['endpoint'] = outcome.endpoint_id
            fields['status'] = outcome.head.status
            self._record_outcome(route.name, 'answered', elapsed_s)
            kind = 'late' if elapsed_s > route.latency_objective_s else 'answered'
            self._log_outcome(exchange, kind, fields)
            await self._forward_response(exchange, outcome, attempts)
        elif isinstance(outcome, Refusal):
            self._record_outcome(route.name, 'refused', elapsed_s)
            fields['reason'] = outcome.reason
            fields['endpoints'] = attempts.candidate_loads
            if outcome.is_promised:
                fields['promised'] = True
            self._log_outcome(exchange, 'refused', fields)
            await self.respond_refused(exchange, outcome)
        elif isinstance(outcome, Blocked):
            self._record_outcome(route.name, 'quarantined', elapsed_s)
            fields['fingerprint'] = str(outcome.fingerprint)
            fields['crashes'] = outcome.crash_count
            self._log_outcome(exchange, 'quarantined', fields)
            # No Retry-After: a repeated request would be refused again.
            await self._respond_empty(exchange, HTTPStatus.BAD_GATEWAY)
        else:
            self._record_outcome(route.name, 'failed', elapsed_s)
            fields['reason'] = outcome.reason
            fields['waiting_for'] = attempts.current_endpoint_id
            self._log_outcome(exchange, 'failed', fields)
            await self._respond_empty(
                exchange, _STATUS_BY_FAILURE.get(outcome.reason, HTTPStatus.BAD_GATEWAY)
            )

    async def respond_refused(self, exchange: Exchange, refusal: Refusal) -> None:
        """Respond 503 with ``Retry-After``: the request did not run."""
        retry_after = f'{refusal.retry_after_s:.2f}'.encode()
        await exchange.respond(
            HTTPStatus.SERVICE_UNAVAILABLE,
            [*self._request_id_headers(exchange), (b'retry-after', retry_after)],
        )

    async def _forward_response(
        self, exchange: Exchange, outcome: Answered, attempts: Attempts
    ) -> None:
        head = outcome.head
        if exchange.method == b'HEAD' or head.status in _STATUSES_WITHOUT_BODY:
            # Content-Length describes a body that is not sent.
            await exchange.start_response(
                head.status, forwardable_headers(head.headers, exclude=frozenset())
            )
            await exchange.end_response()
            return
        if outcome.body_source is None:
            headers = forwardable_headers(head.headers, exclude=frozenset((b'content-length',)))
            await exchange.respond(head.status, headers, outcome.body)
            return
        try:
            # Each further chunk replaces the one before, which the caller has taken.
            with exchange.holding(len(outcome.body)):
                await self._stream(exchange, outcome, outcome.body_source)
        except BrokenAnswerError as exc:
            # Ending the response normally would hide that its rest is missing, so
            # the caller's connection is closed instead.
            fields: dict[str, object] = {'endpoint': outcome.endpoint_id, 'reason': exc.reason}
            self._log_outcome(exchange, 'cut', fields)
            self._report_streamed(attempts, complete=False)
            raise anyio.BrokenResourceError from exc
        finally:
            await outcome.body_source.close()
        self._report_streamed(attempts, complete=True)

    def _report_streamed(self, attempts: Attempts, *, complete: bool) -> None:
        if attempts.streamed_attempt is not None:
            self._on_streamed(attempts.streamed_attempt, complete=complete)

    async def _stream(
        self, exchange: Exchange, outcome: Answered, connection: UpstreamConnection
    ) -> None:
        head = outcome.head
        await exchange.start_response(
            head.status, forwardable_headers(head.headers, exclude=frozenset())
        )
        chunk = outcome.body
        while chunk:
            await exchange.write_body(chunk)
            chunk = await connection.read_chunk()
        await exchange.end_response()

    async def _respond_empty(self, exchange: Exchange, status: int) -> None:
        await exchange.respond(status, self._request_id_headers(exchange))

    def _request_id_headers(self, exchange: Exchange) -> Headers:
        encoded_id = exchange.header(self._names.request_id)
        return [(self._names.request_id, encoded_id)] if encoded_id else []

    def _log_outcome(self, exchange: Exchange, kind: str, fields: dict[str, object]) -> None:
        log.info(
            'Front: request %s.',
            kind,
            extra={
                'kind': kind,
                'fields': {'request': request_id(exchange, self._names), **fields},
            },
        )


def _log_fields(route: Route, attempts: Attempts, elapsed_s: float) -> dict[str, object]:
    fields: dict[str, object] = {
        'route': route.name,
        'ms': round(elapsed_s * MS_PER_S),
        'key': attempts.context.affinity_key,
        'version': attempts.context.version,
        'tries': attempts.failure_reasons(),
    }
    if attempts.context.organisation:
        fields['organisation'] = attempts.context.organisation
    if attempts.withheld_reason:
        fields['retry_withheld'] = attempts.withheld_reason
    if attempts.admission.rejected_for:
        fields['rejected_for'] = attempts.admission.rejected_for
    if attempts.admission.has_promise:
        fields['returned'] = True
    if attempts.path is not None:
        fields['via'] = attempts.path.peer
        fields['tunnel'] = attempts.path.tunnel
    placement = attempts.placement
    if placement is not None:
        fields['endpoint_zone'] = placement.zone
        fields['endpoint_region'] = placement.region
        fields['slots'] = placement.slots
        fields['load'] = placement.load
        fields['rank'] = placement.rank
        fields['cold'] = placement.cold
        fields['remembered'] = placement.served_key_recently
        fields['placed_ms'] = round(placement.delay_s * MS_PER_S)
        if placement.limited_endpoint_ids:
            fields['limited'] = placement.limited_endpoint_ids
        if placement.unwilling_endpoint_ids:
            fields['unwilling'] = placement.unwilling_endpoint_ids
    return fields
