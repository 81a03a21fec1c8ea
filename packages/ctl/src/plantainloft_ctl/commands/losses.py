"""``plantainctl losses``: summarise late and unserved requests from log files."""

import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Literal

import cappa

from plantainloft_ctl.losses import (
    Loss,
    LossTable,
    count_by_group,
    count_unlogged_losses,
    find_losses,
)
from plantainloft_ctl.plot import plot_losses
from plantainloft_ctl.request_timeline import parse_log_lines

__all__ = ['Losses']

EXIT_NO_LOSSES = 4
Grouping = Literal['route', 'zone', 'moment']


@dataclass(kw_only=True)
class Losses:
    """Count late, refused, failed and abandoned requests by reason.

    ``by`` selects how they are grouped. ``moment`` groups them by time, in
    periods of ``every`` seconds. ``plot`` also writes the counts per period as
    PNG.
    """

    logs: Annotated[list[Path], cappa.Arg(long=True)]
    by: Annotated[Grouping, cappa.Arg(long=True)] = 'route'
    every: Annotated[float, cappa.Arg(long=True)] = 2.0
    plot: Annotated[Path | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        texts = (path.read_text(encoding='utf-8', errors='replace') for path in self.logs)
        lines = parse_log_lines(texts)
        losses = find_losses(lines)
        if not losses:
            print('no late or unserved requests found', file=sys.stderr)
            raise cappa.Exit(code=EXIT_NO_LOSSES)
        group_name_functions = _group_name_functions(start=lines[0]['t'], every_s=self.every)
        _print_table(count_by_group(losses, group_name_functions[self.by]))
        for kind, count in sorted(count_unlogged_losses(lines).items()):
            print(f'not in the logs because of their rate limit: {count} more of kind {kind}')
        if self.plot is not None:
            plot_losses(count_by_group(losses, group_name_functions['moment']), self.plot)


def _group_name_functions(
    *, start: float, every_s: float
) -> Mapping[Grouping, Callable[[Loss], str]]:
    def moment(loss: Loss) -> str:
        return f'{int((loss.at - start) / every_s) * every_s:8.1f} s'

    return MappingProxyType(
        {'route': lambda loss: loss.route, 'zone': lambda loss: loss.zone, 'moment': moment}
    )


def _print_table(table: LossTable) -> None:
    for number, reason in enumerate(table.reasons):
        total = sum(group.count_by_reason.get(reason, 0) for group in table.groups)
        print(f'({number}) {reason}: {total}')
    headings = ''.join(f'{f"({number})":>7}' for number in range(len(table.reasons)))
    print(f'{"":<16}{"all":>7}{headings}')
    for group in table.groups:
        counts = ''.join(f'{group.count_by_reason.get(name, 0):>7}' for name in table.reasons)
        print(f'{group.name:<16}{group.total:>7}{counts}')
