"""Quarantined requests as rows of the platform's store."""

from collections.abc import Callable

import anyio

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.fleet.members import MemberBook
from plantainloft_node.quarantine.crash_book import CrashBook
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.quarantine.records import Outdated, QuarantineStore, StoredRecord
from plantainloft_node.replica.news import QUARANTINE, NewsRow, NewsStore

__all__ = ['QuarantineRows', 'build_quarantine']


class QuarantineRows(QuarantineStore):
    """The table of quarantined requests."""

    def __init__(self, *, store: NewsStore) -> None:
        self._store = store

    async def read(self) -> list[StoredRecord] | Unreachable:
        """Return all rows."""
        listed = await self._store.list_rows(QUARANTINE)
        if isinstance(listed, Unreachable):
            return listed
        return [StoredRecord(row.key, row.version, row.content or b'') for row in listed.rows]

    async def write(self, key: str, packed: bytes) -> Unreachable | None:
        """Write a row, whatever it was before."""
        return await self._store.put_row(QUARANTINE, key, packed)

    async def replace(self, row: StoredRecord, packed: bytes) -> Outdated | Unreachable | None:
        """Write over ``row`` if it still has its version."""
        outcome = await self._store.replace_row(_row(row), packed)
        if isinstance(outcome, Unreachable):
            return outcome
        return None if outcome else Outdated()

    async def remove(self, row: StoredRecord) -> Unreachable | None:
        """Remove ``row`` if it still has its version."""
        return await self._store.remove_row(_row(row))


def _row(row: StoredRecord) -> NewsRow:
    return NewsRow(QUARANTINE, row.key, row.version, row.packed)


def build_quarantine(
    *, store: NewsStore, members: MemberBook, spread: Callable[[], None]
) -> Quarantine:
    """Return the quarantine of an entry instance, empty so far."""
    return Quarantine(
        book=CrashBook(),
        store=QuarantineRows(store=store),
        is_alone=lambda: not members.up(anyio.current_time()),
        spread=spread,
    )
