"""A store of quarantined requests in memory, which may be away."""

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.quarantine.records import Outdated, QuarantineStore, StoredRecord

__all__ = ['MemoryQuarantineStore']


class MemoryQuarantineStore(QuarantineStore):
    """Rows in memory; ``is_away`` fails every call."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, StoredRecord] = {}
        self.is_away = False
        self._version = 0

    async def read(self) -> list[StoredRecord] | Unreachable:
        """Return all rows."""
        return Unreachable(reason='away') if self.is_away else list(self.row_by_key.values())

    async def write(self, key: str, packed: bytes) -> Unreachable | None:
        """Write a row, whatever it was before."""
        if self.is_away:
            return Unreachable(reason='away')
        self._version += 1
        self.row_by_key[key] = StoredRecord(key, self._version, packed)
        return None

    async def replace(self, row: StoredRecord, packed: bytes) -> Outdated | Unreachable | None:
        """Write over ``row`` if it still has its version."""
        if not self.is_away and self.row_by_key.get(row.key) != row:
            return Outdated()
        return await self.write(row.key, packed)

    async def remove(self, row: StoredRecord) -> Unreachable | None:
        """Remove ``row`` if it still has its version."""
        if self.is_away:
            return Unreachable(reason='away')
        if self.row_by_key.get(row.key) == row:
            self.row_by_key.pop(row.key)
        return None
