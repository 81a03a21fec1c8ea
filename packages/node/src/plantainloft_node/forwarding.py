"""Forward one request: decide an endpoint, send it, tell the outcome.

An endpoint's own refusal (a 503 that says so in its body) or a refused
connection means the request did not run, so another endpoint may be
tried. Anything after the request was sent (a timeout, a cut connection,
a 503 from something between) is ``Unknown``: it may have run.
"""

import logging
import time
from typing import NamedTuple

import httpx

from plantainloft_core.http_errors import NEVER_SENT
from plantainloft_core.model import Configuration, Endpoint
from plantainloft_core.outcomes import Refused, Served, Unknown
from plantainloft_node.deciding import Decider
from plantainloft_node.loads import LoadBook

__all__ = ['Forwarder', 'Request']

log = logging.getLogger(__name__)

MAX_TRIES = 2
MS = 1000.0
_UNAVAILABLE = 503
_DRAINING = 'draining'
_PASSED_HEADERS = ('content-type', 'idempotency-key')


class Request(NamedTuple):
    """A caller's request as the node forwards it."""

    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float


class Forwarder:
    """Chooses endpoints with a policy and sends requests to them."""

    def __init__(
        self,
        *,
        http: httpx.AsyncClient,
        decider: Decider,
        loads: LoadBook,
    ) -> None:
        self._http = http
        self._decider = decider
        self._loads = loads

    async def forward(self, config: Configuration, request: Request) -> Served | Refused | Unknown:
        """Send ``request`` to an endpoint chosen for it."""
        refusal: Refused | None = None
        tried: list[Endpoint] = []
        for _ in range(MAX_TRIES):
            choice = self._decider.decide(config, request.service, tried=tried)
            if isinstance(choice, Refused):
                return refusal or choice
            tried.append(choice.endpoint)
            outcome = await self._send(choice.endpoint.name, choice.endpoint.address, request)
            if not isinstance(outcome, Refused):
                return outcome
            self._decider.note_not_taken(choice.endpoint)
            refusal = outcome
        return refusal or Refused(reason='not tried', retry_after_s=1)

    async def _send(self, name: str, address: str, request: Request) -> Served | Refused | Unknown:
        remaining = request.deadline - time.time()
        if remaining <= 0:
            return Refused(reason='deadline passed', retry_after_s=1)
        headers = {key: value for key, value in request.headers.items() if key in _PASSED_HEADERS}
        headers['x-deadline-ms'] = str(int(request.deadline * MS))
        self._loads.started(name)
        try:
            response = await self._http.request(
                request.method,
                f'{address}/work/{request.path}',
                headers=headers,
                content=request.body,
                timeout=remaining,
            )
        except NEVER_SENT:
            return Refused(reason=f'{name} unreachable', retry_after_s=1)
        except httpx.HTTPError as exc:
            return Unknown(reason=f'{name}: {type(exc).__name__}')
        finally:
            self._loads.finished(name)
        if response.status_code == _UNAVAILABLE:
            return self._unavailable(name, response)
        return Served(status=response.status_code, body=response.content, endpoint=name)

    def _unavailable(self, name: str, response: httpx.Response) -> Refused | Unknown:
        # A 503 is proof that nothing ran only when the endpoint itself
        # says so. One made up by a broken endpoint or something between
        # may follow a run; calling it a refusal would let the request run
        # twice, which one would see as two runs of one key.
        refusal = _endpoint_refusal(response)
        if refusal is None:
            return Unknown(reason=f'{name}: 503 without a refusal')
        if refusal == _DRAINING:
            self._loads.note_draining(name)
        return Refused(reason=f'{name} {refusal}', retry_after_s=1)


def _endpoint_refusal(response: httpx.Response) -> str | None:
    try:
        body = response.json()
    except ValueError:
        return None
    if not isinstance(body, dict) or body.get('outcome') != 'refused':
        return None
    return str(body.get('reason', 'unavailable'))
