"""Data exchanged between entry instances: heartbeats and zone reports."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition
from plantainloft_node.capacity.usage import InstanceCapacity
from plantainloft_node.limits.organisation_usage import OrganisationUsage
from plantainloft_node.placement.rendezvous import rendezvous_score
from plantainloft_node.quarantine.crash_records import CrashReport

__all__ = [
    'NO_USAGE',
    'CapacityReport',
    'FleetMember',
    'Heartbeat',
    'MemberStatus',
    'ZoneReport',
    'member_key',
]

NO_USAGE: Mapping[int, OrganisationUsage] = MappingProxyType({})


class FleetMember(NamedTuple):
    """An entry instance: its location, its addresses and its ``incarnation``.

    ``incarnation`` is the time of its start. ``caller_address`` is the address for callers,
    ``heartbeat_address`` the one for heartbeats and calls between instances; both are
    ``host:port``.
    """

    name: str
    incarnation: int
    region: str
    zone: str
    caller_address: str
    heartbeat_address: str


class Heartbeat(NamedTuple):
    """The heartbeat of an instance, sent twice a second.

    ``position_by_table`` has the newest row that the instance knows of each table that it
    has read in ``era``, the current era of the store as far as it knows. ``holds_rows`` says
    whether it holds rows that the store has lost by returning from a copy.
    ``rate_by_service`` has its callers' requests per second. ``polls_store`` says
    whether it polls the store and reaches it. ``store_available_for_s`` is how long the
    store has been available as far as the instance knows, in seconds, or ``None``
    while it is unavailable. ``usage_by_organisation`` is what the organisations of
    its callers use of their limits, by organisation number. ``capacity`` is what the
    instance has and uses; ``None`` while overload control is off. It is sent in datagrams
    of its own.
    """

    member: FleetMember
    ready: bool
    draining: bool
    position_by_table: Mapping[str, StorePosition]
    rate_by_service: dict[str, float]
    polls_store: bool = False
    store_available_for_s: float | None = None
    usage_by_organisation: Mapping[int, OrganisationUsage] = NO_USAGE
    era: int = UNKNOWN_ERA
    holds_rows: bool = False
    capacity: InstanceCapacity | None = None


class MemberStatus(NamedTuple):
    """The status of an instance, from the heartbeat that was received ``age_s`` ago.

    ``key`` is the ``member_key`` of the instance.
    """

    key: int
    ready: bool
    draining: bool
    polls_store: bool
    age_s: float


class CapacityReport(NamedTuple):
    """The capacity of an instance and its use, as of ``age_s`` seconds ago.

    ``key`` is the ``member_key`` of the instance.
    """

    key: int
    capacity: InstanceCapacity
    age_s: float


class ZoneReport(NamedTuple):
    """A heartbeat, and the sender's view of its availability zone.

    ``sequence`` increases with each report of one incarnation of the sender.
    ``statuses`` are the instances of the sender's availability zone that send it
    heartbeats, ``zone_rate_by_service`` their callers' requests per second, and
    ``zone_usage_by_organisation`` what organisations use of their limits in that
    zone. All three are empty if the sender receives no heartbeats.

    ``introduced`` has the full records of instances that have just joined, so that
    receivers need not look up their keys. ``crashes`` are the endpoint crashes
    during requests, as far as the sender knows of them.
    """

    sequence: int
    heartbeat: Heartbeat
    zone_rate_by_service: dict[str, float]
    statuses: tuple[MemberStatus, ...]
    introduced: tuple[FleetMember, ...]
    crashes: tuple[CrashReport, ...] = ()
    zone_usage_by_organisation: Mapping[int, OrganisationUsage] = NO_USAGE


def member_key(member: FleetMember) -> int:
    """Return the 32-bit key that identifies one incarnation of an instance."""
    return rendezvous_score(member.name, str(member.incarnation))
