"""``plantainctl history``: list configuration versions, newest first."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.versions import Change, read_change, read_head
from plantainloft_ctl.command_helpers import DEFAULT_TABLE_URL, exit_with_error, run_with_table

__all__ = ['History']


@dataclass(kw_only=True)
class History:
    """List recent configuration versions with their author and patch operations."""

    table: Annotated[str, cappa.Arg(long=True)] = DEFAULT_TABLE_URL
    limit: Annotated[int, cappa.Arg(long=True)] = 20

    def __call__(self) -> None:
        async def read_recent_changes(client):  # type: ignore[no-untyped-def]
            head = await read_head(client)
            if isinstance(head, Unreachable):
                return head
            changes: list[Change | Unreachable | Invalid] = []
            for number in range(head, max(0, head - self.limit), -1):
                changes.append(await read_change(client, number))
            return changes

        changes = run_with_table(self.table, read_recent_changes)
        if isinstance(changes, Unreachable):
            exit_with_error(changes)
            return
        for change in changes:
            if isinstance(change, Change):
                ops = ', '.join(f'{op["op"]} {op["path"]}' for op in change.patch)
                print(f'{change.number:>6}  {change.author:<12}  {ops}')
