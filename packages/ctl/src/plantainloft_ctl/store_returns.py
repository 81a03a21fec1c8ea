"""Compare what instances know of a return of the store from an older copy."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from plantainloft_ctl.tables import format_table

__all__ = ['InstanceStoreReturn', 'format_held_rows', 'format_store_returns']

# A row that an instance holds, as it reports it.
HeldRowEntry = Mapping[str, Any]

HEADINGS = ('instance', 'era', 'returns', 'last', 'copy age', 'held', 'written again', 'given up')
HELD_HEADINGS = ('table', 'row', 'held by', 'ends', 'reason')


class InstanceStoreReturn(NamedTuple):
    """The answer of the instance at ``address``."""

    address: str
    entry: Mapping[str, Any]


def format_store_returns(instances: Sequence[InstanceStoreReturn]) -> list[str]:
    """Format one line per instance; instances in an earlier era are marked."""
    newest = max((one.entry['era'] for one in instances), default=0)
    return format_table(HEADINGS, [_cells(one, newest) for one in instances])


def format_held_rows(instances: Sequence[InstanceStoreReturn]) -> list[str]:
    """Format one line per row that instances hold, with the number of those instances."""
    held_by_row: dict[tuple[str, str], list[HeldRowEntry]] = {}
    for one in instances:
        for held in one.entry['rows_held']:
            held_by_row.setdefault((held['table'], held['row']), []).append(held)
    lines = [
        [
            table,
            row,
            f'{len(entries)} of {len(instances)}',
            _end_of(entries),
            entries[0]['reason'],
        ]
        for (table, row), entries in sorted(held_by_row.items())
    ]
    return format_table(HELD_HEADINGS, lines) if lines else []


def _cells(instance: InstanceStoreReturn, newest_era: int) -> list[str]:
    entry = instance.entry
    mark = '' if entry['era'] == newest_era else ' (old)'
    return [
        instance.address,
        f'{entry["era"]}{mark}',
        str(entry['returns']),
        _seconds(entry['returned_s_ago'], suffix=' ago'),
        _seconds(entry['copy_age_s'], suffix=' or more'),
        str(len(entry['rows_held'])),
        str(entry['rows_written_again']),
        str(entry['rows_given_up']),
    ]


def _seconds(seconds: float | None, *, suffix: str) -> str:
    return '-' if seconds is None else f'{seconds:.1f} s{suffix}'


def _end_of(entries: Sequence[HeldRowEntry]) -> str:
    ends_in_s = [entry['ends_in_s'] for entry in entries if entry['ends_in_s'] is not None]
    return f'in {max(ends_in_s):.0f} s' if ends_in_s else 'when written again'
