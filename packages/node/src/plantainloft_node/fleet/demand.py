"""The demand of the fleet's callers, by availability zone."""

from collections.abc import Mapping

from plantainloft_node.fleet.heard import ZoneDemand
from plantainloft_node.fleet.members import DOWN_AFTER_S, MemberBook

__all__ = ['demand_of_zones', 'rates_in_zone']


def rates_in_zone(members: MemberBook, mine: Mapping[str, float], now: float) -> dict[str, float]:
    """Add up this instance's rates and those heard in its availability zone.

    ``mine``: this instance's requests a second by service.
    """
    total = dict(mine)
    for heard in members.heard.since(now - DOWN_AFTER_S, zone=members.me.zone):
        for service, rate in heard.beat.rate_by_service.items():
            total[service] = total.get(service, 0.0) + rate
    return total


def demand_of_zones(members: MemberBook, mine: Mapping[str, float], now: float) -> list[ZoneDemand]:
    """Return the demand of each availability zone."""
    demand_by_zone = members.demands.by_zone(now)
    if members.me.zone not in demand_by_zone:
        heard = ZoneDemand(members.me.region, rates_in_zone(members, mine, now))
        demand_by_zone[members.me.zone] = heard
    return list(demand_by_zone.values())
