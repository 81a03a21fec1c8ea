"""``plantainloft run``: run an entry instance."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa

from plantainloft_core.outcomes import Invalid
from plantainloft_node.config import (
    DEFAULT_SETTINGS_INI,
    load_settings,
    parse_settings,
)
from plantainloft_node.logging_setup import setup_logging
from plantainloft_node.node_process import run_node
from plantainloft_node.telemetry import setup_metrics

__all__ = ['Run']

EXIT_BAD_SETTINGS = 2


@dataclass(kw_only=True)
class Run:
    """Run an entry instance with the settings in an INI file."""

    settings: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        checked = (
            parse_settings(DEFAULT_SETTINGS_INI)
            if self.settings is None
            else load_settings(self.settings)
        )
        if isinstance(checked, Invalid):
            for problem in checked.problems:
                print(f'settings: {problem}', file=sys.stderr)
            raise cappa.Exit(code=EXIT_BAD_SETTINGS)
        setup_logging(level=checked.log_level, fmt=checked.log_format, instance=checked.name)
        setup_metrics(interval_s=checked.metrics_interval_s)
        anyio.run(run_node, checked)
