"""The target split of a service's traffic over regions.

A node prefers its home region, because its callers are near it. Other
regions get only what the home region cannot take. An evacuating or lost
region gets nothing, and a region that refuses requests for lack of headroom
loses the refused share.
"""

from collections.abc import Mapping
from typing import NamedTuple

from plantainloft_core.model import Configuration

__all__ = ['RegionLoad', 'summarise_regions', 'target_shares']

RETURN_HOME_MIN_FREE_FRACTION = 0.3
RETURN_HOME_STEP_SHARE = 0.05
MAX_REFUSED_SHARE = 0.01


class RegionLoad(NamedTuple):
    """What a node knows about one service in one region.

    ``usable_slots`` is the number of slots that may be used and ``free_slots``
    how many of them are not in use. ``refused_share`` (0..1) is the share of
    recent requests to the region that found no headroom.
    """

    usable_slots: float
    free_slots: float
    refused_share: float


def summarise_regions(
    config: Configuration,
    service: str,
    *,
    usable_slots_by_endpoint: Mapping[str, float],
    free_slots_by_endpoint: Mapping[str, float],
    refused_by_region: Mapping[str, float],
) -> dict[str, RegionLoad]:
    """Aggregate the service's endpoints by region.

    Evacuating regions and regions without a usable slot are left out.
    """
    slots_by_region: dict[str, float] = {}
    free_by_region: dict[str, float] = {}
    for endpoint in config.endpoints_by_service.get(service, ()):
        region = config.regions_by_name[endpoint.region]
        usable = usable_slots_by_endpoint.get(endpoint.name, 0.0)
        if endpoint.state != 'active' or region.evacuating or usable <= 0:
            continue
        slots_by_region[region.name] = slots_by_region.get(region.name, 0.0) + usable
        free = max(0.0, free_slots_by_endpoint.get(endpoint.name, 0.0))
        free_by_region[region.name] = free_by_region.get(region.name, 0.0) + free
    return {
        name: RegionLoad(
            usable_slots=slots,
            free_slots=free_by_region[name],
            refused_share=refused_by_region.get(name, 0.0),
        )
        for name, slots in slots_by_region.items()
    }


def target_shares(
    current_by_region: Mapping[str, float],
    loads_by_region: Mapping[str, RegionLoad],
    *,
    home_region: str,
) -> dict[str, float]:
    """Return the target split, or the current one if no region is usable.

    If no region is usable, moving would gain nothing and would use up the
    shift budget that is needed once a region recovers.
    """
    if not loads_by_region:
        return dict(current_by_region)
    shares = {
        region: _retained_share(share, loads_by_region.get(region))
        for region, share in current_by_region.items()
    }
    unplaced = 1.0 - sum(shares.values())
    home_load = loads_by_region.get(home_region)
    if home_load is not None and _can_take_back(home_load):
        returned_share = min(RETURN_HOME_STEP_SHARE, 1.0 - shares.get(home_region, 0.0))
        # Traffic that must be placed anyway goes home first, and then traffic
        # of the other regions.
        from_others = max(0.0, returned_share - unplaced)
        shares = _reduce_others(shares, from_others, keep=home_region)
        unplaced = max(0.0, unplaced - returned_share)
        shares[home_region] = shares.get(home_region, 0.0) + returned_share
    weights = _weights(loads_by_region)
    total = sum(weights.values())
    for region, weight in weights.items():
        shares[region] = shares.get(region, 0.0) + unplaced * weight / total
    return shares


def _retained_share(share: float, load: RegionLoad | None) -> float:
    if load is None:
        return 0.0
    if load.refused_share <= MAX_REFUSED_SHARE:
        return share
    return share * (1.0 - load.refused_share)


def _can_take_back(load: RegionLoad) -> bool:
    return (
        load.refused_share <= MAX_REFUSED_SHARE
        and load.free_slots >= load.usable_slots * RETURN_HOME_MIN_FREE_FRACTION
    )


def _reduce_others(shares: Mapping[str, float], amount: float, *, keep: str) -> dict[str, float]:
    others = sum(share for region, share in shares.items() if region != keep)
    if others <= 0:
        return dict(shares)
    fraction = max(0.0, 1.0 - amount / others)
    return {
        region: share if region == keep else share * fraction for region, share in shares.items()
    }


def _weights(loads_by_region: Mapping[str, RegionLoad]) -> dict[str, float]:
    """Return the regions' weights: their free slots, or all slots if none are free.

    Regions that refuse requests have no weight while another has free slots.
    """
    accepting = {name: load for name, load in loads_by_region.items() if not _is_refusing(load)}
    free = {name: load.free_slots for name, load in accepting.items() if load.free_slots > 0}
    return free or {name: load.usable_slots for name, load in loads_by_region.items()}


def _is_refusing(load: RegionLoad) -> bool:
    return load.refused_share > MAX_REFUSED_SHARE
