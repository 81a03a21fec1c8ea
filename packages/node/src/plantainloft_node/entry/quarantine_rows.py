"""Storage of quarantined requests as rows of the platform's store."""

from collections.abc import Callable

import anyio

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.fleet.members import MemberBook
from plantainloft_node.quarantine.crash_book import CrashBook
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.quarantine.records import Outdated, QuarantineStore, StoredRecord
from plantainloft_node.replica.news import QUARANTINE, NewsRow, NewsStore

__all__ = ['QuarantineTable', 'build_quarantine']


class QuarantineTable(QuarantineStore):
    """The table of quarantined requests in the store."""

    def __init__(self, *, store: NewsStore) -> None:
        self._store = store

    async def read(self) -> list[StoredRecord] | Unreachable:
        """Return all stored records."""
        listed = await self._store.list_rows(QUARANTINE)
        if isinstance(listed, Unreachable):
            return listed
        return [StoredRecord(row.key, row.version, row.content or b'') for row in listed.rows]

    async def write(self, key: str, packed: bytes) -> Unreachable | None:
        """Create or overwrite the row of ``key`` unconditionally."""
        return await self._store.put_row(QUARANTINE, key, packed)

    async def replace(self, row: StoredRecord, packed: bytes) -> Outdated | Unreachable | None:
        """Overwrite ``row`` if its version is unchanged in the store."""
        outcome = await self._store.replace_row(_to_row(row), packed)
        if isinstance(outcome, Unreachable):
            return outcome
        return None if outcome else Outdated()

    async def remove(self, row: StoredRecord) -> Unreachable | None:
        """Remove ``row`` if its version is unchanged in the store."""
        return await self._store.remove_row(_to_row(row))


def _to_row(row: StoredRecord) -> NewsRow:
    return NewsRow(QUARANTINE, row.key, row.version, row.packed)


def build_quarantine(
    *, store: NewsStore, members: MemberBook, announce: Callable[[], None]
) -> Quarantine:
    """Return an empty quarantine.

    ``announce`` is called to report its changes to peers without delay.
    """
    return Quarantine(
        book=CrashBook(),
        store=QuarantineTable(store=store),
        is_alone=lambda: not members.up(anyio.current_time()),
        spread=announce,
    )
