"""Quarantine of the node's HTTP API, with records in the table service."""

from collections.abc import Callable
from typing import Any

from plantainloft_core.membership_list import MembershipList
from plantainloft_core.outcomes import Unreachable
from plantainloft_core.store_position import StorePosition
from plantainloft_core.table_client import TableClient, TableRow, TxnConflict
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.quarantine.store_records import (
    QuarantineStore,
    StoredRecord,
    VersionConflict,
)

__all__ = ['TableQuarantineStore', 'build_node_quarantine']

KEY_PREFIX = 'quarantine/'
# ``TableClient`` writes values but cannot delete rows: a removed row holds this one.
_REMOVED = ''


class TableQuarantineStore(QuarantineStore):
    """Stores records in hexadecimal under the key prefix ``quarantine/``."""

    def __init__(self, *, client: TableClient) -> None:
        self._client = client

    async def read(self) -> list[StoredRecord] | Unreachable:
        """Return all rows."""
        rows = await self._client.scan(KEY_PREFIX)
        if isinstance(rows, Unreachable):
            return rows
        era = self._client.eras.current
        return [_to_record(row, era) for row in rows if row.value != _REMOVED]

    async def write(self, key: str, encoded: bytes) -> Unreachable | None:
        """Write a row unconditionally."""
        outcome = await self._client.commit_transaction(
            conditions={}, writes={KEY_PREFIX + key: encoded.hex()}
        )
        return outcome if isinstance(outcome, Unreachable) else None

    async def replace(
        self, row: StoredRecord, encoded: bytes
    ) -> VersionConflict | Unreachable | None:
        """Replace the record of ``row`` if its version is unchanged."""
        return await self._replace_value(row, encoded.hex())

    async def remove(self, row: StoredRecord) -> Unreachable | None:
        """Remove ``row`` if its version is unchanged."""
        outcome = await self._replace_value(row, _REMOVED)
        return outcome if isinstance(outcome, Unreachable) else None

    async def _replace_value(
        self, row: StoredRecord, value: str
    ) -> VersionConflict | Unreachable | None:
        key = KEY_PREFIX + row.key
        if row.position.era != self._client.eras.current:
            return VersionConflict()
        outcome = await self._client.commit_transaction(
            conditions={key: row.position.version}, writes={key: value}
        )
        if isinstance(outcome, TxnConflict):
            return VersionConflict()
        return outcome if isinstance(outcome, Unreachable) else None


def build_node_quarantine(
    *, client: TableClient, membership_list: MembershipList, broadcast: Callable[[], None]
) -> Quarantine:
    """Return a node's quarantine, which loads its records when it is run."""
    return Quarantine(
        crash_registry=CrashRegistry(),
        store=TableQuarantineStore(client=client),
        has_no_live_peers=lambda: len(membership_list.live_members()) == 1,
        broadcast=broadcast,
    )


def _to_record(row: TableRow, era: int) -> StoredRecord:
    return StoredRecord(
        row.key.removeprefix(KEY_PREFIX),
        StorePosition(era, row.version),
        _decode_hex(row.value),
    )


def _decode_hex(value: Any) -> bytes:
    """Decode ``value``; return no bytes if another writer left something else."""
    try:
        return bytes.fromhex(value)
    except (TypeError, ValueError):
        return b''
