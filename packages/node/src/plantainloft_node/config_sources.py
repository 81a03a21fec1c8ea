"""Sources of configuration for a node: the table service and peers."""

import abc

from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.table_client import TableClient
from plantainloft_core.versions import Change, Snapshot, read_changes, read_version
from plantainloft_node.peering import PeerConnections

__all__ = ['ConfigSource', 'PeerConfigSource', 'TableConfigSource']

PEER_TIMEOUT_S = 2.0


class ConfigSource(abc.ABC):
    """A source of configuration changes and snapshots."""

    @abc.abstractmethod
    async def changes(self, *, after: int, up_to: int) -> list[Change] | Unreachable | Invalid:
        """Return the changes from version ``after`` (exclusive) to ``up_to``."""

    @abc.abstractmethod
    async def snapshot(self, number: int) -> Snapshot | Unreachable | Invalid:
        """Return the whole document of version ``number`` or newer."""


class TableConfigSource(ConfigSource):
    """The platform's table service and object store."""

    def __init__(self, *, client: TableClient) -> None:
        self._client = client

    async def changes(self, *, after: int, up_to: int) -> list[Change] | Unreachable | Invalid:
        """Read the change rows one by one."""
        return await read_changes(self._client, after=after, up_to=up_to)

    async def snapshot(self, number: int) -> Snapshot | Unreachable | Invalid:
        """Read the newest snapshot and apply the changes after it."""
        version = await read_version(self._client, number)
        if isinstance(version, Unreachable | Invalid):
            return version
        return Snapshot(number=number, document=version.document)


class PeerConfigSource(ConfigSource):
    """Another entry instance, at ``address``, over the peer protocol."""

    def __init__(self, *, peer_connections: PeerConnections, address: str) -> None:
        self._peer_connections = peer_connections
        self._address = address

    async def changes(self, *, after: int, up_to: int) -> list[Change] | Unreachable | Invalid:
        """Request the changes that the peer retains."""
        raw = await self._peer_connections.call(
            self._address, 'changes', after, timeout_s=PEER_TIMEOUT_S
        )
        if isinstance(raw, Unreachable):
            return raw
        return [Change(*fields) for fields in raw]

    async def snapshot(self, number: int) -> Snapshot | Unreachable | Invalid:
        """Request the whole document of the peer."""
        raw = await self._peer_connections.call(
            self._address, 'snapshot', None, timeout_s=PEER_TIMEOUT_S
        )
        if isinstance(raw, Unreachable):
            return raw
        return Snapshot(*raw)
