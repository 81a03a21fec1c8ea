"""Stand-in for an endpoint: slots, cold start, shedding, drain, deadlines.

Protocol (HTTP): ``{ANY} /work/{path}`` runs one request. A request whose header
``x-deadline-ms`` (Unix time in ms) has passed is refused. Runs are counted by
``Idempotency-Key`` so that tests can detect duplicates. ``GET /load`` reports the
requests in flight ``report_lag_s`` ago, or always zero after ``POST /mislead``.
``POST /drain`` makes the endpoint refuse new requests. A request whose path is
``fatal_path`` ends the process while it runs. ``POST /limit?per_s=N`` adds the
request limit N to each response, ``POST /limit`` without a number removes it.
``POST /leave`` makes each response say that the endpoint is leaving, while it goes on
serving. ``POST /rest?seconds=N`` turns every request away and asks for N seconds of rest,
``POST /rest`` ends that. The load report names the incarnation, which differs after a restart.
``GET /executions`` lists runs by key
and how long requests were still being sent after draining began.
"""

import collections
import logging
import os
import time
from http import HTTPStatus
from typing import Any, NamedTuple

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ['EndpointSettings', 'EndpointState', 'make_app']

log = logging.getLogger(__name__)

COLD_FACTOR = 4.0
MS_PER_S = 1000.0
EXIT_CRASHED = 70
REQUEST_LIMIT_HEADER = 'x-request-limit'
LEAVING_HEADER = 'x-leaving'
SHED_REST_S = '1'
POST = ('POST',)
# Arrival times that are kept for tests.
MAX_ARRIVALS = 10000


class EndpointSettings(NamedTuple):
    """Behaviour of the stand-in; times in seconds.

    A request for ``fatal_path`` crashes the endpoint; empty: none does.
    """

    name: str
    slots: int
    queue: int
    service_s: float
    cold_s: float
    report_lag_s: float
    fatal_path: str = ''


class DrainRecord:
    """Whether the endpoint is draining, and the requests it still received."""

    def __init__(self) -> None:
        self.draining_since: float | None = None
        self.last_request_at = 0.0
        self.refused = 0

    def begin(self) -> None:
        """Refuse new requests from now on."""
        self.draining_since = time.monotonic()

    def record_request(self) -> None:
        """Record that a request arrived, accepted or not."""
        self.last_request_at = time.monotonic()
        if self.draining_since is not None:
            self.refused += 1

    def last_request_after_s(self) -> float | None:
        """Return the time from the start of draining to the last request."""
        return (
            None
            if self.draining_since is None
            else max(0.0, self.last_request_at - self.draining_since)
        )


class Announced:
    """What the responses of the endpoint say about it; empty texts say nothing."""

    def __init__(self) -> None:
        self.request_limit = ''
        self.rest_s = ''
        self.is_leaving = False


class EndpointState:
    """Runtime state of one endpoint."""

    def __init__(self, *, settings: EndpointSettings) -> None:
        self.settings = settings
        self.started_at = time.monotonic()
        self.inflight = 0
        self.drain = DrainRecord()
        self.mislead = False
        self.incarnation = str(time.time_ns())
        self.announced = Announced()
        self.arrivals: collections.deque[float] = collections.deque(maxlen=MAX_ARRIVALS)
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.history: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=1000,
        )
        self.slots = anyio.Semaphore(settings.slots)

    def service_time(self) -> float:
        """Return the service time in seconds, longer while the endpoint is cold."""
        age = time.monotonic() - self.started_at
        if age < self.settings.cold_s:
            return self.settings.service_s * COLD_FACTOR
        return self.settings.service_s

    def record_load(self) -> None:
        """Record the current load, for the delayed report."""
        self.history.append((time.monotonic(), self.inflight))

    def reported_load(self) -> int:
        """Return the load as it stood ``report_lag_s`` ago."""
        if self.mislead:
            return 0
        cutoff = time.monotonic() - self.settings.report_lag_s
        value = 0
        for recorded_at, inflight in self.history:
            if recorded_at > cutoff:
                break
            value = inflight
        return value


def _refuse(reason: str, *, rest_s: str = '') -> Response:
    return JSONResponse(
        {'outcome': 'refused', 'reason': reason},
        status_code=HTTPStatus.SERVICE_UNAVAILABLE,
        headers={'Retry-After': rest_s} if rest_s else {},
    )


def make_app(state: EndpointState) -> Starlette:
    """Build the ASGI application of one endpoint stand-in."""

    async def work(request: Request) -> Response:
        response = await run(request)
        if state.announced.request_limit:
            response.headers[REQUEST_LIMIT_HEADER] = state.announced.request_limit
        if state.announced.is_leaving:
            response.headers[LEAVING_HEADER] = '1'
        return response

    async def run(request: Request) -> Response:
        state.drain.record_request()
        state.arrivals.append(time.monotonic())
        if state.drain.draining_since is not None:
            return _refuse('draining', rest_s=SHED_REST_S)
        if state.announced.rest_s:
            return _refuse('resting', rest_s=state.announced.rest_s)
        limit = state.settings.slots + state.settings.queue
        if state.inflight >= limit:
            return _refuse('shed', rest_s=SHED_REST_S)
        deadline = request.headers.get('x-deadline-ms')
        if deadline and float(deadline) < time.time() * MS_PER_S:
            return _refuse('deadline passed')
        body = await request.body()
        key = request.headers.get('idempotency-key', '')
        state.inflight += 1
        state.record_load()
        try:
            async with state.slots:
                state.runs_by_key[key] += 1
                await anyio.sleep(state.service_time())
                if request.path_params['path'] == state.settings.fatal_path:
                    os._exit(EXIT_CRASHED)
        finally:
            state.inflight -= 1
            state.record_load()
        answer: dict[str, Any] = {
            'endpoint': state.settings.name,
            'path': request.path_params['path'],
            'echo': body.decode(errors='replace'),
        }
        return JSONResponse(answer)

    async def load(request: Request) -> Response:
        return JSONResponse(
            {
                'inflight': state.reported_load(),
                'slots': state.settings.slots,
                'draining': state.drain.draining_since is not None,
                'incarnation': state.incarnation,
            }
        )

    async def drain(request: Request) -> Response:
        state.drain.begin()
        log.info('Endpoint: %s refuses new requests: a drain was requested.', state.settings.name)
        return JSONResponse({'draining': True})

    async def mislead(request: Request) -> Response:
        state.mislead = True
        return JSONResponse({'mislead': True})

    async def limit(request: Request) -> Response:
        state.announced.request_limit = request.query_params.get('per_s', '')
        return JSONResponse({'limit': state.announced.request_limit})

    async def leave(request: Request) -> Response:
        state.announced.is_leaving = True
        return JSONResponse({'leaving': True})

    async def rest(request: Request) -> Response:
        state.announced.rest_s = request.query_params.get('seconds', '')
        return JSONResponse({'rest': state.announced.rest_s})

    async def executions(request: Request) -> Response:
        return JSONResponse(
            {
                'runs_by_key': dict(state.runs_by_key),
                'inflight': state.inflight,
                'slots': state.settings.slots,
                'refused_draining': state.drain.refused,
                'offered_after_drain_s': state.drain.last_request_after_s(),
                'arrived_s_ago': [time.monotonic() - at for at in state.arrivals],
            }
        )

    return Starlette(
        routes=[
            Route(
                '/work/{path:path}',
                work,
                methods=['GET', 'POST', 'PUT', 'DELETE'],
            ),
            Route('/load', load),
            Route('/drain', drain, methods=POST),
            Route('/mislead', mislead, methods=POST),
            Route('/limit', limit, methods=POST),
            Route('/leave', leave, methods=POST),
            Route('/rest', rest, methods=POST),
            Route('/executions', executions),
        ]
    )
