"""Decides what a table that has returned from an older copy means for the configuration.

The copy lacks the last commits, although they were confirmed to operators. Nodes
keep them in force and commit them again, with their authors and IDs, unless an operator
has committed something else on the configuration of the copy. Then that is in force, and
the lost changes are listed for operators: two lines of changes can't be joined.
"""

import collections
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from plantainloft_core.commits import restore_change
from plantainloft_core.outcomes import Committed, Invalid, Unreachable
from plantainloft_core.store_position import StorePosition
from plantainloft_core.table_client import TableClient
from plantainloft_core.versions import Change, read_change

__all__ = [
    'MAX_RETAINED_CHANGES',
    'ChangeHistory',
    'ConfigReconciler',
    'Diverged',
    'Held',
    'Same',
]

log = logging.getLogger(__name__)

MAX_RETAINED_CHANGES = 64
# Nodes begin to restore changes one after the other, so that usually one does it.
RESTORE_DELAY_S = 0.5
RESTORE_SPREAD_PER_NODE_S = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class Same:
    """The table has all changes of the configuration in force."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Held:
    """The table has a part of them only; the configuration in force stays."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Diverged:
    """The table has other changes; its configuration replaces the one in force."""


class ChangeHistory:
    """The last changes that were applied, without a gap."""

    def __init__(self) -> None:
        self._changes: collections.deque[Change] = collections.deque(maxlen=MAX_RETAINED_CHANGES)

    def append(self, change: Change) -> None:
        """Add the change that follows the last one."""
        self._changes.append(change)

    def clear(self) -> None:
        """Forget all changes."""
        self._changes.clear()

    def all(self) -> list[Change]:
        """Return all retained changes."""
        return list(self._changes)

    def after(self, number: int) -> list[Change]:
        """Return the changes after version ``number``; empty if some are not retained."""
        if not self._changes or self._changes[0].number > number + 1:
            return []
        return [change for change in self._changes if change.number > number]

    def change_id_of(self, number: int) -> str | None:
        """Return the ID of the change that created ``number``, if it is retained."""
        return next((one.change_id for one in self._changes if one.number == number), None)


class ConfigReconciler:
    """Compares the configuration in force with a table that has returned from a copy."""

    def __init__(self, *, client: TableClient, node_count: Callable[[], int]) -> None:
        self.history = ChangeHistory()
        self.is_holding = False
        self.restored: list[Change] = []
        self.lost: list[Change] = []
        self._client = client
        self._node_count = node_count
        self._restore_at = float('inf')
        self._stored_version = 0

    def held_changes(self) -> list[Change]:
        """Return the changes in force that the table lacks."""
        return self.history.after(self._stored_version) if self.is_holding else []

    async def decide(
        self, head: StorePosition, version: int
    ) -> Same | Held | Diverged | Unreachable:
        """Compare ``version``, which is in force, with ``head`` of another era.

        Commits held changes again when it is this node's turn.
        """
        is_same = await self._is_same_at(min(head.version, version))
        if isinstance(is_same, Unreachable):
            return is_same
        if is_same and head.version >= version:
            self._stop_holding()
            return Same()
        if not is_same:
            await self._record_lost()
            self._stop_holding()
            return Diverged()
        await self._hold(head, version)
        return Held()

    async def _is_same_at(self, number: int) -> bool | Unreachable:
        mine = self.history.change_id_of(number)
        if mine is None:
            # Older than all retained changes; a copy is some seconds old.
            return True
        stored = await read_change(self._client, number)
        if isinstance(stored, Unreachable):
            return stored
        return not isinstance(stored, Invalid) and stored.change_id == mine

    async def _hold(self, head: StorePosition, version: int) -> None:
        now = anyio.current_time()
        self._stored_version = head.version
        if not self.is_holding:
            self.is_holding = True
            spread_s = RESTORE_SPREAD_PER_NODE_S * self._node_count()
            self._restore_at = now + RESTORE_DELAY_S + spread_s * random.random()
            log.warning(
                'Config: the table has returned from an older copy with version %s; '
                'keeping version %s.',
                head.version,
                version,
            )
        if now >= self._restore_at:
            await self._restore(head)

    async def _restore(self, head: StorePosition) -> None:
        base = head
        for change in self.history.after(head.version):
            outcome = await restore_change(self._client, change, base=base)
            if not isinstance(outcome, Committed):
                # Another node or an operator has committed; the next poll shows which.
                return
            self.restored.append(change)
            log.warning(
                'Config: change %s by %s to version %s, which the table had lost, is committed '
                'again.',
                change.change_id,
                change.author,
                change.number,
            )
            base = base._replace(version=outcome.version)

    async def _record_lost(self) -> None:
        """Record the changes that the table has replaced by others."""
        lost: list[Change] = []
        for change in reversed(self.history.all()):
            if await self._is_same_at(change.number):
                break
            lost.insert(0, change)
        self.lost.extend(lost)
        for change in lost:
            log.error(
                'Config: change %s by %s to version %s is lost: the table has returned from an '
                'older copy, and another change was committed in its place.',
                change.change_id,
                change.author,
                change.number,
            )

    def _stop_holding(self) -> None:
        self.is_holding = False
        self._restore_at = float('inf')
