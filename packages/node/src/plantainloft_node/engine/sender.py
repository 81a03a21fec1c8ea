"""Send one request to one endpoint and tell what came of it."""

import itertools
import logging
from http import HTTPStatus
from typing import NamedTuple

import anyio

from plantainloft_node.engine.attempts import Answered, Failed, NotRun, NotSent, TryOutcome
from plantainloft_node.engine.bodies import BodyTooLargeError, RequestBody
from plantainloft_node.engine.dialect import HeaderNames
from plantainloft_node.engine.endpoint_link import (
    CONNECT_S,
    SEND_ERRORS,
    AnswerHead,
    BrokenAnswerError,
    EndpointLink,
    OutgoingRequest,
    connect,
)
from plantainloft_node.engine.heads import find
from plantainloft_node.engine.pool import LinkPool
from plantainloft_node.placing.endpoints import EndpointState

__all__ = ['Sender', 'Sending']

log = logging.getLogger(__name__)

# An answer up to this size is held until it is whole, so that one that
# breaks off can be replaced; a longer one is passed on as it comes.
HELD_BYTES = 65536
_MISDIRECTED = 421
_PROMISES = frozenset((408, 421, 429, 503))
_SUCCESS = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)


class Sending(NamedTuple):
    """A request as one endpoint gets it; ``rest`` streams a long body."""

    request: OutgoingRequest
    rest: RequestBody | None
    key: str = ''
    had_room: bool = False


class Sender:
    """Sends requests over pooled connections and reads the answers."""

    def __init__(self, *, names: HeaderNames, pool: LinkPool) -> None:
        self._names = names
        self._pool = pool
        self._numbers = itertools.count()

    async def send(self, state: EndpointState, sending: Sending) -> TryOutcome:
        """Send to ``state`` and wait for the answer; cancel to give up."""
        number = next(self._numbers)
        began = anyio.current_time()
        state.in_flight += 1
        state.health.note_sent(number, began)
        outcome: TryOutcome | None = None
        try:
            outcome = await self._send(state, sending)
        finally:
            await self._end(state, number, unanswered_since=began if outcome is None else None)
        self._learn(state, outcome, sending, began=began)
        return outcome

    async def _end(
        self, state: EndpointState, number: int, *, unanswered_since: float | None
    ) -> None:
        state.in_flight -= 1
        state.health.note_ended(number)
        if unanswered_since is None:
            return
        now = anyio.current_time()
        state.note_given_up(now - unanswered_since, now)
        if now - unanswered_since > state.pace.silent_after_s:
            # Given up without an answer: the endpoint's other kept
            # connections may have gone silent together with this one.
            await self._pool.drop(state.record.incarnation)

    async def _send(self, state: EndpointState, sending: Sending) -> TryOutcome:
        link = await self._link(state)
        if isinstance(link, NotSent):
            return link
        kept = False
        try:
            outcome, kept = await self._converse(state, link, sending)
        except SEND_ERRORS as exc:
            return Failed(reason=f'sending: {type(exc).__name__}', broke=True)
        except BrokenAnswerError as exc:
            return Failed(reason=exc.reason, broke=True)
        finally:
            # Also when the caller left or time ran out: closing is how an
            # endpoint learns that the work is wanted no more.
            if not kept:
                await link.close()
        return outcome

    async def _link(self, state: EndpointState) -> EndpointLink | NotSent:
        link = await self._pool.take(state.record.incarnation, anyio.current_time())
        if link is not None:
            return link
        began = anyio.current_time()
        try:
            with anyio.fail_after(CONNECT_S):
                link = await connect(state.record.address, id_header=self._names.request_id)
        except (OSError, TimeoutError) as exc:
            return NotSent(reason=f'connecting: {type(exc).__name__}')
        state.note_connected(anyio.current_time() - began)
        return link

    async def _converse(
        self, state: EndpointState, link: EndpointLink, sending: Sending
    ) -> tuple[TryOutcome, bool]:
        """Return the outcome and whether the link lives on."""
        await link.send(sending.request)
        outcome = await self._await_answer(state, link, sending.rest)
        if isinstance(outcome, Answered) and outcome.rest is not None:
            return outcome, True
        return outcome, await self._keep(state, link, outcome)

    async def _await_answer(
        self, state: EndpointState, link: EndpointLink, rest: RequestBody | None
    ) -> TryOutcome:
        if rest is None:
            return await self._read(state, link)
        outcome: TryOutcome = Failed(reason='no answer')
        # Raised out of the task group they would come as a group of exceptions,
        # pass every handler above and end the process.
        failures: list[Exception] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stream_body, link, rest, failures, tasks.cancel_scope)
            try:
                outcome = await self._read(state, link)
            except BrokenAnswerError as exc:
                failures.append(exc)
            tasks.cancel_scope.cancel()
        if failures:
            raise failures[0]
        return outcome

    async def _read(self, state: EndpointState, link: EndpointLink) -> TryOutcome:
        head = await link.answer_head()
        verdict = self._verdict(head)
        if verdict is not None:
            return verdict
        pieces: list[bytes] = []
        size = 0
        while size < HELD_BYTES:
            piece = await link.answer_piece()
            if not piece:
                body = b''.join(pieces)
                return Answered(endpoint_id=state.record.id, head=head, body=body, rest=None)
            pieces.append(piece)
            size += len(piece)
        return Answered(endpoint_id=state.record.id, head=head, body=b''.join(pieces), rest=link)

    def _verdict(self, head: AnswerHead) -> TryOutcome | None:
        if head.status == _MISDIRECTED:
            return NotRun(reason='another incarnation', misdirected=True)
        if find(head.headers, self._names.not_run) is not None:
            return NotRun(reason=f'refused with {head.status}')
        if head.status in _PROMISES:
            # Passed on, it would promise the caller that nothing ran, which
            # the endpoint did not say.
            return Failed(reason=f'{head.status} without a word on whether it ran')
        signature = self._names.signature
        if signature and head.status in _SUCCESS and find(head.headers, signature) is None:
            return Failed(reason='success without a signature')
        return None

    async def _keep(self, state: EndpointState, link: EndpointLink, outcome: TryOutcome) -> bool:
        if isinstance(outcome, NotRun):
            await link.skip_body()
        if not isinstance(outcome, Answered | NotRun):
            return False
        head = outcome.head if isinstance(outcome, Answered) else AnswerHead(status=0, headers=[])
        now = anyio.current_time()
        if not link.reusable(head, now):
            return False
        await self._pool.give(state.record.incarnation, link)
        return True

    def _learn(
        self, state: EndpointState, outcome: TryOutcome, sending: Sending, *, began: float
    ) -> None:
        now = anyio.current_time()
        if isinstance(outcome, NotSent):
            state.health.note_unreachable(now)
        elif isinstance(outcome, Failed):
            state.health.note_failed(now)
        elif isinstance(outcome, NotRun):
            # A full endpoint refuses by right and is not failing.
            if state.load(now) < state.record.slots:
                state.health.note_failed(now)
        else:
            state.note_answer(now - began, now)
            state.note_work(sending.key, now - began, now, had_room=sending.had_room)
            self._learn_answer(state, outcome, now)

    def _learn_answer(self, state: EndpointState, outcome: Answered, now: float) -> None:
        if outcome.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            state.health.note_failed(now)
        else:
            state.health.note_good(now)
        reported = find(outcome.head.headers, self._names.load)
        if reported is None:
            return
        counts = reported.split(b',')
        if len(counts) == 3 and all(count.strip().isdigit() for count in counts):
            state.note_report(busy=int(counts[0]) + int(counts[1]), now=now)


async def _stream_body(
    link: EndpointLink,
    body: RequestBody,
    failures: list[Exception],
    reading: anyio.CancelScope,
) -> None:
    """Send the body; one that is too long ends the ``reading`` of an answer."""
    try:
        await _send_pieces(link, body)
    except BodyTooLargeError as exc:
        failures.append(exc)
        reading.cancel()
    except SEND_ERRORS as exc:
        # The endpoint may have answered before it read all.
        log.debug('Sender: the body was not taken whole (%s).', exc)


async def _send_pieces(link: EndpointLink, body: RequestBody) -> None:
    while True:
        piece = await body.read()
        await link.send_body(piece)
        if not piece:
            return
