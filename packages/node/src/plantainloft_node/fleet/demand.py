"""Aggregates the demand and limit usage of the fleet's callers."""

from collections.abc import Iterable, Mapping

from plantainloft_node.endpoint_limits.limiter import FleetView
from plantainloft_node.fleet.heartbeat_table import ReceivedHeartbeat, ZoneDemand
from plantainloft_node.fleet.membership import DOWN_AFTER_S, FleetMembership
from plantainloft_node.limits.organisation_usage import OrganisationUsage, sum_usage
from plantainloft_node.limits.shares import FleetSize

__all__ = [
    'fleet_size',
    'fleet_view',
    'has_current_fleet_usage',
    'max_running_instances',
    'sum_fleet_usage',
    'zone_demand_by_name',
    'zone_demands',
    'zone_heartbeats',
    'zone_request_rates',
    'zone_usage',
]

# Fleet-wide usage that a relay reported is current for this long. Relays send it
# twice a second.
FRESH_USAGE_S = 0.8
# This long after the last reported usage, an instance's own sums count as current
# instead: an instance that becomes a relay is no longer sent fleet-wide usage.
REPORTED_USAGE_EXPIRY_S = 5.0


def zone_heartbeats(members: FleetMembership, now: float) -> list[ReceivedHeartbeat]:
    """Return the recent heartbeats of this instance's availability zone."""
    return members.heartbeats.since(now - DOWN_AFTER_S, zone=members.local_member.zone)


def zone_request_rates(
    heartbeats: Iterable[ReceivedHeartbeat], own_rates: Mapping[str, float]
) -> dict[str, float]:
    """Add up the request rates of this instance and of its availability zone.

    ``own_rates`` is this instance's requests per second by service.
    """
    total = dict(own_rates)
    for received in heartbeats:
        for service, rate in received.heartbeat.rate_by_service.items():
            total[service] = total.get(service, 0.0) + rate
    return total


def zone_usage(
    heartbeats: Iterable[ReceivedHeartbeat], own_usage: Mapping[int, OrganisationUsage]
) -> dict[int, OrganisationUsage]:
    """Add up the limit usage of this instance and of its availability zone.

    ``own_usage`` is what organisations use of their limits at this instance.
    """
    usage = [received.heartbeat.usage_by_organisation for received in heartbeats]
    return sum_usage((own_usage, *usage))


def sum_fleet_usage(
    members: FleetMembership, own_usage: Mapping[int, OrganisationUsage], now: float
) -> dict[int, OrganisationUsage]:
    """Return what organisations use of their limits in all availability zones."""
    reported = members.reported_usage
    if reported is not None and now - reported.at < DOWN_AFTER_S:
        return dict(reported.usage_by_organisation)
    demand_by_zone = members.zone_demands.by_zone(now)
    demand_by_zone.pop(members.local_member.zone, None)
    elsewhere = (zone.usage_by_organisation for zone in demand_by_zone.values())
    return sum_usage((zone_usage(zone_heartbeats(members, now), own_usage), *elsewhere))


def has_current_fleet_usage(members: FleetMembership, now: float) -> bool:
    """Return whether the fleet-wide usage known here is current.

    An instance that no relay reports usage to adds up the usage itself, which
    is always current.
    """
    reported = members.reported_usage
    if reported is None:
        return True
    age_s = now - reported.at
    return age_s < FRESH_USAGE_S or age_s >= REPORTED_USAGE_EXPIRY_S


def fleet_size(members: FleetMembership, now: float) -> FleetSize:
    """Return how many instances share limits, and how many of them report.

    An instance that receives no heartbeats counts only itself as reporting, even
    while the statuses of its peers have not expired yet.
    """
    counted = members.region_by_limit_sharer(now)
    if members.heartbeats.newest_received_at() <= now - DOWN_AFTER_S:
        return FleetSize(known=len(counted), reporting=bool(counted))
    up = sum(members.is_up(name, now) for name in counted)
    return FleetSize(known=len(counted), reporting=up + bool(counted))


def max_running_instances(members: FleetMembership, now: float) -> int:
    """Return how many instances may be running, this one included.

    Counts all that are known but those that have shut down, however long they have been
    silent: they may be running behind a partition. The result is 0 until the list of
    instances was read.
    """
    if not members.has_member_list:
        return 0
    shut_down = members.liveness.shut_down_names(now)
    return (
        1
        + members.registry.peer_count
        - sum(members.registry.get(name) is not None for name in shut_down)
    )


def fleet_view(
    members: FleetMembership, region_by_instance: Mapping[str, str], now: float
) -> FleetView:
    """Return which of ``region_by_instance`` can be reached, including this instance."""
    size = fleet_size(members, now)
    reachable = {name for name in region_by_instance if members.is_up(name, now)}
    return FleetView(
        region_by_instance=region_by_instance,
        reachable_instances=frozenset((*reachable, members.local_member.name)),
        reachable_fraction=size.reporting / size.known if size.known else 0.0,
    )


def zone_demands(
    members: FleetMembership, own_rates: Mapping[str, float], now: float
) -> list[ZoneDemand]:
    """Return the demand of each availability zone."""
    return list(zone_demand_by_name(members, own_rates, now).values())


def zone_demand_by_name(
    members: FleetMembership, own_rates: Mapping[str, float], now: float
) -> dict[str, ZoneDemand]:
    """Return the demand of each availability zone, by the zone's name."""
    demand_by_zone = members.zone_demands.by_zone(now)
    if members.local_member.zone not in demand_by_zone:
        rates = zone_request_rates(zone_heartbeats(members, now), own_rates)
        demand = ZoneDemand(members.local_member.region, rates)
        demand_by_zone[members.local_member.zone] = demand
    return demand_by_zone
