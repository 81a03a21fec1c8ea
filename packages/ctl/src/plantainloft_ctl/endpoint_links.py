"""Format which instances have lost their links to the endpoints."""

from collections.abc import Mapping, Sequence
from typing import Any

from plantainloft_ctl.tables import format_table

__all__ = ['format_link_table']

# The links of an instance to one availability zone.
LinkEntry = Mapping[str, Any]

HEADINGS = ('instance', 'lost zones', 'lost', 'open connections', 'links to')


def format_link_table(links_by_instance: Mapping[str, Sequence[LinkEntry]]) -> list[str]:
    """Return table lines: a heading, then one line per instance, cut off ones first."""
    cut_off = {instance for instance, links in links_by_instance.items() if _lost(links)}
    ordered = [*sorted(cut_off), *sorted(links_by_instance.keys() - cut_off)]
    rows = [_cells(instance, links_by_instance[instance]) for instance in ordered]
    return format_table(HEADINGS, rows)


def _cells(instance: str, links: Sequence[LinkEntry]) -> list[str]:
    lost = _lost(links)
    if not lost:
        return [instance, '-', '-', '-', f'{len(links)} zones']
    longest_s = max(entry['lost_for_s'] for entry in lost)
    live = sum(entry['open_connections_live'] for entry in lost)
    return [
        instance,
        ', '.join(entry['zone'] for entry in lost),
        f'for {longest_s:g} s',
        f'live in {live} of {len(lost)}',
        f'{len(links) - len(lost)} zones',
    ]


def _lost(links: Sequence[LinkEntry]) -> list[LinkEntry]:
    return [entry for entry in links if entry['lost_for_s'] is not None]
