"""Applies rows of the store and of peers to the replica and the routing state.

Everything that arrives passes here, so that what a return of the store means for a row
is decided in one place.
"""

import logging
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from plantainloft_core.store_eras import StoreEras, StoreReturn
from plantainloft_core.store_position import StorePosition
from plantainloft_node.replica.held_rows import HeldRows
from plantainloft_node.replica.return_policy import (
    Content,
    Decision,
    Hold,
    decide_after_return,
)
from plantainloft_node.replica.routing_state import RoutingState
from plantainloft_node.replica.row_replica import RowReplica
from plantainloft_node.replica.store_rows import (
    DECLARATIONS,
    RoutesDeclared,
    RowBatch,
    StoreRow,
    ZoneEvacuation,
)
from plantainloft_node.replica.table_lag import TableLag

__all__ = ['STORE_SOURCE', 'RowUpdates']

log = logging.getLogger(__name__)

# Changes whose time is kept, to estimate the age of a copy that lacks them.
MAX_RECEIVED_CHANGES = 256
# The source of rows that a poll of the store has returned; others have a peer's name.
STORE_SOURCE = 'store'


class _ReceivedChange(NamedTuple):
    """When this instance got a row, and its position."""

    at: float
    position: StorePosition


class RowUpdates:
    """Merges rows and decides which of them take effect."""

    def __init__(
        self,
        *,
        rows: RowReplica,
        routing_state: RoutingState,
        eras: StoreEras,
        decode: Callable[[StoreRow], Content],
    ) -> None:
        self.rows = rows
        self.routing_state = routing_state
        self._eras = eras
        self._decode = decode
        self.held_rows = HeldRows()
        self.lag = TableLag(position_by_table=rows.position_by_table)
        # The least age of the copy from which the store has returned last, if known.
        self.copy_age_s: float | None = None
        self._received: deque[_ReceivedChange] = deque(maxlen=MAX_RECEIVED_CHANGES)

    def apply_changes(self, rows: Iterable[StoreRow], now: float, *, source: str) -> list[StoreRow]:
        """Apply changed rows; return those that were new."""
        fresh = self.rows.merge(rows)
        self._apply(fresh, now, source)
        return fresh

    def apply_listing(
        self,
        table: str,
        listing: RowBatch,
        now: float,
        *,
        source: str,
        held_by_peer: Sequence[StoreRow] = (),
    ) -> list[StoreRow]:
        """Apply a whole table; return its rows that were new.

        ``held_by_peer`` are the rows that the peer which sent the listing holds.
        """
        known = self.rows.position_by_table.get(table)
        if known is not None and known.era > listing.position.era:
            return []
        if known is None or known.is_in_era_of(listing.position):
            is_from_peer = source != STORE_SOURCE
            fresh = self.rows.merge_listing(table, listing, is_from_peer=is_from_peer)
            self._apply(fresh, now, source)
            return fresh
        peer_row_by_key = {row.key: row for row in held_by_peer if row.table == table}
        return self._apply_return(table, listing, now, source, peer_row_by_key)

    def apply_held(
        self, rows: Iterable[StoreRow], reported: StoreReturn | None, now: float, *, source: str
    ) -> None:
        """Apply what a peer holds since ``reported``, as far as this instance lacks it."""
        if reported is None or reported.era < self._eras.current:
            return
        self._eras.record_peer_report(reported)
        for row in rows:
            if row.position.era < self._eras.current and not _is_delay(self._decode(row)):
                self._consider_held(row, now, source)

    def expire(self, now: float) -> None:
        """Let the store's rows take effect where the time of a held row is over."""
        for held in self.held_rows.pop_expired(now):
            stored = self._stored_row(held)
            log.warning(
                'Replica: row %s was not written again, the row of the store takes effect.',
                held.key,
                extra={'kind': 'given_up', 'fields': _fields(held, stored)},
            )
            self.routing_state.apply_rows([stored], now, source=STORE_SOURCE, is_certain=True)

    def _apply(self, fresh: list[StoreRow], now: float, source: str) -> None:
        self._received.extend(_ReceivedChange(now, row.position) for row in fresh)
        changed_tables = frozenset(row.table for row in fresh)
        for table in changed_tables:
            self.lag.record_applied(table, now, source=source)
        believed = []
        for row in fresh:
            held = self.held_rows.get(row.table, row.key)
            if held is None or not self._keeps(held.row, row, now):
                believed.append(row)
        self.routing_state.apply_rows(believed, now, source=source)

    def _apply_return(
        self,
        table: str,
        listing: RowBatch,
        now: float,
        source: str,
        peer_row_by_key: Mapping[str, StoreRow],
    ) -> list[StoreRow]:
        before_by_key = {row.key: row for row in self.rows.rows_of(table)}
        known = self.rows.position_by_table[table]
        self._record_return(now, known)
        fresh = self.rows.merge_listing(table, listing)
        believed = []
        for row in fresh:
            before = self._before(row, before_by_key.get(row.key), known)
            before = self._latest(before, peer_row_by_key.get(row.key))
            if before is not None and before.content == row.content:
                self.held_rows.release(table, row.key)
            elif before is None or not self._keeps(before, row, now, is_new_return=True):
                believed.append(row)
            elif before == peer_row_by_key.get(row.key):
                self.routing_state.apply_rows([before], now, source=source, is_certain=True)
        self.routing_state.apply_rows(believed, now, source=source)
        self.lag.record_applied(table, now, source=source)
        held_count = sum(1 for held in self.held_rows.rows() if held.table == table)
        log.warning(
            'Replica: listed %s of the returned store, %d rows held, %d rows changed.',
            table,
            held_count,
            len(believed),
            extra={
                'kind': 'store_return_listed',
                'fields': {
                    'table': table,
                    'era': listing.position.era,
                    'version': listing.position.version,
                    'version_before': known.version,
                    'copy_age_s': self.copy_age_s,
                    'held': held_count,
                    'changed': len(believed),
                },
            },
        )
        return fresh

    def _before(
        self, row: StoreRow, before: StoreRow | None, known: StorePosition
    ) -> StoreRow | None:
        """Return the row that is in effect for the key of ``row``."""
        held = self.held_rows.get(row.table, row.key)
        if held is not None:
            return held.row
        if before is None and row.table == DECLARATIONS:
            # A declaration that was not listed before the return was not in force.
            return row._replace(position=known, content=None)
        if before is not None and self.routing_state.is_in_grace(row.key):
            # The endpoint is in use although its row had expired.
            return None
        return before

    def _latest(self, mine: StoreRow | None, held_by_peer: StoreRow | None) -> StoreRow | None:
        """Return the later of two rows of before the return."""
        if held_by_peer is None or _is_delay(self._decode(held_by_peer)):
            return mine
        if mine is None:
            return held_by_peer
        return held_by_peer if self._beats(held_by_peer, mine) else mine

    def _keeps(
        self, before: StoreRow, stored: StoreRow, now: float, *, is_new_return: bool = False
    ) -> bool:
        """Hold ``before`` or stop holding it; return whether it stays in effect."""
        decision = self._decide(before, stored)
        if not isinstance(decision, Hold):
            self.held_rows.release(stored.table, stored.key)
            return False
        self._hold(before, stored, decision, now, is_new_return=is_new_return)
        return True

    def _hold(
        self,
        row: StoreRow,
        stored: StoreRow,
        decision: Hold,
        now: float,
        *,
        is_new_return: bool = False,
    ) -> None:
        known = self.held_rows.get(row.table, row.key)
        since = self._returned_at(now) if decision.is_since_return else now
        until = None if decision.for_s is None else since + decision.for_s
        self.held_rows.hold(row, until=until, reason=decision.reason, is_new_return=is_new_return)
        if known is None or known.row != row:
            log.info(
                'Replica: row %s held, %s.',
                row.key,
                decision.reason,
                extra={'kind': 'held', 'fields': _fields(row, stored)},
            )

    def _consider_held(self, row: StoreRow, now: float, source: str) -> None:
        stored = self._stored_row(row)
        decision = self._decide(row, stored)
        mine = self.held_rows.get(row.table, row.key)
        if not isinstance(decision, Hold) or (mine is not None and not self._beats(row, mine.row)):
            return
        if mine is None or mine.row.content != row.content:
            self.routing_state.apply_rows([row], now, source=source, is_certain=True)
        self._hold(row, stored, decision, now)

    def _beats(self, row: StoreRow, mine: StoreRow) -> bool:
        """Return whether a peer's row is later than the one that is in effect here."""
        content = self._decode(row)
        # Only configurations have an order of their own.
        is_later = isinstance(content, RoutesDeclared) or row.position.supersedes(mine.position)
        return is_later and not _is_delay(content) and isinstance(self._decide(row, mine), Hold)

    def _decide(self, before: StoreRow, stored: StoreRow) -> Decision:
        return decide_after_return(
            self._decode(before),
            self._decode(stored),
            written_after_return=self._eras.is_written_after_return(stored.position),
        )

    def _stored_row(self, held: StoreRow) -> StoreRow:
        stored = self.rows.row_by_key.get((held.table, held.key))
        if stored is not None:
            return stored
        known = self.rows.position_by_table.get(held.table)
        era = self._eras.current if known is None else known.era
        return held._replace(position=StorePosition(era, 0), content=None)

    def _returned_at(self, now: float) -> float:
        last_return = self._eras.last_return
        return now if last_return is None else last_return.noticed_at

    def _record_return(self, now: float, known: StorePosition) -> None:
        returned_at = self._returned_at(now)
        self.routing_state.store_availability.record_return(returned_at)
        last_return = self._eras.last_return
        if last_return is None or last_return.first_version is None:
            return
        first_lost = StorePosition(known.era, last_return.first_version)
        lost_at = [change.at for change in self._received if change.position.supersedes(first_lost)]
        if lost_at:
            self.copy_age_s = returned_at - min(lost_at)


def _is_delay(content: Content) -> bool:
    """Return whether a held row only delays what the store has; peers need no such row."""
    return isinstance(content, ZoneEvacuation) and not content.evacuated


def _fields(held: StoreRow, stored: StoreRow) -> dict[str, object]:
    return {
        'row': held.key,
        'held_era': held.position.era,
        'held_version': held.position.version,
        'stored_era': stored.position.era,
        'stored_version': stored.position.version,
        'stored_is_removed': stored.content is None,
    }
