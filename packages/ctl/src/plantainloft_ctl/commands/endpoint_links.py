"""``plantainctl endpoint-links``: instances that have lost their links to endpoints."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from plantainloft_ctl.command_helpers import EXIT_FAILED, fetch_listing
from plantainloft_ctl.endpoint_links import format_link_table

__all__ = ['EndpointLinks']


@dataclass(kw_only=True)
class EndpointLinks:
    """Show which entry instances reach the endpoints of a zone only through others.

    ``nodes`` are metrics URLs of entry instances.
    """

    nodes: Annotated[list[str], cappa.Arg(long=True)]

    def __call__(self) -> None:
        links_by_instance = {
            node: links
            for node in self.nodes
            if (links := fetch_listing('endpoint-links', node, 'endpoint-links')) is not None
        }
        if not links_by_instance:
            raise cappa.Exit(code=EXIT_FAILED)
        print('\n'.join(format_link_table(links_by_instance)))
