"""Admission to cold endpoints, within a bound over all entry instances.

A cold endpoint that gets more than it bears crashes, and its requests
with it. Instances can't ask each other before each request (some may be
cut off), so the bound is dealt out beforehand: every instance works out
its own share of it from the list of instances, and shares never add up
to more than the bound.
"""

from collections.abc import Mapping

from plantainloft_node.placing.affinity import score
from plantainloft_node.placing.budget import WindowCount

__all__ = ['ColdGate', 'cold_share']

# The rest is for an instance that restarts and forgets what it sent, and
# for instances that know a different list for a moment.
DEALT = 0.8
# Longer than the second over which an endpoint is judged: requests spaced
# a second apart when sent may arrive closer together.
WINDOW_S = 1.15


def cold_share(
    *, bound: float, me: str, region_by_instance: Mapping[str, str], endpoint_id: str, region: str
) -> int:
    """Return this instance's requests per window for a cold endpoint.

    ``bound`` is the most that all instances together may send in a second.
    What does not divide evenly goes to instances of the endpoint's
    ``region`` first, whose callers it mostly serves, in the order in which
    its id ranks them. On a large fleet only these get anything: dealt out
    over all regions alike, most of the shares would lie where nobody asks
    for the endpoint. Without a list of instances no share is known, and
    nothing is sent.
    """
    if me not in region_by_instance:
        return 0
    each, rest = divmod(int(bound * DEALT), len(region_by_instance))
    if not rest:
        return each
    mine = _rank(me, region_by_instance[me], endpoint_id, region)
    ahead = sum(
        1
        for name, its_region in region_by_instance.items()
        if _rank(name, its_region, endpoint_id, region) > mine
    )
    return each + int(ahead < rest)


def _rank(name: str, its_region: str, endpoint_id: str, region: str) -> tuple[bool, int, str]:
    return its_region == region, score(endpoint_id, name), name


class ColdGate:
    """Counts what this instance sends to one cold endpoint."""

    def __init__(self) -> None:
        self._sent = WindowCount(window_s=WINDOW_S)

    def open(self, now: float, *, share: int) -> bool:
        """Return whether one more request may be sent."""
        return self._sent.count(now) < share

    def note_sent(self, now: float) -> None:
        """Count one request as sent."""
        self._sent.add(now)
