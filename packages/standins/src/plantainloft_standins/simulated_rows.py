"""Rows of the simulated store and their decoding."""

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.routes import CallerLimits, build_route_table
from plantainloft_node.replica.store_rows import (
    DECLARATIONS,
    Change,
    EndpointGone,
    EndpointListed,
    RoutesDeclared,
    StoreRow,
    ZoneEvacuation,
)

__all__ = ['CONFIG_KEY', 'decode_simulated_row']

SERVICE = 'desk'
CONFIG_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'


def decode_simulated_row(row: StoreRow) -> Change | None:
    """Decode ``row``; returns ``None`` if it declares nothing."""
    if row.table == DECLARATIONS:
        return _declaration(row)
    return _listed(row) if row.content else EndpointGone(endpoint_id=row.key)


def _declaration(row: StoreRow) -> Change | None:
    """Decode a configuration, whose content is its version, or an evacuation."""
    if row.key.startswith(EVACUATION_PREFIX):
        zone = row.key.removeprefix(EVACUATION_PREFIX)
        return ZoneEvacuation(zone=zone, evacuated=row.content is not None)
    number = (row.content or b'').partition(b' ')[0]
    if not number.isdigit():
        return None
    route_table = build_route_table(
        version=int(number), routes=(), services=(), limits=CallerLimits()
    )
    return RoutesDeclared(table=route_table)


def _listed(row: StoreRow) -> EndpointListed:
    """Decode an endpoint, whose content is its state and sequence number, if any."""
    state, _, seq = (row.content or b'').partition(b' ')
    record = EndpointRecord(
        id=row.key,
        service=SERVICE,
        address=f'{row.key}:80',
        zone='a',
        slots=4,
        draining=state == b'draining',
        cold_s=0.0,
        seq=int(seq or 0),
    )
    return EndpointListed(record=record)
