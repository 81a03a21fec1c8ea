"""Helpers shared by the ``plantainctl`` commands: table access and output."""

import json
import sys
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import cappa
import httpx

from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.table_client import TableClient

__all__ = [
    'DEFAULT_TABLE_URL',
    'exit_with_error',
    'fetch_listing',
    'print_json',
    'run_with_table',
]

DEFAULT_TABLE_URL = 'http://127.0.0.1:7400'
TIMEOUT_S = 2.0
EXIT_FAILED = 1
EXIT_REJECTED = 3

Result = TypeVar('Result')


def run_with_table(table_url: str, operation: Callable[[TableClient], Awaitable[Result]]) -> Result:
    """Run ``operation`` with a client for the table service at ``table_url``."""

    async def run_operation() -> Result:
        client = TableClient(base_url=table_url, timeout_s=TIMEOUT_S)
        try:
            return await operation(client)
        finally:
            await client.close()

    return anyio.run(run_operation)


def exit_with_error(outcome: Unreachable | Invalid) -> None:
    """Print why the command failed to standard error and exit with a non-zero status."""
    if isinstance(outcome, Invalid):
        for problem in outcome.problems:
            print(f'invalid: {problem}', file=sys.stderr)
        raise cappa.Exit(code=EXIT_REJECTED)
    print(f'unreachable: {outcome.reason}', file=sys.stderr)
    raise cappa.Exit(code=EXIT_FAILED)


def print_json(value: Any) -> None:
    """Print ``value`` as indented JSON with sorted keys."""
    print(json.dumps(value, indent=2, sort_keys=True))


def fetch_listing(command: str, node: str, path: str) -> list[dict[str, Any]] | None:
    """Return the list that ``node`` serves at ``path``; print why there is none.

    ``command`` is the name of the command, for the message.
    """
    try:
        response = httpx.get(f'{node.rstrip("/")}/{path}', timeout=TIMEOUT_S)
    except httpx.HTTPError as exc:
        print(f'{command}: no response from {node} ({type(exc).__name__})', file=sys.stderr)
        return None
    if response.is_error:
        print(f'{command}: {node} returned status {response.status_code}', file=sys.stderr)
        return None
    listing: list[dict[str, Any]] = response.json()
    return listing
