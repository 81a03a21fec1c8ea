"""The rows themselves: newest version of each, deletions included."""

from collections.abc import Iterable

from plantainloft_node.replica.news import News, NewsRow

__all__ = ['RowCopy']


class RowCopy:
    """A copy of the followed tables; older versions never replace newer.

    Deletions are kept as rows without content, so that a peer that missed
    one can be told. They are few: one for each endpoint that ever left.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[tuple[str, str], NewsRow] = {}
        self.newest_by_table: dict[str, int] = {}

    def merge(self, rows: Iterable[NewsRow]) -> list[NewsRow]:
        """Take ``rows``; return those that were news, in version order."""
        fresh = []
        for row in sorted(rows, key=lambda one: one.version):
            known = self.row_by_key.get((row.table, row.key))
            if known is not None and known.version >= row.version:
                continue
            self.row_by_key[(row.table, row.key)] = row
            newest = self.newest_by_table.get(row.table, 0)
            self.newest_by_table[row.table] = max(newest, row.version)
            fresh.append(row)
        return fresh

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

    def since(self, newest_by_table: dict[str, int]) -> list[NewsRow]:
        """Return the rows newer than ``newest_by_table`` says."""
        return [
            row
            for row in self.row_by_key.values()
            if row.version > newest_by_table.get(row.table, 0)
        ]
