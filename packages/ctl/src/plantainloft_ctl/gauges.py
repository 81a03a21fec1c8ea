"""Read metrics in text exposition and show instances side by side."""

import re
from typing import NamedTuple

__all__ = ['InstanceStatus', 'status_of', 'status_table']

SERIES = re.compile(r'^plantainloft_(\w+)(?:\{(.*)\})? (\S+)$')
LABEL = re.compile(r'(\w+)="([^"]*)"')


class InstanceStatus(NamedTuple):
    """What one instance says of itself."""

    address: str
    version: int
    version_age_s: float
    members_up: int
    in_progress: int
    lost_tables: tuple[str, ...]
    endpoints_by_state: dict[str, int]


def status_of(address: str, text: str) -> InstanceStatus:
    """Return the status in the metrics ``text`` of one instance."""
    gauges: dict[str, float] = {}
    lost: list[str] = []
    endpoints: dict[str, int] = {}
    for name, labels, reading in _series(text):
        if name == 'store_followed' and not reading:
            lost.append(labels['table'])
        elif name == 'endpoints':
            state = labels['state']
            endpoints[state] = endpoints.get(state, 0) + int(reading)
        elif not labels:
            gauges[name] = reading
    return InstanceStatus(
        address=address,
        version=int(gauges.get('configuration_version', 0)),
        version_age_s=gauges.get('configuration_age_seconds', 0.0),
        members_up=int(gauges.get('members_up', 0)),
        in_progress=int(gauges.get('requests_in_progress', 0)),
        lost_tables=tuple(lost),
        endpoints_by_state=endpoints,
    )


def status_table(statuses: list[InstanceStatus]) -> list[str]:
    """Return one line an instance, under a heading."""
    lines = ['instance              version  age s  members  open  listed cold drain out  store']
    newest = max((status.version for status in statuses), default=0)
    for status in statuses:
        counts = [
            status.endpoints_by_state.get(state, 0)
            for state in ('listed', 'cold', 'draining', 'left_out')
        ]
        mark = '' if status.version == newest else ' (old)'
        store = f'lost: {", ".join(status.lost_tables)}' if status.lost_tables else 'followed'
        shown = '  '.join(f'{count:>4}' for count in counts)
        lines.append(
            f'{status.address:<20} {status.version:>8} {status.version_age_s:>6.0f}'
            f' {status.members_up:>8} {status.in_progress:>5}  {shown}  {store}{mark}'
        )
    return lines


class _Series(NamedTuple):
    name: str
    labels: dict[str, str]
    reading: float


def _series(text: str) -> list[_Series]:
    found = []
    for line in text.splitlines():
        match = SERIES.match(line)
        if match is not None:
            name, labels, reading = match.groups()
            found.append(_Series(name, dict(LABEL.findall(labels or '')), float(reading)))
    return found
