"""Aggregate what admission control admitted and rejected, as reported by several instances."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from plantainloft_ctl.tables import format_table

__all__ = ['ScarcityRow', 'aggregate_scarcity', 'format_groups', 'format_scarcity_table']

# Admission to one service as reported by an instance.
ScarcityEntry = Mapping[str, Any]

HEADINGS = (
    'service',
    'room',
    'load',
    'admitted',
    'rejected',
    'promised',
    'returned',
    'served on return',
    'reasons',
)
GROUP_HEADINGS = ('service', 'by', 'name', 'admitted', 'rejected')


class ScarcityRow(NamedTuple):
    """Admission to one service over the instances queried.

    ``room`` is in requests a second, ``loads`` are the lowest and the highest demand over
    capacity that they report, the rest are counts since the processes started.
    ``groups`` counts admitted and rejected requests by kind and name of group.
    """

    service: str
    room: float
    loads: tuple[float, float]
    admitted: int
    rejected_by_reason: Mapping[str, int]
    promised: int
    returned: int
    served_on_return: int
    groups: Mapping[tuple[str, str], tuple[int, int]]


def aggregate_scarcity(listings: Iterable[Sequence[ScarcityEntry]]) -> list[ScarcityRow]:
    """Return one row per service, sorted by its name."""
    entries_by_service: dict[str, list[ScarcityEntry]] = {}
    for listing in listings:
        for entry in listing:
            entries_by_service.setdefault(entry['service'], []).append(entry)
    return [_row(service, entries) for service, entries in sorted(entries_by_service.items())]


def format_scarcity_table(rows: Sequence[ScarcityRow]) -> list[str]:
    """Format ``rows`` as table lines."""
    return format_table(HEADINGS, [_cells(row) for row in rows])


def format_groups(rows: Sequence[ScarcityRow]) -> list[str]:
    """Format one line per service and zone or organisation."""
    lines = [
        [row.service, kind, name or '(none)', str(admitted), str(rejected)]
        for row in rows
        for (kind, name), (admitted, rejected) in sorted(row.groups.items())
    ]
    return format_table(GROUP_HEADINGS, lines) if lines else []


def _row(service: str, entries: Sequence[ScarcityEntry]) -> ScarcityRow:
    def total(field: str) -> Any:
        return sum(entry[field] for entry in entries)

    rejected_by_reason: Counter[str] = Counter()
    for entry in entries:
        rejected_by_reason.update(entry['rejected'])
    loads = [entry['load'] for entry in entries]
    return ScarcityRow(
        service=service,
        room=total('room'),
        loads=(min(loads), max(loads)),
        admitted=total('admitted'),
        rejected_by_reason=rejected_by_reason,
        promised=total('promised'),
        returned=total('returned'),
        served_on_return=total('served_on_return'),
        groups=_groups(entries),
    )


def _groups(entries: Sequence[ScarcityEntry]) -> dict[tuple[str, str], tuple[int, int]]:
    groups: dict[tuple[str, str], tuple[int, int]] = {}
    for entry in entries:
        for kind, listed in (('zone', entry['zones']), ('organisation', entry['organisations'])):
            for group in listed:
                admitted, rejected = groups.get((kind, group['name']), (0, 0))
                groups[(kind, group['name'])] = (
                    admitted + group['admitted'],
                    rejected + group['rejected'],
                )
    return groups


def _cells(row: ScarcityRow) -> list[str]:
    reasons = sorted(row.rejected_by_reason.items(), key=lambda item: -item[1])
    return [
        row.service,
        f'{row.room:.1f}/s',
        ' to '.join(f'{load:.2f}' for load in sorted(set(row.loads))),
        str(row.admitted),
        str(sum(row.rejected_by_reason.values())),
        str(row.promised),
        str(row.returned),
        str(row.served_on_return),
        ', '.join(f'{reason}: {count}' for reason, count in reasons),
    ]
