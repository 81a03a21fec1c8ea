"""``plantainctl endpoint-signals``: endpoints that leave or ask for rest."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from plantainloft_ctl.command_helpers import EXIT_FAILED, fetch_listing
from plantainloft_ctl.endpoint_signals import aggregate_announcements, format_announcement_table

__all__ = ['EndpointSignals']


@dataclass(kw_only=True)
class EndpointSignals:
    """Show the endpoints that have announced to leave, or asked for a rest.

    ``nodes`` are metrics URLs of entry instances, or URLs of the product's own interface
    followed by ``/v1``. Each instance knows what endpoints have announced to it.
    """

    nodes: Annotated[list[str], cappa.Arg(long=True)]

    def __call__(self) -> None:
        listing_by_instance = {
            node: listing
            for node in self.nodes
            if (listing := fetch_listing('endpoint-signals', node, 'endpoint-signals')) is not None
        }
        if not listing_by_instance:
            raise cappa.Exit(code=EXIT_FAILED)
        rows = aggregate_announcements(listing_by_instance.values())
        print('\n'.join(format_announcement_table(rows, instances=len(listing_by_instance))))
