"""``plantainctl burn``: report how fast services consume their error budget."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import httpx

from plantainloft_ctl.burn import compute_burn_rates, format_burn
from plantainloft_ctl.plot import plot_burn

__all__ = ['Burn']

TIMEOUT_S = 2.0


@dataclass(kw_only=True)
class Burn:
    """Query instances for request counts and print the error-budget burn report.

    ``nodes`` are base URLs of the instances; ``plot`` also writes a bar chart
    as PNG.
    """

    nodes: Annotated[list[str], cappa.Arg(long=True)]
    plot: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        statuses = []
        for url in self.nodes:
            try:
                statuses.append(httpx.get(f'{url}/v1/status', timeout=TIMEOUT_S).json())
            except httpx.HTTPError as exc:
                print(
                    f'burn: no response from {url} ({type(exc).__name__})',
                    file=sys.stderr,
                )
        rows = compute_burn_rates(statuses)
        print(format_burn(rows))
        if self.plot is not None:
            plot_burn(rows, self.plot)
            print(f'burn: plot written to {self.plot}')
