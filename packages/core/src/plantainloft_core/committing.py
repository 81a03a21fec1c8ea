"""Commit an operator's patch as the next numbered version.

A patch against version N is one transaction conditioned on
``config/head`` being at N, so of two operators racing on N exactly one
commits; this is the optimistic commit against a numbered state of the
paper "Many Schedulers, One Commit Loop".
"""

import logging
import time
from typing import Any

import msgpack

from plantainloft_core.model import EMPTY, Configuration
from plantainloft_core.outcomes import Committed, Conflict, Invalid, Unreachable
from plantainloft_core.patching import apply_patch
from plantainloft_core.shift_check import check_shift
from plantainloft_core.shifting import SHIFT_WINDOW_S
from plantainloft_core.table_client import LostAnswer, TableClient, TxnConflict
from plantainloft_core.versions import (
    HEAD_KEY,
    SNAPSHOT_EVERY,
    Change,
    Snapshot,
    read_change,
    read_head,
    read_version,
    snapshot_key,
    version_key,
)

__all__ = ['commit_patch']

log = logging.getLogger(__name__)

MAX_WINDOW_CHANGES = 20


async def commit_patch(
    client: TableClient,
    *,
    against: int,
    patch: list[dict[str, Any]],
    author: str,
    change_id: str,
) -> Committed | Conflict | Invalid | Unreachable:
    """Commit ``patch`` against version ``against`` as version against+1.

    Refused as ``Invalid`` when it would move more of a service's traffic
    between regions at once than the service's shift cap. ``change_id``
    must be unique per change: when the table applies the write but its
    answer is lost, re-reading the new version's row and finding this id
    is how the commit is known to have happened.
    """
    head = await read_head(client)
    if isinstance(head, Unreachable):
        return head
    if head != against:
        return Conflict(current_version=head)
    document: dict[str, Any] = {}
    current = EMPTY
    if against:
        stored = await read_version(client, against)
        if isinstance(stored, Unreachable | Invalid):
            return stored
        document, current = stored.document, stored.config
    patched = apply_patch(document, patch, version=against + 1)
    if isinstance(patched, Invalid):
        return patched
    refusal = await _refuse_shift(client, current=current, new=patched[1])
    if refusal is not None:
        return refusal
    change = Change(
        number=against + 1,
        patch=patch,
        author=author,
        change_id=change_id,
        committed_at=time.time(),
    )
    outcome = await _commit_change(client, change)
    if isinstance(outcome, Committed) and outcome.version % SNAPSHOT_EVERY == 0:
        await _store_snapshot(client, Snapshot(number=outcome.version, document=patched[0]))
    return outcome


async def _refuse_shift(
    client: TableClient, *, current: Configuration, new: Configuration
) -> Invalid | Unreachable | None:
    """Refuse what moves more than the cap within one shift window.

    Measured against the version in force a window ago, not only the
    current one: a move cut into many small patches submitted at once
    would otherwise pass whole.
    """
    base = await _version_a_window_ago(client, current=current)
    if isinstance(base, Unreachable | Invalid):
        return base
    problems = check_shift(base, new)
    return Invalid(problems=problems) if problems else None


async def _version_a_window_ago(
    client: TableClient, *, current: Configuration
) -> Configuration | Unreachable | Invalid:
    since = time.time() - SHIFT_WINDOW_S
    number = current.version
    for _ in range(MAX_WINDOW_CHANGES):
        if number <= 1:
            break
        change = await read_change(client, number)
        if isinstance(change, Unreachable | Invalid):
            return change
        if change.committed_at < since:
            break
        number -= 1
    if number == current.version:
        return current
    stored = await read_version(client, number)
    return stored if isinstance(stored, Unreachable | Invalid) else stored.config


async def _commit_change(client: TableClient, change: Change) -> Committed | Conflict | Unreachable:
    against = change.number - 1
    stored = {name: part for name, part in change._asdict().items() if name != 'number'}
    outcome = await client.txn(
        conditions={HEAD_KEY: against},
        writes={HEAD_KEY: {'change_id': change.change_id}, version_key(change.number): stored},
    )
    if isinstance(outcome, TxnConflict):
        return Conflict(current_version=outcome.versions_by_key[HEAD_KEY])
    if isinstance(outcome, LostAnswer):
        return await _settle_lost_answer(client, against=against, change_id=change.change_id)
    if isinstance(outcome, Unreachable):
        return outcome
    return Committed(version=change.number)


async def _store_snapshot(client: TableClient, snapshot: Snapshot) -> None:
    packed = msgpack.packb(snapshot.document)
    stored = await client.put_object(snapshot_key(snapshot.number), packed)
    if isinstance(stored, Unreachable):
        # Not a failure of the commit: readers replay from an older one.
        log.warning('Versions: snapshot %s not stored (%s).', snapshot.number, stored.reason)


async def _settle_lost_answer(
    client: TableClient,
    *,
    against: int,
    change_id: str,
) -> Committed | Conflict | Unreachable:
    # The write may have taken effect with its answer lost. Reading back
    # the row it would have made tells which: our change id there means
    # committed; another id means someone else won; no row, not committed.
    row = await client.get(version_key(against + 1))
    if isinstance(row, Unreachable):
        return Unreachable(reason='commit answer lost; outcome unknown')
    if row is None:
        return Unreachable(reason='commit answer lost; not yet committed, may still be')
    if row.value['change_id'] == change_id:
        return Committed(version=against + 1)
    return Conflict(current_version=against + 1)
