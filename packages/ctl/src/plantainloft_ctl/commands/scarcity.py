"""``plantainctl scarcity``: what admission control admits and rejects, by service."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from plantainloft_ctl.command_helpers import EXIT_FAILED, fetch_listing
from plantainloft_ctl.scarcity import aggregate_scarcity, format_groups, format_scarcity_table

__all__ = ['Scarcity']


@dataclass(kw_only=True)
class Scarcity:
    """Show the room of each service, and the requests that were admitted and rejected.

    ``nodes`` are metrics URLs of entry instances. Each instance lists its own part, by
    reason, zone and organisation.
    """

    nodes: Annotated[list[str], cappa.Arg(long=True)]

    def __call__(self) -> None:
        listings = [
            listing
            for node in self.nodes
            if (listing := fetch_listing('scarcity', node, 'scarcity')) is not None
        ]
        if not listings:
            raise cappa.Exit(code=EXIT_FAILED)
        rows = aggregate_scarcity(listings)
        print('\n'.join(format_scarcity_table(rows)))
        groups = format_groups(rows)
        if groups:
            print()
            print('\n'.join(groups))
