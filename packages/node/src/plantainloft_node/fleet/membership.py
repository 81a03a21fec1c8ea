"""Fleet membership: the known entry instances and which of them are up."""

from collections.abc import Mapping
from typing import NamedTuple

from plantainloft_node.fleet.capacity_table import CapacityTable
from plantainloft_node.fleet.heartbeat_table import (
    HeartbeatTable,
    ReportedUsage,
    ZoneDemand,
    ZoneDemandTable,
)
from plantainloft_node.fleet.liveness import Liveness, LivenessTable
from plantainloft_node.fleet.member_registry import MemberRegistry
from plantainloft_node.fleet.report_timings import DEFAULT_REPORT_TIMINGS, ReportTimings
from plantainloft_node.fleet.reports import FleetMember, Heartbeat, MemberStatus, ZoneReport

__all__ = ['DOWN_AFTER_S', 'REPLACED_AFTER_S', 'FleetMember', 'FleetMembership', 'Heartbeat']

# Heartbeats are sent twice a second and some are lost: an instance counts as
# down when three in a row are missing. Callers that are sent to an instance
# that is down wait a whole second for a connection.
DOWN_AFTER_S = 1.8
# The same for an instance that relays of the same region report, counted from
# its last heartbeat to them. Reports also come twice a second, from two relays.
INDIRECT_DOWN_AFTER_S = 2.3
# The same for an instance that relays of another region report, once a second.
CROSS_REGION_DOWN_AFTER_S = 3.0
# An instance not heard from for this long no longer counts for shared limits.
UNCOUNTED_AFTER_S = 60.0
# Those that count are determined again at least this often. An instance that no longer
# counts takes a part of shared limits until then, which keeps within them.
LIMIT_SHARERS_INTERVAL_S = 1.0
# An instance not heard from for this long counts as replaced, not partitioned:
# users plan for region outages of up to an hour, and an instance that returns
# from a longer one registers again by its heartbeats.
REPLACED_AFTER_S = 7200.0


class _LimitSharers(NamedTuple):
    """The regions of the instances that share limits, as of revisions of the membership."""

    region_by_name: Mapping[str, str]
    revisions: tuple[int, int]
    until: float


class FleetMembership:
    """All known instances, their liveness, and the demand of their zones."""

    def __init__(
        self, *, local_member: FleetMember, timings: ReportTimings = DEFAULT_REPORT_TIMINGS
    ) -> None:
        self.local_member = local_member
        self.timings = timings
        self.registry = MemberRegistry(local_member=local_member)
        self.liveness = LivenessTable()
        self.heartbeats = HeartbeatTable()
        self.zone_demands = ZoneDemandTable()
        self.capacities = CapacityTable()
        self.reported_usage: ReportedUsage | None = None
        self._added_at_by_name: dict[str, float] = {}
        self._limit_sharers: _LimitSharers | None = None
        # Whether the list of all instances was read since this process started.
        self.has_member_list = False

    def add_member(self, member: FleetMember, now: float) -> bool:
        """Add an instance reported by others; return whether it is new."""
        if member.name == self.local_member.name:
            return False
        known = self.registry.get(member.name)
        if known is not None and not self._supersedes(member, known, now):
            return False
        self._register(member)
        self._added_at_by_name[member.name] = now
        return known is None

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return whether its sender was unknown or down."""
        name = heartbeat.member.name
        if name == self.local_member.name:
            return False
        known = self.registry.get(name)
        is_same_incarnation = (
            known is not None and known.incarnation == heartbeat.member.incarnation
        )
        if (
            known is not None
            and not is_same_incarnation
            and not self._supersedes(heartbeat.member, known, now)
        ):
            return False
        self._register(heartbeat.member)
        self.heartbeats.put(heartbeat, now)
        until = now + DOWN_AFTER_S
        liveness = Liveness(
            heartbeat.ready,
            heartbeat.draining,
            heartbeat.polls_store,
            at=now,
            until=until,
            since=now,
        )
        return self.liveness.record(name, liveness, now)

    def apply_report(
        self, report: ZoneReport, now: float, *, forwarder_held_s: float | None
    ) -> None:
        """Apply what a report says about other instances.

        ``forwarder_held_s`` is how long the forwarder held the report, in seconds;
        ``None`` if its sender sent it directly.
        """
        sender = report.heartbeat.member
        for member in (sender, *report.introduced):
            self.add_member(member, now)
        timeout_s = _liveness_timeout_s(
            self.timings,
            is_same_region=sender.region == self.local_member.region,
            is_forwarded=forwarder_held_s is not None,
        )
        sent_at = now - (forwarder_held_s or 0.0)
        for status in report.statuses:
            self._apply_status(status, sent_at, timeout_s, now)
        if report.statuses:
            demand = ZoneDemand(
                sender.region, report.zone_rate_by_service, report.zone_usage_by_organisation
            )
            self.zone_demands.put(sender.zone, demand, at=sent_at, until=sent_at + timeout_s)

    def is_up(self, name: str, now: float) -> bool:
        """Return whether ``name`` is up, by its heartbeats here or at a peer."""
        return self.liveness.is_up(name, now)

    def peers(self) -> list[FleetMember]:
        """Return all known instances except this one."""
        return self.registry.peers()

    def peers_sharing_limits(self, now: float) -> list[FleetMember]:
        """Return the other instances that count for shared limits."""
        return [member for member in self.peers() if self._shares_limits(member.name, now)]

    def is_replaced(self, name: str, now: float) -> bool:
        """Return whether ``name`` is known and silent for ``REPLACED_AFTER_S``."""
        known = self.registry.get(name)
        return known is not None and now - self._last_seen_at(name, now) >= REPLACED_AFTER_S

    def remove_replaced(self, now: float) -> list[str]:
        """Remove the replaced instances; return their names.

        Addresses are not reused. Without the removal, heartbeats would go to
        thousands of dead addresses after years of replaced instances.
        """
        replaced = [member.name for member in self.peers() if self.is_replaced(member.name, now)]
        for name in replaced:
            self.registry.drop(name)
            self.liveness.drop(name)
            self.heartbeats.drop(name)
            self._added_at_by_name.pop(name, None)
        return replaced

    def peers_up(self, now: float) -> list[FleetMember]:
        """Return the other instances that are up."""
        return [member for member in self.peers() if self.liveness.is_up(member.name, now)]

    def serving_peers(self, now: float) -> list[FleetMember]:
        """Return the other instances that are up, ready and not draining."""
        return [member for member in self.peers_up(now) if self.liveness.is_available(member.name)]

    def region_by_limit_sharer(self, now: float) -> Mapping[str, str]:
        """Return the regions of the instances that share limits, by instance name.

        Includes this instance. Instances that are listed but have sent no
        heartbeat count as well: an instance that has just restarted has received
        none yet, and would otherwise use the shares of all. Partitioned instances
        count because they may go on sending requests. The result is empty until
        the list of instances was read, as no share is known before.
        """
        if not self.has_member_list:
            return {}
        revisions = (self.registry.revision, self.liveness.revision)
        known = self._limit_sharers
        if known is None or known.revisions != revisions or now >= known.until:
            sharers = sorted((*self.peers_sharing_limits(now), self.local_member))
            known = _LimitSharers(
                {member.name: member.region for member in sharers},
                revisions,
                now + LIMIT_SHARERS_INTERVAL_S,
            )
            self._limit_sharers = known
        return known.region_by_name

    def _register(self, member: FleetMember) -> None:
        if self.registry.put(member):
            # The status of the former incarnation, such as draining, is obsolete.
            self.liveness.drop(member.name)
            self.heartbeats.drop(member.name)

    def _apply_status(
        self, status: MemberStatus, sent_at: float, timeout_s: float, now: float
    ) -> None:
        name = self.registry.name_of(status.key)
        at = sent_at - status.age_s
        # An expired status says nothing about the present. Recording it would
        # interrupt the uptime.
        if name is None or name == self.local_member.name or at + timeout_s <= now:
            return
        until = at + timeout_s
        liveness = Liveness(
            status.ready, status.draining, status.polls_store, at=at, until=until, since=at
        )
        self.liveness.record(name, liveness, now)

    def _supersedes(self, member: FleetMember, known: FleetMember, now: float) -> bool:
        # Incarnations are start times. An instance that restarts after its clock
        # was set back has a smaller one than before, and if that were always
        # rejected, the instance would be up but never named to callers. While the
        # known incarnation is up, a smaller one comes from a late datagram.
        if member.incarnation > known.incarnation:
            return True
        return member.incarnation < known.incarnation and not self.is_up(known.name, now)

    def _last_seen_at(self, name: str, now: float) -> float:
        liveness = self.liveness.get(name)
        added_at = self._added_at_by_name.get(name, now if liveness is None else liveness.at)
        return added_at if liveness is None else max(liveness.at, added_at)

    def _shares_limits(self, name: str, now: float) -> bool:
        liveness = self.liveness.get(name)
        if liveness is None:
            return now - self._added_at_by_name.get(name, now) < UNCOUNTED_AFTER_S
        if self.liveness.has_shut_down(name, now):
            return False
        return now - liveness.at < UNCOUNTED_AFTER_S


def _liveness_timeout_s(
    timings: ReportTimings, *, is_same_region: bool, is_forwarded: bool
) -> float:
    if is_same_region:
        return INDIRECT_DOWN_AFTER_S
    if is_forwarded:
        return timings.forwarded_down_after_s
    return min(CROSS_REGION_DOWN_AFTER_S, timings.forwarded_down_after_s)
