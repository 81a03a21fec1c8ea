"""In-memory store of quarantined requests that can simulate an outage."""

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.quarantine.records import Outdated, QuarantineStore, StoredRecord

__all__ = ['MemoryQuarantineStore']


class MemoryQuarantineStore(QuarantineStore):
    """Store in memory; every call fails while ``is_away`` is true."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, StoredRecord] = {}
        self.is_away = False
        self._version = 0

    async def read(self) -> list[StoredRecord] | Unreachable:
        """Return all rows."""
        return Unreachable(reason='away') if self.is_away else list(self.row_by_key.values())

    async def write(self, key: str, packed: bytes) -> Unreachable | None:
        """Write a row unconditionally."""
        if self.is_away:
            return Unreachable(reason='away')
        self._version += 1
        self.row_by_key[key] = StoredRecord(key, self._version, packed)
        return None

    async def replace(self, row: StoredRecord, packed: bytes) -> Outdated | Unreachable | None:
        """Overwrite ``row`` if its version has not changed."""
        if not self.is_away and self.row_by_key.get(row.key) != row:
            return Outdated()
        return await self.write(row.key, packed)

    async def remove(self, row: StoredRecord) -> Unreachable | None:
        """Remove ``row`` if its version has not changed."""
        if self.is_away:
            return Unreachable(reason='away')
        if self.row_by_key.get(row.key) == row:
            self.row_by_key.pop(row.key)
        return None
