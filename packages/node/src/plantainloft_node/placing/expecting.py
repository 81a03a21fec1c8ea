"""How long an answer will take: distance, work and the wait for a slot.

Work on an object that an endpoint remembers takes a third of the time, and
endpoints of other regions are a good part of an objective away. Whether a
request does better in the queue of an endpoint that remembers its object or
at a free one that does not is a matter of these times, and all of them are
observed: none is set.
"""

from collections import OrderedDict

__all__ = ['RecentKeys', 'WorkTimes', 'ZoneDistances']

# Weight of the newest answer: about 20 answers count.
NEWEST_WEIGHT = 0.05
# Before any answer.
WORK_S = 0.3
# Objects of which an endpoint is taken to keep the memory, and for how
# long since it was last asked for one by this instance. It works on a dozen
# requests a second, and others ask it too.
KEPT_KEYS = 64
KEPT_S = 20.0
# A connection that opens sooner than all before tells the distance; one
# that opens later may have met a busy endpoint.
CLOSER_WEIGHT = 0.5
FARTHER_WEIGHT = 0.02


class WorkTimes:
    """How long a service's endpoints work on a request, in seconds.

    Kept apart for objects that the endpoint remembers and those that it
    does not.
    """

    def __init__(self) -> None:
        self._any_s: float | None = None
        self._remembered_s: float | None = None
        self._new_s: float | None = None

    def note(self, work_s: float, *, remembered: bool) -> None:
        """Take the time of one answer, less distance, without a wait."""
        self._any_s = _averaged(self._any_s, work_s)
        if remembered:
            self._remembered_s = _averaged(self._remembered_s, work_s)
        else:
            self._new_s = _averaged(self._new_s, work_s)

    @property
    def mean_s(self) -> float:
        """The mean time over all requests."""
        return WORK_S if self._any_s is None else self._any_s

    def expected_s(self, *, remembered: bool) -> float:
        """Return how long the work on a request will take."""
        new_s = WORK_S if self._new_s is None else self._new_s
        if not remembered or self._remembered_s is None:
            return new_s
        return min(new_s, self._remembered_s)


class RecentKeys:
    """Keys that one endpoint answered lately, as far as seen from here."""

    def __init__(self) -> None:
        self._answered_at_by_key: OrderedDict[str, float] = OrderedDict()

    def note(self, key: str, now: float) -> None:
        """Take an answer on ``key``."""
        self._answered_at_by_key[key] = now
        self._answered_at_by_key.move_to_end(key)
        if len(self._answered_at_by_key) > KEPT_KEYS:
            self._answered_at_by_key.popitem(last=False)

    def has(self, key: str, now: float) -> bool:
        """Return whether the endpoint is likely to remember ``key``."""
        answered_at = self._answered_at_by_key.get(key)
        return answered_at is not None and now - answered_at < KEPT_S


class ZoneDistances:
    """Round trips to availability zones, by how fast connections open."""

    def __init__(self) -> None:
        self._round_trip_s_by_zone: dict[str, float] = {}

    def note(self, zone: str, opened_after_s: float) -> None:
        """Take the time in which a connection opened."""
        known = self._round_trip_s_by_zone.get(zone, opened_after_s)
        gap_s = opened_after_s - known
        weight = CLOSER_WEIGHT if gap_s < 0 else FARTHER_WEIGHT
        self._round_trip_s_by_zone[zone] = known + weight * gap_s

    def by_zone(self) -> dict[str, float]:
        """Return the round trips known."""
        return dict(self._round_trip_s_by_zone)

    def round_trip_s(self, zone: str) -> float:
        """Return the round trip to ``zone``, 0 while none is known."""
        return self._round_trip_s_by_zone.get(zone, 0.0)


def _averaged(known_s: float | None, newest_s: float) -> float:
    if known_s is None:
        return newest_s
    return known_s + NEWEST_WEIGHT * (newest_s - known_s)
