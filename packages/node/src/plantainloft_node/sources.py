"""Where a node takes configuration from: the table service, or a peer."""

import abc

from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.table_client import TableClient
from plantainloft_core.versions import Change, Snapshot, read_changes, read_version
from plantainloft_node.peering import Links

__all__ = ['ChangeSource', 'PeerSource', 'TableSource']

PEER_TIMEOUT_S = 2.0


class ChangeSource(abc.ABC):
    """Where changes and whole documents can be had from."""

    @abc.abstractmethod
    async def changes(self, *, after: int, upto: int) -> list[Change] | Unreachable | Invalid:
        """Return the changes that lead from ``after`` to ``upto``."""

    @abc.abstractmethod
    async def snapshot(self, number: int) -> Snapshot | Unreachable | Invalid:
        """Return the whole document of version ``number`` or newer."""


class TableSource(ChangeSource):
    """The platform's table service and object store."""

    def __init__(self, *, client: TableClient) -> None:
        self._client = client

    async def changes(self, *, after: int, upto: int) -> list[Change] | Unreachable | Invalid:
        """Read the change rows one by one."""
        return await read_changes(self._client, after=after, upto=upto)

    async def snapshot(self, number: int) -> Snapshot | Unreachable | Invalid:
        """Read the newest snapshot and replay the changes after it."""
        version = await read_version(self._client, number)
        if isinstance(version, Unreachable | Invalid):
            return version
        return Snapshot(number=number, document=version.document)


class PeerSource(ChangeSource):
    """Another entry instance, at ``address``, over the peer streams."""

    def __init__(self, *, links: Links, address: str) -> None:
        self._links = links
        self._address = address

    async def changes(self, *, after: int, upto: int) -> list[Change] | Unreachable | Invalid:
        """Ask the peer for the changes it keeps."""
        raw = await self._links.call(self._address, 'changes', after, timeout_s=PEER_TIMEOUT_S)
        if isinstance(raw, Unreachable):
            return raw
        return [Change(*fields) for fields in raw]

    async def snapshot(self, number: int) -> Snapshot | Unreachable | Invalid:
        """Ask the peer for its whole document."""
        raw = await self._links.call(self._address, 'snapshot', None, timeout_s=PEER_TIMEOUT_S)
        if isinstance(raw, Unreachable):
            return raw
        return Snapshot(*raw)
