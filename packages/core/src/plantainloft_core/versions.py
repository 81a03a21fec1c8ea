"""Numbered configuration versions, kept only in the platform's service.

Rows: ``config/head`` (its row version is the configuration version in
force) and ``config/v/{n}`` holding the patch that made version n, its
author and a change id. Every ``SNAPSHOT_EVERY`` versions the whole
document goes to the object store as ``config/snapshot/{n}`` (msgpack);
a reader takes the newest snapshot and the patches after it.

This module reads; ``committing`` writes.
"""

from typing import Any, NamedTuple

import msgpack

from plantainloft_core.model import Configuration, parse_configuration
from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.patching import replay
from plantainloft_core.table_client import TableClient

__all__ = [
    'HEAD_KEY',
    'SNAPSHOT_EVERY',
    'Change',
    'Snapshot',
    'Version',
    'read_change',
    'read_changes',
    'read_head',
    'read_snapshot',
    'read_version',
    'snapshot_key',
    'version_key',
]

HEAD_KEY = 'config/head'
SNAPSHOT_EVERY = 50


class Change(NamedTuple):
    """One stored change: the patch that made version ``number``.

    ``committed_at`` is Unix time in seconds by the submitter's clock.
    """

    number: int
    patch: list[dict[str, Any]]
    author: str
    change_id: str
    committed_at: float


class Snapshot(NamedTuple):
    """A whole document as of version ``number``."""

    number: int
    document: dict[str, Any]


class Version(NamedTuple):
    """One version: its document, its typed form and the change that made it."""

    document: dict[str, Any]
    config: Configuration
    change: Change


def version_key(number: int) -> str:
    """Return the table key of version ``number``."""
    return f'config/v/{number:010d}'


def snapshot_key(number: int) -> str:
    """Return the object store's key of the document of version ``number``."""
    return f'config/snapshot/{number:010d}'


async def read_head(client: TableClient) -> int | Unreachable:
    """Return the number of the version in force, 0 before the first."""
    row = await client.get(HEAD_KEY)
    if isinstance(row, Unreachable):
        return row
    return 0 if row is None else row.version


async def read_change(client: TableClient, number: int) -> Change | Unreachable | Invalid:
    """Return the change that made version ``number``."""
    row = await client.get(version_key(number))
    if isinstance(row, Unreachable):
        return row
    if row is None:
        return Invalid(problems=(f'version {number} is missing',))
    return Change(number=number, **row.value)


async def read_changes(
    client: TableClient, *, after: int, upto: int
) -> list[Change] | Unreachable | Invalid:
    """Return the changes that lead from version ``after`` to ``upto``."""
    changes = []
    for number in range(after + 1, upto + 1):
        change = await read_change(client, number)
        if isinstance(change, Unreachable | Invalid):
            return change
        changes.append(change)
    return changes


async def read_snapshot(client: TableClient, *, at_most: int) -> Snapshot | Unreachable:
    """Return the newest stored document not above version ``at_most``."""
    number = at_most - at_most % SNAPSHOT_EVERY
    while number > 0:
        stored = await client.get_object(snapshot_key(number))
        if isinstance(stored, Unreachable):
            return stored
        if stored is not None:
            return Snapshot(number=number, document=msgpack.unpackb(stored))
        # The object store was down when this one was due: the one before
        # it and more patches lead to the same document.
        number -= SNAPSHOT_EVERY
    return Snapshot(number=0, document={})


async def read_version(client: TableClient, number: int) -> Version | Unreachable | Invalid:
    """Return version ``number``: the newest snapshot plus its patches."""
    snapshot = await read_snapshot(client, at_most=number)
    if isinstance(snapshot, Unreachable):
        return snapshot
    changes = await read_changes(client, after=snapshot.number, upto=number)
    if isinstance(changes, Unreachable | Invalid):
        return changes
    document = replay(snapshot.document, [change.patch for change in changes])
    if isinstance(document, Invalid):
        return document
    checked = parse_configuration(document, version=number)
    if isinstance(checked, Invalid):
        return checked
    made_by = changes[-1] if changes else await read_change(client, number)
    if isinstance(made_by, Unreachable | Invalid):
        return made_by
    return Version(document=document, config=checked, change=made_by)
