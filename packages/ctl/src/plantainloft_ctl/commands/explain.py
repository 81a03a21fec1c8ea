"""``plantainctl explain``: print the timeline of one request from log files."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from plantainloft_ctl.request_timeline import explain_request, parse_log_lines

__all__ = ['Explain']

EXIT_NOT_FOUND = 4


@dataclass(kw_only=True)
class Explain:
    """Show what happened to a request and what its instances knew at the time."""

    request: str
    logs: Annotated[list[Path], cappa.Arg(long=True)]

    def __call__(self) -> None:
        texts = (path.read_text(encoding='utf-8', errors='replace') for path in self.logs)
        timeline = explain_request(self.request, parse_log_lines(texts))
        if not timeline:
            print(f'no log line found for request {self.request}', file=sys.stderr)
            raise cappa.Exit(code=EXIT_NOT_FOUND)
        print('\n'.join(timeline))
