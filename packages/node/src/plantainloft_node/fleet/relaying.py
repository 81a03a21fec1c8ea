"""Plans which reports are sent to whom, by way of two relays per zone.

If each instance reported to all others, the datagrams that each one reads would
grow with the fleet and the total with its square; at hundreds of instances this
would take most of the processor time. Instead, an instance reports to the two
relays of its availability zone, which are the same for all instances with the
same view of the membership. A relay reports the instances that it hears from to
all instances that report to it, exchanges reports with the relays of the other
availability zones, and forwards those reports within its own zone.

There is no election: any instance that receives a report answers it, and all
instances report to the highest ranked ones. A relay that stays silent counts as
down, and the next in rank takes its place.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from plantainloft_node.fleet.datagrams import PackedReport, pack_datagrams
from plantainloft_node.fleet.demand import (
    uses_of_fleet,
    zone_heartbeats,
    zone_request_rates,
    zone_usage,
)
from plantainloft_node.fleet.heard import ReceivedHeartbeat
from plantainloft_node.fleet.intake import Intake
from plantainloft_node.fleet.members import MemberBook
from plantainloft_node.fleet.ranking import RELAYS, down_members, relays_in, report_targets
from plantainloft_node.fleet.report_codec import pack_report
from plantainloft_node.fleet.reports import Beat, FleetMember, MemberStatus, ZoneReport, member_key
from plantainloft_node.quarantine.crash_book import CrashRegistry

__all__ = ['Message', 'Relaying']

# Other regions are sent a report every second round: traffic between regions
# costs more, and their instances are not named to this region's callers.
CROSS_REGION_INTERVAL_S = 1.0
# Rounds may run slightly early. Whatever is due within this time is sent now
# instead of being delayed by a whole round.
ROUND_JITTER_S = 0.1
MAX_INTRODUCED_PER_REPORT = 6


class Message(NamedTuple):
    """A datagram to send to ``address`` (``host:port``)."""

    address: str
    packed: bytes


class Relaying:
    """Decides which datagrams this instance sends in each round.

    Performs no network I/O; all times are in seconds of the same clock.
    """

    def __init__(
        self,
        *,
        members: MemberBook,
        intake: Intake,
        state: Callable[[], Beat],
        seeds: tuple[str, ...],
        chance: random.Random,
        crash_registry: CrashRegistry,
    ) -> None:
        """``state`` returns the current heartbeat of this instance."""
        self._crash_registry = crash_registry
        self._members = members
        self._intake = intake
        self._state = state
        self._seeds = tuple(seed for seed in seeds if seed != members.me.peer)
        self._chance = chance
        self._sequence = 0
        self._cross_region_sent_at = float('-inf')

    def round(self, now: float, *, to_all: bool = False) -> list[Message]:
        """Return the datagrams of a round; ``to_all`` includes those not due yet."""
        members_by_zone = self._members.known.by_zone()
        zone = members_by_zone.pop(self._members.me.zone)
        relays = relays_in(zone, self._members, now)
        is_relay = self._members.me in relays
        subscribers = self._intake.subscribers(now)
        own = self._own_report(now, is_full=is_relay or bool(subscribers))
        targets = [member.peer for member in report_targets(zone, self._members, now)]
        if is_relay:
            targets += self._members_to_probe(zone, now)
        if not self._members.up(now):
            targets += self._seeds
        # The other relay gets the reports of other zones from their senders, so
        # they are forwarded to subscribers that are not relays. An instance that
        # is not a relay but receives reports from other zones forwards them to the
        # relays: the senders may not know the relays yet and would never send to
        # them.
        non_relay_subscribers = [member.peer for member in subscribers if member not in relays]
        forwarded = (
            [] if is_relay and not non_relay_subscribers else self._intake.reports_to_forward(now)
        )
        reports = [own] if is_relay else [own, *forwarded]
        messages = self._messages(reports, targets, wants_reports=True)
        if non_relay_subscribers:
            messages += self._subscriber_messages([own, *forwarded], non_relay_subscribers, now)
        if is_relay:
            remote_targets = self._remote_targets(members_by_zone.values(), now, to_all=to_all)
            messages += self._messages([own], remote_targets, wants_reports=False)
        return messages

    def to_readers(self, now: float) -> list[Message]:
        """Return the datagrams to send now to subscribers that are not relays."""
        relays = relays_in(self._members.known.by_zone()[self._members.me.zone], self._members, now)
        non_relay_subscribers = [
            member.peer for member in self._intake.subscribers(now) if member not in relays
        ]
        if not non_relay_subscribers:
            return []
        return self._subscriber_messages(
            [self._own_report(now, is_full=True)], non_relay_subscribers, now
        )

    def _own_report(self, now: float, *, is_full: bool) -> PackedReport:
        self._sequence += 1
        beat = self._state()
        crashes = tuple(self._crash_registry.next_reports(now))
        report = ZoneReport(self._sequence, beat, {}, (), (), crashes)
        if is_full:
            heartbeats = zone_heartbeats(self._members, now)
            report = report._replace(
                zone_rate_by_service=zone_request_rates(heartbeats, beat.rate_by_service),
                statuses=_member_statuses(heartbeats, beat, now),
                introduced=self._introduced(now),
                zone_usage_by_organisation=zone_usage(heartbeats, beat.usage_by_organisation),
            )
        return PackedReport(pack_report(report), 0.0)

    def _introduced(self, now: float) -> tuple[FleetMember, ...]:
        recently_joined = self._intake.recently_joined(now)
        return tuple(
            self._chance.sample(
                recently_joined, min(MAX_INTRODUCED_PER_REPORT, len(recently_joined))
            )
        )

    def _members_to_probe(self, zone: list[FleetMember], now: float) -> list[str]:
        """Return the address of one random instance of this zone that is not up.

        After a partition inside the zone each side has its own relays and hears
        of no other instances. Without these probes the sides would never merge.
        """
        return self._sample_addresses(down_members(zone, self._members, now), count=1)

    def _remote_targets(
        self, zones: Iterable[list[FleetMember]], now: float, *, to_all: bool
    ) -> list[str]:
        is_cross_region_due = (
            to_all or now - self._cross_region_sent_at >= CROSS_REGION_INTERVAL_S - ROUND_JITTER_S
        )
        if is_cross_region_due:
            self._cross_region_sent_at = now
        targets: list[str] = []
        for zone in zones:
            if is_cross_region_due or zone[0].region == self._members.me.region:
                targets += self._remote_zone_targets(zone, now)
        return targets

    def _remote_zone_targets(self, zone: list[FleetMember], now: float) -> list[str]:
        relays = relays_in(zone, self._members, now)
        if relays:
            return [member.peer for member in relays]
        # No instance of the zone is known to be up. The first one reached reports
        # to the others.
        return self._sample_addresses(down_members(zone, self._members, now), count=RELAYS)

    def _sample_addresses(self, members: list[FleetMember], *, count: int) -> list[str]:
        sample = self._chance.sample(members, min(count, len(members)))
        return [member.peer for member in sample]

    def _subscriber_messages(
        self, reports: list[PackedReport], subscribers: Iterable[str], now: float
    ) -> list[Message]:
        # Reports of other zones reach subscribers late, so each round includes
        # the fleet-wide usage.
        usage = uses_of_fleet(self._members, self._state().usage_by_organisation, now)
        datagrams = pack_datagrams(
            self._members.me.name, wants_reports=False, reports=reports, fleet_usage=usage
        )
        return [Message(address, datagram) for address in subscribers for datagram in datagrams]

    def _messages(
        self, reports: list[PackedReport], addresses: Iterable[str], *, wants_reports: bool
    ) -> list[Message]:
        name = self._members.me.name
        datagrams = pack_datagrams(name, wants_reports=wants_reports, reports=reports)
        return [Message(address, datagram) for address in addresses for datagram in datagrams]


def _member_statuses(
    heartbeats: Iterable[ReceivedHeartbeat], own: Beat, now: float
) -> tuple[MemberStatus, ...]:
    return (
        _member_status(own, 0.0),
        *(_member_status(received.beat, now - received.at) for received in heartbeats),
    )


def _member_status(beat: Beat, age_s: float) -> MemberStatus:
    return MemberStatus(
        key=member_key(beat.member),
        ready=beat.ready,
        leaving=beat.leaving,
        follows=beat.follows,
        age_s=age_s,
    )
