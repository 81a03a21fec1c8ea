"""Aggregate the request limits of endpoints as reported by several instances."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from plantainloft_ctl.tables import format_table

# One limit as reported by an instance, and the whole list of an instance.
LimitEntry = Mapping[str, Any]
InstanceListing = Sequence[LimitEntry]

__all__ = ['EndpointLimitRow', 'aggregate_endpoint_limits', 'format_endpoint_limit_table']

HEADINGS = ('endpoint', 'limit', 'last named', 'shares', 'held by', 'sent', 'known to')


class EndpointLimitRow(NamedTuple):
    """An endpoint's limit, aggregated over the instances queried.

    ``limits_per_s`` are the limits that instances know, in requests per second; more
    than one until a change has reached all. ``age_s`` is the time since the newest
    response that named one. ``share`` is the sum of the instances' shares of a window,
    ``holders`` the number of instances that have one, and ``sent`` counts the requests
    that they sent while the limit applied.
    """

    endpoint: str
    limits_per_s: tuple[float, ...]
    age_s: float
    share: int
    window_s: float
    holders: int
    sent: int
    known_to: int


def aggregate_endpoint_limits(
    limits_by_instance: Mapping[str, InstanceListing],
) -> list[EndpointLimitRow]:
    """Return one row per endpoint, sorted by its id."""
    entries_by_endpoint: dict[str, list[LimitEntry]] = {}
    for limits in limits_by_instance.values():
        for entry in limits:
            entries_by_endpoint.setdefault(entry['endpoint'], []).append(entry)
    return [_row(endpoint, entries) for endpoint, entries in sorted(entries_by_endpoint.items())]


def format_endpoint_limit_table(rows: Sequence[EndpointLimitRow], *, instances: int) -> list[str]:
    """Format ``rows`` as table lines; ``instances`` is the number of instances queried."""
    return format_table(HEADINGS, [_cells(row, instances) for row in rows])


def _row(endpoint: str, entries: Sequence[LimitEntry]) -> EndpointLimitRow:
    limits = {entry['limit_per_s'] for entry in entries if entry['limit_per_s'] is not None}
    return EndpointLimitRow(
        endpoint=endpoint,
        limits_per_s=tuple(sorted(limits)),
        age_s=min(entry['age_s'] for entry in entries),
        share=sum(entry['share'] for entry in entries),
        window_s=max(entry['window_s'] for entry in entries),
        holders=sum(entry['share'] > 0 for entry in entries),
        sent=sum(entry['sent'] for entry in entries),
        known_to=len(entries),
    )


def _cells(row: EndpointLimitRow, instances: int) -> list[str]:
    limits = ' or '.join(f'{limit:g}/s' for limit in row.limits_per_s)
    return [
        row.endpoint,
        limits or 'ended',
        f'{row.age_s:g} s ago',
        f'{row.share} in {row.window_s:g} s',
        str(row.holders),
        str(row.sent),
        f'{row.known_to} of {instances}',
    ]
