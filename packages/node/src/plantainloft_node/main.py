"""Entry point of the ``plantainloft`` command."""

from dataclasses import dataclass

import cappa

from plantainloft_node.commands.check import Check
from plantainloft_node.commands.run import Run

__all__ = ['main']


@dataclass
class Plantainloft:
    """An entry instance of plantainloft."""

    command: cappa.Subcommands[Run | Check]


def main() -> None:
    """Parse the command line and run the chosen subcommand."""
    cappa.invoke(Plantainloft)
