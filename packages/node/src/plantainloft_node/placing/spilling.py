"""How many requests may run outside the region planned for their key.

A full endpoint sends requests of its keys to another region, and takes
them back a moment later. Unbounded, a wave of load or the cold caches of
a start move more of a region's traffic from one moment to the next than
a shift may, and the objects that move are worked on without being
remembered, which makes the overload worse.

In the load model (two deployments, two services each, the usual load to
three times as much) 0.15 to 0.33 of a region's traffic moved within two
seconds without the limit, and 0.07 to 0.18 with it; at twice the load
callers earned 0.75 of the worth instead of 0.70 and 0.67 instead of 0.65
at the larger services, and 127 requests instead of 509 failed at the one
that is farther from its callers.
"""

from plantainloft_node.placing.budget import WindowCount

__all__ = ['SpillLimit']


class SpillLimit:
    """Bounds the share of spilled requests in any window.

    Two windows differ by no more than what either may spill.
    """

    def __init__(self, *, window_s: float) -> None:
        self._requests = WindowCount(window_s=window_s)
        self._spilled = WindowCount(window_s=window_s)

    def note_request(self, now: float, *, spilled: bool) -> None:
        """Count a request that is sent."""
        self._requests.add(now)
        if spilled:
            self._spilled.add(now)

    def share(self, now: float) -> float:
        """Return the share (0..1) of the window's requests that spilled."""
        return self._spilled.count(now) / max(1, self._requests.count(now))

    def allows(self, now: float, *, share: float) -> bool:
        """Return whether one more may spill within ``share`` (0..1).

        One a window always may: an instance with few callers would never
        use the room elsewhere.
        """
        allowed = max(1.0, share * self._requests.count(now))
        return self._spilled.count(now) + 1 <= allowed
