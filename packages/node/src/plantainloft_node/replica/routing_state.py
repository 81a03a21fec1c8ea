"""The state derived from replicated rows: routes, endpoints and evacuations."""

import logging
import math
from collections.abc import Callable, Iterable

from plantainloft_core.outcomes import Invalid
from plantainloft_core.routes import EMPTY_ROUTE_TABLE, RouteTable
from plantainloft_node.placement.endpoints import EndpointRegistry
from plantainloft_node.placement.latency import longest_timeout_by_service
from plantainloft_node.replica.store_availability import ROW_EXPIRY_GRACE_S, StoreAvailability
from plantainloft_node.replica.store_rows import (
    Change,
    EndpointListed,
    EndpointUnreadable,
    RoutesDeclared,
    StoreRow,
    ZoneEvacuation,
)

__all__ = ['RoutingState']

log = logging.getLogger(__name__)

DEFAULT_WARMUP_S = 3.0


class RoutingState:
    """Routes, endpoints and evacuations in force at this instance."""

    def __init__(
        self,
        *,
        endpoint_registry: EndpointRegistry,
        decode: Callable[[StoreRow], Change | Invalid | None],
    ) -> None:
        self._endpoint_registry = endpoint_registry
        self._decode = decode
        self._evacuated: frozenset[str] = frozenset()
        # Endpoints kept in use after their rows were removed, each with the end of
        # its grace period.
        self._grace_until_by_id: dict[str, float] = {}
        self.store_availability = StoreAvailability()
        self.route_table: RouteTable = EMPTY_ROUTE_TABLE
        self.route_table_since = 0.0

    def apply_rows(
        self, rows: Iterable[StoreRow], now: float, *, source: str, is_certain: bool = False
    ) -> None:
        """Apply new rows; ``source`` is where they came from, for the log.

        An older configuration is ignored and a row that may have expired has a grace
        period, unless ``is_certain`` is set.
        """
        for row in rows:
            change = self._decode(row)
            if isinstance(change, Invalid):
                log.error(
                    'Replica: ignored invalid row %s.',
                    row.key,
                    extra={'kind': 'bad_row', 'fields': {'problems': change.problems}},
                )
            elif change is not None:
                self._apply(change, row, now, source, is_certain)

    def is_in_grace(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is in use although its row was removed."""
        return endpoint_id in self._grace_until_by_id

    def expire_grace_periods(self, now: float) -> None:
        """Drop endpoints whose grace period is over or whose rows cannot have expired."""
        rows_may_have_expired = self.store_availability.may_have_expired(now)
        for endpoint_id, until in list(self._grace_until_by_id.items()):
            if now >= until or not rows_may_have_expired:
                self._grace_until_by_id.pop(endpoint_id)
                self._endpoint_registry.remove(endpoint_id)
                log.info(
                    'Replica: dropped endpoint %s, its row has not come back.',
                    endpoint_id,
                    extra={'kind': 'dropped', 'fields': {'row': endpoint_id}},
                )

    def _apply(
        self, change: Change, row: StoreRow, now: float, source: str, is_certain: bool
    ) -> None:
        fields: dict[str, object] = {
            'row': row.key,
            'row_era': row.position.era,
            'row_version': row.position.version,
            'source': source,
        }
        if isinstance(change, RoutesDeclared):
            if change.table.version < self.route_table.version and not is_certain:
                return
            self._apply_routes(change.table, now)
            fields['version'] = change.table.version
            fields['bytes'] = len(row.content or b'')
        elif isinstance(change, ZoneEvacuation):
            self._apply_evacuation(change, now)
            fields['evacuated'] = change.evacuated
        elif isinstance(change, EndpointListed):
            self._grace_until_by_id.pop(change.record.id, None)
            self._endpoint_registry.add_or_update(change.record, now)
            fields['draining'] = change.record.draining
            fields['cold_s'] = change.record.cold_s
            fields['born_ms'] = change.record.born_ms
        elif isinstance(change, EndpointUnreadable):
            # The row was overwritten. It did not expire during a store outage, so
            # there is no grace period.
            self._grace_until_by_id.pop(change.endpoint_id, None)
            self._endpoint_registry.remove(change.endpoint_id)
            fields['problem'] = change.problem
        else:
            used_on_s = self._handle_removal(change.endpoint_id, now, is_certain=is_certain)
            fields['used_on_s'] = used_on_s
            fields['store_served_s'] = _rounded(self.store_availability.available_for_s(now))
        log.info(
            'Replica: %s.',
            type(change).__name__,
            extra={'kind': 'belief', 'fields': fields},
        )

    def _apply_routes(self, route_table: RouteTable, now: float) -> None:
        self.route_table = route_table
        self.route_table_since = now
        for service, longest_s in longest_timeout_by_service(route_table).items():
            self._endpoint_registry.latency_of(service).longest_timeout_s = longest_s

    def _apply_evacuation(self, change: ZoneEvacuation, now: float) -> None:
        changed = frozenset((change.zone,))
        zones = self._evacuated | changed if change.evacuated else self._evacuated - changed
        self._evacuated = zones
        warmups = [limits.warmup_s for limits in self.route_table.services_by_name.values()]
        warmup_s = max(warmups, default=DEFAULT_WARMUP_S)
        self._endpoint_registry.update_evacuated_zones(zones, warmup_s=warmup_s, now=now)

    def _handle_removal(self, endpoint_id: str, now: float, *, is_certain: bool) -> float:
        """Handle a removed row; return the endpoint's grace period in seconds.

        The grace period is 0 if the endpoint is dropped at once.
        """
        state = self._endpoint_registry.by_id.get(endpoint_id)
        may_be_alive = state is not None and not state.is_leaving and not is_certain
        if may_be_alive and self.store_availability.may_have_expired(now):
            self._grace_until_by_id[endpoint_id] = now + ROW_EXPIRY_GRACE_S
            if self.store_availability.available_for_s(now) is None:
                self.store_availability.request_peer_check()
            return ROW_EXPIRY_GRACE_S
        self._grace_until_by_id.pop(endpoint_id, None)
        self._endpoint_registry.remove(endpoint_id)
        return 0.0


def _rounded(seconds: float | None) -> float | None:
    """Round to milliseconds; returns ``None`` for infinity, which JSON lacks."""
    return None if seconds is None or math.isinf(seconds) else round(seconds, 3)
