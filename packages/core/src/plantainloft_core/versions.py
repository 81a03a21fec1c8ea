"""Read numbered configuration versions from the platform's table service.

Configuration is stored only in the platform's services. The version of the
row ``config/head`` is the current configuration version. The row
``config/v/{n}`` holds the patch that created version n, its author, a change
ID and the time of the commit. Every ``VERSIONS_PER_SNAPSHOT`` versions, the
whole document is stored in the object store as ``config/snapshot/{n}/{change ID}``
(msgpack). A reader loads the newest snapshot and applies the patches that
follow it.

Versions are written by ``commits``.
"""

from typing import Any, NamedTuple

import msgpack

from plantainloft_core.model import Configuration, parse_configuration
from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.patching import replay
from plantainloft_core.store_position import StorePosition
from plantainloft_core.table_client import TableClient

__all__ = [
    'HEAD_KEY',
    'VERSIONS_PER_SNAPSHOT',
    'Change',
    'Snapshot',
    'StoredVersion',
    'read_change',
    'read_changes',
    'read_head',
    'read_head_position',
    'read_snapshot',
    'read_version',
    'snapshot_key',
    'version_key',
]

HEAD_KEY = 'config/head'
VERSIONS_PER_SNAPSHOT = 50


class Change(NamedTuple):
    """A stored change: the patch that created version ``number``.

    ``committed_at`` is the Unix time in seconds on the submitter's clock.
    """

    number: int
    patch: list[dict[str, Any]]
    author: str
    change_id: str
    committed_at: float


class Snapshot(NamedTuple):
    """The whole configuration document at version ``number``."""

    number: int
    document: dict[str, Any]


class StoredVersion(NamedTuple):
    """A version: its document, the parsed form and the change that created it."""

    document: dict[str, Any]
    config: Configuration
    change: Change


def version_key(number: int) -> str:
    """Return the key of the table row of version ``number``."""
    return f'config/v/{number:010d}'


def snapshot_key(number: int, change_id: str = '') -> str:
    """Return the object store key of the snapshot of a version.

    With the ID of the change that created it, the snapshot of a version that the table has
    lost by returning from an older copy is not taken for the one with the same number.
    """
    key = f'config/snapshot/{number:010d}'
    return f'{key}/{change_id}' if change_id else key


async def read_head_position(client: TableClient) -> StorePosition | Unreachable:
    """Return the current version, 0 if there is none yet, and the era of the table."""
    row = await client.get(HEAD_KEY)
    if isinstance(row, Unreachable):
        return row
    return StorePosition(client.eras.current, 0 if row is None else row.version)


async def read_head(client: TableClient) -> int | Unreachable:
    """Return the number of the current version, 0 if there is none yet."""
    position = await read_head_position(client)
    return position if isinstance(position, Unreachable) else position.version


async def read_change(client: TableClient, number: int) -> Change | Unreachable | Invalid:
    """Return the change that created version ``number``."""
    row = await client.get(version_key(number))
    if isinstance(row, Unreachable):
        return row
    if row is None:
        return Invalid(problems=(f'version {number} does not exist',))
    return Change(number=number, **row.value)


async def read_changes(
    client: TableClient, *, after: int, up_to: int
) -> list[Change] | Unreachable | Invalid:
    """Return the changes that lead from version ``after`` to ``up_to``."""
    changes = []
    for number in range(after + 1, up_to + 1):
        change = await read_change(client, number)
        if isinstance(change, Unreachable | Invalid):
            return change
        changes.append(change)
    return changes


async def read_snapshot(client: TableClient, *, at_most: int) -> Snapshot | Unreachable:
    """Return the newest snapshot whose version is at most ``at_most``."""
    number = at_most - at_most % VERSIONS_PER_SNAPSHOT
    while number > 0:
        packed = await _read_snapshot_object(client, number)
        if isinstance(packed, Unreachable):
            return packed
        if packed is not None:
            return Snapshot(number=number, document=msgpack.unpackb(packed))
        # The object store was down when this snapshot was due. The previous
        # one and more patches result in the same document.
        number -= VERSIONS_PER_SNAPSHOT
    return Snapshot(number=0, document={})


async def _read_snapshot_object(client: TableClient, number: int) -> bytes | Unreachable | None:
    change = await read_change(client, number)
    if isinstance(change, Unreachable):
        return change
    if isinstance(change, Invalid):
        return None
    packed = await client.get_object(snapshot_key(number, change.change_id))
    # Builds before these keys have stored snapshots by number only.
    return await client.get_object(snapshot_key(number)) if packed is None else packed


async def read_version(client: TableClient, number: int) -> StoredVersion | Unreachable | Invalid:
    """Return version ``number``, built from the newest snapshot and patches."""
    snapshot = await read_snapshot(client, at_most=number)
    if isinstance(snapshot, Unreachable):
        return snapshot
    changes = await read_changes(client, after=snapshot.number, up_to=number)
    if isinstance(changes, Unreachable | Invalid):
        return changes
    document = replay(snapshot.document, [change.patch for change in changes])
    if isinstance(document, Invalid):
        return document
    config = parse_configuration(document, version=number)
    if isinstance(config, Invalid):
        return config
    last_change = changes[-1] if changes else await read_change(client, number)
    if isinstance(last_change, Unreachable | Invalid):
        return last_change
    return StoredVersion(document=document, config=config, change=last_change)
