"""``plantainctl submit``: submit a patch to a specific configuration version."""

import json
import sys
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from plantainloft_core.commits import commit_patch
from plantainloft_core.outcomes import Committed, Conflict
from plantainloft_ctl.command_helpers import (
    DEFAULT_TABLE_URL,
    EXIT_REJECTED,
    exit_with_error,
    run_with_table,
)

__all__ = ['Submit']


@dataclass(kw_only=True)
class Submit:
    """Submit a JSON Patch (RFC 6902) against version ``against``.

    The patch is rejected if that is no longer the current version.
    """

    patch: Annotated[Path, cappa.Arg(long=True)]
    against: Annotated[int, cappa.Arg(long=True)]
    author: Annotated[str, cappa.Arg(long=True)] = 'operator'
    table: Annotated[str, cappa.Arg(long=True)] = DEFAULT_TABLE_URL

    def __call__(self) -> None:
        patch = json.loads(self.patch.read_text(encoding='utf-8'))
        change_id = uuid.uuid4().hex
        outcome = run_with_table(
            self.table,
            lambda client: commit_patch(
                client,
                base_version=self.against,
                patch=patch,
                author=self.author,
                change_id=change_id,
            ),
        )
        if isinstance(outcome, Committed):
            print(f'committed: version {outcome.version}')
        elif isinstance(outcome, Conflict):
            print(
                f'conflict: version {self.against} is not current; '
                f'current is {outcome.current_version}. Rebase and submit again.',
                file=sys.stderr,
            )
            raise cappa.Exit(code=EXIT_REJECTED)
        else:
            exit_with_error(outcome)
