"""Parameters of the individual components, derived from the settings."""

import time

from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.fleet.membership import FleetMember
from plantainloft_node.fleet.report_timings import ReportTimings, report_timings
from plantainloft_node.limits.limiter import LimitSettings
from plantainloft_node.placement.placement import PlacementSettings
from plantainloft_node.retry_budget.registry import RetryLimits

__all__ = [
    'UPDATE_INTERVAL_S',
    'fleet_timings',
    'limit_parameters',
    'local_member',
    'placement_settings',
    'retry_limits',
    'seed_addresses',
]

# Interval at which state that changes with time (ejections, shares of regions) is
# updated.
UPDATE_INTERVAL_S = 0.25
MS_PER_S = 1000.0
# Shifts of traffic are measured between successive windows of this length. Of the
# permitted shift, planned moves may use PLANNED_SHARE, and the decrease of
# spilled requests after a start SPILLED_SHARE. The remainder covers random
# variation in windows of a few hundred requests, and callers that move by
# themselves.
SHIFT_WINDOW_S = 2.0
PLANNED_SHARE = 0.5
SPILLED_SHARE = 0.4


def placement_settings(settings: EntrySettings) -> PlacementSettings:
    """Return the limits that placement observes."""
    return PlacementSettings(
        region=settings.region,
        instance=settings.name,
        cold_over=settings.cold_over,
        cold_slack=settings.cold_slack,
        max_share_step=settings.max_shift * PLANNED_SHARE * UPDATE_INTERVAL_S / SHIFT_WINDOW_S,
        max_spill_decrease=settings.max_shift * SPILLED_SHARE,
        shift_window_s=SHIFT_WINDOW_S,
    )


def retry_limits(settings: EntrySettings) -> RetryLimits:
    """Return the limits on retries."""
    return RetryLimits(
        ratio=settings.retry_ratio,
        fixed_retries=settings.retry_extra,
        window_s=settings.retry_window_s,
    )


def limit_parameters(settings: EntrySettings) -> LimitSettings:
    """Return how the request limits of organisations are enforced."""
    return LimitSettings(
        window_s=settings.limit_window_s,
        overshoot_ratio=settings.limit_over,
        overshoot_requests=settings.limit_slack,
    )


def fleet_timings(settings: EntrySettings) -> ReportTimings:
    """Return the timings of the reports that instances exchange."""
    return report_timings(settings.settling_s)


def local_member(settings: EntrySettings) -> FleetMember:
    """Return this instance's entry in the member list; its start time is the incarnation."""
    return FleetMember(
        name=settings.name,
        incarnation=int(time.time() * MS_PER_S),
        region=settings.region,
        zone=settings.zone,
        caller_address=settings.caller_address,
        heartbeat_address=settings.heartbeat_address,
    )


def seed_addresses(settings: EntrySettings) -> tuple[str, ...]:
    """Return the heartbeat addresses of the seed instances in the settings."""
    hosts = (seed.rpartition(':')[0] for seed in settings.seeds)
    return tuple(f'{host}:{settings.peer_port}' for host in hosts)
