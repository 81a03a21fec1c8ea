"""Rate limit of requests to cold endpoints, over all entry instances.

A cold endpoint crashes when it gets more requests than it can handle, and
takes the requests that it is running with it. Instances cannot coordinate
before each request (some may be partitioned), so the limit is divided in
advance: every instance computes its own share from the list of instances, and
the shares never add up to more than the limit.
"""

from collections.abc import Mapping

from plantainloft_node.placement.rendezvous import rendezvous_score
from plantainloft_node.placement.retry_budget import SlidingWindowCounter

__all__ = ['ColdRateLimiter', 'cold_share']

# Fraction of the limit that is divided among instances. The rest covers instances
# that restart and forget what they sent, and instances whose lists of instances
# differ for a moment.
DISTRIBUTED_FRACTION = 0.8
# The limit applies to any second at the endpoint. The window is longer because
# requests sent a second apart may arrive closer together.
WINDOW_S = 1.15


def cold_share(
    *,
    max_rate: float,
    instance: str,
    region_by_instance: Mapping[str, str],
    endpoint_id: str,
    region: str,
) -> int:
    """Return the requests per window that this instance may send to a cold endpoint.

    ``max_rate`` is the most that all instances together may send in a second. Every
    instance gets the same whole number. What remains of the division goes, one
    request each, first to instances of the endpoint's ``region``, because it mostly
    serves their callers, in order of their score for the endpoint's id. In a large
    fleet that whole number is zero, and only these instances get a share: divided
    over all regions, most shares would go to instances whose callers don't use the
    endpoint. An instance that is missing from the list gets none.
    """
    if instance not in region_by_instance:
        return 0
    each, remainder = divmod(int(max_rate * DISTRIBUTED_FRACTION), len(region_by_instance))
    if not remainder:
        return each
    own_rank = _rank(instance, region_by_instance[instance], endpoint_id, region)
    ahead = sum(
        1
        for name, instance_region in region_by_instance.items()
        if _rank(name, instance_region, endpoint_id, region) > own_rank
    )
    return each + int(ahead < remainder)


def _rank(name: str, instance_region: str, endpoint_id: str, region: str) -> tuple[bool, int, str]:
    return instance_region == region, rendezvous_score(endpoint_id, name), name


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
