"""The replicated rows: the newest version of each, with tombstones."""

from collections.abc import Iterable

import anyio

from plantainloft_node.replica.store_rows import RowBatch, StoreRow

__all__ = ['RowReplica']


# Tombstones kept over all tables, so that a peer that missed some deletions can
# be sent just these. At 370 replaced endpoints a day they cover two weeks and
# take about 2 MB.
MAX_TOMBSTONES = 5000


class RowReplica:
    """A replica of the polled tables; older versions never replace newer.

    Deletions are kept as tombstones, rows without content. Beyond
    ``MAX_TOMBSTONES`` the oldest are pruned, and a peer that may lack a pruned one
    is sent whole tables.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[tuple[str, str], StoreRow] = {}
        self.newest_version_by_table: dict[str, int] = {}
        self._changed = anyio.Event()
        # Keys of tombstones, oldest first.
        self._tombstones: dict[tuple[str, str], None] = {}
        self._pruned_version_by_table: dict[str, int] = {}

    def merge(self, rows: Iterable[StoreRow]) -> list[StoreRow]:
        """Merge ``rows``; return those that were new, in version order."""
        fresh = []
        for row in sorted(rows, key=lambda row: row.version):
            known = self.row_by_key.get((row.table, row.key))
            if known is not None and known.version >= row.version:
                continue
            self._put(row)
            newest = self.newest_version_by_table.get(row.table, 0)
            self.newest_version_by_table[row.table] = max(newest, row.version)
            fresh.append(row)
        self._prune_tombstones()
        if fresh:
            self._changed.set()
        return fresh

    async def wait_for_change(self) -> None:
        """Wait until new rows are merged."""
        await self._changed.wait()
        self._changed = anyio.Event()

    def merge_listing(self, table: str, listing: RowBatch) -> list[StoreRow]:
        """Merge a whole table; rows missing from it count as removed.

        A stale listing does not remove rows that were written after it.
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

    def tables_needing_full_sync(self, newest_version_by_table: dict[str, int]) -> list[str]:
        """Return the tables in which a peer may lack pruned tombstones.

        ``newest_version_by_table`` has the newest version that the peer knows of each table.
        """
        return [
            table
            for table, pruned_version in self._pruned_version_by_table.items()
            if newest_version_by_table.get(table, 0) < pruned_version
        ]

    def rows_newer_than(self, newest_version_by_table: dict[str, int]) -> list[StoreRow]:
        """Return the rows that are newer than the versions in ``newest_version_by_table``."""
        return [
            row
            for row in self.row_by_key.values()
            if row.version > newest_version_by_table.get(row.table, 0)
        ]

    def _put(self, row: StoreRow) -> None:
        key = (row.table, row.key)
        self.row_by_key[key] = row
        self._tombstones.pop(key, None)
        if row.content is None:
            self._tombstones[key] = None

    def _prune_tombstones(self) -> None:
        while len(self._tombstones) > MAX_TOMBSTONES:
            key = next(iter(self._tombstones))
            self._tombstones.pop(key)
            pruned = self.row_by_key.pop(key)
            known = self._pruned_version_by_table.get(pruned.table, 0)
            self._pruned_version_by_table[pruned.table] = max(known, pruned.version)
