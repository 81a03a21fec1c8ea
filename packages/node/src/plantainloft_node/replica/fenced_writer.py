"""Conditional writes that hold only in the era in which their condition was read.

The store checks the version of a row, not its era. After a return from a copy a version
may be given out again to another content of the same row, and a call without an answer
may be performed after the return. So each conditional write also depends on a fence, a
row that this instance writes after it has read the condition: a copy that has the fence
is newer than the condition, and a copy that lacks it fails the write.
"""

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.replica.store_rows import (
    FENCES,
    ConditionFailed,
    RowWrite,
    StoreRow,
    TableStore,
)

__all__ = ['FencedWriter']


class FencedWriter:
    """Replaces and removes rows that are unchanged since this instance read them."""

    def __init__(self, *, store: TableStore, owner: str) -> None:
        """``owner`` is the name of this instance, which is part of the keys of its fences."""
        self._store = store
        self._owner = owner

    async def replace_row(
        self, row: StoreRow, content: bytes
    ) -> ConditionFailed | Unreachable | None:
        """Replace the content of ``row`` if it is unchanged."""
        return await self._write(row, RowWrite(row.table, row.key, content))

    async def remove_row(self, row: StoreRow) -> ConditionFailed | Unreachable | None:
        """Remove ``row`` if it is unchanged."""
        return await self._write(row, RowWrite(row.table, row.key, None))

    async def _write(
        self, row: StoreRow, row_write: RowWrite
    ) -> ConditionFailed | Unreachable | None:
        # With the era in its key, a fence is never written again with the same version.
        key = f'{self._owner}/{row.position.era}/{row.table}/{row.key}'
        outcome = await self._store.write([RowWrite(FENCES, key, b'')])
        if outcome is not None:
            return outcome
        fence = await self._store.read_row(FENCES, key)
        if isinstance(fence, Unreachable):
            return fence
        if fence.content is None or not fence.position.is_in_era_of(row.position):
            return ConditionFailed()
        return await self._store.write(
            [row_write, RowWrite(FENCES, key, None)], unchanged=(row, fence)
        )
