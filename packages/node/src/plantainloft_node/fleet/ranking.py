"""Which instances relay: the same for all who know the same of each other."""

from collections.abc import Iterable

from plantainloft_node.fleet.members import MemberBook
from plantainloft_node.fleet.reports import FleetMember
from plantainloft_node.placing.affinity import score

__all__ = ['RELAYS', 'asked_in', 'down_in', 'is_answering', 'ranked_in', 'relays_in']

# With two an availability zone, one may be lost, slow or cut off without
# anybody noticing.
RELAYS = 2
# So many more are told while relays are silent, after two missing reports.
STAND_BYS = 2
SILENT_AFTER_S = 1.2


def relays_in(zone: Iterable[FleetMember], members: MemberBook, now: float) -> list[FleetMember]:
    """Return the first in rank of those of ``zone`` that are up and stay.

    This instance counts as up; where nobody else is, it is a relay.
    """
    return ranked_in(zone, members, now)[:RELAYS]


def asked_in(zone: Iterable[FleetMember], members: MemberBook, now: float) -> list[FleetMember]:
    """Return whom of the own availability zone this instance tells of itself.

    Its relays, and the next in rank for each that has been silent for a
    moment. With both relays lost at once, those who wait until they are down
    would know of nobody in their availability zone till the next ones answer.
    """
    asked: list[FleetMember] = []
    answering = 0
    for member in ranked_in(zone, members, now)[: RELAYS + STAND_BYS]:
        if answering < RELAYS:
            asked.append(member)
            answering += member == members.me or is_answering(member, members, now)
    return [member for member in asked if member != members.me]


def down_in(zone: Iterable[FleetMember], members: MemberBook, now: float) -> list[FleetMember]:
    """Return the others of ``zone`` that are not up."""
    return [one for one in zone if one != members.me and not members.is_up(one.name, now)]


def ranked_in(zone: Iterable[FleetMember], members: MemberBook, now: float) -> list[FleetMember]:
    """Return those of ``zone`` that are up and stay, this instance included, by rank."""
    staying = [one for one in zone if one == members.me or _stays(one, members, now)]
    return sorted(staying, key=_rank, reverse=True)


def _rank(member: FleetMember) -> tuple[int, str]:
    return score('relay', member.name), member.name


def is_answering(member: FleetMember, members: MemberBook, now: float) -> bool:
    """Return whether ``member`` was heard here a moment ago."""
    heard_at = members.heard.at(member.name)
    return heard_at is not None and now - heard_at < SILENT_AFTER_S


def _stays(member: FleetMember, members: MemberBook, now: float) -> bool:
    return members.is_up(member.name, now) and not members.signs.is_leaving(member.name)
