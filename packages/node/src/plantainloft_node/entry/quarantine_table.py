"""Storage of quarantined requests as rows of the platform's store."""

from collections.abc import Callable

import anyio

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.placement.rendezvous import rendezvous_score
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.quarantine.store_records import (
    QuarantineStore,
    StoredRecord,
    VersionConflict,
)
from plantainloft_node.replica.fenced_writer import FencedWriter
from plantainloft_node.replica.store_rows import (
    QUARANTINE,
    ConditionFailed,
    RowWrite,
    StoreRow,
    TableStore,
)

__all__ = ['EntryQuarantineStore', 'build_quarantine']


class EntryQuarantineStore(QuarantineStore):
    """The table of quarantined requests in the store."""

    def __init__(self, *, store: TableStore, owner: str) -> None:
        """``owner`` is the name of this instance."""
        self._store = store
        self._fenced_writer = FencedWriter(store=store, owner=owner)

    async def read(self) -> list[StoredRecord] | Unreachable:
        """Return all stored records."""
        listed = await self._store.list_rows(QUARANTINE)
        if isinstance(listed, Unreachable):
            return listed
        return [StoredRecord(row.key, row.position, row.content or b'') for row in listed.rows]

    async def write(self, key: str, encoded: bytes) -> Unreachable | None:
        """Create or overwrite the row of ``key`` unconditionally."""
        return _unreachable(await self._store.write([RowWrite(QUARANTINE, key, encoded)]))

    async def replace(
        self, row: StoredRecord, encoded: bytes
    ) -> VersionConflict | Unreachable | None:
        """Overwrite ``row`` if its version is unchanged in the store."""
        outcome = await self._fenced_writer.replace_row(_to_row(row), encoded)
        return VersionConflict() if isinstance(outcome, ConditionFailed) else outcome

    async def remove(self, row: StoredRecord) -> Unreachable | None:
        """Remove ``row`` if its version is unchanged in the store."""
        return _unreachable(await self._fenced_writer.remove_row(_to_row(row)))


def _to_row(record: StoredRecord) -> StoreRow:
    return StoreRow(QUARANTINE, record.key, record.position, record.encoded)


def _unreachable(outcome: ConditionFailed | Unreachable | None) -> Unreachable | None:
    return outcome if isinstance(outcome, Unreachable) else None


def build_quarantine(
    *, store: TableStore, members: FleetMembership, broadcast: Callable[[], None]
) -> Quarantine:
    """Return an empty quarantine.

    ``broadcast`` is called to report its changes to peers without delay.
    """
    return Quarantine(
        crash_registry=CrashRegistry(),
        store=EntryQuarantineStore(store=store, owner=members.local_member.name),
        has_no_live_peers=lambda: not members.peers_up(anyio.current_time()),
        broadcast=broadcast,
        is_writer_of=lambda key: _is_writer_of(key, members),
    )


def _is_writer_of(key: str, members: FleetMembership) -> bool:
    """Return whether this instance is the one of those up that writes the row of ``key``."""
    local_name = members.local_member.name
    up = [local_name, *(member.name for member in members.peers_up(anyio.current_time()))]
    return max(up, key=lambda name: rendezvous_score(key, name)) == local_name
