"""How a service's traffic is split over regions, moved within its cap.

Each node splits the requests it gets for a service over regions. The
split may change by at most the service's shift cap within any
``SHIFT_WINDOW_S``; requests sent outside the split count as moved too.
Where every node keeps to this, so does the whole: the split of all
traffic is the nodes' splits weighted by their traffic.
"""

import collections
from collections.abc import Mapping

__all__ = ['SHIFT_WINDOW_S', 'ServiceSplit']

SHIFT_WINDOW_S = 10.0
BUCKET_S = 0.5
_NEGLIGIBLE = 1e-9


class _WindowSum:
    """A sum over the trailing shift window, kept in short buckets.

    A bucket counts until all of it is older than the window, so the sum
    is never less than that of the exact window.
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


class ServiceSplit:
    """One node's split of one service: a share (0..1) by region.

    Times are monotonic seconds of the caller's clock.
    """

    def __init__(self, *, shares_by_region: Mapping[str, float]) -> None:
        self.shares_by_region = dict(shares_by_region)
        self._credit_by_region: dict[str, float] = {}
        self._moved = _WindowSum()
        self._requests = _WindowSum()
        self._spilled = _WindowSum()

    def budget(self, *, cap: float, now: float) -> float:
        """Return the share that may still be moved within this window."""
        requests = self._requests.total(now)
        spilled = self._spilled.total(now) / requests if requests else 0.0
        return max(0.0, cap - self._moved.total(now) - spilled)

    def retarget(self, desired_by_region: Mapping[str, float], *, cap: float, now: float) -> float:
        """Move towards the desired split as far as the cap allows.

        Returns the share moved. What remains is for later calls.
        """
        regions = self.shares_by_region.keys() | desired_by_region.keys()
        gaps = {
            region: desired_by_region.get(region, 0.0) - self.shares_by_region.get(region, 0.0)
            for region in regions
        }
        wanted = sum(gap for gap in gaps.values() if gap > 0)
        if wanted < _NEGLIGIBLE:
            return 0.0
        part = min(1.0, self.budget(cap=cap, now=now) / wanted)
        for region in sorted(regions):
            self.shares_by_region[region] = (
                self.shares_by_region.get(region, 0.0) + gaps[region] * part
            )
        self._moved.add(wanted * part, now)
        return wanted * part

    def pick(self, now: float) -> str | None:
        """Return the region of the next request, in smooth weighted turns.

        The number of requests sent to a region stays within one of its
        share at any time, so the split holds for short windows as well.
        """
        shares = {region: share for region, share in self.shares_by_region.items() if share > 0}
        if not shares:
            return None
        self._requests.add(1, now)
        for region, share in shares.items():
            self._credit_by_region[region] = self._credit_by_region.get(region, 0.0) + share
        chosen = max(sorted(shares), key=lambda region: self._credit_by_region[region])
        self._credit_by_region[chosen] -= sum(shares.values())
        return chosen

    def try_spill(self, *, cap: float, now: float) -> bool:
        """Count one request sent outside the split, if the cap allows it.

        A short burst is carried elsewhere without moving the split; one
        request spilled is one request moved.
        """
        requests = self._requests.total(now)
        if not requests or self.budget(cap=cap, now=now) < 1 / requests:
            return False
        self._spilled.add(1, now)
        return True
