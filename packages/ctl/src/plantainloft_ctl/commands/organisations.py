"""``plantainctl organisations`` and ``key-digest``: limits, usage and API keys."""

import getpass
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import httpx

from plantainloft_core.organisations import digest_key
from plantainloft_ctl.command_helpers import EXIT_FAILED
from plantainloft_ctl.organisations import (
    aggregate_organisations,
    find_key_holders,
    format_organisation_table,
)
from plantainloft_ctl.plot import plot_organisations

__all__ = ['KeyDigest', 'Organisations']

TIMEOUT_S = 2.0


@dataclass(kw_only=True)
class Organisations:
    """Show the limit, usage and refused requests of each organisation.

    ``nodes`` are metrics URLs of entry instances, or URLs of the product's own
    interface followed by ``/v1``. With ``key``, the first digits of a key
    digest, the organisations that have a matching key are shown instead.
    ``plot`` also writes the usage by instance as PNG.
    """

    nodes: Annotated[list[str], cappa.Arg(long=True)]
    key: Annotated[str | None, cappa.Arg(long=True)] = None
    plot: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        organisations_by_instance = {
            node: organisations
            for node in self.nodes
            if (organisations := _fetch_organisations(node)) is not None
        }
        if not organisations_by_instance:
            raise cappa.Exit(code=EXIT_FAILED)
        if self.key is not None:
            for node, holders in find_key_holders(
                organisations_by_instance, self.key.lower()
            ).items():
                print(f'{node}: {", ".join(holders) or "nobody"}')
            return
        rows = aggregate_organisations(organisations_by_instance)
        print('\n'.join(format_organisation_table(rows)))
        if self.plot is not None:
            plot_organisations(rows, self.plot)
            print(f'organisations: plot written to {self.plot}')


@dataclass(kw_only=True)
class KeyDigest:
    """Read an API key without echoing it and print the digest to use in a patch."""

    def __call__(self) -> None:
        key = getpass.getpass('key: ') if sys.stdin.isatty() else sys.stdin.readline()
        print(digest_key(key.strip().encode()))


def _fetch_organisations(node: str) -> list[dict[str, Any]] | None:
    try:
        response = httpx.get(f'{node.rstrip("/")}/organisations', timeout=TIMEOUT_S)
    except httpx.HTTPError as exc:
        print(f'organisations: no response from {node} ({type(exc).__name__})', file=sys.stderr)
        return None
    if response.is_error:
        print(f'organisations: {node} returned status {response.status_code}', file=sys.stderr)
        return None
    organisations: list[dict[str, Any]] = response.json()
    return organisations
