"""``plantainloft check``: validate a settings file without starting an instance."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from plantainloft_core.outcomes import Invalid
from plantainloft_node.config import load_settings

__all__ = ['Check']

EXIT_BAD_SETTINGS = 2


@dataclass(kw_only=True)
class Check:
    """Check the settings in an INI file; list every problem."""

    settings: Annotated[Path, cappa.Arg(long=True)]

    def __call__(self) -> None:
        checked = load_settings(self.settings)
        if isinstance(checked, Invalid):
            for problem in checked.problems:
                print(f'settings: {problem}', file=sys.stderr)
            raise cappa.Exit(code=EXIT_BAD_SETTINGS)
        print(f'settings: {self.settings} is valid ({checked.name}).')
