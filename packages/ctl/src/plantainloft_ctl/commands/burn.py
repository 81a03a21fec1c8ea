"""``plantainctl burn``: the service-level burn report of some nodes."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import httpx

from plantainloft_ctl.burn import burn_rows, format_burn
from plantainloft_ctl.plot import plot_burn

__all__ = ['Burn']

TIMEOUT_S = 2.0


@dataclass(kw_only=True)
class Burn:
    """Ask entry instances for their counts and print the burn report."""

    nodes: Annotated[list[str], cappa.Arg(long=True)]
    plot: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        statuses = []
        for address in self.nodes:
            try:
                statuses.append(httpx.get(f'{address}/v1/status', timeout=TIMEOUT_S).json())
            except httpx.HTTPError as exc:
                print(
                    f'burn: {address} did not answer ({type(exc).__name__})',
                    file=sys.stderr,
                )
        rows = burn_rows(statuses)
        print(format_burn(rows))
        if self.plot is not None:
            plot_burn(rows, self.plot)
            print(f'burn: plot written to {self.plot}')
