"""Client of the platform's transactional table service (JSON over HTTP).

Calls do not raise on HTTP errors: they return the result or ``Unreachable``.
A transaction whose response is lost returns ``LostResponse``, a subclass of
``Unreachable``, because the write may have taken effect.
"""

from typing import Any, NamedTuple

import anyio
import httpx

from plantainloft_core.http_errors import NEVER_SENT
from plantainloft_core.outcomes import Unreachable
from plantainloft_core.store_eras import StoreEras

__all__ = ['LostResponse', 'TableClient', 'TableRow', 'TxnCommitted', 'TxnConflict']

_CONFLICT = 409
_NOT_FOUND = 404
_OK = 200
# The era of the service, in all its responses.
ERA_HEADER = 'table-era'


class TableRow(NamedTuple):
    """A table row; its ``version`` is incremented by each write."""

    key: str
    version: int
    value: Any


class TxnCommitted(NamedTuple):
    """The transaction was applied; ``versions_by_key`` are the new row versions."""

    versions_by_key: dict[str, int]


class TxnConflict(NamedTuple):
    """A condition failed; ``versions_by_key`` are the current row versions."""

    versions_by_key: dict[str, int]


class LostResponse(Unreachable):
    """A write was sent but its response was lost; it may have been applied."""


class TableClient:
    """HTTP client of the table service at ``base_url``.

    ``eras`` has the returns of the service from older copies of its rows.
    """

    def __init__(
        self,
        *,
        base_url: str,
        timeout_s: float,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self.eras = StoreEras()
        self._http = httpx.AsyncClient(
            base_url=base_url,
            timeout=timeout_s,
            transport=transport,
        )

    async def close(self) -> None:
        """Close the HTTP connections."""
        await self._http.aclose()

    async def get(self, key: str) -> TableRow | Unreachable | None:
        """Return the row with ``key``, or ``None`` if it does not exist."""
        response = await self._call('GET', f'/rows/{key}', what=f'get {key}')
        if response is None or isinstance(response, Unreachable):
            return response
        body = response.json()
        return TableRow(key=key, version=body['version'], value=body['value'])

    async def scan(self, prefix: str) -> list[TableRow] | Unreachable:
        """Return the rows whose keys start with ``prefix``, in key order."""
        response = await self._call(
            'GET', '/rows', what=f'scan {prefix}', params={'prefix': prefix}
        )
        if response is None:
            return Unreachable(reason=f'scan {prefix}: status {_NOT_FOUND}')
        if isinstance(response, Unreachable):
            return response
        return [
            TableRow(key=row['key'], version=row['version'], value=row['value'])
            for row in response.json()['rows']
        ]

    async def get_object(self, key: str) -> bytes | Unreachable | None:
        """Return the object with ``key``, or ``None`` if it does not exist."""
        response = await self._call('GET', f'/objects/{key}', what=f'get object {key}')
        if response is None or isinstance(response, Unreachable):
            return response
        return response.content

    async def put_object(self, key: str, content: bytes) -> Unreachable | None:
        """Store ``content`` under ``key`` in the object store."""
        response = await self._call(
            'PUT', f'/objects/{key}', what=f'put object {key}', content=content
        )
        if response is None:
            return Unreachable(reason=f'put object {key}: status {_NOT_FOUND}')
        return response if isinstance(response, Unreachable) else None

    async def commit_transaction(
        self,
        *,
        conditions: dict[str, int],
        writes: dict[str, Any],
        deletes: tuple[str, ...] = (),
    ) -> TxnCommitted | TxnConflict | Unreachable:
        """Apply ``writes`` if every row in ``conditions`` has the given version.

        Version 0 in ``conditions`` means that the row must not exist.
        """
        body = {
            'conditions': [{'key': key, 'version': version} for key, version in conditions.items()],
            'writes': [{'key': key, 'value': value} for key, value in writes.items()],
            'deletes': list(deletes),
        }
        try:
            response = await self._http.post('/txn', json=body)
        except NEVER_SENT as exc:
            return Unreachable(reason=f'txn: {type(exc).__name__}')
        except httpx.HTTPError as exc:
            return LostResponse(reason=f'txn: {type(exc).__name__}')
        self._record_era(response)
        if response.status_code == _CONFLICT:
            return TxnConflict(
                versions_by_key={row['key']: row['version'] for row in response.json()['conflicts']}
            )
        if response.status_code != _OK:
            return LostResponse(reason=f'txn: status {response.status_code}')
        return TxnCommitted(versions_by_key=response.json()['versions'])

    async def _call(
        self, method: str, path: str, *, what: str, **extra: Any
    ) -> httpx.Response | Unreachable | None:
        """Return the response, or ``None`` if its status is 404.

        ``what`` describes the call in the reason of a failure.
        """
        try:
            response = await self._http.request(method, path, **extra)
        except httpx.HTTPError as exc:
            return Unreachable(reason=f'{what}: {type(exc).__name__}')
        self._record_era(response)
        if response.status_code == _NOT_FOUND:
            return None
        if response.status_code != _OK:
            return Unreachable(reason=f'{what}: status {response.status_code}')
        return response

    def _record_era(self, response: httpx.Response) -> None:
        """Record the era that a response names, if it does."""
        value = response.headers.get(ERA_HEADER, '')
        if value.isdigit():
            self.eras.record_answer(int(value), None, anyio.current_time())
