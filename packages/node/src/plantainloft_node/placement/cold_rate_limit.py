"""Rate limit of requests to cold endpoints, over all entry instances.

A cold endpoint crashes when it gets more requests than it can handle, and
takes the requests that it is running with it. The limit is divided among all
instances in advance.
"""

from collections.abc import Mapping

from plantainloft_node.placement.dealt_shares import dealt_share
from plantainloft_node.placement.sliding_window import SlidingWindowCounter

__all__ = ['ColdRateLimiter', 'cold_limit_sharers', 'cold_share']

# Fraction of the limit that is divided among instances. The rest covers instances whose
# lists of instances differ for a moment.
DISTRIBUTED_FRACTION = 0.8
# The limit applies to any second at the endpoint. The window is longer because
# requests sent a second apart may arrive closer together.
WINDOW_S = 1.15


def cold_limit_sharers(
    region_by_instance: Mapping[str, str], *, uptime_s: float
) -> Mapping[str, str]:
    """Return the instances among which a process that started ``uptime_s`` ago divides limits.

    For a window there are none: the process before it may have used its share.
    """
    return region_by_instance if uptime_s >= WINDOW_S else {}


def cold_share(
    *,
    max_rate: float,
    instance: str,
    region_by_instance: Mapping[str, str],
    endpoint_id: str,
    region: str,
) -> int:
    """Return the requests per window that this instance may send to a cold endpoint.

    ``max_rate`` is the most that all instances together may send in a second. In a
    large fleet, only some instances of the endpoint's ``region`` get a share: they
    mostly serve its callers, and divided over all regions, most shares would go to
    instances whose callers don't use the endpoint. An instance that is missing from
    the list gets none.
    """
    return dealt_share(
        int(max_rate * DISTRIBUTED_FRACTION),
        instance=instance,
        region_by_holder=region_by_instance,
        key=endpoint_id,
        region=region,
    )


class ColdRateLimiter:
    """Counts the requests that this instance sends to one cold endpoint."""

    def __init__(self) -> None:
        self._sent = SlidingWindowCounter(window_s=WINDOW_S)

    def allows(self, now: float, *, share: int) -> bool:
        """Return whether one more request may be sent."""
        return self._sent.count(now) < share

    def record_sent(self, now: float) -> None:
        """Count one request as sent."""
        self._sent.add(now)
