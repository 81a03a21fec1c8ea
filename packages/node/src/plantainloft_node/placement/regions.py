"""Region in which the requests for a key run, by capacity and demand.

Callers are distributed over the regions differently from endpoints: a region
with a third of the callers may have a fourteenth of the slots. Filling the
nearest region first and spilling the remainder would move each object between
regions from one request to the next, so that it is cached in none of them.
Instead, the callers of every region get a slowly changing share of the slots of
each region, and each key has a fixed position in these shares.
"""

import math
from collections.abc import Mapping

from plantainloft_node.placement.rendezvous import SCORE_RANGE, rendezvous_score

__all__ = ['RegionShares', 'target_region_shares']

# A region's own callers may load it up to this multiple of the average load of
# all regions before the rest of them is sent elsewhere: the own region is a few
# tens of milliseconds faster, and traffic between regions is charged. A higher
# value leaves a small region no headroom for a wave of traffic.
LOCAL_MARGIN = 2.0
# A region counts as having lost slots when less than this fraction of its recent
# maximum is left. The maximum decays over a few seconds of updates.
_REMAINING_FRACTION = 0.75
_MAX_SLOTS_DECAY = 0.95


def target_region_shares(
    *, own_region: str, slots: Mapping[str, float], demand: Mapping[str, float]
) -> dict[str, float]:
    """Return the target share (0..1) of ``own_region``'s requests for each region.

    ``slots`` are the usable slots by region, ``demand`` the requests a second
    of each region's callers.
    """
    total_slots = sum(slots.values())
    if not total_slots:
        return {}
    if not any(demand.values()):
        # No requests yet. If this counted as zero demand, a region with few
        # slots would keep all its callers. Shares change too slowly to correct
        # that, and the region would be overloaded for the first 20 seconds.
        demand = dict.fromkeys((*slots, own_region), 1.0)
    max_local_load = LOCAL_MARGIN * sum(demand.values()) / total_slots
    own_slots = slots.get(own_region, 0.0)
    own_demand = demand.get(own_region, 0.0)
    local = (
        min(1.0, own_slots * max_local_load / own_demand) if own_demand > 0 else min(1.0, own_slots)
    )
    others = {name: count for name, count in slots.items() if name != own_region and count > 0}
    if not others:
        return {own_region: 1.0}
    spare = {
        name: _spare_capacity(count, demand.get(name, 0.0), max_local_load)
        for name, count in others.items()
    }
    weights = spare if any(spare.values()) else others
    per_weight = (1 - local) / sum(weights.values())
    return {own_region: local, **{name: per_weight * weight for name, weight in weights.items()}}


class RegionShares:
    """The shares in effect, which move slowly towards their targets."""

    def __init__(self, *, own_region: str, max_step: float) -> None:
        """``max_step``: the most by which shares move in one update."""
        self._own_region = own_region
        self._max_step = max_step
        self._shares: dict[str, float] = {}
        self._max_slots: dict[str, float] = {}

    def update(
        self, target: dict[str, float], slots: Mapping[str, float], *, moves_traffic: bool = True
    ) -> None:
        """Move towards ``target``, or switch to it at once if a region lost slots.

        Moving slowly keeps each shift within the traffic shift cap. A region
        that lost a large part of its slots would be overloaded in the meantime.
        ``moves_traffic`` is false before the first request of the service; no step
        is too large then.
        """
        if not self._shares or not moves_traffic or _lost_slots(self._max_slots, slots):
            self._shares = dict(target)
            self._max_slots = dict(slots)
            return
        self._max_slots = {
            name: max(count, self._max_slots.get(name, 0.0) * _MAX_SLOTS_DECAY)
            for name, count in slots.items()
        }
        names = set(target) | set(self._shares)
        # What one region loses, others gain, so half the sum of differences moves.
        distance = sum(self._difference(name, target) for name in names) / 2
        fraction = min(1.0, self._max_step / distance) if distance > 0 else 1.0
        self._shares = {name: self._interpolated(name, target, fraction) for name in names}

    def current(self) -> dict[str, float]:
        """Return the share (0..1) of each region."""
        return dict(self._shares)

    def region_of(self, key: str) -> str | None:
        """Return the region of ``key``, or ``None`` if there are no shares.

        If the shares were consecutive ranges of hashes, changing one of them
        would move all boundaries after it, and keys would move between regions
        whose shares did not change, to endpoints that don't have their objects
        cached. Instead, the own region has the keys with the lowest hashes, and
        the other keys are assigned by weighted rendezvous hashing: a key moves
        only from a region whose share falls to one whose share grows.
        """
        if rendezvous_score(key, 'region') < self._shares.get(self._own_region, 0.0) * SCORE_RANGE:
            return self._own_region
        others = {
            name: share
            for name, share in self._shares.items()
            if share > 0 and name != self._own_region
        }
        if not others:
            return self._own_region if self._shares.get(self._own_region) else None
        return min(others, key=lambda name: _weighted_draw(key, name, others[name]))

    def _difference(self, name: str, target: dict[str, float]) -> float:
        return abs(target.get(name, 0.0) - self._shares.get(name, 0.0))

    def _interpolated(self, name: str, target: dict[str, float], fraction: float) -> float:
        current = self._shares.get(name, 0.0)
        return current + fraction * (target.get(name, 0.0) - current)


def _weighted_draw(key: str, name: str, share: float) -> float:
    """Return the draw of ``name`` for ``key``.

    Over many keys, a region has the lowest draw in proportion to its share.
    """
    uniform = (rendezvous_score(key, name) + 1) / (SCORE_RANGE + 1)
    return -math.log(uniform) / share


def _spare_capacity(slots: float, demand: float, max_load: float) -> float:
    return max(0.0, slots * max_load - demand)


def _lost_slots(max_slots: Mapping[str, float], slots: Mapping[str, float]) -> bool:
    return any(
        slots.get(name, 0.0) < count * _REMAINING_FRACTION for name, count in max_slots.items()
    )
