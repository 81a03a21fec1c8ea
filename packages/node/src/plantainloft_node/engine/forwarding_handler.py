"""Handles callers' requests: match the route, check limits, dispatch and respond."""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from plantainloft_core.organisations import Organisation
from plantainloft_core.routes import CallerLimits, Route, RouteTable
from plantainloft_node.engine.admitted_request import AdmittedRequest
from plantainloft_node.engine.attempts import (
    Answered,
    Attempts,
    Failed,
    Refusal,
    RequestContext,
)
from plantainloft_node.engine.dispatcher import Dispatcher
from plantainloft_node.engine.exchange import Exchange, ExchangeHandler
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.headers import find_cookie, parse_header_integer
from plantainloft_node.engine.request_body import BodyError
from plantainloft_node.engine.responses import DEADLINE_EXCEEDED, ResponseSender, request_id
from plantainloft_node.limits.limiter import RequestLimiter
from plantainloft_node.overload.admission import RejectReason
from plantainloft_node.quarantine.quarantine import Blocked

__all__ = ['ForwardingHandler']

MS_PER_S = 1000.0
DEFAULT_TIMEOUT_S = 30.0
MAX_TIMEOUT_MS = 86_400_000
# Without a configuration: its first rows arrive within one or two rounds of heartbeats,
# in which instances report to each other.
NO_CONFIGURATION_RETRY_S = 0.5
# The reason of refusals while this instance is beyond its link, memory or processor.
BEYOND_LIMIT = 'the instance is beyond its capacity'


def _admit_all(_: int) -> bool:
    return True


class ForwardingHandler(ExchangeHandler):
    """Answers callers' requests by forwarding them to endpoints."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        dispatcher: Dispatcher,
        limiter: RequestLimiter,
        route_table: Callable[[], RouteTable],
        record_outcome: Callable[[str, str, float], None],
        admits: Callable[[int], bool] = _admit_all,
    ) -> None:
        """``admits`` returns whether a new request of a priority is admitted."""
        self._admits = admits
        self._names = names
        self._dispatcher = dispatcher
        self._stop_admission = dispatcher.admission.stop
        self._limiter = limiter
        self._route_table = route_table
        self._responses = ResponseSender(
            names=names,
            record_outcome=record_outcome,
            on_streamed=dispatcher.record_streamed_response,
        )
        self.requests_in_progress = 0
        # Requests that ended: finished, refused, aborted, caller_left.
        self.count_by_outcome: Counter[str] = Counter()

    def limits(self) -> CallerLimits:
        """Return the limits of the current configuration."""
        return self._route_table().limits

    def is_idempotent(self, exchange: Exchange) -> bool:
        """Return whether the route of the request is idempotent."""
        route = self._route(exchange, self._route_table())
        return route is not None and route.idempotent

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request of a caller."""
        route_table = self._route_table()
        if not route_table.version:
            refusal = Refusal(reason='no configuration', retry_after_s=NO_CONFIGURATION_RETRY_S)
            await self._responses.refuse_unconfigured(exchange, refusal)
            return
        route = self._route(exchange, route_table)
        if route is None:
            await self._responses.respond_no_route(exchange, version=route_table.version)
            return
        organisation: Organisation | None = None
        if route_table.requires_keys and not route.public:
            key = self._organisation_key(exchange)
            organisation = None if key is None else route_table.organisations.find_by_key(key)
            if organisation is None:
                await self._responses.respond_unauthorised(
                    exchange, route, version=route_table.version, key=key
                )
                return
            route = route.with_organisation_settings(organisation)
            exceeded = self._limiter.admit(organisation, anyio.current_time())
            if exceeded is not None:
                await self._responses.respond_limit_exceeded(
                    exchange, route, exceeded, version=route_table.version
                )
                return
        self.requests_in_progress += 1
        try:
            await self._serve(exchange, route, route_table, organisation)
        except BodyError as exc:
            await self._responses.respond_unreadable(exchange, exc.status)
        finally:
            self.requests_in_progress -= 1

    def _route(self, exchange: Exchange, route_table: RouteTable) -> Route | None:
        host = (exchange.header(b'host') or b'').decode('latin-1').partition(':')[0]
        return route_table.find_route(host.lower(), exchange.path)

    async def _serve(
        self,
        exchange: Exchange,
        route: Route,
        route_table: RouteTable,
        organisation: Organisation | None,
    ) -> None:
        organisation_name = organisation.name if organisation else ''
        context = RequestContext(
            self._affinity_key(exchange), route_table.version, organisation_name
        )
        attempts = Attempts(context=context)
        durations = self._stop_admission.durations
        with (
            self._recording(exchange, route, attempts),
            durations.open_request(
                route.name, exchange.received_at, is_sent=lambda: attempts.may_have_run
            ),
        ):
            outcome = await self._obtain_response(
                exchange, route, route_table, organisation, attempts
            )
            await self._responses.respond(exchange, route, outcome, attempts)
            self.count_by_outcome['refused' if isinstance(outcome, Refusal) else 'finished'] += 1

    @contextmanager
    def _recording(self, exchange: Exchange, route: Route, attempts: Attempts) -> Iterator[None]:
        """Record how long a request takes within the context, and if its connection ends."""
        cancelled = anyio.get_cancelled_exc_class()
        is_finished = False
        try:
            yield
        except cancelled:
            self.count_by_outcome[self._responses.record_cancelled(exchange, route, attempts)] += 1
            raise
        else:
            is_finished = True
        finally:
            if attempts.may_have_run:
                now = anyio.current_time()
                self._stop_admission.durations.record(
                    route.name, now - exchange.received_at, now, is_finished=is_finished
                )

    async def _obtain_response(
        self,
        exchange: Exchange,
        route: Route,
        route_table: RouteTable,
        organisation: Organisation | None,
        attempts: Attempts,
    ) -> Answered | Refusal | Failed | Blocked:
        requested_s = self._requested_timeout_s(exchange)
        deadline = exchange.received_at + min(requested_s, route.timeout_s)
        outcome: Answered | Refusal | Failed | Blocked | None = None
        now = anyio.current_time()
        if not self._stop_admission.admits(route.name, deadline=deadline, now=now):
            self._update_limit_usage(organisation, attempts, ran=False)
            exchange.close_connection()
            return self._stop_admission.refuse(attempts)
        if not self._admits(route.priority):
            self._update_limit_usage(organisation, attempts, ran=False)
            return self._dispatcher.admission.refuse(
                attempts, BEYOND_LIMIT, counted_as=RejectReason.NO_ENDPOINT
            )
        try:
            with anyio.move_on_at(deadline):
                body, body_complete = await exchange.body.read_replayable()
                admitted = AdmittedRequest(
                    exchange,
                    route,
                    attempts.context.affinity_key,
                    deadline,
                    exchange.received_at + requested_s,
                    body,
                    body_complete,
                    organisation,
                )
                outcome = await self._dispatcher.dispatch(admitted, route_table, attempts)
        finally:
            ran = isinstance(outcome, Answered) or attempts.may_have_run
            self._update_limit_usage(organisation, attempts, ran=ran)
        if outcome is None:
            return self._dispatcher.admission.refuse(
                attempts, DEADLINE_EXCEEDED, counted_as=RejectReason.EXPIRED
            )
        return outcome

    def _update_limit_usage(
        self, organisation: Organisation | None, attempts: Attempts, *, ran: bool
    ) -> None:
        """Count the runs of the request against the limit of the organisation.

        A request that did not run is not counted; each further attempt counts once more.
        """
        if organisation is None:
            return
        if not ran:
            self._limiter.release(organisation)
            return
        for _ in range(1, attempts.sent_count):
            self._limiter.record_retry(organisation, anyio.current_time())

    def _organisation_key(self, exchange: Exchange) -> bytes | None:
        """Return the organisation's key; ``None`` unless there is exactly one."""
        keys = [value for name, value in exchange.headers if name == self._names.organisation_key]
        return keys[0].strip() if len(keys) == 1 else None

    def _requested_timeout_s(self, exchange: Exchange) -> float:
        header_value = exchange.header(self._names.timeout_ms) or b''
        timeout_ms = parse_header_integer(header_value, maximum=MAX_TIMEOUT_MS)
        return DEFAULT_TIMEOUT_S if timeout_ms is None else timeout_ms / MS_PER_S

    def _affinity_key(self, exchange: Exchange) -> str:
        # Without an affinity key, requests are distributed by their request ids.
        cookie = find_cookie(exchange.headers, self._names.affinity_cookie)
        return cookie or request_id(exchange, self._names)
