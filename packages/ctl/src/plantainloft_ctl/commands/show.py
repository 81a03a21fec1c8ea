"""``plantainctl show``: print a version of the configuration."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.versions import read_head, read_version
from plantainloft_ctl.command_helpers import (
    DEFAULT_TABLE_URL,
    exit_with_error,
    print_json,
    run_with_table,
)

__all__ = ['Show']


@dataclass(kw_only=True)
class Show:
    """Print the configuration and its version; by default the current one."""

    table: Annotated[str, cappa.Arg(long=True)] = DEFAULT_TABLE_URL
    version: Annotated[int | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        async def read_configuration(client):  # type: ignore[no-untyped-def]
            number = self.version
            if number is None:
                head = await read_head(client)
                if isinstance(head, Unreachable):
                    return head
                number = head
            if number == 0:
                return None
            return await read_version(client, number)

        stored = run_with_table(self.table, read_configuration)
        if isinstance(stored, Unreachable | Invalid):
            exit_with_error(stored)
            return
        if stored is None:
            print('version 0: no configuration yet')
            return
        print(f'version {stored.config.version} by {stored.change.author}')
        print_json(stored.document)
