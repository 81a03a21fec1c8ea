"""Storage of quarantined requests as rows of the platform's store."""

from collections.abc import Callable

import anyio

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.quarantine.store_records import (
    QuarantineStore,
    StoredRecord,
    VersionConflict,
)
from plantainloft_node.replica.store_rows import QUARANTINE, StoreRow, TableStore

__all__ = ['EntryQuarantineStore', 'build_quarantine']


class EntryQuarantineStore(QuarantineStore):
    """The table of quarantined requests in the store."""

    def __init__(self, *, store: TableStore) -> None:
        self._store = store

    async def read(self) -> list[StoredRecord] | Unreachable:
        """Return all stored records."""
        listed = await self._store.list_rows(QUARANTINE)
        if isinstance(listed, Unreachable):
            return listed
        return [StoredRecord(row.key, row.version, row.content or b'') for row in listed.rows]

    async def write(self, key: str, encoded: bytes) -> Unreachable | None:
        """Create or overwrite the row of ``key`` unconditionally."""
        return await self._store.put_row(QUARANTINE, key, encoded)

    async def replace(
        self, row: StoredRecord, encoded: bytes
    ) -> VersionConflict | Unreachable | None:
        """Overwrite ``row`` if its version is unchanged in the store."""
        replaced = await self._store.replace_row(_to_row(row), encoded)
        if isinstance(replaced, Unreachable):
            return replaced
        return None if replaced else VersionConflict()

    async def remove(self, row: StoredRecord) -> Unreachable | None:
        """Remove ``row`` if its version is unchanged in the store."""
        return await self._store.remove_row(_to_row(row))


def _to_row(record: StoredRecord) -> StoreRow:
    return StoreRow(QUARANTINE, record.key, record.version, record.encoded)


def build_quarantine(
    *, store: TableStore, members: FleetMembership, broadcast: Callable[[], None]
) -> Quarantine:
    """Return an empty quarantine.

    ``broadcast`` is called to report its changes to peers without delay.
    """
    return Quarantine(
        crash_registry=CrashRegistry(),
        store=EntryQuarantineStore(store=store),
        has_no_live_peers=lambda: not members.peers_up(anyio.current_time()),
        broadcast=broadcast,
    )
