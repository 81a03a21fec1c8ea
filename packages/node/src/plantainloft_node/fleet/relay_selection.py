"""Selects the relays of an availability zone by rendezvous hashing.

Instances with the same view of the membership select the same relays.
"""

from collections.abc import Iterable
from functools import lru_cache

from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.fleet.reports import FleetMember
from plantainloft_node.placement.rendezvous import rendezvous_score

__all__ = [
    'RELAYS_PER_ZONE',
    'down_members',
    'is_responsive',
    'ranked_members',
    'report_targets',
    'zone_relays',
]

# Relays per availability zone. With two, one may be lost, slow or partitioned
# without effect.
RELAYS_PER_ZONE = 2
# The most additional instances that receive reports while relays are unresponsive.
MAX_STANDBYS = 2
# Two reports in a row are missing.
UNRESPONSIVE_AFTER_S = 1.2
# Each poll of the store ranks the instances of the zone.
MAX_CACHED_SCORES = 4096


def zone_relays(
    zone: Iterable[FleetMember], members: FleetMembership, now: float
) -> list[FleetMember]:
    """Return the relays of ``zone``: its highest ranked instances.

    Only instances that are up and not draining are considered. This instance,
    if it is in ``zone``, always counts as one of them, so it is a relay if it is
    alone there.
    """
    return ranked_members(zone, members, now)[:RELAYS_PER_ZONE]


def report_targets(
    zone: Iterable[FleetMember], members: FleetMembership, now: float
) -> list[FleetMember]:
    """Return the instances of its own zone that this instance sends reports to.

    These are the relays, and the next in rank for each relay that has become
    unresponsive. If both relays were lost at once and the next ones got reports
    only after the relays count as down, this instance would know of no others in
    its zone until the next ones answer.
    """
    targets: list[FleetMember] = []
    responsive = 0
    for member in ranked_members(zone, members, now)[: RELAYS_PER_ZONE + MAX_STANDBYS]:
        if responsive < RELAYS_PER_ZONE:
            targets.append(member)
            responsive += member == members.local_member or is_responsive(member, members, now)
    return [member for member in targets if member != members.local_member]


def down_members(
    zone: Iterable[FleetMember], members: FleetMembership, now: float
) -> list[FleetMember]:
    """Return the other instances of ``zone`` that are not up."""
    return [
        member
        for member in zone
        if member != members.local_member and not members.is_up(member.name, now)
    ]


def ranked_members(
    zone: Iterable[FleetMember], members: FleetMembership, now: float
) -> list[FleetMember]:
    """Return the instances of ``zone`` that are up and not draining, by rank.

    Includes this instance if it is in ``zone``.
    """
    not_draining = [
        member
        for member in zone
        if member == members.local_member or _is_up_and_not_draining(member, members, now)
    ]
    return sorted(not_draining, key=_rank, reverse=True)


def _rank(member: FleetMember) -> tuple[int, str]:
    return _relay_score(member.name), member.name


@lru_cache(maxsize=MAX_CACHED_SCORES)
def _relay_score(name: str) -> int:
    return rendezvous_score('relay', name)


def is_responsive(member: FleetMember, members: FleetMembership, now: float) -> bool:
    """Return whether ``member`` has recently sent a heartbeat to this instance."""
    received_at = members.heartbeats.received_at(member.name)
    return received_at is not None and now - received_at < UNRESPONSIVE_AFTER_S


def _is_up_and_not_draining(member: FleetMember, members: FleetMembership, now: float) -> bool:
    return members.is_up(member.name, now) and not members.liveness.is_draining(member.name)
