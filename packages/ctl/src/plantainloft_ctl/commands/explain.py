"""``plantainctl explain``: the story of one request, from logs."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from plantainloft_ctl.explaining import read_lines, story_of

__all__ = ['Explain']

EXIT_NOT_FOUND = 4


@dataclass(kw_only=True)
class Explain:
    """Tell what became of a request, and what its instances believed."""

    request: str
    logs: Annotated[list[Path], cappa.Arg(long=True)]

    def __call__(self) -> None:
        texts = (path.read_text(encoding='utf-8', errors='replace') for path in self.logs)
        story = story_of(self.request, read_lines(texts))
        if not story:
            print(f'no line names request {self.request}', file=sys.stderr)
            raise cappa.Exit(code=EXIT_NOT_FOUND)
        print('\n'.join(story))
