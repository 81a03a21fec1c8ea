"""Entry point of the ``plantainctl`` command-line tool."""

from dataclasses import dataclass

import cappa

from plantainloft_ctl.commands.burn import Burn
from plantainloft_ctl.commands.endpoint_limits import EndpointLimits
from plantainloft_ctl.commands.endpoint_links import EndpointLinks
from plantainloft_ctl.commands.endpoint_signals import EndpointSignals
from plantainloft_ctl.commands.explain import Explain
from plantainloft_ctl.commands.history import History
from plantainloft_ctl.commands.losses import Losses
from plantainloft_ctl.commands.organisations import KeyDigest, Organisations
from plantainloft_ctl.commands.quarantine import Quarantine
from plantainloft_ctl.commands.retry_budgets import RetryBudgets
from plantainloft_ctl.commands.scarcity import Scarcity
from plantainloft_ctl.commands.show import Show
from plantainloft_ctl.commands.status import Status
from plantainloft_ctl.commands.store_returns import StoreReturns
from plantainloft_ctl.commands.submit import Submit

__all__ = ['main']


@dataclass
class Plantainctl:
    """Inspect and configure a plantainloft deployment."""

    command: cappa.Subcommands[
        Show
        | Submit
        | History
        | Burn
        | Explain
        | Losses
        | Status
        | Quarantine
        | Organisations
        | KeyDigest
        | EndpointLimits
        | EndpointSignals
        | EndpointLinks
        | RetryBudgets
        | Scarcity
        | StoreReturns
    ]


def main() -> None:
    """Parse the command line and run the selected command."""
    cappa.invoke(Plantainctl)
