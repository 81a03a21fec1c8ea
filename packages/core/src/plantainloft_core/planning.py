"""The split of a service over regions that a node should move towards.

Home first: a node's callers are near its own region. Elsewhere only
what home can't take: an evacuating or lost region takes nothing, a
region that refuses for lack of headroom gives up the refused part.
"""

from collections.abc import Mapping
from typing import NamedTuple

from plantainloft_core.model import Configuration

__all__ = ['RegionView', 'desired_shares', 'view_regions']

RETURN_SPARE = 0.3
RETURN_STEP = 0.05
REFUSED_TOLERANCE = 0.01


class RegionView(NamedTuple):
    """What a node sees of one service in one region.

    ``slots`` are those it believes usable now, ``free`` the part of them
    not in use; ``refused_share`` (0..1) of the requests lately sent there
    found no headroom.
    """

    slots: float
    free: float
    refused_share: float


def view_regions(
    config: Configuration,
    service: str,
    *,
    usable_by_endpoint: Mapping[str, float],
    free_by_endpoint: Mapping[str, float],
    refused_by_region: Mapping[str, float],
) -> dict[str, RegionView]:
    """Sum the service's endpoints into a view of each region.

    Regions without a usable slot, and evacuating ones, are left out.
    """
    slots_by_region: dict[str, float] = {}
    free_by_region: dict[str, float] = {}
    for endpoint in config.endpoints_by_service.get(service, ()):
        region = config.regions_by_name[endpoint.region]
        usable = usable_by_endpoint.get(endpoint.name, 0.0)
        if endpoint.state != 'active' or region.evacuating or usable <= 0:
            continue
        slots_by_region[region.name] = slots_by_region.get(region.name, 0.0) + usable
        free = max(0.0, free_by_endpoint.get(endpoint.name, 0.0))
        free_by_region[region.name] = free_by_region.get(region.name, 0.0) + free
    return {
        name: RegionView(
            slots=slots, free=free_by_region[name], refused_share=refused_by_region.get(name, 0.0)
        )
        for name, slots in slots_by_region.items()
    }


def desired_shares(
    current_by_region: Mapping[str, float],
    views_by_region: Mapping[str, RegionView],
    *,
    home: str,
) -> dict[str, float]:
    """Return the split to move towards; the current one if nothing is usable.

    With nothing usable anywhere there is no better place, and moving
    would only use up the budget needed when something comes back.
    """
    if not views_by_region:
        return dict(current_by_region)
    kept = {
        region: _kept_share(share, views_by_region.get(region))
        for region, share in current_by_region.items()
    }
    to_place = 1.0 - sum(kept.values())
    home_view = views_by_region.get(home)
    if home_view is not None and _has_room(home_view):
        returned = min(RETURN_STEP, 1.0 - kept.get(home, 0.0))
        # Brought home first from what must be placed anyway, then from
        # the regions that took it over.
        from_others = max(0.0, returned - to_place)
        kept = _taken(kept, from_others, spare=home)
        to_place = max(0.0, to_place - returned)
        kept[home] = kept.get(home, 0.0) + returned
    weights = _weights(views_by_region)
    total = sum(weights.values())
    for region, weight in weights.items():
        kept[region] = kept.get(region, 0.0) + to_place * weight / total
    return kept


def _kept_share(share: float, view: RegionView | None) -> float:
    if view is None:
        return 0.0
    if view.refused_share <= REFUSED_TOLERANCE:
        return share
    return share * (1.0 - view.refused_share)


def _has_room(view: RegionView) -> bool:
    return view.refused_share <= REFUSED_TOLERANCE and view.free >= view.slots * RETURN_SPARE


def _taken(shares: Mapping[str, float], amount: float, *, spare: str) -> dict[str, float]:
    others = sum(share for region, share in shares.items() if region != spare)
    if others <= 0:
        return dict(shares)
    part = max(0.0, 1.0 - amount / others)
    return {region: share if region == spare else share * part for region, share in shares.items()}


def _weights(views_by_region: Mapping[str, RegionView]) -> dict[str, float]:
    """Weigh regions by free slots; by slots when none has any free."""
    calm = {name: view for name, view in views_by_region.items() if not _refuses(view)}
    free = {name: view.free for name, view in calm.items() if view.free > 0}
    return free or {name: view.slots for name, view in views_by_region.items()}


def _refuses(view: RegionView) -> bool:
    return view.refused_share > REFUSED_TOLERANCE
