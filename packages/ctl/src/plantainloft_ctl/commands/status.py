"""``plantainctl status``: several entry instances side by side."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import httpx

from plantainloft_ctl.gauges import status_of, status_table

__all__ = ['Status']

TIMEOUT_S = 2.0


@dataclass(kw_only=True)
class Status:
    """Show versions, members and endpoints from metrics addresses."""

    nodes: Annotated[list[str], cappa.Arg(long=True)]

    def __call__(self) -> None:
        statuses = []
        for url in self.nodes:
            try:
                answer = httpx.get(url, timeout=TIMEOUT_S)
            except httpx.HTTPError as exc:
                print(f'{url}: {type(exc).__name__}')
                continue
            address = httpx.URL(url).netloc.decode()
            statuses.append(status_of(address, answer.text))
        print('\n'.join(status_table(statuses)))
