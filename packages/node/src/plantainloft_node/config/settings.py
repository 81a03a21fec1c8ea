"""The settings of an entry instance, read from INI."""

from pathlib import Path
from typing import NamedTuple

from plantainloft_core.outcomes import Invalid
from plantainloft_node.ini_schema import (
    Option,
    host_port_list,
    non_negative_float,
    one_of,
    positive_float,
    read_ini,
)
from plantainloft_node.limits.limiter import DEFAULT_LIMIT_SETTINGS, LimitSettings
from plantainloft_node.retry_budget.registry import DEFAULT_RETRY_LIMITS, RetryLimits

__all__ = [
    'DEFAULT_SETTINGS_INI',
    'NodeSettings',
    'load_settings',
    'parse_settings',
]

MS_PER_S = 1000.0
DEFAULT_TABLE_TIMEOUT_MS = 500.0
DEFAULT_LOOKUP_TTL_S = 30.0
DEFAULT_CONFIG_POLL_MS = 500.0
DEFAULT_LOAD_POLL_MS = 1000.0
DEFAULT_MEMBERSHIP_LEASE_S = 180.0
DEFAULT_REQUEST_TIMEOUT_MS = 2000.0
DEFAULT_CLAIM_INTERVAL_MS = 40.0
DEFAULT_GRACE_S = 10.0
DEFAULT_LEAVE_S = 2.0
_STEERING_SECTION = 'steering'
_LIMITS_SECTION = 'limits'
_RETRIES_SECTION = 'retries'


class NodeSettings(NamedTuple):
    """Typed settings of one entry instance; times in seconds."""

    name: str
    region: str
    zone: str
    listen: str
    advertise: str
    table_url: str
    table_timeout_s: float
    policy: str
    lookup_ttl_s: int
    config_poll_s: float
    load_poll_s: float
    membership_lease_s: float
    request_timeout_s: float
    claim_interval_s: float
    grace_s: float
    leave_s: float
    peer_listen: str
    peer_seeds: tuple[str, ...]
    log_level: str
    log_format: str
    metrics_interval_s: float
    limit_window_s: float
    limit_over: float
    limit_slack: float
    retry_limits: RetryLimits

    @property
    def limit_parameters(self) -> LimitSettings:
        """Parameters of the organisations' request limits."""
        return LimitSettings(self.limit_window_s, self.limit_over, self.limit_slack)


OPTIONS = (
    Option('node', 'name', str),
    Option('node', 'region', str),
    Option('node', 'zone', str),
    Option('node', 'listen', str),
    Option('node', 'advertise', str),
    Option('platform', 'table_url', str),
    Option('platform', 'timeout_ms', positive_float, DEFAULT_TABLE_TIMEOUT_MS),
    Option(_STEERING_SECTION, 'policy', one_of('headroom', 'nearest'), 'headroom'),
    Option(_STEERING_SECTION, 'lookup_ttl_s', positive_float, DEFAULT_LOOKUP_TTL_S),
    Option(_STEERING_SECTION, 'config_poll_ms', positive_float, DEFAULT_CONFIG_POLL_MS),
    Option(_STEERING_SECTION, 'load_poll_ms', positive_float, DEFAULT_LOAD_POLL_MS),
    Option(_STEERING_SECTION, 'membership_lease_s', positive_float, DEFAULT_MEMBERSHIP_LEASE_S),
    Option(_STEERING_SECTION, 'request_timeout_ms', positive_float, DEFAULT_REQUEST_TIMEOUT_MS),
    Option(_STEERING_SECTION, 'claim_pace_ms', positive_float, DEFAULT_CLAIM_INTERVAL_MS),
    Option(_STEERING_SECTION, 'grace_s', positive_float, DEFAULT_GRACE_S),
    Option(_STEERING_SECTION, 'leave_s', positive_float, DEFAULT_LEAVE_S),
    Option('peers', 'listen', str),
    Option('peers', 'seeds', host_port_list, ()),
    Option('log', 'level', one_of('DEBUG', 'INFO', 'WARNING', 'ERROR'), 'INFO'),
    Option('log', 'format', one_of('text', 'json'), 'text'),
    Option('metrics', 'console_every_s', non_negative_float, 0.0),
    Option(_LIMITS_SECTION, 'window_s', positive_float, DEFAULT_LIMIT_SETTINGS.window_s),
    Option(_LIMITS_SECTION, 'over', non_negative_float, DEFAULT_LIMIT_SETTINGS.overshoot_ratio),
    Option(_LIMITS_SECTION, 'slack', non_negative_float, DEFAULT_LIMIT_SETTINGS.overshoot_requests),
    Option(_RETRIES_SECTION, 'ratio', non_negative_float, DEFAULT_RETRY_LIMITS.ratio),
    Option(_RETRIES_SECTION, 'fixed', non_negative_float, DEFAULT_RETRY_LIMITS.fixed_retries),
    Option(_RETRIES_SECTION, 'window_s', positive_float, DEFAULT_RETRY_LIMITS.window_s),
)

DEFAULT_SETTINGS_INI = """
[node]
name = entry-1
region = istanbul
zone = istanbul-a
listen = 127.0.0.1:7501
advertise = http://127.0.0.1:7501

[platform]
table_url = http://127.0.0.1:7400

[peers]
listen = 127.0.0.1:7601
"""


def parse_settings(text: str) -> NodeSettings | Invalid:
    """Parse INI ``text`` into ``NodeSettings``, or return all problems found."""
    values = read_ini(text, OPTIONS)
    if isinstance(values, Invalid):
        return values
    return NodeSettings(
        name=values['node.name'],
        region=values['node.region'],
        zone=values['node.zone'],
        listen=values['node.listen'],
        advertise=values['node.advertise'],
        table_url=values['platform.table_url'],
        table_timeout_s=values['platform.timeout_ms'] / MS_PER_S,
        policy=values['steering.policy'],
        lookup_ttl_s=int(values['steering.lookup_ttl_s']),
        config_poll_s=values['steering.config_poll_ms'] / MS_PER_S,
        load_poll_s=values['steering.load_poll_ms'] / MS_PER_S,
        membership_lease_s=values['steering.membership_lease_s'],
        request_timeout_s=values['steering.request_timeout_ms'] / MS_PER_S,
        claim_interval_s=values['steering.claim_pace_ms'] / MS_PER_S,
        grace_s=values['steering.grace_s'],
        leave_s=values['steering.leave_s'],
        peer_listen=values['peers.listen'],
        peer_seeds=values['peers.seeds'],
        log_level=values['log.level'],
        log_format=values['log.format'],
        metrics_interval_s=values['metrics.console_every_s'],
        limit_window_s=values['limits.window_s'],
        limit_over=values['limits.over'],
        limit_slack=values['limits.slack'],
        retry_limits=RetryLimits(
            ratio=values['retries.ratio'],
            fixed_retries=values['retries.fixed'],
            window_s=values['retries.window_s'],
        ),
    )


def load_settings(path: Path) -> NodeSettings | Invalid:
    """Read and parse the INI file at ``path``."""
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as exc:
        return Invalid(problems=(f'{path}: {exc.strerror}',))
    return parse_settings(text)
