"""``plantainctl retry-budgets``: retries sent and withheld, by service."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from plantainloft_ctl.command_helpers import EXIT_FAILED, fetch_listing
from plantainloft_ctl.retry_budgets import aggregate_retry_budgets, format_retry_budget_table

__all__ = ['RetryBudgets']


@dataclass(kw_only=True)
class RetryBudgets:
    """Show how many retries each service got, may still get, and how many were withheld.

    ``nodes`` are metrics URLs of entry instances, or URLs of the product's own interface
    followed by ``/v1``. Each instance lists its own part.
    """

    nodes: Annotated[list[str], cappa.Arg(long=True)]

    def __call__(self) -> None:
        listings = [
            listing
            for node in self.nodes
            if (listing := fetch_listing('retry-budgets', node, 'retry-budgets')) is not None
        ]
        if not listings:
            raise cappa.Exit(code=EXIT_FAILED)
        print('\n'.join(format_retry_budget_table(aggregate_retry_budgets(listings))))
