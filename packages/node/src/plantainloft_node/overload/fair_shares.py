"""Fair shares of scarce room: max-min fairness over recent demand.

Each group gets what it asks for up to a common level, at which the room is used up. A
group that asks for less leaves the rest to the others; one that asks for more gets the
level. Demand and use are sums that decay over ``DECAY_S``.
"""

import math
from collections.abc import Iterable, Mapping
from enum import Enum

__all__ = ['DECAY_S', 'DecayingSum', 'FairShares', 'Standing', 'fair_level']

# Demand changes within seconds, and an instance of a large fleet has only a few requests
# a second, of which a shorter period would hold too few.
DECAY_S = 5.0
# Groups with less than this are forgotten: a request has this weight after 20 s.
MIN_WEIGHT = 0.02


class Standing(Enum):
    """A group's recent demand and use against its fair share.

    It asks for no more than its share, it asks for more and has not used it up, or it has.
    """

    BELOW_SHARE = 'below'
    WITHIN_SHARE = 'within'
    BEYOND_SHARE = 'beyond'


def fair_level(demands: Iterable[float], room: float) -> float:
    """Return the most that a group may get so that all together get at most ``room``.

    Infinite if there is room for all ``demands``; both in the same unit.
    """
    ascending = sorted(demands)
    left = room
    for index, demand in enumerate(ascending):
        level = left / (len(ascending) - index)
        if demand > level:
            return max(0.0, level)
        left -= demand
    return math.inf


class DecayingSum:
    """A sum in which each addition decays exponentially over ``DECAY_S``."""

    __slots__ = ('_at', '_value')

    def __init__(self) -> None:
        self._value = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add ``amount`` at the time ``now`` (seconds)."""
        self._value = self.value(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        """Return what is left of all additions at the time ``now``."""
        return self._value * math.exp((self._at - now) / DECAY_S)


class _Group:
    """Recent demand of a group, and its recent use by rank."""

    def __init__(self) -> None:
        self.demand = DecayingSum()
        self._use_by_rank: dict[int, DecayingSum] = {}

    def record_use(self, rank: int, now: float) -> None:
        self._use_by_rank.setdefault(rank, DecayingSum()).add(1.0, now)

    def release(self, rank: int, now: float) -> None:
        used = self._use_by_rank.get(rank)
        if used is not None:
            used.add(-min(1.0, used.value(now)), now)

    def use(self, rank: int, now: float) -> float:
        """Return the use by requests of ``rank`` and of those before it."""
        return sum(one.value(now) for known, one in self._use_by_rank.items() if known <= rank)


class FairShares:
    """The fair shares of the groups (organisations) of one service at this instance.

    Lower ranks come first. A request counts only against the use by its own rank and by
    those before it: otherwise, the less urgent requests of a group would use up the share
    of its more urgent ones.
    """

    def __init__(self) -> None:
        self._group_by_name: dict[str, _Group] = {}
        self._level = math.inf

    def record_demand(self, name: str, now: float) -> None:
        """Count a request of the group ``name``, admitted or not."""
        group = self._group_by_name.get(name)
        if group is None:
            group = _Group()
            self._group_by_name[name] = group
        group.demand.add(1.0, now)

    def release(self, name: str, rank: int, now: float) -> None:
        """Take back the use of an admitted request that did not run."""
        group = self._group_by_name.get(name)
        if group is not None:
            group.release(rank, now)

    def record_use(self, name: str, rank: int, now: float) -> None:
        """Count an admitted request of ``rank``."""
        self._group_by_name.setdefault(name, _Group()).record_use(rank, now)

    def standing(self, name: str, rank: int, now: float) -> Standing:
        """Return what a request of ``rank`` of the group finds of its share."""
        group = self._group_by_name.get(name)
        if group is None:
            return Standing.BELOW_SHARE
        if group.use(rank, now) >= self._level:
            return Standing.BEYOND_SHARE
        asks_for_less = group.demand.value(now) <= self._level
        return Standing.BELOW_SHARE if asks_for_less else Standing.WITHIN_SHARE

    def update(self, room_per_s: float, now: float) -> None:
        """Divide ``room_per_s`` (requests a second) by the recent demand."""
        demands = {name: one.demand.value(now) for name, one in self._group_by_name.items()}
        self._group_by_name = {
            name: group
            for name, group in self._group_by_name.items()
            if demands[name] >= MIN_WEIGHT
        }
        self._level = fair_level(demands.values(), room_per_s * DECAY_S)

    def demand_by_group(self, now: float) -> Mapping[str, float]:
        """Return the recent demand (requests a second) by group."""
        return {
            name: group.demand.value(now) / DECAY_S for name, group in self._group_by_name.items()
        }
