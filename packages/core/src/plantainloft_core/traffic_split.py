"""How a service's traffic is split over regions, and how fast that may change.

Each node splits the requests that it receives for a service over regions.
The split may change by at most the service's shift cap within any
``SHIFT_WINDOW_S``. Requests sent outside the split count as moved as well.
If every node respects the cap, the whole deployment does, because its split
is the average of the nodes' splits weighted by their traffic.
"""

import collections
from collections.abc import Mapping

__all__ = ['SHIFT_WINDOW_S', 'TrafficSplit']

SHIFT_WINDOW_S = 10.0
BUCKET_S = 0.5
_EPSILON = 1e-9


class _WindowSum:
    """A sum over the last ``SHIFT_WINDOW_S``, kept in time buckets.

    A bucket counts until all of it is older than the window, so the sum
    is never below that of the exact window.
    """

    def __init__(self) -> None:
        self._buckets: collections.deque[tuple[int, float]] = collections.deque()

    def add(self, amount: float, now: float) -> None:
        bucket = int(now / BUCKET_S)
        if self._buckets and self._buckets[-1][0] == bucket:
            amount += self._buckets.pop()[1]
        self._buckets.append((bucket, amount))

    def total(self, now: float) -> float:
        oldest = int((now - SHIFT_WINDOW_S) / BUCKET_S)
        while self._buckets and self._buckets[0][0] < oldest:
            self._buckets.popleft()
        return sum(amount for _, amount in self._buckets)


class TrafficSplit:
    """One node's split of one service: a share (0..1) for each region.

    Times are in seconds of the caller's monotonic clock.
    """

    def __init__(self, *, shares_by_region: Mapping[str, float]) -> None:
        self.shares_by_region = dict(shares_by_region)
        self._credit_by_region: dict[str, float] = {}
        self._moved_share = _WindowSum()
        self._request_count = _WindowSum()
        self._spilled_count = _WindowSum()

    def remaining_shift(self, *, cap: float, now: float) -> float:
        """Return the share that may still be moved within the current window."""
        requests = self._request_count.total(now)
        spilled = self._spilled_count.total(now) / requests if requests else 0.0
        return max(0.0, cap - self._moved_share.total(now) - spilled)

    def move_towards(
        self, target_by_region: Mapping[str, float], *, cap: float, now: float
    ) -> float:
        """Move towards the target split as far as the cap allows.

        Returns the share that was moved. Later calls move the rest.
        """
        regions = self.shares_by_region.keys() | target_by_region.keys()
        gaps = {
            region: target_by_region.get(region, 0.0) - self.shares_by_region.get(region, 0.0)
            for region in regions
        }
        total_gap = sum(gap for gap in gaps.values() if gap > 0)
        if total_gap < _EPSILON:
            return 0.0
        fraction = min(1.0, self.remaining_shift(cap=cap, now=now) / total_gap)
        for region in sorted(regions):
            self.shares_by_region[region] = (
                self.shares_by_region.get(region, 0.0) + gaps[region] * fraction
            )
        self._moved_share.add(total_gap * fraction, now)
        return total_gap * fraction

    def next_region(self, now: float) -> str | None:
        """Return the region of the next request by smooth weighted round robin.

        The number of requests sent to a region never differs from its share
        by more than one, so the split holds over short windows as well.
        """
        shares = {region: share for region, share in self.shares_by_region.items() if share > 0}
        if not shares:
            return None
        self._request_count.add(1, now)
        for region, share in shares.items():
            self._credit_by_region[region] = self._credit_by_region.get(region, 0.0) + share
        chosen = max(sorted(shares), key=lambda region: self._credit_by_region[region])
        self._credit_by_region[chosen] -= sum(shares.values())
        return chosen

    def try_acquire_spillover(self, *, cap: float, now: float) -> bool:
        """Count one request sent outside the split, if the cap allows it.

        This lets other regions absorb a short burst without a change of the
        split. Each spilled request uses up the cap like a moved one.
        """
        requests = self._request_count.total(now)
        if not requests or self.remaining_shift(cap=cap, now=now) < 1 / requests:
            return False
        self._spilled_count.add(1, now)
        return True
