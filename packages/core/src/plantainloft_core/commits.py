"""Commit an operator's patch as the next numbered version.

A patch against version N is one transaction on the condition that
``config/head`` is at N, so if two operators submit against N at the same
time, exactly one of them commits. This is the optimistic concurrency control
described in the paper "Many Schedulers, One Commit Loop".
"""

import logging
import time
import uuid
from typing import Any

import msgpack

from plantainloft_core.model import EMPTY_CONFIGURATION, Configuration
from plantainloft_core.outcomes import Committed, Conflict, Invalid, Unreachable
from plantainloft_core.patching import apply_patch
from plantainloft_core.shift_check import check_shift
from plantainloft_core.store_position import StorePosition
from plantainloft_core.table_client import LostResponse, TableClient, TableRow, TxnConflict
from plantainloft_core.traffic_split import SHIFT_WINDOW_S
from plantainloft_core.versions import (
    HEAD_KEY,
    VERSIONS_PER_SNAPSHOT,
    Change,
    Snapshot,
    read_change,
    read_head_position,
    read_version,
    snapshot_key,
    version_key,
)

__all__ = ['commit_patch', 'restore_change']

log = logging.getLogger(__name__)

MAX_CHANGES_READ_BACK = 20
FENCE_PREFIX = 'fence/'
RETURNED = 'the table has returned from an older copy; read the configuration again'


async def commit_patch(
    client: TableClient,
    *,
    base_version: int,
    patch: list[dict[str, Any]],
    author: str,
    change_id: str,
) -> Committed | Conflict | Invalid | Unreachable:
    """Commit ``patch`` against version ``base_version`` as the version after it.

    Returns ``Invalid`` if the patch would move more of a service's traffic
    between regions at once than the service's shift cap allows. ``change_id``
    must be unique per change. If the table's response is lost, the row of the
    new version is read back, and this ID in it shows that the commit was
    applied.
    """
    head = await read_head_position(client)
    if isinstance(head, Unreachable):
        return head
    if head.version != base_version:
        return Conflict(current_version=head.version)
    document: dict[str, Any] = {}
    current = EMPTY_CONFIGURATION
    if base_version:
        stored = await read_version(client, base_version)
        if isinstance(stored, Unreachable | Invalid):
            return stored
        document, current = stored.document, stored.config
    patched = apply_patch(document, patch, version=base_version + 1)
    if isinstance(patched, Invalid):
        return patched
    rejection = await _check_shift_cap(client, current=current, new=patched[1])
    if rejection is not None:
        return rejection
    change = Change(
        number=base_version + 1,
        patch=patch,
        author=author,
        change_id=change_id,
        committed_at=time.time(),
    )
    outcome = await _commit_change(client, change, base=head)
    if isinstance(outcome, Committed) and outcome.version % VERSIONS_PER_SNAPSHOT == 0:
        snapshot = Snapshot(number=outcome.version, document=patched[0])
        await _store_snapshot(client, snapshot, change_id=change_id)
    return outcome


async def restore_change(
    client: TableClient, change: Change, *, base: StorePosition
) -> Committed | Conflict | Unreachable:
    """Commit a change again that the table has lost by returning from an older copy.

    ``base`` is the head that was read after the return, the version before ``change``.
    """
    return await _commit_change(client, change, base=base)


async def _check_shift_cap(
    client: TableClient, *, current: Configuration, new: Configuration
) -> Invalid | Unreachable | None:
    """Reject a configuration that moves more than the cap within one shift window.

    The new configuration is compared with the one that was current a window
    ago. Compared with the latest one only, a large move could pass as many
    small patches.
    """
    base = await _config_before_window(client, current=current)
    if isinstance(base, Unreachable | Invalid):
        return base
    problems = check_shift(base, new)
    return Invalid(problems=problems) if problems else None


async def _config_before_window(
    client: TableClient, *, current: Configuration
) -> Configuration | Unreachable | Invalid:
    """Return the configuration that was current when the shift window began.

    It looks back over at most ``MAX_CHANGES_READ_BACK`` changes, and not past
    version 1.
    """
    window_start = time.time() - SHIFT_WINDOW_S
    number = current.version
    for _ in range(MAX_CHANGES_READ_BACK):
        if number <= 1:
            break
        change = await read_change(client, number)
        if isinstance(change, Unreachable | Invalid):
            return change
        if change.committed_at < window_start:
            break
        number -= 1
    if number == current.version:
        return current
    stored = await read_version(client, number)
    return stored if isinstance(stored, Unreachable | Invalid) else stored.config


async def _commit_change(
    client: TableClient, change: Change, *, base: StorePosition
) -> Committed | Conflict | Unreachable:
    base_version = change.number - 1
    # The condition on the head holds in the era of ``base`` only: a copy that has the
    # fence is newer than ``base``, and one that lacks it fails the transaction.
    fence = await _write_fence(client, change.change_id)
    if isinstance(fence, Unreachable):
        return fence
    if client.eras.current != base.era:
        return Unreachable(reason=RETURNED)
    row_value = {name: value for name, value in change._asdict().items() if name != 'number'}
    outcome = await client.commit_transaction(
        conditions={HEAD_KEY: base_version, fence.key: fence.version},
        writes={HEAD_KEY: {'change_id': change.change_id}, version_key(change.number): row_value},
        deletes=(fence.key,),
    )
    if isinstance(outcome, TxnConflict) and HEAD_KEY in outcome.versions_by_key:
        return Conflict(current_version=outcome.versions_by_key[HEAD_KEY])
    if isinstance(outcome, TxnConflict):
        return Unreachable(reason=RETURNED)
    if isinstance(outcome, LostResponse):
        return await _resolve_lost_response(
            client, base_version=base_version, change_id=change.change_id
        )
    if isinstance(outcome, Unreachable):
        return outcome
    return Committed(version=change.number)


async def _write_fence(client: TableClient, change_id: str) -> TableRow | Unreachable:
    """Write a row that no earlier copy of the table has, and return it."""
    key = f'{FENCE_PREFIX}{change_id}/{uuid.uuid4().hex}'
    outcome = await client.commit_transaction(conditions={}, writes={key: ''})
    if isinstance(outcome, Unreachable) and not isinstance(outcome, LostResponse):
        return outcome
    row = await client.get(key)
    return Unreachable(reason='the fence of the commit is missing') if row is None else row


async def _store_snapshot(client: TableClient, snapshot: Snapshot, *, change_id: str) -> None:
    packed = msgpack.packb(snapshot.document)
    outcome = await client.put_object(snapshot_key(snapshot.number, change_id), packed)
    if isinstance(outcome, Unreachable):
        # The commit is still valid: readers start from an older snapshot.
        log.warning('Versions: cannot store snapshot %s: %s.', snapshot.number, outcome.reason)


async def _resolve_lost_response(
    client: TableClient,
    *,
    base_version: int,
    change_id: str,
) -> Committed | Conflict | Unreachable:
    # The write may have been applied. Read back the row that it creates: our
    # change ID means that it was committed, another ID that a concurrent change
    # won, and no row that neither has been committed so far.
    row = await client.get(version_key(base_version + 1))
    if isinstance(row, Unreachable):
        return Unreachable(reason='response to the commit was lost; its outcome is unknown')
    if row is None:
        return Unreachable(
            reason='response to the commit was lost; it is not applied yet, but still may be'
        )
    if row.value['change_id'] == change_id:
        return Committed(version=base_version + 1)
    return Conflict(current_version=base_version + 1)
