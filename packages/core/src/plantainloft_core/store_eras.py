"""The eras of the store: detects that it has returned from an older copy.

Every answer of the store names its era, so the first answer of any call shows a return.
The version at that moment bounds the version of the copy: rows above it were written
after the return, rows up to it may come from the copy.
"""

import logging
from typing import NamedTuple

import anyio

from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition

__all__ = ['StoreEras', 'StoreReturn']

log = logging.getLogger(__name__)


class StoreReturn(NamedTuple):
    """A return of the store from an older copy, which began ``era``.

    ``noticed_at`` is when the first instance got an answer of the era that was served, or
    any answer before. ``first_version`` is the lowest version that an answer of the era has
    named, ``None`` before the first that did.
    """

    era: int
    noticed_at: float
    first_version: int | None = None


class StoreEras:
    """The current era of the store, and its last return as far as known."""

    def __init__(self) -> None:
        self.current = UNKNOWN_ERA
        self.last_return: StoreReturn | None = None
        self.return_count = 0
        # Whether the store has served this instance or, as far as reported, a peer.
        self._has_served = False
        self._changed = anyio.Event()

    def record_answer(self, era: int, version: int | None, now: float) -> None:
        """Record the era and, if it has one, the version of an answer of the store."""
        if era > self.current:
            self._begin(era, now)
        known = self.last_return
        self._has_served |= version is not None
        if known is not None and known.first_version is None and version is not None:
            # Refusals may name the era before the store serves again.
            self.last_return = known._replace(noticed_at=now)
        self._lower_first_version(era, version)

    def record_peer_report(self, reported: StoreReturn) -> None:
        """Record the last return as a peer knows it, in times of this instance."""
        if reported.era > self.current:
            self._begin(reported.era, reported.noticed_at)
        known = self.last_return
        if reported.era == self.current and (known is None or known.era != reported.era):
            # This instance has started since the return.
            self.last_return = reported
        elif known is not None and known.era == reported.era:
            if reported.first_version is not None:
                noticed_at = min(known.noticed_at, reported.noticed_at)
                self.last_return = known._replace(noticed_at=noticed_at)
            self._lower_first_version(reported.era, reported.first_version)

    def is_written_after_return(self, position: StorePosition) -> bool:
        """Return whether a row at ``position`` cannot come from the copy."""
        known = self.last_return
        if known is None or known.first_version is None or position.era != known.era:
            return False
        return position.version > known.first_version

    async def wait_for_return(self) -> None:
        """Wait until an era follows another one. For one waiting task."""
        await self._changed.wait()
        self._changed = anyio.Event()

    def _begin(self, era: int, now: float) -> None:
        before = self.current
        self.current = era
        if before == UNKNOWN_ERA and not self._has_served:
            return
        self.last_return = StoreReturn(era, now)
        self.return_count += 1
        self._changed.set()
        log.warning(
            'Store: returned from an older copy, era %d follows era %d.',
            era,
            before,
            extra={'kind': 'store_return', 'fields': {'era': era, 'era_before': before}},
        )

    def _lower_first_version(self, era: int, version: int | None) -> None:
        known = self.last_return
        if known is None or known.era != era or version is None:
            return
        if known.first_version is None or version < known.first_version:
            self.last_return = known._replace(first_version=version)
