"""``plantainctl status``: compare several entry instances."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import httpx

from plantainloft_ctl.instance_status import format_status_table, parse_status

__all__ = ['Status']

TIMEOUT_S = 2.0


@dataclass(kw_only=True)
class Status:
    """Compare configuration version, members and endpoints of entry instances.

    ``nodes`` are their metrics URLs.
    """

    nodes: Annotated[list[str], cappa.Arg(long=True)]

    def __call__(self) -> None:
        statuses = []
        for url in self.nodes:
            try:
                response = httpx.get(url, timeout=TIMEOUT_S)
            except httpx.HTTPError as exc:
                print(f'status: no response from {url} ({type(exc).__name__})')
                continue
            address = httpx.URL(url).netloc.decode()
            statuses.append(parse_status(address, response.text))
        print('\n'.join(format_status_table(statuses)))
