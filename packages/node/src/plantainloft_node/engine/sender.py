"""Sends one request to one endpoint and classifies the outcome."""

import itertools
import logging
import math
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from http import HTTPStatus
from typing import NamedTuple

import anyio

from plantainloft_node.capacity.held_bytes import EndpointBacklog
from plantainloft_node.endpoint_signals.signals import EndpointSignals, decode_signals
from plantainloft_node.engine.attempts import Answered, AttemptOutcome, Failed, NotRun, NotSent
from plantainloft_node.engine.connection_pool import ConnectionPool
from plantainloft_node.engine.connector import ConnectionNeeds, EndpointConnector
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.headers import find_header
from plantainloft_node.engine.request_body import (
    MAX_BUFFERED_CHUNKS,
    MAX_REPLAYABLE_BYTES,
    BodyError,
    RequestBody,
)
from plantainloft_node.engine.upstream_connection import (
    CONNECTION_ERRORS,
    BrokenAnswerError,
    ResponseHead,
    UpstreamConnection,
    UpstreamRequest,
)
from plantainloft_node.placement.endpoints import EndpointState
from plantainloft_node.placement.selection import full_load

__all__ = ['EndpointRequest', 'Sender', 'record_refusal_load']

log = logging.getLogger(__name__)

# A response up to this size is buffered until it is complete, so that it can be
# replaced by a retry or a 502 if it breaks off; a longer one is streamed to the caller.
MAX_BUFFERED_RESPONSE_BYTES = 65536
# The body of a refusal usually arrives with its head. Waiting longer for the rest, to reuse the
# connection, would delay the retry.
DISCARD_TIMEOUT_S = 0.1
# Chunks of a streamed body are as long as one read from the caller's connection.
_MAX_STREAMED_BYTES = MAX_BUFFERED_CHUNKS * MAX_REPLAYABLE_BYTES
_SUCCESS_STATUSES = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)


def _do_nothing() -> None:
    """Serve as the default of ``EndpointRequest.on_send``."""


class EndpointRequest(NamedTuple):
    """A request to one endpoint; ``streamed_body`` supplies the rest of a long body.

    ``route`` is the name of its route, ``priority`` that of the route (0 is the highest).
    ``may_repeat``: it may be sent again although it may have run. Unless ``allowed_regions``
    is empty, its bytes may only pass through instances of these regions. ``on_send`` is called
    before the first byte is sent. ``uses_refusal_load``: there are other candidates for the
    endpoint to be avoided after a refusal. ``connection_share`` is the most connections that
    this instance may have to the endpoint, ``None`` for any number.
    """

    request: UpstreamRequest
    streamed_body: RequestBody | None
    route: str = ''
    affinity_key: str = ''
    had_free_slot: bool = False
    is_retry: bool = False
    may_repeat: bool = False
    priority: int = 0
    allowed_regions: frozenset[str] = frozenset()
    on_send: Callable[[], None] = _do_nothing
    uses_refusal_load: bool = False
    connection_share: int | None = None


class Sender:
    """Sends requests over pooled connections and reads the responses."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        pool: ConnectionPool,
        connector: EndpointConnector,
        backlog: EndpointBacklog | None = None,
    ) -> None:
        self._backlog = backlog or EndpointBacklog()
        self._names = names
        self._pool = pool
        self._connector = connector
        self._attempt_numbers = itertools.count()

    async def send(self, state: EndpointState, endpoint_request: EndpointRequest) -> AttemptOutcome:
        """Send to ``state`` and wait for the response; may be cancelled at any time."""
        size = _held_size(endpoint_request)
        incarnation = state.record.incarnation
        if not self._backlog.try_hold(incarnation, size):
            return NotSent(reason='too many bytes are held for it', withdrawn=True)
        try:
            return await self._send_recorded(state, endpoint_request)
        finally:
            self._backlog.release(incarnation, size)

    async def _send_recorded(
        self, state: EndpointState, endpoint_request: EndpointRequest
    ) -> AttemptOutcome:
        attempt_number = next(self._attempt_numbers)
        started_at = anyio.current_time()
        state.in_flight += 1
        state.health.record_sent(attempt_number, started_at)
        outcome: AttemptOutcome | None = None
        try:
            outcome = await self._send(state, endpoint_request)
        finally:
            await self._finish_attempt(
                state, attempt_number, unanswered_since=started_at if outcome is None else None
            )
        self._record_outcome(state, outcome, endpoint_request, started_at=started_at)
        return outcome

    async def _finish_attempt(
        self, state: EndpointState, attempt_number: int, *, unanswered_since: float | None
    ) -> None:
        state.in_flight -= 1
        state.health.record_ended(attempt_number)
        if unanswered_since is None:
            return
        now = anyio.current_time()
        if not self._connector.links.is_lost(state.record.zone):
            state.record_abandoned(now - unanswered_since, now)
        if now - unanswered_since > state.service_latency.max_silence_s:
            # Abandoned without a response: the idle connections to the endpoint may
            # have stopped responding together with this one.
            await self._pool.close_idle(state.record.incarnation)

    async def _send(
        self, state: EndpointState, endpoint_request: EndpointRequest
    ) -> AttemptOutcome:
        needs = ConnectionNeeds(endpoint_request.priority, endpoint_request.allowed_regions)
        connection = await self._get_connection(state, needs, endpoint_request.connection_share)
        if isinstance(connection, NotSent):
            return connection
        if not state.accepts_requests(anyio.current_time()):
            # It announced so while the connection was being opened.
            await connection.close()
            return NotSent(reason='wants no requests any more', withdrawn=True)
        kept = False
        outcome: AttemptOutcome
        try:
            outcome, kept = await self._send_and_receive(state, connection, endpoint_request)
        except CONNECTION_ERRORS as exc:
            outcome = Failed(reason=f'sending: {type(exc).__name__}', connection_lost=True)
        except BrokenAnswerError as exc:
            outcome = Failed(reason=exc.reason, connection_lost=True)
        finally:
            # Also when the caller disconnected or the deadline passed: closing the
            # connection lets the endpoint cancel the request.
            if not kept:
                await connection.close()
        if isinstance(outcome, NotSent):
            return outcome
        if connection.path is None:
            if isinstance(outcome, Failed) and outcome.connection_lost:
                self._connector.links.broken.record(state.record.incarnation, anyio.current_time())
            return outcome
        return replace(outcome, path=connection.path)

    async def _get_connection(
        self, state: EndpointState, needs: ConnectionNeeds, share: int | None
    ) -> UpstreamConnection | NotSent:
        connector = self._connector
        incarnation = state.record.incarnation
        connection = await self._pool.acquire(
            incarnation,
            anyio.current_time(),
            accepts=lambda idle: connector.may_use(idle, state, needs),
        )
        if connection is not None:
            return connection
        if share is not None and self._pool.open_count(incarnation) >= share:
            # Idle connections that are left can't carry this request.
            await self._pool.close_idle(incarnation)
            if self._pool.open_count(incarnation) >= share:
                return NotSent(reason='the share of connections is used', withdrawn=True)
        return await self._open_connection(state, needs)

    async def _open_connection(
        self, state: EndpointState, needs: ConnectionNeeds
    ) -> UpstreamConnection | NotSent:
        incarnation = state.record.incarnation
        self._pool.record_opening(incarnation)
        opened: UpstreamConnection | NotSent | None = None
        try:
            opened = await self._connector.connect(state, needs)
        finally:
            if not isinstance(opened, UpstreamConnection):
                self._pool.record_closed(incarnation)
        if isinstance(opened, UpstreamConnection):
            opened.call_when_closed(partial(self._pool.record_closed, incarnation))
        return opened

    async def _send_and_receive(
        self,
        state: EndpointState,
        connection: UpstreamConnection,
        endpoint_request: EndpointRequest,
    ) -> tuple[AttemptOutcome, bool]:
        """Return the outcome and whether the connection must stay open."""
        state.announced.record_sent(is_retry=endpoint_request.is_retry, now=anyio.current_time())
        endpoint_request.on_send()
        await connection.send(endpoint_request.request)
        outcome = await self._receive_unless_silent(state, connection, endpoint_request)
        if isinstance(outcome, Answered) and outcome.body_source is not None:
            return outcome, True
        share = endpoint_request.connection_share
        if share is not None and self._pool.open_count(state.record.incarnation) > share:
            # The share has become smaller.
            return outcome, False
        return outcome, await self._return_to_pool(state, connection, outcome)

    async def _receive_unless_silent(
        self,
        state: EndpointState,
        connection: UpstreamConnection,
        endpoint_request: EndpointRequest,
    ) -> AttemptOutcome:
        """Receive the response; give up if the links of the connection are lost."""
        if connection.path is not None:
            return await self._receive_while_streaming(
                state, connection, endpoint_request.streamed_body
            )
        links = self._connector.links
        scope = anyio.CancelScope()
        # A request that may run only once waits until its deadline: the links may return.
        abandon = scope.cancel if endpoint_request.may_repeat else None
        waiting = links.record_sent(state.record.zone, anyio.current_time(), abandon=abandon)
        try:
            with scope:
                return await self._receive_while_streaming(
                    state, connection, endpoint_request.streamed_body
                )
        finally:
            links.record_ended(waiting)
        return Failed(reason='the links to its zone are lost', connection_lost=True)

    async def _receive_while_streaming(
        self,
        state: EndpointState,
        connection: UpstreamConnection,
        streamed_body: RequestBody | None,
    ) -> AttemptOutcome:
        if streamed_body is None:
            return await self._read_response(state, connection)
        outcome: AttemptOutcome = Failed(reason='no response')
        # Collected here because the task group would wrap them in an exception group,
        # which no handler above catches: the process would end.
        failures: list[Exception] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stream_body, connection, streamed_body, failures, tasks.cancel_scope)
            try:
                outcome = await self._read_response(state, connection)
            except BrokenAnswerError as exc:
                failures.append(exc)
            tasks.cancel_scope.cancel()
        if failures:
            raise failures[0]
        return outcome

    async def _read_response(
        self, state: EndpointState, connection: UpstreamConnection
    ) -> AttemptOutcome:
        sent_at = anyio.current_time()
        head = await connection.read_head()
        signals = decode_signals(head.status, head.headers, self._names)
        if not signals.is_misdirected:
            state.record_signals(signals, sent_at=sent_at, now=anyio.current_time())
            self._connector.record_signals(connection, state, signals)
        if signals.leaves:
            await self._pool.close_idle(state.record.incarnation)
        rejection = self._check_head(head, signals)
        if rejection is not None:
            return rejection
        chunks: list[bytes] = []
        size = 0
        while size < MAX_BUFFERED_RESPONSE_BYTES:
            chunk = await connection.read_chunk()
            if not chunk:
                break
            chunks.append(chunk)
            size += len(chunk)
        return Answered(
            endpoint_id=state.record.id,
            head=head,
            signals=signals,
            body=b''.join(chunks),
            body_source=connection if chunk else None,
        )

    def _check_head(self, head: ResponseHead, signals: EndpointSignals) -> AttemptOutcome | None:
        """Return the outcome if the head shows that the response must not be forwarded."""
        if signals.is_misdirected:
            return NotRun(reason='address belongs to another incarnation', signals=signals)
        if signals.not_run:
            return NotRun(reason=f'refused with {head.status}', signals=signals)
        if signals.claims_not_run:
            # Passed on, this status would promise the caller that the request did
            # not run, which the endpoint has not confirmed.
            return Failed(reason=f'{head.status} without a not-run header', signals=signals)
        signature = self._names.signature
        if (
            signature
            and head.status in _SUCCESS_STATUSES
            and find_header(head.headers, signature) is None
        ):
            return Failed(reason='success status without a signature header')
        return None

    async def _return_to_pool(
        self, state: EndpointState, connection: UpstreamConnection, outcome: AttemptOutcome
    ) -> bool:
        if not isinstance(outcome, Answered | NotRun) or state.is_leaving:
            return False
        if isinstance(outcome, NotRun) and not await _try_discard_body(connection):
            return False
        head = outcome.head if isinstance(outcome, Answered) else ResponseHead(status=0, headers=[])
        now = anyio.current_time()
        if not self._connector.keeps(connection, state):
            return False
        if not connection.reset_for_reuse(head, now):
            return False
        await self._pool.release(state.record.incarnation, connection)
        return True

    def _record_outcome(
        self,
        state: EndpointState,
        outcome: AttemptOutcome,
        endpoint_request: EndpointRequest,
        *,
        started_at: float,
    ) -> None:
        now = anyio.current_time()
        if isinstance(outcome, NotSent):
            if outcome.blames_endpoint:
                state.health.record_unreachable(now)
            return
        if isinstance(outcome, Failed):
            if not outcome.signals.rest_s and not self._is_own_path(state, outcome):
                state.health.record_failure(now)
        elif isinstance(outcome, NotRun):
            if endpoint_request.uses_refusal_load:
                record_refusal_load(state, outcome.signals, now)
            # Refusing is correct for an endpoint at capacity, or one that says when it
            # will have capacity again, and is not a failure.
            if not outcome.signals.rest_s and state.load(now) < state.record.slots:
                state.health.record_failure(now)
        else:
            state.record_response_time(now - started_at, now)
            state.record_processing(
                endpoint_request.affinity_key,
                now - started_at,
                now,
                had_free_slot=endpoint_request.had_free_slot,
                route=endpoint_request.route,
            )
            self._record_response(state, outcome, now)

    def _is_own_path(self, state: EndpointState, outcome: Failed) -> bool:
        """Return whether a failure may be due to the path rather than to the endpoint.

        Whether the endpoint has ended is checked separately.
        """
        is_indirect = outcome.path is not None or self._connector.links.is_lost(state.record.zone)
        return outcome.connection_lost and is_indirect

    def _record_response(self, state: EndpointState, outcome: Answered, now: float) -> None:
        if outcome.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            state.health.record_failure(now)
        else:
            state.health.record_success(now)
        # Not the load that a refusal reports, unless there are other candidates: with its
        # first choice known to be full, a request would be refused rather than sent elsewhere.
        if outcome.signals.busy is not None:
            state.record_load_report(busy=outcome.signals.busy, now=now)


def record_refusal_load(state: EndpointState, signals: EndpointSignals, now: float) -> None:
    """Record the load of an endpoint that refused a request.

    It counts as full if all its slots are busy, although its queue may be shorter than the
    one that is used to decide.
    """
    if signals.busy is None:
        return
    is_full = signals.busy >= state.record.slots
    busy = max(signals.busy, math.ceil(full_load(state))) if is_full else signals.busy
    state.record_load_report(busy=busy, now=now)


async def _try_discard_body(connection: UpstreamConnection) -> bool:
    """Read and drop the body of a refusal; return whether it has ended as it should.

    The head says all that matters, so the request does not wait for the rest.
    """
    try:
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            return await connection.discard_body()
    except BrokenAnswerError as exc:
        log.debug('Sender: the body of a refusal is broken: %s.', exc.reason)
    return False


def _held_size(endpoint_request: EndpointRequest) -> int:
    """Return the most bytes that are held at once of the body of a request."""
    streamed = 0 if endpoint_request.streamed_body is None else _MAX_STREAMED_BYTES
    return len(endpoint_request.request.body) + streamed


async def _stream_body(
    connection: UpstreamConnection,
    body: RequestBody,
    failures: list[Exception],
    read_scope: anyio.CancelScope,
) -> None:
    """Send the body; cancel ``read_scope`` if the body can't be read."""
    try:
        await _send_chunks(connection, body)
    except BodyError as exc:
        failures.append(exc.after_sending())
        read_scope.cancel()
    except CONNECTION_ERRORS as exc:
        # The endpoint may have responded before it read the whole body.
        log.debug('Sender: endpoint did not read the whole body: %r.', exc)


async def _send_chunks(connection: UpstreamConnection, body: RequestBody) -> None:
    while True:
        chunk = await body.read()
        await connection.send_body(chunk)
        if not chunk:
            return
