"""Follow the configuration in force: observe the head, apply in order.

A node keeps the last version it applied and only ever moves forward:
a read that returns an older head (a lagging replica, a restarted table)
is ignored, so an accepted configuration never reverts here. Changes
come from the peer that told of them, or else from the table service;
while the table is down a node that restarts takes its configuration
from its peers and the nodes go on with the version they have.
"""

import collections
import logging
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio

from plantainloft_core.model import EMPTY, Configuration, parse_configuration
from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_core.patching import apply_change
from plantainloft_core.table_client import TableClient
from plantainloft_core.versions import Change, Snapshot, read_head
from plantainloft_node.sources import ChangeSource, TableSource

__all__ = ['ConfigFollower']

log = logging.getLogger(__name__)

MAX_BACKOFF_S = 5.0
KEPT_CHANGES = 64
JITTER = (0.5, 1.5)
# All nodes together read the head this often, whatever their number.
HEAD_READS_PER_S = 40.0


class _Hint(NamedTuple):
    version: int
    source: ChangeSource


class ConfigFollower:
    """Holds the configuration in force on this node."""

    def __init__(
        self, *, client: TableClient, poll_s: float, node_count: Callable[[], int]
    ) -> None:
        self.config: Configuration = EMPTY
        self.document: dict[str, Any] = {}
        self.on_change: Callable[[], None] = _nothing
        self._client = client
        self._table = TableSource(client=client)
        self._poll_s = poll_s
        self._node_count = node_count
        self._kept: collections.deque[Change] = collections.deque(maxlen=KEPT_CHANGES)
        self._failing = False
        self._hint: _Hint | None = None
        self._hinted = anyio.Event()

    def hint(self, version: int, source: ChangeSource) -> None:
        """Learn that ``source`` has ``version``; fetched by ``run``."""
        if version > self.config.version and (not self._hint or version > self._hint.version):
            self._hint = _Hint(version=version, source=source)
            self._hinted.set()

    async def step(self) -> bool:
        """Observe the head once and apply what is newer; True if read."""
        head = await read_head(self._client)
        if isinstance(head, Unreachable):
            self._note_failure(head.reason)
            return False
        if not await self._advance(head, self._table):
            return False
        if self._failing:
            log.info('Config: table service answers again.')
            self._failing = False
        return True

    async def run(self) -> None:
        """Poll forever, backing off while the table service fails."""
        while True:
            answered = await self.step()
            delay = self._poll_period() if answered else MAX_BACKOFF_S
            # Jittered, so that nodes started together don't all read at once.
            with anyio.move_on_after(delay * random.uniform(*JITTER)):
                while True:
                    await self._hinted.wait()
                    await self._follow_hint()

    async def handle_changes(self, after: int) -> list[tuple[Any, ...]]:
        """Answer a peer with the changes after version ``after``, if kept."""
        if not self._kept or self._kept[0].number > after + 1:
            return []
        return [tuple(change) for change in self._kept if change.number > after]

    async def handle_snapshot(self, content: object) -> tuple[int, dict[str, Any]]:
        """Answer a peer with the whole document in force."""
        return (self.config.version, self.document)

    def _poll_period(self) -> float:
        # A head read by every node each half second would be 2,400 reads
        # a second at 1,200 nodes, more than the table service takes. The
        # nodes share a fixed rate; beats carry the news to the others.
        return max(self._poll_s, self._node_count() / HEAD_READS_PER_S)

    async def _follow_hint(self) -> None:
        hint = self._hint
        self._hint = None
        self._hinted = anyio.Event()
        if hint is not None and not await self._advance(hint.version, hint.source):
            await self._advance(hint.version, self._table)

    async def _advance(self, head: int, source: ChangeSource) -> bool:
        """Apply what leads to version ``head``; False if not to be had."""
        if head <= self.config.version:
            return True
        if self.config.version and head - self.config.version <= KEPT_CHANGES:
            changes = await source.changes(after=self.config.version, upto=head)
            if not isinstance(changes, Unreachable | Invalid):
                self._apply(changes)
            if self.config.version >= head:
                return True
        snapshot = await source.snapshot(head)
        if isinstance(snapshot, Unreachable):
            self._note_failure(snapshot.reason)
            return False
        if isinstance(snapshot, Invalid):
            log.error('Config: version %s unreadable, kept %s.', head, self.config.version)
            return False
        return self._replace(snapshot)

    def _apply(self, changes: list[Change]) -> None:
        """Apply ``changes`` in order, up to a gap or one that does not fit."""
        for change in sorted(changes):
            if change.number <= self.config.version:
                continue
            if change.number != self.config.version + 1:
                return
            patched = apply_change(self.document, self.config, change.patch)
            if isinstance(patched, Invalid):
                log.error('Config: version %s does not apply.', change.number)
                return
            self._kept.append(change)
            self._put_in_force(*patched)

    def _replace(self, snapshot: Snapshot) -> bool:
        if snapshot.number <= self.config.version:
            return False
        config = parse_configuration(snapshot.document, version=snapshot.number)
        if isinstance(config, Invalid):
            log.error('Config: version %s invalid, kept %s.', snapshot.number, self.config.version)
            return False
        # Changes kept from before the gap would not join up with later ones.
        self._kept.clear()
        self._put_in_force(snapshot.document, config)
        return True

    def _put_in_force(self, document: dict[str, Any], config: Configuration) -> None:
        self.document = document
        self.config = config
        log.info('Config: version %s in force.', self.config.version)
        self.on_change()

    def _note_failure(self, reason: str) -> None:
        if not self._failing:
            log.warning(
                'Config: source failing (%s); kept version %s.', reason, self.config.version
            )
        self._failing = True


def _nothing() -> None:
    """Do nothing when a version comes into force."""
