"""In-memory store of quarantined requests that can simulate an outage."""

from plantainloft_core.outcomes import Unreachable
from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition
from plantainloft_node.quarantine.store_records import (
    QuarantineStore,
    StoredRecord,
    VersionConflict,
)

__all__ = ['MemoryQuarantineStore']


class MemoryQuarantineStore(QuarantineStore):
    """Store in memory; every call fails while ``is_unreachable`` is true."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, StoredRecord] = {}
        self.is_unreachable = False
        self._version = 0

    async def read(self) -> list[StoredRecord] | Unreachable:
        """Return all rows."""
        return (
            Unreachable(reason='simulated outage')
            if self.is_unreachable
            else list(self.row_by_key.values())
        )

    async def write(self, key: str, encoded: bytes) -> Unreachable | None:
        """Write a row unconditionally."""
        if self.is_unreachable:
            return Unreachable(reason='simulated outage')
        self._version += 1
        self.row_by_key[key] = StoredRecord(key, StorePosition(UNKNOWN_ERA, self._version), encoded)
        return None

    async def replace(
        self, row: StoredRecord, encoded: bytes
    ) -> VersionConflict | Unreachable | None:
        """Overwrite ``row`` if its version has not changed."""
        if not self.is_unreachable and self.row_by_key.get(row.key) != row:
            return VersionConflict()
        return await self.write(row.key, encoded)

    async def remove(self, row: StoredRecord) -> Unreachable | None:
        """Remove ``row`` if its version has not changed."""
        if self.is_unreachable:
            return Unreachable(reason='simulated outage')
        if self.row_by_key.get(row.key) == row:
            self.row_by_key.pop(row.key)
        return None
