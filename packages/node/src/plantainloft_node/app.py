"""HTTP API of an entry instance.

- ``GET /v1/lookup?service=S&client_block=B``: entry instances that a client should use.
- ``{ANY} /v1/forward/{service}/{path}``: forward one request.
- ``GET /v1/status``: active configuration version, members and statistics by service.
- ``GET /v1/quarantine``: the requests that are quarantined, so not sent to any endpoint.
- ``POST /v1/quarantine/lift?request=FINGERPRINT``: lift the quarantine of a request.
- ``GET /v1/endpoint-limits``: endpoints that name a request limit.
- ``GET /v1/organisations``: organisations with their limits, usage and key digests.
"""

import logging
import time

import anyio
from starlette.applications import Starlette
from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plantainloft_core.outcomes import (
    Limited,
    Quarantined,
    Refused,
    Served,
    Unauthorised,
)
from plantainloft_node.admission import API_KEY_HEADER
from plantainloft_node.config_return_listing import list_node_return
from plantainloft_node.endpoint_limits.listing import list_limits
from plantainloft_node.endpoint_signals.listing import list_announcements
from plantainloft_node.limits.organisation_listing import list_organisations
from plantainloft_node.node import Node
from plantainloft_node.node_requests import Request
from plantainloft_node.quarantine.fingerprints import parse_fingerprint
from plantainloft_node.request_pipeline import Outcome

__all__ = ['log_unserved', 'make_app']

log = logging.getLogger(__name__)

REQUEST_LIMIT_HEADER = 'x-request-limit'
TIMEOUT_HEADER = 'x-request-timeout-ms'
MS_PER_S = 1000.0
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_TIMEOUT = 504
_BAD_REQUEST = 400
_NOT_FOUND = 404
_OK = 200
_UNAUTHORISED = 401
_TOO_MANY_REQUESTS = 429
_NON_IDEMPOTENT_METHODS = frozenset(('POST',))


def outcome_response(outcome: Outcome) -> Response:
    """Convert an outcome to the HTTP response for the caller."""
    if isinstance(outcome, Served):
        response = Response(
            outcome.body,
            status_code=outcome.status,
            headers={
                'x-plantainloft-outcome': 'served',
                'x-plantainloft-endpoint': outcome.endpoint,
            },
            media_type='application/json',
        )
        for request_limit in outcome.request_limits:
            response.headers.append(REQUEST_LIMIT_HEADER, request_limit.decode('latin-1'))
        return response
    if isinstance(outcome, Refused):
        return JSONResponse(
            {'outcome': 'refused', 'ran': False, 'reason': outcome.reason},
            status_code=_UNAVAILABLE,
            headers={
                'Retry-After': str(outcome.retry_after_s),
                'x-plantainloft-outcome': 'refused',
            },
        )
    if isinstance(outcome, Unauthorised):
        return JSONResponse(
            {'outcome': 'unauthorised', 'ran': False, 'reason': outcome.reason},
            status_code=_UNAUTHORISED,
            headers={'WWW-Authenticate': API_KEY_HEADER, 'x-plantainloft-outcome': 'unauthorised'},
        )
    if isinstance(outcome, Limited):
        return JSONResponse(
            {'outcome': 'limited', 'ran': False, 'reason': outcome.reason},
            status_code=_TOO_MANY_REQUESTS,
            headers={
                'Retry-After': f'{outcome.retry_after_s:.2f}',
                'x-plantainloft-outcome': 'limited',
            },
        )
    if isinstance(outcome, Quarantined):
        return JSONResponse(
            {'outcome': 'quarantined', 'reason': outcome.reason},
            status_code=_BAD_GATEWAY,
            headers={'x-plantainloft-outcome': 'quarantined'},
        )
    return JSONResponse(
        {'outcome': 'unknown', 'reason': outcome.reason},
        status_code=_TIMEOUT,
        headers={'x-plantainloft-outcome': 'unknown'},
    )


def log_unserved(outcome: Outcome, *, service: str, version: int, key: str | None) -> None:
    """Log a request that was not served, with the reason."""
    if isinstance(outcome, Served):
        return
    kind = type(outcome).__name__.lower()
    fields = {'service': service, 'version': version, 'key': key, 'reason': outcome.reason}
    log.info(
        'Forward: %s request %s: %s.',
        service,
        kind,
        outcome.reason,
        extra={'kind': kind, 'fields': fields},
    )


def make_app(node: Node) -> Starlette:
    """Build the ASGI application of one entry instance."""

    async def lookup(request: HttpRequest) -> Response:
        index = node.lookup_index()
        ttl_s = node.settings.lookup_ttl_s
        addresses = index.addresses(request.query_params.get('client_block', ''))
        return JSONResponse(
            {'version': index.config.version, 'entry_instances': list(addresses), 'ttl_s': ttl_s},
            headers={'Cache-Control': f'max-age={ttl_s}'},
        )

    async def forward(request: HttpRequest) -> Response:
        started = time.monotonic()
        service = request.path_params['service']
        key = request.headers.get('idempotency-key')
        if request.method in _NON_IDEMPOTENT_METHODS and not key:
            return JSONResponse(
                {
                    'outcome': 'refused',
                    'ran': False,
                    'reason': 'Idempotency-Key required',
                },
                status_code=_BAD_REQUEST,
            )
        timeout_ms = float(
            request.headers.get(TIMEOUT_HEADER, node.settings.request_timeout_s * MS_PER_S)
        )
        forward_request = Request(
            service=service,
            method=request.method,
            path=request.path_params['path'],
            headers=dict(request.headers),
            body=await request.body(),
            deadline=time.time() + timeout_ms / MS_PER_S,
            caller=request.client.host if request.client else '',
        )
        outcome = await node.handle(
            forward_request,
            idempotency_key=key if request.method in _NON_IDEMPOTENT_METHODS else None,
        )
        log_unserved(outcome, service=service, version=node.follower.config.version, key=key)
        node.stats.record(
            service,
            type(outcome).__name__.lower(),
            seconds=time.monotonic() - started,
            latency_objective_s=node.latency_objective_s(service),
        )
        return outcome_response(outcome)

    async def status(request: HttpRequest) -> Response:
        return JSONResponse(
            {
                'name': node.settings.name,
                'version': node.follower.config.version,
                'members': sorted(member.name for member in node.membership_list.live_members()),
                'stats': node.stats.snapshot(),
                'headroom_by_region': node.headroom_by_region(),
                'shares_by_service': node.endpoint_selector.shares(),
                'peer_bytes': {
                    'sent': node.peer_traffic.sent_bytes,
                    'received': node.peer_traffic.received_bytes,
                },
                'slo_ms_by_service': {
                    name: service.slo_ms
                    for name, service in node.follower.config.services_by_name.items()
                },
            }
        )

    async def list_quarantined(request: HttpRequest) -> Response:
        return JSONResponse(node.forwarder.quarantine.list_entries(anyio.current_time()))

    async def lift_quarantine(request: HttpRequest) -> Response:
        fingerprint = parse_fingerprint(request.query_params.get('request', ''))
        if fingerprint is None:
            return JSONResponse({'problem': 'not a fingerprint'}, status_code=_BAD_REQUEST)
        lifted = node.forwarder.quarantine.lift(fingerprint, anyio.current_time())
        return JSONResponse({}, status_code=_OK if lifted else _NOT_FOUND)

    async def organisations(request: HttpRequest) -> Response:
        config = node.follower.config
        usage_by_name = node.handler.admission.usage_by_organisation(config)
        return JSONResponse(list_organisations(config.organisations, usage_by_name))

    async def endpoint_limits(request: HttpRequest) -> Response:
        limits = node.forwarder.endpoint_limits
        usages = limits.usage(node.follower.config, anyio.current_time())
        return JSONResponse(list_limits(usages))

    async def endpoint_signals(request: HttpRequest) -> Response:
        announcements = node.forwarder.endpoint_signals.announcements
        return JSONResponse(list_announcements(announcements, anyio.current_time()))

    async def retry_budgets(request: HttpRequest) -> Response:
        usages = node.forwarder.retry_budgets.usage(anyio.current_time())
        return JSONResponse([usage._asdict() for usage in usages])

    async def store_returns(request: HttpRequest) -> Response:
        return JSONResponse([list_node_return(node.follower, anyio.current_time())])

    return Starlette(
        routes=[
            Route('/v1/lookup', lookup),
            Route(
                '/v1/forward/{service}/{path:path}',
                forward,
                methods=['GET', 'POST', 'PUT', 'DELETE'],
            ),
            Route('/v1/status', status),
            Route('/v1/quarantine', list_quarantined),
            Route('/v1/organisations', organisations),
            Route('/v1/endpoint-limits', endpoint_limits),
            Route('/v1/endpoint-signals', endpoint_signals),
            Route('/v1/retry-budgets', retry_budgets),
            Route('/v1/store-returns', store_returns),
            Route('/v1/quarantine/lift', lift_quarantine, methods=['POST']),
        ]
    )
