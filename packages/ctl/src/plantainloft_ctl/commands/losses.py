"""``plantainctl losses``: where callers lost, from logs, as table and plot."""

import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Literal

import cappa

from plantainloft_ctl.explaining import read_lines
from plantainloft_ctl.losses import Loss, LossTable, left_out_by_kind, losses_of, table_of
from plantainloft_ctl.plot import plot_losses

__all__ = ['Losses']

EXIT_NOTHING = 4
Grouping = Literal['route', 'zone', 'moment']


@dataclass(kw_only=True)
class Losses:
    """Count late, refused and failed requests by reason.

    ``by`` groups them; ``every`` is the length of a moment in seconds;
    ``plot`` writes the counts over time as PNG as well.
    """

    logs: Annotated[list[Path], cappa.Arg(long=True)]
    by: Annotated[Grouping, cappa.Arg(long=True)] = 'route'
    every: Annotated[float, cappa.Arg(long=True)] = 2.0
    plot: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        texts = (path.read_text(encoding='utf-8', errors='replace') for path in self.logs)
        lines = read_lines(texts)
        losses = losses_of(lines)
        if not losses:
            print('no request was lost', file=sys.stderr)
            raise cappa.Exit(code=EXIT_NOTHING)
        groupings = _groupings(began=lines[0]['t'], every_s=self.every)
        _print_table(table_of(losses, groupings[self.by]))
        for kind, count in sorted(left_out_by_kind(lines).items()):
            print(f'not in the logs, which are bounded: {count} more of kind {kind}')
        if self.plot is not None:
            plot_losses(table_of(losses, groupings['moment']), self.plot)


def _groupings(*, began: float, every_s: float) -> Mapping[Grouping, Callable[[Loss], str]]:
    def moment(loss: Loss) -> str:
        return f'{int((loss.at - began) / every_s) * every_s:8.1f} s'

    return MappingProxyType(
        {'route': lambda loss: loss.route, 'zone': lambda loss: loss.zone, 'moment': moment}
    )


def _print_table(table: LossTable) -> None:
    for number, reason in enumerate(table.reasons):
        total = sum(group.count_by_reason.get(reason, 0) for group in table.groups)
        print(f'({number}) {reason}: {total}')
    heads = ''.join(f'{f"({number})":>7}' for number in range(len(table.reasons)))
    print(f'{"":<16}{"all":>7}{heads}')
    for group in table.groups:
        counts = ''.join(f'{group.count_by_reason.get(name, 0):>7}' for name in table.reasons)
        print(f'{group.name:<16}{group.total:>7}{counts}')
