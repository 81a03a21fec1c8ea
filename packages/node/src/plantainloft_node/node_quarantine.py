"""Quarantined requests of the product's own interface, in its table."""

from collections.abc import Callable
from typing import Any

from plantainloft_core.outcomes import Unreachable
from plantainloft_core.roster import Roster
from plantainloft_core.table_client import Row, TableClient, TxnConflict
from plantainloft_node.quarantine.crash_book import CrashBook
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.quarantine.records import Outdated, QuarantineStore, StoredRecord

__all__ = ['QuarantineTable', 'build_node_quarantine']

PREFIX = 'quarantine/'
# The table keeps values, not deletions: a removed row says so.
_REMOVED = ''


class QuarantineTable(QuarantineStore):
    """The rows under ``quarantine/``; values are hexadecimal."""

    def __init__(self, *, client: TableClient) -> None:
        self._client = client

    async def read(self) -> list[StoredRecord] | Unreachable:
        """Return all rows."""
        rows = await self._client.scan(PREFIX)
        if isinstance(rows, Unreachable):
            return rows
        return [_record(row) for row in rows if row.value != _REMOVED]

    async def write(self, key: str, packed: bytes) -> Unreachable | None:
        """Write a row, whatever it was before."""
        outcome = await self._client.txn(conditions={}, writes={PREFIX + key: packed.hex()})
        return outcome if isinstance(outcome, Unreachable) else None

    async def replace(self, row: StoredRecord, packed: bytes) -> Outdated | Unreachable | None:
        """Write over ``row`` if it still has its version."""
        return await self._write_over(row, packed.hex())

    async def remove(self, row: StoredRecord) -> Unreachable | None:
        """Remove ``row`` if it still has its version."""
        outcome = await self._write_over(row, _REMOVED)
        return outcome if isinstance(outcome, Unreachable) else None

    async def _write_over(self, row: StoredRecord, written: str) -> Outdated | Unreachable | None:
        key = PREFIX + row.key
        outcome = await self._client.txn(conditions={key: row.version}, writes={key: written})
        if isinstance(outcome, TxnConflict):
            return Outdated()
        return outcome if isinstance(outcome, Unreachable) else None


def build_node_quarantine(
    *, client: TableClient, roster: Roster, spread: Callable[[], None]
) -> Quarantine:
    """Return the quarantine of a node, empty so far."""
    return Quarantine(
        book=CrashBook(),
        store=QuarantineTable(client=client),
        is_alone=lambda: len(roster.live()) == 1,
        spread=spread,
    )


def _record(row: Row) -> StoredRecord:
    return StoredRecord(row.key.removeprefix(PREFIX), row.version, _unhex(row.value))


def _unhex(written: Any) -> bytes:
    """Return the bytes; none where another writer left something else."""
    try:
        return bytes.fromhex(written)
    except (TypeError, ValueError):
        return b''
