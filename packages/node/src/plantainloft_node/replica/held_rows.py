"""Rows of before a return of the store that stay in effect in place of the store's."""

import math
from typing import NamedTuple

from plantainloft_node.replica.store_rows import StoreRow

__all__ = ['HeldRow', 'HeldRows']


class HeldRow(NamedTuple):
    """A row that the store has lost and this instance still goes by.

    ``until`` is the time at which the store's row takes effect, infinite if only a row
    that is written again does. ``reason`` is for operators.
    """

    row: StoreRow
    until: float
    reason: str


class HeldRows:
    """The held rows by table and key, and what became of those held before."""

    def __init__(self) -> None:
        self.held_by_key: dict[tuple[str, str], HeldRow] = {}
        self.written_again_count = 0
        self.given_up_count = 0

    def __len__(self) -> int:
        return len(self.held_by_key)

    def get(self, table: str, key: str) -> HeldRow | None:
        """Return the row held in place of the store's, if any."""
        return self.held_by_key.get((table, key))

    def hold(
        self, row: StoreRow, *, until: float | None, reason: str, is_new_return: bool = False
    ) -> None:
        """Hold ``row``; a deadline that is set stays, unless the store has returned again."""
        key = (row.table, row.key)
        known = self.held_by_key.get(key)
        new_until = math.inf if until is None else until
        if known is not None and known.row == row and not is_new_return:
            new_until = min(known.until, new_until)
        self.held_by_key[key] = HeldRow(row, new_until, reason)

    def release(self, table: str, key: str) -> None:
        """Stop holding a row, because the store has one that is believed."""
        if self.held_by_key.pop((table, key), None) is not None:
            self.written_again_count += 1

    def pop_expired(self, now: float) -> list[StoreRow]:
        """Remove and return the rows whose time is over."""
        expired = [held.row for held in self.held_by_key.values() if held.until <= now]
        for row in expired:
            self.held_by_key.pop((row.table, row.key))
        self.given_up_count += len(expired)
        return expired

    def rows(self) -> list[StoreRow]:
        """Return the held rows."""
        return [held.row for held in self.held_by_key.values()]
