"""``plantainctl store-returns``: returns of the store from copies, and rows it has lost."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from plantainloft_ctl.command_helpers import EXIT_FAILED, fetch_listing
from plantainloft_ctl.store_returns import (
    InstanceStoreReturn,
    format_held_rows,
    format_store_returns,
)

__all__ = ['StoreReturns']


@dataclass(kw_only=True)
class StoreReturns:
    """Show whether the store has returned from an older copy, and which rows it has lost.

    ``nodes`` are metrics URLs of entry instances, or URLs of the product's own interface
    followed by ``/v1``. Rows that are held ``when written again`` are in effect at the
    listed instances only, until their owner writes them again.
    """

    nodes: Annotated[list[str], cappa.Arg(long=True)]

    def __call__(self) -> None:
        instances = [
            InstanceStoreReturn(node, listing[0])
            for node in self.nodes
            if (listing := fetch_listing('store-returns', node, 'store-returns')) is not None
        ]
        if not instances:
            raise cappa.Exit(code=EXIT_FAILED)
        print('\n'.join(format_store_returns(instances)))
        held = format_held_rows(instances)
        if held:
            print()
            print('\n'.join(held))
