"""Which region a key's requests run in, by capacity and demand.

Callers are spread over the regions unlike the endpoints are: a region
with a third of the callers may have a fourteenth of the slots. Filling
the near region first and spilling what is left moves each object between
regions from one request to the next, and it is warm nowhere. Here every
region's callers get a share of each region's slots that changes slowly,
and each key has a fixed place in it.
"""

import math
from collections.abc import Mapping

from plantainloft_node.placing.affinity import score

__all__ = ['RegionShares', 'region_shares']

# A region's own callers may load it this much above the average of all
# regions before the rest of them is sent on: near is a few tens of
# milliseconds faster, and bytes between regions are paid for. More leaves a
# small region no room for a wave.
LOCAL_MARGIN = 2.0
# A region counts as having lost slots when fewer than this part is left of
# what it had; that is forgotten over a few seconds of updates.
_KEPT_PART = 0.75
_FADE = 0.95
_SCORE_RANGE = 4294967296.0


def region_shares(
    *, mine: str, slots: Mapping[str, float], demand: Mapping[str, float]
) -> dict[str, float]:
    """Return the share (0..1) of ``mine``'s requests for each region.

    ``slots`` are the usable slots by region, ``demand`` the requests a
    second of each region's callers.
    """
    total_slots = sum(slots.values())
    if not total_slots:
        return {}
    if not any(demand.values()):
        # Nobody has asked yet. Taken as no demand, a region with few slots
        # would keep all its callers, and shares move too slowly to mend
        # that: one would see it overrun for the first twenty seconds.
        demand = dict.fromkeys((*slots, mine), 1.0)
    level = LOCAL_MARGIN * sum(demand.values()) / total_slots
    here = slots.get(mine, 0.0)
    wanted = demand.get(mine, 0.0)
    local = min(1.0, here * level / wanted) if wanted > 0 else min(1.0, here)
    others = {name: count for name, count in slots.items() if name != mine and count > 0}
    if not others:
        return {mine: 1.0}
    free = {name: _free(count, demand.get(name, 0.0), level) for name, count in others.items()}
    weights = free if any(free.values()) else others
    rest = (1 - local) / sum(weights.values())
    return {mine: local, **{name: rest * weight for name, weight in weights.items()}}


class RegionShares:
    """The shares in force, moved slowly towards those wanted."""

    def __init__(self, *, mine: str, step: float) -> None:
        """``step``: the most that a share moves at one update."""
        self._mine = mine
        self._step = step
        self._shares: dict[str, float] = {}
        self._slots: dict[str, float] = {}

    def update(self, wanted: dict[str, float], slots: Mapping[str, float]) -> None:
        """Move towards ``wanted``; at once where slots were lost.

        Moving slowly keeps each shift of traffic within its cap. A region
        that lost a good part of its slots would be overrun meanwhile.
        """
        if not self._shares or _lost_slots(self._slots, slots):
            self._shares = dict(wanted)
            self._slots = dict(slots)
            return
        self._slots = {
            name: max(count, self._slots.get(name, 0.0) * _FADE) for name, count in slots.items()
        }
        names = set(wanted) | set(self._shares)
        # What one region loses others gain: half of all differences moves.
        far = sum(self._distance(name, wanted) for name in names) / 2
        part = min(1.0, self._step / far) if far > 0 else 1.0
        self._shares = {name: self._moved(name, wanted, part) for name in names}

    def current(self) -> dict[str, float]:
        """Return the share (0..1) of each region."""
        return dict(self._shares)

    def region_of(self, key: str) -> str | None:
        """Return the region of ``key``, if there is any.

        Laid out side by side, all borders would move with each share, and
        keys would change between regions whose shares stay: to endpoints
        that do not remember them. Here the own region's keys are those of
        the lowest hashes, and the others are drawn by weighted hashes, so a
        key moves only from where less is wanted to where more is.
        """
        if score(key, 'region') < self._shares.get(self._mine, 0.0) * _SCORE_RANGE:
            return self._mine
        others = {
            name: share for name, share in self._shares.items() if share > 0 and name != self._mine
        }
        if not others:
            return self._mine if self._shares.get(self._mine) else None
        return min(others, key=lambda name: _weighted(key, name, others[name]))

    def _distance(self, name: str, wanted: dict[str, float]) -> float:
        return abs(wanted.get(name, 0.0) - self._shares.get(name, 0.0))

    def _moved(self, name: str, wanted: dict[str, float], part: float) -> float:
        before = self._shares.get(name, 0.0)
        return before + part * (wanted.get(name, 0.0) - before)


def _weighted(key: str, name: str, share: float) -> float:
    """Return the draw of ``name`` for ``key``; the least wins as often as its share."""
    drawn = (score(key, name) + 1) / (_SCORE_RANGE + 1)
    return -math.log(drawn) / share


def _free(slots: float, demand: float, level: float) -> float:
    return max(0.0, slots * level - demand)


def _lost_slots(before: Mapping[str, float], now: Mapping[str, float]) -> bool:
    return any(now.get(name, 0.0) < count * _KEPT_PART for name, count in before.items())
