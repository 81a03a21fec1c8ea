"""Follow the active configuration: read the head version, apply changes in order.

A node keeps the last version it applied and never goes back: a read that returns
an older head (a lagging replica, a restarted table) is ignored. If the table has returned
from an older copy, ``ConfigReconciler`` decides. Changes are
fetched from the peer that announced them, with the table service as the fallback.
While the table service is down, a restarted node gets its configuration from its
peers, and running nodes keep the version they have.
"""

import logging
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio

from plantainloft_core.model import EMPTY_CONFIGURATION, Configuration, parse_configuration
from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.patching import apply_committed_patch
from plantainloft_core.store_eras import StoreEras
from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition
from plantainloft_core.table_client import TableClient
from plantainloft_core.versions import Change, Snapshot, read_head_position
from plantainloft_node.config_reconciliation import (
    MAX_RETAINED_CHANGES,
    ConfigReconciler,
    Diverged,
    Held,
)
from plantainloft_node.config_sources import ConfigSource, TableConfigSource

__all__ = ['ConfigFollower']

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 5.0
# While changes are held that the table has lost.
HELD_POLL_S = 0.5
POLL_JITTER_RANGE = (0.5, 1.5)
# An invalid document may have a problem in each of its entries.
MAX_LOGGED_PROBLEMS = 3
# Limit on head reads of the whole fleet, whatever the number of nodes.
FLEET_HEAD_READS_PER_S = 40.0


class _AnnouncedVersion(NamedTuple):
    position: StorePosition
    source: ConfigSource


class ConfigFollower:
    """Keeps this node's configuration up to date."""

    def __init__(
        self, *, client: TableClient, poll_s: float, node_count: Callable[[], int]
    ) -> None:
        self.config: Configuration = EMPTY_CONFIGURATION
        self.document: dict[str, Any] = {}
        self.on_config_change: Callable[[], None] = _ignore_change
        self._client = client
        self._table_source = TableConfigSource(client=client)
        self._poll_s = poll_s
        self._node_count = node_count
        # The era in which the configuration in force was last compared with the table.
        self._era = UNKNOWN_ERA
        self.reconciler = ConfigReconciler(client=client, node_count=node_count)
        self._source_failing = False
        self._announced: _AnnouncedVersion | None = None
        self._announcement_event = anyio.Event()

    @property
    def eras(self) -> StoreEras:
        """The eras of the table, as seen by this node."""
        return self._client.eras

    def position(self) -> StorePosition:
        """Return the version in force, and the era of the table that has it."""
        return StorePosition(self._era, self.config.version)

    def note_available_version(self, position: StorePosition, source: ConfigSource) -> None:
        """Record that ``source`` has ``position``; ``run`` fetches it."""
        if position.era == UNKNOWN_ERA:
            position = position._replace(era=self._era)
        known = self.position() if self._announced is None else self._announced.position
        if position.supersedes(known):
            self._announced = _AnnouncedVersion(position=position, source=source)
            self._announcement_event.set()

    async def poll_once(self) -> bool:
        """Read the head once and apply newer changes; return whether this succeeded."""
        head = await read_head_position(self._client)
        if isinstance(head, Unreachable):
            self._report_source_failure(head.reason)
            return False
        if not await self._follow_head(head):
            return False
        if self._source_failing:
            log.info('Config: the table service is available again.')
            self._source_failing = False
        return True

    async def run(self) -> None:
        """Poll indefinitely, at a longer interval while the table service fails."""
        while True:
            succeeded = await self.poll_once()
            delay = self._poll_period() if succeeded else RETRY_INTERVAL_S
            if self.reconciler.is_holding:
                delay = HELD_POLL_S
            # Jitter keeps nodes that started together from reading at the same time.
            with anyio.move_on_after(delay * random.uniform(*POLL_JITTER_RANGE)):
                while True:
                    await self._announcement_event.wait()
                    await self._fetch_announced()

    async def handle_changes(self, after: int) -> list[tuple[Any, ...]]:
        """Return to a peer the changes after version ``after``, if still retained."""
        return [tuple(change) for change in self.reconciler.history.after(after)]

    async def handle_snapshot(self, content: object) -> tuple[int, dict[str, Any]]:
        """Return to a peer the active version and its whole document."""
        return (self.config.version, self.document)

    def _poll_period(self) -> float:
        # If every node read the head each half second, 1,200 nodes would issue
        # 2,400 reads per second, more than the table service can handle. The nodes
        # share a fixed rate instead, and heartbeats announce versions to the others.
        return max(self._poll_s, self._node_count() / FLEET_HEAD_READS_PER_S)

    async def _follow_head(self, head: StorePosition) -> bool:
        """Advance to the table's head; return False if that is not possible yet."""
        if self.config.version and head.era != self._era:
            decision = await self.reconciler.decide(head, self.config.version)
            if isinstance(decision, Unreachable):
                self._report_source_failure(decision.reason)
                return False
            if isinstance(decision, Held):
                return True
            if isinstance(decision, Diverged):
                return await self._replace(head)
        self._era = head.era
        return await self._advance_to(head.version, self._table_source)

    async def _replace(self, head: StorePosition) -> bool:
        """Adopt the configuration of the table although the one in force is no part of it."""
        snapshot = await self._table_source.snapshot(head.version)
        if isinstance(snapshot, Unreachable | Invalid):
            return False
        if not self._apply_snapshot(snapshot, replaces=True):
            return False
        self._era = head.era
        return True

    async def _fetch_announced(self) -> None:
        announced = self._announced
        self._announced = None
        self._announcement_event = anyio.Event()
        if announced is None:
            return
        position = announced.position
        if self.config.version and position.era != self._era:
            # Only the table shows whether the peer has the same changes.
            await self.poll_once()
            return
        self._era = position.era
        if not await self._advance_to(position.version, announced.source):
            await self._advance_to(position.version, self._table_source)

    async def _advance_to(self, head: int, source: ConfigSource) -> bool:
        """Advance to version ``head``; return False if ``source`` cannot provide it."""
        if head <= self.config.version:
            return True
        if self.config.version and head - self.config.version <= MAX_RETAINED_CHANGES:
            changes = await source.changes(after=self.config.version, up_to=head)
            if not isinstance(changes, Unreachable | Invalid):
                self._apply_changes(changes)
            if self.config.version >= head:
                return True
        snapshot = await source.snapshot(head)
        if isinstance(snapshot, Unreachable):
            self._report_source_failure(snapshot.reason)
            return False
        if isinstance(snapshot, Invalid):
            log.error(
                'Config: version %s is unreadable (%s); keeping version %s.',
                head,
                '; '.join(snapshot.problems[:MAX_LOGGED_PROBLEMS]),
                self.config.version,
            )
            return False
        return self._apply_snapshot(snapshot)

    def _apply_changes(self, changes: list[Change]) -> None:
        """Apply ``changes`` in order, up to the first gap or invalid change."""
        for change in sorted(changes):
            if change.number <= self.config.version:
                continue
            if change.number != self.config.version + 1:
                return
            patched = apply_committed_patch(self.document, self.config, change.patch)
            if isinstance(patched, Invalid):
                log.error(
                    'Config: the change to version %s cannot be applied: %s.',
                    change.number,
                    '; '.join(patched.problems[:MAX_LOGGED_PROBLEMS]),
                )
                return
            self.reconciler.history.append(change)
            self._activate(*patched)

    def _apply_snapshot(self, snapshot: Snapshot, *, replaces: bool = False) -> bool:
        if snapshot.number <= self.config.version and not replaces:
            return False
        config = parse_configuration(snapshot.document, version=snapshot.number)
        if isinstance(config, Invalid):
            log.error(
                'Config: version %s is invalid (%s); keeping version %s.',
                snapshot.number,
                '; '.join(config.problems[:MAX_LOGGED_PROBLEMS]),
                self.config.version,
            )
            return False
        # Retained changes from before the snapshot are not contiguous with later ones.
        self.reconciler.history.clear()
        self._activate(snapshot.document, config)
        return True

    def _activate(self, document: dict[str, Any], config: Configuration) -> None:
        self.document = document
        self.config = config
        log.info('Config: version %s in force.', self.config.version)
        self.on_config_change()

    def _report_source_failure(self, reason: str) -> None:
        if not self._source_failing:
            log.warning(
                'Config: cannot read the configuration (%s); keeping version %s.',
                reason,
                self.config.version,
            )
        self._source_failing = True


def _ignore_change() -> None:
    """Ignore a configuration change; the default callback."""
