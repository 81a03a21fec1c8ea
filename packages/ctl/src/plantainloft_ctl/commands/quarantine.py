"""``plantainctl quarantine``: list quarantined requests or release one."""

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa
import httpx

from plantainloft_ctl.command_helpers import EXIT_FAILED
from plantainloft_ctl.tables import format_table

__all__ = ['Quarantine']

TIMEOUT_S = 2.0
HEADINGS = ('request', 'crashes', 'last crash', 'tried again in')


@dataclass(kw_only=True)
class Quarantine:
    """List requests quarantined for crashing endpoints, or release one.

    ``node`` is the metrics URL of an entry instance, or the URL of the
    product's own interface followed by ``/v1``. ``lift`` is the request to
    release: it is forwarded to endpoints again.
    """

    node: Annotated[str, cappa.Arg(long=True)]
    lift: Annotated[str | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        try:
            self._list_or_lift(self.node.rstrip('/'))
        except httpx.HTTPError as exc:
            print(
                f'quarantine: request to {self.node} failed ({type(exc).__name__}: {exc})',
                file=sys.stderr,
            )
            raise cappa.Exit(code=EXIT_FAILED) from exc

    def _list_or_lift(self, base_url: str) -> None:
        if self.lift is None:
            response = httpx.get(f'{base_url}/quarantine', timeout=TIMEOUT_S)
            print('\n'.join(format_quarantine_table(response.raise_for_status().json())))
            return
        response = httpx.post(
            f'{base_url}/quarantine/lift', params={'request': self.lift}, timeout=TIMEOUT_S
        )
        response.raise_for_status()
        print(f'quarantine lifted: {self.lift} is forwarded again')


def format_quarantine_table(quarantined: list[dict[str, object]]) -> list[str]:
    """Format quarantined requests as table lines, one per request."""
    rows = [
        (
            str(entry['request']),
            str(entry['crashes']),
            f'{entry["last_crash_s_ago"]} s ago',
            f'{entry["tried_again_in_s"]} s',
        )
        for entry in quarantined
    ]
    return format_table(HEADINGS, rows)
