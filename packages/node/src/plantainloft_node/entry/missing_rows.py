"""Decides which rows that a peer has are missing at this instance."""

from plantainloft_core.store_position import UNKNOWN_ERA
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.fleet.report_receiver import UpdateHint
from plantainloft_node.replica.store_rows import DECLARATIONS, ENDPOINTS

__all__ = ['MissingRows']

# An instance's own poll usually returns a change within a few milliseconds; only
# rows that are still missing after this delay are requested from a peer.
PEER_FETCH_DELAY_S = 0.35
# Declarations of this size take the link of an instance for a while, again with each change.
# Peers send only what changed, so they are asked at once.
LARGE_TABLE_BYTES = 65_536
# Peers asked in each era for the rows that they hold. One may have missed a change.
HELD_ROWS_SOURCES = 2


class MissingRows:
    """Compares what peers announce with what this instance has."""

    def __init__(self, *, replicated_state: ReplicatedState) -> None:
        self._replicated_state = replicated_state
        self._rows = replicated_state.rows
        self._eras = replicated_state.store.eras
        # The era of the last request for held rows, and the peers that answered one.
        self._held_era = UNKNOWN_ERA
        self._held_sources: set[str] = set()

    def lacks_rows(self, hint: UpdateHint) -> bool:
        """Return whether rows of any table are missing here."""
        return any(self.lacks_table(hint, table) for table in hint.position_by_table)

    def lacks_table(self, hint: UpdateHint, table: str) -> bool:
        """Return whether rows of ``table`` are missing here."""
        position = hint.position_by_table.get(table)
        if position is None:
            return False
        if position.era == UNKNOWN_ERA:
            position = position._replace(era=self.era_of_other_builds())
        return position.supersedes(self._rows.position_by_table.get(table))

    def lacks_held_rows(self, hint: UpdateHint) -> bool:
        """Return whether a peer is to be asked for rows that the store has lost."""
        if not hint.holds_rows or any(
            position.era != self._eras.current for position in hint.position_by_table.values()
        ):
            return False
        if self._held_era != self._eras.current:
            return True
        is_known = hint.member.name in self._held_sources
        return not is_known and len(self._held_sources) < HELD_ROWS_SOURCES

    def record_held_source(self, name: str) -> None:
        """Record that a peer has sent the rows that it holds."""
        if self._held_era != self._eras.current:
            self._held_era = self._eras.current
            self._held_sources.clear()
        self._held_sources.add(name)

    def era_of_other_builds(self) -> int:
        """Return the era of rows from builds that name none.

        They are not believed once the store has returned from a copy.
        """
        return UNKNOWN_ERA if self._eras.return_count else self._eras.current

    def own_poll_time_s(self, hint: UpdateHint) -> float:
        """Return how long this instance's own poll may take to return what is missing."""
        lacks_relayed = self._replicated_state.delegates_polling() and self.lacks_table(
            hint, ENDPOINTS
        )
        lacks_large = self.lacks_table(hint, DECLARATIONS) and self._has_large_declarations()
        return 0.0 if lacks_relayed or lacks_large else PEER_FETCH_DELAY_S

    def _has_large_declarations(self) -> bool:
        sizes = (len(row.content or b'') for row in self._rows.rows_of(DECLARATIONS))
        return sum(sizes) >= LARGE_TABLE_BYTES
