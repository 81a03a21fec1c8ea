"""``plantainctl organisations`` and ``key-digest``: limits, usage and API keys."""

import getpass
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from plantainloft_core.organisations import digest_key
from plantainloft_ctl.command_helpers import EXIT_FAILED, fetch_listing
from plantainloft_ctl.organisations import (
    aggregate_organisations,
    find_key_holders,
    format_organisation_table,
)
from plantainloft_ctl.plot import plot_organisations

__all__ = ['KeyDigest', 'Organisations']


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
            if (organisations := fetch_listing('organisations', node, 'organisations')) is not None
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
