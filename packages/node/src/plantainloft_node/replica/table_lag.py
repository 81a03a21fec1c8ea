"""How long this instance has lacked rows that peers have announced."""

import logging
from collections.abc import Mapping
from typing import NamedTuple

from plantainloft_core.store_position import StorePosition
from plantainloft_node.replica.store_rows import DECLARATIONS

__all__ = ['TableLag']

log = logging.getLogger(__name__)


class _Announcement(NamedTuple):
    """The first position that a peer announced and this instance did not have."""

    position: StorePosition
    peer: str
    at: float


class TableLag:
    """Tracks for each table the oldest announced position that is still missing."""

    def __init__(self, *, position_by_table: Mapping[str, StorePosition]) -> None:
        """``position_by_table`` are the positions of the replica, which change."""
        self._position_by_table = position_by_table
        self._announced_by_table: dict[str, _Announcement] = {}

    def record_announcement(
        self, table: str, position: StorePosition, *, peer: str, now: float
    ) -> None:
        """Record that ``peer`` has ``position`` of ``table``, which is missing here."""
        if self._missing(table) is None:
            self._announced_by_table[table] = _Announcement(position, peer, now)

    def record_applied(self, table: str, now: float, *, source: str) -> None:
        """Record that newer rows of ``table`` came from ``source``."""
        announced = self._announced_by_table.get(table)
        if announced is None or self._missing(table) is not None:
            return
        self._announced_by_table.pop(table)
        # Endpoints change every second.
        log.log(
            logging.INFO if table == DECLARATIONS else logging.DEBUG,
            'Replica: %s caught up from %s, %.2f s after the announcement.',
            table,
            source,
            now - announced.at,
            extra={
                'kind': 'caught_up',
                'fields': {
                    'table': table,
                    'source': source,
                    'row_version': announced.position.version,
                    'announced_by': announced.peer,
                    'behind_s': round(now - announced.at, 3),
                },
            },
        )

    def behind_s(self, table: str, now: float) -> float:
        """Return for how many seconds rows of ``table`` have been missing, 0 if none are."""
        missing = self._missing(table)
        return 0.0 if missing is None else now - missing.at

    def _missing(self, table: str) -> _Announcement | None:
        """Return the announcement whose rows are still missing, if any."""
        announced = self._announced_by_table.get(table)
        if announced is None:
            return None
        is_missing = announced.position.supersedes(self._position_by_table.get(table))
        return announced if is_missing else None
