"""Plans which reports are sent to whom, by way of two relays per zone.

If each instance reported to all others, the datagrams that each one reads would
grow with the fleet and the total with its square; at hundreds of instances this
would take most of the processor time. Instead, an instance reports to the two
relays of its availability zone, which are the same for all instances with the
same view of the membership. A relay reports the instances that send it
heartbeats to all instances that report to it, exchanges reports with the relays
of the other availability zones, and forwards those reports within its own zone.

There is no election: any instance that receives a report answers it, and all
instances report to the highest ranked ones. A relay that stays silent counts as
down, and the next in rank takes its place.
"""

import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, TypeVar

from plantainloft_node.endpoint_limits.registry import EndpointLimitRegistry
from plantainloft_node.fleet.capacity_codec import (
    MAX_CAPACITIES_PER_DATAGRAM,
    pack_capacities,
)
from plantainloft_node.fleet.datagrams import (
    MAX_GROUPS_PER_DATAGRAM,
    MAX_LIMITS_PER_DATAGRAM,
    PackedReport,
    pack_datagrams,
    pack_endpoint_limits,
)
from plantainloft_node.fleet.demand import (
    sum_fleet_usage,
    zone_heartbeats,
    zone_request_rates,
    zone_usage,
)
from plantainloft_node.fleet.heartbeat_table import ReceivedHeartbeat
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.fleet.relay_selection import (
    RELAYS_PER_ZONE,
    down_members,
    report_targets,
    zone_relays,
)
from plantainloft_node.fleet.report_codec import pack_report
from plantainloft_node.fleet.report_receiver import ReportReceiver
from plantainloft_node.fleet.report_timings import CROSS_REGION_INTERVAL_S, ROUND_JITTER_S
from plantainloft_node.fleet.reports import (
    CapacityReport,
    FleetMember,
    Heartbeat,
    MemberStatus,
    ZoneReport,
    member_key,
)
from plantainloft_node.quarantine.crash_registry import CrashRegistry

__all__ = ['OutgoingDatagram', 'ReportPlanner']

MAX_INTRODUCED_PER_REPORT = 6
_Report = TypeVar('_Report')


class OutgoingDatagram(NamedTuple):
    """A datagram to send to ``address`` (``host:port``)."""

    address: str
    packed: bytes


class ReportPlanner:
    """Decides which datagrams this instance sends in each round.

    Performs no network I/O; all times are in seconds of the same clock.
    """

    def __init__(
        self,
        *,
        members: FleetMembership,
        report_receiver: ReportReceiver,
        own_heartbeat: Callable[[], Heartbeat],
        seeds: tuple[str, ...],
        rng: random.Random,
        crash_registry: CrashRegistry,
        endpoint_limits: EndpointLimitRegistry,
    ) -> None:
        """``own_heartbeat`` returns the current heartbeat of this instance."""
        self._endpoint_limits = endpoint_limits
        self._limit_rounds = itertools.count()
        self._capacity_rounds = itertools.count()
        self._crash_registry = crash_registry
        self._members = members
        self._report_receiver = report_receiver
        self._own_heartbeat = own_heartbeat
        self._seeds = tuple(
            seed for seed in seeds if seed != members.local_member.heartbeat_address
        )
        self._rng = rng
        self._sequence = 0
        self._cross_region_sent_at = float('-inf')

    def plan_round(self, now: float, *, include_not_due: bool = False) -> list[OutgoingDatagram]:
        """Return the datagrams of a round; ``include_not_due`` includes those not due yet."""
        members_by_zone = self._members.registry.by_zone()
        zone = members_by_zone.pop(self._members.local_member.zone)
        relays = zone_relays(zone, self._members, now)
        is_relay = self._members.local_member in relays
        subscribers = self._report_receiver.subscribers(now)
        own = self._own_report(now, is_full=is_relay or bool(subscribers))
        addresses = [
            member.heartbeat_address for member in report_targets(zone, self._members, now)
        ]
        if is_relay:
            addresses += self._addresses_to_probe(zone, now)
        if not self._members.peers_up(now):
            addresses += self._seeds
        # The other relay gets the reports of other zones from their senders, so
        # a relay forwards them only to subscribers that are not relays. An instance
        # that is not a relay but receives reports from other zones forwards them to
        # the relays: the senders may not know the relays yet and would never send
        # to them.
        non_relay_addresses = [
            member.heartbeat_address for member in subscribers if member not in relays
        ]
        forwarded = (
            []
            if is_relay and not non_relay_addresses
            else self._report_receiver.reports_to_forward(now)
        )
        reports = [own] if is_relay else [own, *forwarded]
        datagrams = self._datagrams(reports, addresses, wants_reports=True)
        if non_relay_addresses:
            datagrams += self._subscriber_datagrams([own, *forwarded], non_relay_addresses, now)
        if is_relay:
            remote_addresses = self._remote_addresses(
                members_by_zone.values(), now, include_not_due=include_not_due
            )
            datagrams += self._datagrams([own], remote_addresses, wants_reports=False)
        capacities = self._capacity_datagrams(datagrams, now, is_full=is_relay or bool(subscribers))
        return datagrams + self._endpoint_limit_datagrams(datagrams, now) + capacities

    def datagrams_for_subscribers(self, now: float) -> list[OutgoingDatagram]:
        """Return the datagrams to send now to subscribers that are not relays."""
        relays = zone_relays(
            self._members.registry.by_zone()[self._members.local_member.zone], self._members, now
        )
        non_relay_addresses = [
            member.heartbeat_address
            for member in self._report_receiver.subscribers(now)
            if member not in relays
        ]
        if not non_relay_addresses:
            return []
        return self._subscriber_datagrams(
            [self._own_report(now, is_full=True)], non_relay_addresses, now
        )

    def _endpoint_limit_datagrams(
        self, datagrams: Iterable[OutgoingDatagram], now: float
    ) -> list[OutgoingDatagram]:
        """Return what is known of endpoints' limits, for each receiver of ``datagrams``.

        Limits that don't fit into one datagram take turns.
        """
        if not self._endpoint_limits:
            return []
        round_number = next(self._limit_rounds)
        packed = pack_endpoint_limits(
            self._members.local_member.name,
            _rotated(self._endpoint_limits.reports(now), round_number * MAX_LIMITS_PER_DATAGRAM),
            _rotated(
                self._endpoint_limits.claims.reports(now), round_number * MAX_GROUPS_PER_DATAGRAM
            ),
        )
        addresses = dict.fromkeys(datagram.address for datagram in datagrams)
        return [OutgoingDatagram(address, packed) for address in addresses]

    def _capacity_datagrams(
        self, datagrams: Iterable[OutgoingDatagram], now: float, *, is_full: bool
    ) -> list[OutgoingDatagram]:
        """Return the capacity of this instance, for each receiver of ``datagrams``.

        If ``is_full``, also what is known of others: its availability zone in each round,
        and as many of the rest in turn as fit.
        """
        own_capacity = self._own_heartbeat().capacity
        if own_capacity is None:
            return []
        local_member = self._members.local_member
        reports = [CapacityReport(member_key(local_member), own_capacity, 0.0)]
        if is_full:
            reports += self._other_capacities(now)
        packed = pack_capacities(local_member.name, reports)
        addresses = dict.fromkeys(datagram.address for datagram in datagrams)
        return [OutgoingDatagram(address, packed) for address in addresses]

    def _other_capacities(self, now: float) -> list[CapacityReport]:
        registry = self._members.registry
        in_zone: list[CapacityReport] = []
        elsewhere: list[CapacityReport] = []
        for report in self._members.capacities.reports(now):
            member = registry.get(registry.name_of(report.key) or '')
            if member is not None:
                is_own_zone = member.zone == self._members.local_member.zone
                (in_zone if is_own_zone else elsewhere).append(report)
        left = max(1, MAX_CAPACITIES_PER_DATAGRAM - 1 - len(in_zone))
        return in_zone + _rotated(elsewhere, next(self._capacity_rounds) * left)

    def _own_report(self, now: float, *, is_full: bool) -> PackedReport:
        self._sequence += 1
        heartbeat = self._own_heartbeat()
        crashes = tuple(self._crash_registry.next_reports(now))
        report = ZoneReport(self._sequence, heartbeat, {}, (), (), crashes)
        if is_full:
            heartbeats = zone_heartbeats(self._members, now)
            report = report._replace(
                zone_rate_by_service=zone_request_rates(heartbeats, heartbeat.rate_by_service),
                statuses=_member_statuses(heartbeats, heartbeat, now),
                introduced=self._introduced(now),
                zone_usage_by_organisation=zone_usage(heartbeats, heartbeat.usage_by_organisation),
            )
        return PackedReport(pack_report(report), 0.0)

    def _introduced(self, now: float) -> tuple[FleetMember, ...]:
        recently_joined = self._report_receiver.recently_joined(now)
        return tuple(
            self._rng.sample(recently_joined, min(MAX_INTRODUCED_PER_REPORT, len(recently_joined)))
        )

    def _addresses_to_probe(self, zone: list[FleetMember], now: float) -> list[str]:
        """Return the address of one random instance of this zone that is not up.

        After a partition inside the zone each side has its own relays and learns
        of no other instances. Without these probes the sides would never merge.
        """
        return self._sample_addresses(down_members(zone, self._members, now), count=1)

    def _remote_addresses(
        self, zones: Iterable[list[FleetMember]], now: float, *, include_not_due: bool
    ) -> list[str]:
        is_cross_region_due = (
            include_not_due
            or now - self._cross_region_sent_at >= CROSS_REGION_INTERVAL_S - ROUND_JITTER_S
        )
        if is_cross_region_due:
            self._cross_region_sent_at = now
        addresses: list[str] = []
        for zone in zones:
            if is_cross_region_due or zone[0].region == self._members.local_member.region:
                addresses += self._remote_zone_addresses(zone, now)
        return addresses

    def _remote_zone_addresses(self, zone: list[FleetMember], now: float) -> list[str]:
        relays = zone_relays(zone, self._members, now)
        if relays:
            return [member.heartbeat_address for member in relays]
        # No instance of the zone is known to be up. The first one reached reports
        # to the others.
        return self._sample_addresses(down_members(zone, self._members, now), count=RELAYS_PER_ZONE)

    def _sample_addresses(self, members: list[FleetMember], *, count: int) -> list[str]:
        sample = self._rng.sample(members, min(count, len(members)))
        return [member.heartbeat_address for member in sample]

    def _subscriber_datagrams(
        self, reports: list[PackedReport], addresses: Iterable[str], now: float
    ) -> list[OutgoingDatagram]:
        # Reports of other zones reach subscribers late, so each round includes
        # the fleet-wide usage.
        usage = sum_fleet_usage(self._members, self._own_heartbeat().usage_by_organisation, now)
        packed_datagrams = pack_datagrams(
            self._members.local_member.name, wants_reports=False, reports=reports, fleet_usage=usage
        )
        return [
            OutgoingDatagram(address, packed)
            for address in addresses
            for packed in packed_datagrams
        ]

    def _datagrams(
        self, reports: list[PackedReport], addresses: Iterable[str], *, wants_reports: bool
    ) -> list[OutgoingDatagram]:
        name = self._members.local_member.name
        packed_datagrams = pack_datagrams(name, wants_reports=wants_reports, reports=reports)
        return [
            OutgoingDatagram(address, packed)
            for address in addresses
            for packed in packed_datagrams
        ]


def _rotated(reports: Sequence[_Report], start: int) -> list[_Report]:
    """Return ``reports`` beginning with the one at ``start``, modulo their number."""
    if not reports:
        return []
    first = start % len(reports)
    return [*reports[first:], *reports[:first]]


def _member_statuses(
    heartbeats: Iterable[ReceivedHeartbeat], own: Heartbeat, now: float
) -> tuple[MemberStatus, ...]:
    return (
        _member_status(own, 0.0),
        *(_member_status(received.heartbeat, now - received.at) for received in heartbeats),
    )


def _member_status(heartbeat: Heartbeat, age_s: float) -> MemberStatus:
    return MemberStatus(
        key=member_key(heartbeat.member),
        ready=heartbeat.ready,
        draining=heartbeat.draining,
        polls_store=heartbeat.polls_store,
        age_s=age_s,
    )
