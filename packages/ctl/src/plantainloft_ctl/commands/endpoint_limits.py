"""``plantainctl endpoint-limits``: endpoints that name a request limit."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from plantainloft_ctl.command_helpers import EXIT_FAILED, fetch_listing
from plantainloft_ctl.endpoint_limits import (
    aggregate_endpoint_limits,
    format_endpoint_limit_table,
)

__all__ = ['EndpointLimits']


@dataclass(kw_only=True)
class EndpointLimits:
    """Show the request limits that endpoints name, and the instances' shares of them.

    ``nodes`` are metrics URLs of entry instances, or URLs of the product's own
    interface followed by ``/v1``. Query all instances to see the whole
    of the shares: they add up to no more than the limit in one window.
    """

    nodes: Annotated[list[str], cappa.Arg(long=True)]

    def __call__(self) -> None:
        limits_by_instance = {
            node: limits
            for node in self.nodes
            if (limits := fetch_listing('endpoint-limits', node, 'endpoint-limits')) is not None
        }
        if not limits_by_instance:
            raise cappa.Exit(code=EXIT_FAILED)
        rows = aggregate_endpoint_limits(limits_by_instance)
        print('\n'.join(format_endpoint_limit_table(rows, instances=len(limits_by_instance))))
