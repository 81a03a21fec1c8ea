"""Division of an endpoint's request limit among the instances that have requests for it.

Pure functions: an instance computes its own share from what it knows of the others.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from plantainloft_node.placement.dealt_shares import dealt_share

__all__ = ['LimitWindow', 'ShareRequest', 'ShareView', 'limit_window', 'share_in_view']

# Requests are counted over at least this time. A longer one would allow more of them in a
# burst, in a shorter one low limits would round to less than one request.
MIN_WINDOW_S = 4.0
# A lower limit, zero included, counts as this: without any request, no response would
# show that the limit has ended.
MIN_LIMIT_PER_S = 0.05
# An instance that reaches at most this fraction of the others may be in the smaller part
# of a partition, of which there may be many: its part is rounded down.
MINORITY_FRACTION = 0.5


class LimitWindow(NamedTuple):
    """A limit as whole requests in any ``window_s`` seconds, over all instances."""

    requests: int
    window_s: float


class ShareView(NamedTuple):
    """The instances that divide a limit, as one instance sees them.

    ``region_by_holder`` maps their names to their regions. ``reachable_fraction``
    (0..1) is the fraction of all instances that can be reached; only this part of a
    limit is divided, since the unreachable ones may go on using the rest.
    """

    region_by_holder: Mapping[str, str]
    reachable_fraction: float


class ShareRequest(NamedTuple):
    """Whose share is computed: that of ``instance`` in the limit of an endpoint."""

    instance: str
    endpoint_id: str
    region: str


def limit_window(limit_per_s: float) -> LimitWindow:
    """Return the whole requests and their window, exact for any limit."""
    applied_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
    requests = math.ceil(applied_per_s * MIN_WINDOW_S)
    return LimitWindow(requests, requests / applied_per_s)


def share_in_view(view: ShareView, requests: int, request: ShareRequest) -> int:
    """Return the requests per window that an instance may send according to ``view``."""
    reachable = requests * view.reachable_fraction
    total = math.floor(reachable)
    if view.reachable_fraction > MINORITY_FRACTION:
        total = round(reachable)
    return dealt_share(
        total,
        instance=request.instance,
        region_by_holder=view.region_by_holder,
        key=request.endpoint_id,
        region=request.region,
    )
