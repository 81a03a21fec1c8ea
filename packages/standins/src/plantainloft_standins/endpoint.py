"""Stand-in for an endpoint: slots, cold start, shedding, drain, deadlines.

Protocol (HTTP): ``{ANY} /work/{path}`` runs one request. A request with
header ``x-deadline-ms`` (Unix time in ms) past due is not started. Each
run is counted by its ``Idempotency-Key`` so tests can see doubles.
``GET /load`` reports requests in flight, lagging by ``report_lag_s``
and, when ``mislead`` is set, reporting zero. ``POST /drain`` makes it
refuse new work. A request whose path is the endpoint's ``fatal_path`` ends the
process while it runs. ``GET /executions`` lists runs by key and, while
draining, how long new work was still being offered.
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
MS = 1000.0
EXIT_CRASHED = 70


class EndpointSettings(NamedTuple):
    """How the stand-in behaves; times in seconds.

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
    """Whether the endpoint is leaving, and what it was still offered."""

    def __init__(self) -> None:
        self.since: float | None = None
        self.last_offer = 0.0
        self.refused = 0

    def begin(self) -> None:
        """Take no new work from now on."""
        self.since = time.monotonic()

    def note_offered(self) -> None:
        """Record that a request was offered, taken or not."""
        self.last_offer = time.monotonic()
        if self.since is not None:
            self.refused += 1

    def offered_for_s(self) -> float | None:
        """Return how long after leaving the last offer came."""
        return None if self.since is None else max(0.0, self.last_offer - self.since)


class EndpointState:
    """What the endpoint is doing now."""

    def __init__(self, *, settings: EndpointSettings) -> None:
        self.settings = settings
        self.started_at = time.monotonic()
        self.inflight = 0
        self.drain = DrainRecord()
        self.mislead = False
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.history: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=1000,
        )
        self.slots = anyio.Semaphore(settings.slots)

    def service_time(self) -> float:
        """Return this request's service time; slower while cold."""
        age = time.monotonic() - self.started_at
        if age < self.settings.cold_s:
            return self.settings.service_s * COLD_FACTOR
        return self.settings.service_s

    def note_load(self) -> None:
        """Record the load now, for the lagging report."""
        self.history.append((time.monotonic(), self.inflight))

    def reported_load(self) -> int:
        """Return the load as it stood ``report_lag_s`` ago."""
        if self.mislead:
            return 0
        cutoff = time.monotonic() - self.settings.report_lag_s
        value = 0
        for stamp, inflight in self.history:
            if stamp > cutoff:
                break
            value = inflight
        return value


def _refuse(reason: str) -> Response:
    return JSONResponse(
        {'outcome': 'refused', 'reason': reason},
        status_code=HTTPStatus.SERVICE_UNAVAILABLE,
        headers={'Retry-After': '1'},
    )


def make_app(state: EndpointState) -> Starlette:
    """Build the ASGI application of one endpoint stand-in."""

    async def work(request: Request) -> Response:
        state.drain.note_offered()
        if state.drain.since is not None:
            return _refuse('draining')
        limit = state.settings.slots + state.settings.queue
        if state.inflight >= limit:
            return _refuse('shed')
        deadline = request.headers.get('x-deadline-ms')
        if deadline and float(deadline) < time.time() * MS:
            return _refuse('deadline passed')
        body = await request.body()
        key = request.headers.get('idempotency-key', '')
        state.inflight += 1
        state.note_load()
        try:
            async with state.slots:
                state.runs_by_key[key] += 1
                await anyio.sleep(state.service_time())
                if request.path_params['path'] == state.settings.fatal_path:
                    os._exit(EXIT_CRASHED)
        finally:
            state.inflight -= 1
            state.note_load()
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
                'draining': state.drain.since is not None,
            }
        )

    async def drain(request: Request) -> Response:
        state.drain.begin()
        log.info('Endpoint: %s is draining.', state.settings.name)
        return JSONResponse({'draining': True})

    async def mislead(request: Request) -> Response:
        state.mislead = True
        return JSONResponse({'mislead': True})

    async def executions(request: Request) -> Response:
        return JSONResponse(
            {
                'runs_by_key': dict(state.runs_by_key),
                'inflight': state.inflight,
                'slots': state.settings.slots,
                'refused_draining': state.drain.refused,
                'offered_after_drain_s': state.drain.offered_for_s(),
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
            Route('/drain', drain, methods=['POST']),
            Route('/mislead', mislead, methods=['POST']),
            Route('/executions', executions),
        ]
    )
