"""Parse metrics in the Prometheus text format and compare instances."""

import re
from typing import NamedTuple

__all__ = ['InstanceStatus', 'format_status_table', 'parse_status']

SERIES_PATTERN = re.compile(r'^plantainloft_(\w+)(?:\{(.*)\})? (\S+)$')
LABEL_PATTERN = re.compile(r'(\w+)="([^"]*)"')


class InstanceStatus(NamedTuple):
    """The state that one instance reports in its metrics.

    ``lost_tables`` are the store tables that it currently cannot follow, ``rows_held`` counts
    the rows in effect that the store has lost by returning from a copy, ``behind_s`` is for how
    long rows that other instances have are missing, in seconds.
    """

    address: str
    version: int
    version_age_s: float
    members_up: int
    in_progress: int
    lost_tables: tuple[str, ...]
    endpoints_by_state: dict[str, int]
    store_era: int = 0
    rows_held: int = 0
    behind_s: float = 0.0


def parse_status(address: str, text: str) -> InstanceStatus:
    """Parse the metrics ``text`` of the instance at ``address``."""
    gauges: dict[str, float] = {}
    lost: list[str] = []
    endpoints: dict[str, int] = {}
    behind_s = 0.0
    for name, labels, value in _parse_series(text):
        if name == 'store_followed' and not value:
            lost.append(labels['table'])
        elif name == 'table_behind_seconds':
            behind_s = max(behind_s, value)
        elif name == 'endpoints':
            state = labels['state']
            endpoints[state] = endpoints.get(state, 0) + int(value)
        elif not labels:
            gauges[name] = value
    return InstanceStatus(
        address=address,
        version=int(gauges.get('configuration_version', 0)),
        version_age_s=gauges.get('configuration_age_seconds', 0.0),
        members_up=int(gauges.get('members_up', 0)),
        in_progress=int(gauges.get('requests_in_progress', 0)),
        lost_tables=tuple(lost),
        endpoints_by_state=endpoints,
        store_era=int(gauges.get('store_era', 0)),
        rows_held=int(gauges.get('store_rows_held', 0)),
        behind_s=behind_s,
    )


def format_status_table(statuses: list[InstanceStatus]) -> list[str]:
    """Format ``statuses`` as table lines: a heading, then one line per instance."""
    lines = ['instance              version  age s  members  open  listed cold drain out  store']
    newest = max((status.version for status in statuses), default=0)
    newest_era = max((status.store_era for status in statuses), default=0)
    for status in statuses:
        counts = [
            status.endpoints_by_state.get(state, 0)
            for state in ('listed', 'cold', 'draining', 'left_out')
        ]
        mark = '' if status.version == newest else ' (old)'
        store = _describe_store(status, newest_era)
        endpoint_columns = '  '.join(f'{count:>4}' for count in counts)
        lines.append(
            f'{status.address:<20} {status.version:>8} {status.version_age_s:>6.0f}'
            f' {status.members_up:>8} {status.in_progress:>5}  {endpoint_columns}  {store}{mark}'
        )
    slowest = max(statuses, key=lambda status: status.behind_s, default=None)
    if slowest is not None and slowest.behind_s:
        lines.append(f'slowest: {slowest.address}, {slowest.behind_s:.1f} s behind its peers')
    return lines


def _describe_store(status: InstanceStatus, newest_era: int) -> str:
    notes = [f'lost: {", ".join(status.lost_tables)}' if status.lost_tables else 'followed']
    if status.store_era < newest_era:
        notes.append(f'in era {status.store_era} of {newest_era}')
    if status.rows_held:
        notes.append(f'{status.rows_held} rows held')
    if status.behind_s:
        notes.append(f'{status.behind_s:.1f} s behind')
    return ', '.join(notes)


class _Series(NamedTuple):
    name: str
    labels: dict[str, str]
    value: float


def _parse_series(text: str) -> list[_Series]:
    series = []
    for line in text.splitlines():
        match = SERIES_PATTERN.match(line)
        if match is not None:
            name, labels, value = match.groups()
            series.append(_Series(name, dict(LABEL_PATTERN.findall(labels or '')), float(value)))
    return series
