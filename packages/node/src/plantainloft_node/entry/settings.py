"""Settings of an entry process, read from an INI file."""

from typing import NamedTuple

from plantainloft_core.outcomes import Invalid
from plantainloft_node.capacity.settings import CapacitySettings, positive_finite_float
from plantainloft_node.fleet.report_timings import DEFAULT_SETTLING_S
from plantainloft_node.ini_schema import (
    Option,
    host_port_list,
    non_negative_float,
    one_of,
    positive_float,
    read_ini,
)
from plantainloft_node.limits.limiter import DEFAULT_LIMIT_SETTINGS
from plantainloft_node.retry_budget.registry import DEFAULT_RETRY_LIMITS

__all__ = ['AUTO', 'OFF', 'ON', 'EntrySettings', 'parse_entry_settings']

MS_PER_S = 1000.0
# Defaults that match current deployments.
DEFAULT_GRACE_S = 6.0
DEFAULT_COLD_OVER = 1.5
DEFAULT_COLD_SLACK = 5.0
DEFAULT_MAX_SHIFT = 0.15
# Overload control: depending on the configuration in force, always or never.
AUTO = 'auto'
ON = 'on'
OFF = 'off'
_BOUNDS = 'bounds'
_LISTEN = 'listen'
_CAPACITY = 'capacity'


def duration(raw: str) -> float:
    """Convert a duration such as ``250ms`` or ``1.5s`` to seconds."""
    if raw.endswith('ms'):
        return positive_float(raw.removesuffix('ms')) / MS_PER_S
    if raw.endswith('s'):
        return positive_float(raw.removesuffix('s'))
    raise ValueError('must be a time such as 250ms or 1.5s')


def pairs(raw: str) -> dict[str, str]:
    """Convert a list such as ``a=b, c=d`` to a mapping."""
    found = {}
    for part in raw.split(','):
        name, equals, content = part.strip().partition('=')
        if not name or not equals or not content:
            raise ValueError(f'{part.strip()!r} is not name=text')
        found[name] = content
    return found


class EntrySettings(NamedTuple):
    """Typed settings. Times are in seconds, addresses have the form ``host:port``."""

    name: str
    zone: str
    region_by_zone: dict[str, str]
    caller_address: str
    readiness_address: str
    lookup_address: str
    peer_call_address: str
    metrics_address: str
    peer_port: int
    seeds: tuple[str, ...]
    store_address: str
    lookup_ttl_s: float
    grace_s: float
    settling_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    cold_over: float
    cold_slack: float
    max_shift: float
    limit_window_s: float
    limit_over: float
    limit_slack: float
    overload_control: str
    capacity: CapacitySettings
    log_level: str

    @property
    def region(self) -> str:
        """The region of this instance's availability zone."""
        return self.region_by_zone.get(self.zone, '')

    @property
    def heartbeat_address(self) -> str:
        """The UDP address for heartbeats."""
        return f'{self.caller_address.rpartition(":")[0]}:{self.peer_port}'


OPTIONS = (
    Option('instance', 'name', str),
    Option('instance', 'zone', str),
    Option('instance', 'zones', pairs),
    Option(_LISTEN, 'front', str),
    Option(_LISTEN, 'ready', str),
    Option(_LISTEN, 'directory', str),
    Option(_LISTEN, 'control', str),
    Option(_LISTEN, 'metrics', str, ''),
    Option('peers', 'port', positive_float),
    Option('peers', 'seeds', host_port_list, ()),
    Option('store', 'address', str),
    Option('lookup', 'ttl', duration, 1.0),
    Option(_BOUNDS, 'grace', duration, DEFAULT_GRACE_S),
    Option(_BOUNDS, 'settling', duration, DEFAULT_SETTLING_S),
    Option(_BOUNDS, 'retry_ratio', positive_float, DEFAULT_RETRY_LIMITS.ratio),
    Option(_BOUNDS, 'retry_extra', positive_float, DEFAULT_RETRY_LIMITS.fixed_retries),
    Option(_BOUNDS, 'retry_window', duration, DEFAULT_RETRY_LIMITS.window_s),
    Option(_BOUNDS, 'cold_over', positive_float, DEFAULT_COLD_OVER),
    Option(_BOUNDS, 'cold_slack', positive_float, DEFAULT_COLD_SLACK),
    Option(_BOUNDS, 'max_shift', positive_float, DEFAULT_MAX_SHIFT),
    Option(_BOUNDS, 'limit_window', duration, DEFAULT_LIMIT_SETTINGS.window_s),
    Option(_BOUNDS, 'limit_over', non_negative_float, DEFAULT_LIMIT_SETTINGS.overshoot_ratio),
    Option(_BOUNDS, 'limit_slack', non_negative_float, DEFAULT_LIMIT_SETTINGS.overshoot_requests),
    Option('overload', 'control', one_of(AUTO, ON, OFF), AUTO),
    *(Option(_CAPACITY, name, positive_finite_float, None) for name in CapacitySettings._fields),
    Option('log', 'level', one_of('DEBUG', 'INFO', 'WARNING', 'ERROR'), 'INFO'),
)


def parse_entry_settings(text: str) -> EntrySettings | Invalid:
    """Parse and validate INI ``text``; return the settings or every problem found."""
    found = read_ini(text, OPTIONS)
    if isinstance(found, Invalid):
        return found
    zone = found['instance.zone']
    if zone not in found['instance.zones']:
        return Invalid(problems=(f'[instance] zone: {zone!r} is not among zones',))
    return EntrySettings(
        name=found['instance.name'],
        zone=zone,
        region_by_zone=found['instance.zones'],
        caller_address=found['listen.front'],
        readiness_address=found['listen.ready'],
        lookup_address=found['listen.directory'],
        peer_call_address=found['listen.control'],
        metrics_address=found['listen.metrics'],
        peer_port=int(found['peers.port']),
        seeds=found['peers.seeds'],
        store_address=found['store.address'],
        lookup_ttl_s=found['lookup.ttl'],
        grace_s=found['bounds.grace'],
        settling_s=found['bounds.settling'],
        retry_ratio=found['bounds.retry_ratio'],
        retry_extra=found['bounds.retry_extra'],
        retry_window_s=found['bounds.retry_window'],
        cold_over=found['bounds.cold_over'],
        cold_slack=found['bounds.cold_slack'],
        max_shift=found['bounds.max_shift'],
        limit_window_s=found['bounds.limit_window'],
        limit_over=found['bounds.limit_over'],
        limit_slack=found['bounds.limit_slack'],
        overload_control=found['overload.control'],
        capacity=CapacitySettings(
            **{name: found[f'{_CAPACITY}.{name}'] for name in CapacitySettings._fields}
        ),
        log_level=found['log.level'],
    )
