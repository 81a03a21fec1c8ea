"""Aggregate what endpoints have announced, as reported by several instances."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from plantainloft_ctl.tables import format_table

__all__ = ['AnnouncementRow', 'aggregate_announcements', 'format_announcement_table']

# One endpoint as reported by an instance.
AnnouncementEntry = Mapping[str, Any]

HEADINGS = ('endpoint', 'leaving', 'known to', 'resting', 'rest ends', 'asked')


class AnnouncementRow(NamedTuple):
    """An endpoint's announcements over the instances queried; times in seconds.

    ``leaving_for_s`` and ``resting_for_s`` are the longest that an instance knows it,
    ``rest_left_s`` the longest time to the end of a rest; ``None`` if no instance does.
    ``leaving_known_to`` and ``rest_known_to`` count the instances.
    """

    endpoint: str
    leaving_for_s: float | None
    leaving_known_to: int
    resting_for_s: float | None
    rest_left_s: float | None
    rest_known_to: int


def aggregate_announcements(
    listings: Iterable[Sequence[AnnouncementEntry]],
) -> list[AnnouncementRow]:
    """Return one row per endpoint, sorted by its id."""
    entries_by_endpoint: dict[str, list[AnnouncementEntry]] = {}
    for listing in listings:
        for entry in listing:
            entries_by_endpoint.setdefault(entry['endpoint'], []).append(entry)
    return [_row(endpoint, entries) for endpoint, entries in sorted(entries_by_endpoint.items())]


def format_announcement_table(rows: Sequence[AnnouncementRow], *, instances: int) -> list[str]:
    """Format ``rows`` as table lines; ``instances`` is the number of instances queried."""
    return format_table(HEADINGS, [_cells(row, instances) for row in rows])


def _row(endpoint: str, entries: Sequence[AnnouncementEntry]) -> AnnouncementRow:
    leaving = _known(entries, 'leaving_for_s')
    resting = _known(entries, 'resting_for_s')
    return AnnouncementRow(
        endpoint=endpoint,
        leaving_for_s=max(leaving, default=None),
        leaving_known_to=len(leaving),
        resting_for_s=max(resting, default=None),
        rest_left_s=max(_known(entries, 'rest_left_s'), default=None),
        rest_known_to=len(resting),
    )


def _known(entries: Sequence[AnnouncementEntry], field: str) -> list[float]:
    return [entry[field] for entry in entries if entry[field] is not None]


def _cells(row: AnnouncementRow, instances: int) -> list[str]:
    return [
        row.endpoint,
        _seconds(row.leaving_for_s, 'for {0:g} s'),
        f'{row.leaving_known_to} of {instances}',
        _seconds(row.resting_for_s, 'for {0:g} s'),
        _seconds(row.rest_left_s, 'in {0:g} s'),
        f'{row.rest_known_to} of {instances}',
    ]


def _seconds(seconds: float | None, template: str) -> str:
    return '-' if seconds is None else template.format(seconds)
