"""Aggregate the organisations reported by several instances, with their usage."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from plantainloft_ctl.tables import format_table

# One organisation as reported by an instance, and the whole list of an instance.
OrganisationEntry = Mapping[str, Any]
InstanceListing = Sequence[OrganisationEntry]

__all__ = [
    'OrganisationRow',
    'aggregate_organisations',
    'find_key_holders',
    'format_organisation_table',
]

HEADINGS = ('organisation', 'keys', 'rate', 'burst', 'used', 'wanted', 'refused', 'most at')


class OrganisationRow(NamedTuple):
    """An organisation, aggregated over the instances queried.

    ``keys`` is its number of keys. ``rate`` is in requests per second, 0 for no
    limit. ``used``, ``wanted``, ``used_by_instance`` and ``share_by_instance``
    are requests in one window of the limit; ``refused`` counts requests since
    the instances started.
    """

    name: str
    keys: int
    rate: float
    burst: float
    used: int
    wanted: int
    refused: int
    used_by_instance: Mapping[str, int]
    share_by_instance: Mapping[str, float]


def aggregate_organisations(
    organisations_by_instance: Mapping[str, InstanceListing],
) -> list[OrganisationRow]:
    """Return one row per organisation, sorted by name."""
    entries_by_name: dict[str, dict[str, OrganisationEntry]] = {}
    for instance, organisations in organisations_by_instance.items():
        for entry in organisations:
            entries_by_name.setdefault(entry['name'], {})[instance] = entry
    return [_row(name, entries) for name, entries in sorted(entries_by_name.items())]


def format_organisation_table(rows: Sequence[OrganisationRow]) -> list[str]:
    """Format ``rows`` as table lines: headings, then one line per organisation."""
    return format_table(HEADINGS, [_cells(row) for row in rows])


def find_key_holders(
    organisations_by_instance: Mapping[str, InstanceListing], prefix: str
) -> dict[str, list[str]]:
    """Return, by instance, the organisations with a key whose digest starts with ``prefix``.

    The instances may disagree until a change of keys has reached all of them.
    """
    return {
        instance: [entry['name'] for entry in organisations if _has_key(entry, prefix)]
        for instance, organisations in organisations_by_instance.items()
    }


def _has_key(entry: OrganisationEntry, prefix: str) -> bool:
    return any(digest.startswith(prefix) for digest in entry['key_digests'])


def _row(name: str, entries: Mapping[str, OrganisationEntry]) -> OrganisationRow:
    first = next(iter(entries.values()))
    return OrganisationRow(
        name=name,
        keys=len(first['key_digests']),
        rate=first['rate'],
        burst=first['burst'],
        used=sum(entry['used'] for entry in entries.values()),
        wanted=sum(entry['wanted'] for entry in entries.values()),
        refused=sum(entry['refused'] for entry in entries.values()),
        used_by_instance={instance: entry['used'] for instance, entry in entries.items()},
        share_by_instance={instance: entry['share'] for instance, entry in entries.items()},
    )


def _cells(row: OrganisationRow) -> list[str]:
    busiest = max(row.used_by_instance, key=lambda instance: row.used_by_instance[instance])
    request_counts = [str(count) for count in (row.used, row.wanted, row.refused)]
    return [
        row.name,
        str(row.keys),
        f'{row.rate:g}/s' if row.rate else '-',
        f'{row.burst:g}' if row.rate else '-',
        *request_counts,
        f'{busiest} {row.used_by_instance[busiest]}/{row.share_by_instance[busiest]:g}',
    ]
