"""``plantainctl quarantine``: requests that are shut out, and lifting one."""

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
import httpx

from plantainloft_ctl.common import EXIT_FAILED

__all__ = ['Quarantine']

TIMEOUT_S = 2.0
HEADINGS = ('request', 'crashes', 'last crash', 'tried again in')


@dataclass(kw_only=True)
class Quarantine:
    """List the requests that crash endpoints, or have one sent again.

    ``node`` is the metrics address of an entry instance, or the address of the
    product's own interface with ``/v1``.
    """

    node: Annotated[str, cappa.Arg(long=True)]
    lift: Annotated[str | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        try:
            self._run(self.node.rstrip('/'))
        except httpx.HTTPError as exc:
            print(f'{self.node}: {type(exc).__name__}', file=sys.stderr)
            raise cappa.Exit(code=EXIT_FAILED) from exc

    def _run(self, base: str) -> None:
        if self.lift is None:
            listed = httpx.get(f'{base}/quarantine', timeout=TIMEOUT_S)
            print('\n'.join(quarantine_table(listed.raise_for_status().json())))
            return
        answer = httpx.post(
            f'{base}/quarantine/lift', params={'request': self.lift}, timeout=TIMEOUT_S
        )
        answer.raise_for_status()
        print(f'{self.lift} is sent again')


def quarantine_table(listed: list[dict[str, object]]) -> list[str]:
    """Return the lines of a table, one a request."""
    rows = [
        (
            str(one['request']),
            str(one['crashes']),
            f'{one["last_crash_s_ago"]} s ago',
            f'{one["tried_again_in_s"]} s',
        )
        for one in listed
    ]
    widths = [max(map(len, column)) for column in zip(HEADINGS, *rows, strict=True)]
    return [
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in (HEADINGS, *rows)
    ]
