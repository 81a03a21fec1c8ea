"""When each part of a stop ends; follows from the settings."""

from typing import NamedTuple

__all__ = ['StopTimes', 'request_grace_s', 'stop_times']

# Callers cache the answer to a look-up for up to three times its TTL. They may
# still send requests here for that long after draining starts.
LOOKUP_CACHE_TTLS = 3
# Open requests are cut this long before the grace period ends, so that the process has
# ended by then; at most this fraction of a short grace period.
SHUTDOWN_MARGIN_S = 0.7
MAX_SHUTDOWN_MARGIN_FRACTION = 0.125


class StopTimes(NamedTuple):
    """When the parts of a stop end, as monotonic times.

    Callers use cached look-ups until ``lookups_expire_at``. At ``ends_at``, open requests
    are cut; both are the end of draining at the latest. What they leave to write is written
    until ``writes_end_at``; what is left of the grace period then is for the teardown.
    """

    lookups_expire_at: float
    ends_at: float
    writes_end_at: float


def request_grace_s(grace_s: float) -> float:
    """Return the part of the grace period, in seconds, in which open requests may end."""
    return grace_s - min(SHUTDOWN_MARGIN_S, grace_s * MAX_SHUTDOWN_MARGIN_FRACTION)


def stop_times(*, requested_at: float, grace_s: float, lookup_ttl_s: float) -> StopTimes:
    """Return the times of a stop whose SIGTERM arrived at ``requested_at``."""
    ends_at = requested_at + request_grace_s(grace_s)
    return StopTimes(
        lookups_expire_at=min(requested_at + LOOKUP_CACHE_TTLS * lookup_ttl_s, ends_at),
        ends_at=ends_at,
        writes_end_at=(ends_at + requested_at + grace_s) / 2,
    )
