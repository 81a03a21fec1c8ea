"""The replicated rows: the newest version of each in the current era, with tombstones."""

from collections.abc import Iterable, Mapping

import anyio

from plantainloft_core.store_position import StorePosition
from plantainloft_node.replica.recent_contents import RecentContents
from plantainloft_node.replica.store_rows import RowBatch, StoreRow

__all__ = ['RowReplica']


# Tombstones kept over all tables, so that a peer that missed some deletions can
# be sent just these. At 370 replaced endpoints a day they cover two weeks and
# take about 2 MB.
MAX_TOMBSTONES = 5000


class RowReplica:
    """A replica of the polled tables; older positions never replace newer.

    A table moves to a later era by a whole listing only, since a change says nothing
    about the rows that the returned store lacks. Deletions are kept as tombstones, rows
    without content. Beyond ``MAX_TOMBSTONES`` the oldest are pruned, and a peer that may
    lack a pruned one is sent whole tables.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[tuple[str, str], StoreRow] = {}
        # The newest row of each table.
        self.position_by_table: dict[str, StorePosition] = {}
        self.recent_contents = RecentContents()
        self._changed = anyio.Event()
        # Keys of tombstones, oldest first.
        self._tombstones: dict[tuple[str, str], None] = {}
        self._pruned_position_by_table: dict[str, StorePosition] = {}

    def merge(self, rows: Iterable[StoreRow]) -> list[StoreRow]:
        """Merge changed rows; return those that were new, in version order.

        Rows of another era than their table's are ignored.
        """
        fresh = []
        for row in sorted(rows, key=lambda row: row.position.version):
            known_table = self.position_by_table.get(row.table)
            if known_table is not None and not row.position.is_in_era_of(known_table):
                continue
            known = self.row_by_key.get((row.table, row.key))
            if known is not None and not row.position.supersedes(known.position):
                continue
            self._put(row)
            fresh.append(row)
        self._prune_tombstones()
        if fresh:
            self._changed.set()
        return fresh

    async def wait_for_change(self) -> None:
        """Wait until new rows are merged."""
        await self._changed.wait()
        self._changed = anyio.Event()

    def merge_listing(
        self, table: str, listing: RowBatch, *, is_from_peer: bool = False
    ) -> list[StoreRow]:
        """Merge a whole table; rows missing from it count as removed.

        A stale listing does not remove rows that were written after it. One of a later
        era replaces the table, and returns all rows that it lists or lacks.
        ``is_from_peer``: it stands for removals whose tombstones the peer may lack.
        """
        known = self.position_by_table.get(table)
        if known is not None and known.era < listing.position.era:
            return self._replace_table(table, listing)
        listed = {row.key for row in listing.rows}
        missing = [
            row._replace(position=listing.position, content=None)
            for row in self.rows_of(table)
            if row.key not in listed
            and row.content is not None
            and not row.position.supersedes(listing.position)
        ]
        fresh = self.merge([*listing.rows, *missing])
        if is_from_peer:
            self._advance(table, listing.position)
        elif known is None:
            # Removals before the listing are unknown here.
            self._pruned_position_by_table[table] = listing.position
        return fresh

    def rows_of(self, table: str) -> list[StoreRow]:
        """Return the rows of ``table`` and its tombstones."""
        return [row for row in self.row_by_key.values() if row.table == table]

    def listing_of(self, table: str) -> RowBatch:
        """Return the rows of ``table`` that exist, as of its newest known position."""
        position = self.position_by_table[table]
        rows = [row for row in self.rows_of(table) if row.content is not None]
        return RowBatch(tuple(rows), position)

    def is_complete_for(self, table: str, known: StorePosition | None) -> bool:
        """Return whether a peer at ``known`` misses only what ``rows_newer_than`` returns.

        It does not if it is in another era, or may lack pruned tombstones.
        """
        position = self.position_by_table.get(table)
        if position is None:
            return True
        pruned = self._pruned_position_by_table.get(table)
        return position.is_in_era_of(known) and not (
            pruned is not None and pruned.supersedes(known)
        )

    def rows_newer_than(self, position_by_table: Mapping[str, StorePosition]) -> list[StoreRow]:
        """Return the rows that a peer at ``position_by_table`` has not read yet.

        Tombstones of earlier eras than their table's are not sent.
        """
        return [
            row
            for row in self.row_by_key.values()
            if row.position.supersedes(position_by_table.get(row.table))
            and row.position.is_in_era_of(self.position_by_table.get(row.table))
        ]

    def _replace_table(self, table: str, listing: RowBatch) -> list[StoreRow]:
        # Tombstones of earlier eras stay: a later return may be from an older copy.
        listed = {row.key for row in listing.rows}
        start = StorePosition(listing.position.era, 0)
        # Rows that the copy lacks were not removed after the return, so their tombstones
        # have no version of it.
        missing = [
            row._replace(position=start, content=None)
            for row in self.rows_of(table)
            if row.key not in listed and row.content is not None
        ]
        self.position_by_table[table] = start
        fresh = self.merge([*listing.rows, *missing])
        self._advance(table, listing.position)
        return fresh

    def _advance(self, table: str, position: StorePosition) -> None:
        """Mark ``table`` as read up to ``position``, without tombstones of its removals."""
        if position.supersedes(self.position_by_table.get(table)):
            self.position_by_table[table] = position
        if position.supersedes(self._pruned_position_by_table.get(table)):
            self._pruned_position_by_table[table] = position

    def _put(self, row: StoreRow) -> None:
        key = (row.table, row.key)
        self.row_by_key[key] = row
        self.recent_contents.record(row.content)
        self._tombstones.pop(key, None)
        if row.content is None:
            self._tombstones[key] = None
        if row.position.supersedes(self.position_by_table.get(row.table)):
            self.position_by_table[row.table] = row.position

    def _prune_tombstones(self) -> None:
        while len(self._tombstones) > MAX_TOMBSTONES:
            key = next(iter(self._tombstones))
            self._tombstones.pop(key)
            pruned = self.row_by_key.pop(key)
            if pruned.position.supersedes(self._pruned_position_by_table.get(pruned.table)):
                self._pruned_position_by_table[pruned.table] = pruned.position
