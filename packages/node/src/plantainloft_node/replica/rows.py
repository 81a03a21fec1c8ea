"""The rows themselves: newest version of each, deletions included."""

from collections.abc import Iterable

import anyio

from plantainloft_node.replica.news import News, NewsRow

__all__ = ['RowCopy']


# Deletions kept, over all tables, so that a peer that missed some can be
# told just these. At 370 replaced endpoints a day they last two weeks, and
# take about 2 MB.
MAX_DELETIONS = 5000


class RowCopy:
    """A copy of the followed tables; older versions never replace newer.

    Deletions are kept as rows without content. The oldest are dropped
    beyond a bound, and a peer that lacks one of those gets whole tables.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[tuple[str, str], NewsRow] = {}
        self.newest_by_table: dict[str, int] = {}
        self._changed = anyio.Event()
        # Keys of deletions, oldest first.
        self._deletions: dict[tuple[str, str], None] = {}
        self._dropped_to_by_table: dict[str, int] = {}

    def merge(self, rows: Iterable[NewsRow]) -> list[NewsRow]:
        """Take ``rows``; return those that were news, in version order."""
        fresh = []
        for row in sorted(rows, key=lambda one: one.version):
            known = self.row_by_key.get((row.table, row.key))
            if known is not None and known.version >= row.version:
                continue
            self._put(row)
            newest = self.newest_by_table.get(row.table, 0)
            self.newest_by_table[row.table] = max(newest, row.version)
            fresh.append(row)
        self._drop_deletions()
        if fresh:
            self._changed.set()
        return fresh

    async def change(self) -> None:
        """Wait until rows that are news are taken."""
        await self._changed.wait()
        self._changed = anyio.Event()

    def merge_listing(self, table: str, listing: News) -> list[NewsRow]:
        """Take a whole table; what it lacks was removed meanwhile.

        A listing older than what is known here (a stale read) removes
        nothing that was written after it.
        """
        listed = {row.key for row in listing.rows}
        missing = [
            row._replace(version=listing.version, content=None)
            for (row_table, key), row in self.row_by_key.items()
            if row_table == table
            and key not in listed
            and row.content is not None
            and row.version <= listing.version
        ]
        return self.merge([*listing.rows, *missing])

    def cut_off(self, newest_by_table: dict[str, int]) -> list[str]:
        """Return the tables in which a peer may lack dropped deletions.

        ``newest_by_table`` are the newest versions that the peer knows.
        """
        return [
            table
            for table, dropped_to in self._dropped_to_by_table.items()
            if newest_by_table.get(table, 0) < dropped_to
        ]

    def since(self, newest_by_table: dict[str, int]) -> list[NewsRow]:
        """Return the rows newer than ``newest_by_table`` says."""
        return [
            row
            for row in self.row_by_key.values()
            if row.version > newest_by_table.get(row.table, 0)
        ]

    def _put(self, row: NewsRow) -> None:
        key = (row.table, row.key)
        self.row_by_key[key] = row
        self._deletions.pop(key, None)
        if row.content is None:
            self._deletions[key] = None

    def _drop_deletions(self) -> None:
        while len(self._deletions) > MAX_DELETIONS:
            key = next(iter(self._deletions))
            self._deletions.pop(key)
            dropped = self.row_by_key.pop(key)
            known = self._dropped_to_by_table.get(dropped.table, 0)
            self._dropped_to_by_table[dropped.table] = max(known, dropped.version)
