"""What this instance believes, kept up to date from rows."""

import logging
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from plantainloft_core.outcomes import Invalid
from plantainloft_core.routes import NO_ROUTES, RouteTable
from plantainloft_node.placing.endpoints import EndpointBook
from plantainloft_node.placing.pace import longest_wait_by_service
from plantainloft_node.replica.news import (
    Change,
    EndpointGone,
    EndpointListed,
    EndpointUnreadable,
    NewsRow,
    RoutesDeclared,
    ZoneEvacuation,
)
from plantainloft_node.replica.store_watch import LAPSE_GRACE_S, StoreWatch

__all__ = ['Beliefs', 'Told']

log = logging.getLogger(__name__)

DEFAULT_WARMUP_S = 3.0


class Told(NamedTuple):
    """What the peer that told of removed rows believes of their endpoints.

    ``gone`` it knows to have left, since the store served it all the while;
    ``doubted`` it uses on, their rows may have lapsed.
    """

    gone: frozenset[str] = frozenset()
    doubted: frozenset[str] = frozenset()


NOTHING_TOLD = Told()


class _Doubt(NamedTuple):
    """A removed row that may have lapsed; its endpoint is used on.

    ``told``: the doubt is a peer's, and ends by its time alone.
    """

    version: int
    until: float
    told: bool


class Beliefs:
    """Routes, endpoints and evacuations in force at this instance."""

    def __init__(
        self,
        *,
        book: EndpointBook,
        decode: Callable[[NewsRow], Change | Invalid | None],
    ) -> None:
        self._book = book
        self._decode = decode
        self._evacuated: frozenset[str] = frozenset()
        self._doubt_by_id: dict[str, _Doubt] = {}
        self.store = StoreWatch()
        self.table: RouteTable = NO_ROUTES
        self.table_since = 0.0

    @property
    def doubted(self) -> dict[str, int]:
        """The endpoints used on though their rows went, with the rows' versions."""
        return {endpoint_id: doubt.version for endpoint_id, doubt in self._doubt_by_id.items()}

    def take(
        self, rows: Iterable[NewsRow], now: float, *, source: str, told: Told = NOTHING_TOLD
    ) -> None:
        """Take rows that are news, from the store or a peer (``told``)."""
        for row in rows:
            change = self._decode(row)
            if isinstance(change, Invalid):
                log.error(
                    'Replica: row %s is not understood and left out.',
                    row.key,
                    extra={'kind': 'bad_row', 'fields': {'problems': change.problems}},
                )
            elif change is not None:
                self._apply(change, row, now, source=source, told=told)

    def settle(self, gone: Iterable[str], *, source: str) -> None:
        """Drop the doubted endpoints that a peer knows to have left."""
        for endpoint_id in gone:
            if endpoint_id in self._doubt_by_id:
                self._drop(endpoint_id, why=f'{source} knows that it left')

    def tick(self, now: float) -> None:
        """Drop the endpoints whose rows have had the time to come back."""
        settled = not self.store.may_have_lapsed(now)
        for endpoint_id, doubt in list(self._doubt_by_id.items()):
            if now >= doubt.until or (settled and not doubt.told):
                self._drop(endpoint_id, why='its row is not back')

    def _apply(self, change: Change, row: NewsRow, now: float, *, source: str, told: Told) -> None:
        fields: dict[str, object] = {'row': row.key, 'row_version': row.version, 'source': source}
        if isinstance(change, RoutesDeclared):
            if change.table.version < self.table.version:
                return
            self._declare(change.table, now)
            fields['version'] = change.table.version
        elif isinstance(change, ZoneEvacuation):
            self._evacuate(change, now)
            fields['evacuated'] = change.evacuated
        elif isinstance(change, EndpointListed):
            self._doubt_by_id.pop(change.record.id, None)
            self._book.put(change.record, now)
            fields['draining'] = change.record.draining
            fields['cold_s'] = change.record.cold_s
            fields['born_ms'] = change.record.born_ms
        elif isinstance(change, EndpointUnreadable):
            # No lapse of a row while the store is in trouble: somebody wrote.
            self._doubt_by_id.pop(change.endpoint_id, None)
            self._book.drop(change.endpoint_id)
            fields['problem'] = change.problem
        else:
            fields['used_on_s'] = self._forget(change, row, now, told)
            fields['store_served_s'] = _rounded(self.store.served_s(now))
        log.info(
            'Replica: %s.',
            type(change).__name__,
            extra={'kind': 'belief', 'fields': fields},
        )

    def _declare(self, table: RouteTable, now: float) -> None:
        self.table = table
        self.table_since = now
        for service, longest_s in longest_wait_by_service(table).items():
            self._book.pace_of(service).longest_wait_s = longest_s

    def _evacuate(self, change: ZoneEvacuation, now: float) -> None:
        changed = frozenset((change.zone,))
        zones = self._evacuated | changed if change.evacuated else self._evacuated - changed
        self._evacuated = zones
        warmups = [spec.warmup_s for spec in self.table.services_by_name.values()]
        warmup_s = max(warmups, default=DEFAULT_WARMUP_S)
        self._book.set_evacuated(zones, warmup_s=warmup_s, now=now)

    def _forget(self, change: EndpointGone, row: NewsRow, now: float, told: Told) -> float:
        """Return for how many seconds the endpoint is used on at most."""
        endpoint_id = change.endpoint_id
        if self._may_live(endpoint_id, now, told):
            doubt = _Doubt(row.version, now + LAPSE_GRACE_S, endpoint_id in told.doubted)
            self._doubt_by_id[endpoint_id] = doubt
            return LAPSE_GRACE_S
        self._doubt_by_id.pop(endpoint_id, None)
        self._book.drop(endpoint_id)
        return 0.0

    def _may_live(self, endpoint_id: str, now: float, told: Told) -> bool:
        state = self._book.by_id.get(endpoint_id)
        if state is None or state.record.draining or endpoint_id in told.gone:
            return False
        return endpoint_id in told.doubted or self.store.may_have_lapsed(now)

    def _drop(self, endpoint_id: str, *, why: str) -> None:
        self._doubt_by_id.pop(endpoint_id)
        self._book.drop(endpoint_id)
        log.info(
            'Replica: endpoint %s dropped, %s.',
            endpoint_id,
            why,
            extra={'kind': 'dropped', 'fields': {'row': endpoint_id}},
        )


def _rounded(seconds: float | None) -> float | None:
    """Return a number that JSON has; infinity is none."""
    return None if seconds is None or math.isinf(seconds) else round(seconds, 3)
