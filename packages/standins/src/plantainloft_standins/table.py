"""Stand-in for the platform's transactional table service.

Protocol (JSON over HTTP):

- ``GET /rows/{key}``: ``{"key", "version", "value"}`` or 404.
- ``GET /rows?prefix=P``: ``{"rows": [...]}``.
- ``POST /txn`` with ``{"conditions": [{"key", "version"}], "writes":
  [{"key", "value"}], "deletes": [key]}``: an atomic transaction. Version 0 means
  that the row is absent. 200 ``{"versions": {key: n}}`` or 409
  ``{"conflicts": [{"key", "version"}]}``.
- ``PUT /objects/{key}``, ``GET /objects/{key}``: the object store.
- ``POST /faults`` with ``{"mode", "delay_s"}``; ``GET /stats``.
- ``POST /copy`` keeps a copy of all rows and objects; ``POST /return`` goes back to it.

All responses have the header ``Table-Era``, which rises with each return.
"""

import logging
from http import HTTPStatus
from typing import Any, NamedTuple

import anyio
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.middleware.base import BaseHTTPMiddleware, RequestResponseEndpoint
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from plantainloft_standins.faults import FAULT_MODES, Faults

__all__ = ['TableService', 'make_app']

log = logging.getLogger(__name__)


class _Copy(NamedTuple):
    rows_by_key: dict[str, tuple[int, Any]]
    objects_by_key: dict[str, bytes]


class TableService:
    """Versioned rows changed by atomic transactions, and an object store."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, tuple[int, Any]] = {}
        self.objects_by_key: dict[str, bytes] = {}
        self.era = 1
        self._copy = _Copy({}, {})
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    def take_copy(self) -> None:
        """Keep a copy of all rows and objects."""
        self._copy = _Copy(dict(self.rows_by_key), dict(self.objects_by_key))

    def return_from_copy(self) -> None:
        """Lose what was written since the copy was taken."""
        self.rows_by_key = dict(self._copy.rows_by_key)
        self.objects_by_key = dict(self._copy.objects_by_key)
        self.era += 1

    def version_of(self, key: str) -> int:
        """Return the row's version, 0 when absent."""
        return self.rows_by_key.get(key, (0, None))[0]

    def commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply one transaction; return the HTTP status and answer."""
        conflicts = [
            {'key': cond['key'], 'version': self.version_of(cond['key'])}
            for cond in body.get('conditions', [])
            if self.version_of(cond['key']) != cond['version']
        ]
        if conflicts:
            return 409, {'conflicts': conflicts}
        versions = {}
        for write in body.get('writes', []):
            version = self.version_of(write['key']) + 1
            self.rows_by_key[write['key']] = (version, write['value'])
            versions[write['key']] = version
        for key in body.get('deletes', []):
            self.rows_by_key.pop(key, None)
        self.writes += 1
        return 200, {'versions': versions}


def _row(key: str, entry: tuple[int, Any]) -> dict[str, Any]:
    return {'key': key, 'version': entry[0], 'value': entry[1]}


def make_app(table: TableService) -> Starlette:
    """Build the ASGI application serving ``table``."""

    async def simulate_fault() -> Response | None:
        if table.faults.mode == 'down':
            return JSONResponse(
                {'error': 'unavailable'}, status_code=HTTPStatus.SERVICE_UNAVAILABLE
            )
        if table.faults.mode == 'slow':
            await anyio.sleep(table.faults.delay_s)
        return None

    async def get_row(request: Request) -> Response:
        fault = await simulate_fault()
        if fault:
            return fault
        table.reads += 1
        key = request.path_params['key']
        entry = table.rows_by_key.get(key)
        if entry is None:
            return JSONResponse({'key': key, 'version': 0}, status_code=HTTPStatus.NOT_FOUND)
        return JSONResponse(_row(key, entry))

    async def list_rows(request: Request) -> Response:
        fault = await simulate_fault()
        if fault:
            return fault
        table.reads += 1
        prefix = request.query_params.get('prefix', '')
        rows = [
            _row(key, entry)
            for key, entry in sorted(table.rows_by_key.items())
            if key.startswith(prefix)
        ]
        return JSONResponse({'rows': rows})

    async def txn(request: Request) -> Response:
        fault = await simulate_fault()
        if fault:
            return fault
        status, answer = table.commit(await request.json())
        if table.faults.mode == 'lose_answer':
            # The write took effect, but the caller does not learn of it.
            return JSONResponse(
                {'error': 'answer lost'}, status_code=HTTPStatus.INTERNAL_SERVER_ERROR
            )
        return JSONResponse(answer, status_code=status)

    async def put_object(request: Request) -> Response:
        fault = await simulate_fault()
        if fault:
            return fault
        table.objects_by_key[request.path_params['key']] = await request.body()
        table.writes += 1
        return JSONResponse({'stored': True})

    async def get_object(request: Request) -> Response:
        fault = await simulate_fault()
        if fault:
            return fault
        table.reads += 1
        content = table.objects_by_key.get(request.path_params['key'])
        if content is None:
            return JSONResponse({'error': 'absent'}, status_code=HTTPStatus.NOT_FOUND)
        return Response(content, media_type='application/octet-stream')

    async def set_faults(request: Request) -> Response:
        body = await request.json()
        mode = body.get('mode', 'normal')
        if mode not in FAULT_MODES:
            return JSONResponse(
                {'error': f'unknown mode {mode}'}, status_code=HTTPStatus.BAD_REQUEST
            )
        table.faults = Faults(mode=mode, delay_s=float(body.get('delay_s', 0)))
        log.info('Table: fault mode is now %s.', mode)
        return JSONResponse({'mode': mode})

    async def stats(request: Request) -> Response:
        return JSONResponse({'reads': table.reads, 'writes': table.writes})

    async def take_copy(request: Request) -> Response:
        table.take_copy()
        return JSONResponse({'era': table.era})

    async def return_from_copy(request: Request) -> Response:
        table.return_from_copy()
        log.info('Table: returned from a copy, era %d.', table.era)
        return JSONResponse({'era': table.era})

    async def name_era(request: Request, call_next: RequestResponseEndpoint) -> Response:
        response = await call_next(request)
        response.headers['Table-Era'] = str(table.era)
        return response

    return Starlette(
        middleware=[Middleware(BaseHTTPMiddleware, dispatch=name_era)],
        routes=[
            Route('/rows', list_rows),
            Route('/rows/{key:path}', get_row),
            Route('/txn', txn, methods=['POST']),
            Route('/objects/{key:path}', put_object, methods=['PUT']),
            Route('/objects/{key:path}', get_object, methods=['GET']),
            Route('/faults', set_faults, methods=['POST']),
            Route('/stats', stats),
            Route('/copy', take_copy, methods=['POST']),
            Route('/return', return_from_copy, methods=['POST']),
        ],
    )
