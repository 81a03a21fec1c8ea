"""Processes the datagrams that this instance receives from its peers."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from plantainloft_core.store_position import StorePosition
from plantainloft_node.endpoint_limits.registry import EndpointLimitRegistry
from plantainloft_node.fleet.datagrams import Datagram, PackedReport, unpack_datagram
from plantainloft_node.fleet.heartbeat_table import ReportedUsage
from plantainloft_node.fleet.membership import DOWN_AFTER_S, FleetMembership
from plantainloft_node.fleet.report_timings import ROUND_JITTER_S
from plantainloft_node.fleet.reports import FleetMember, Heartbeat, ZoneReport
from plantainloft_node.overload.promise_codec import PromiseReport
from plantainloft_node.quarantine.crash_registry import CrashRegistry

__all__ = ['PromiseHandler', 'ReceiveResult', 'ReportReceiver', 'UpdateHint']

# Takes the promises that a peer announces, and the time at which they were received.
PromiseHandler = Callable[[tuple[PromiseReport, ...], float], None]

# How long reports include the full record of an instance after it joined.
INTRODUCTION_PERIOD_S = 3.0


class UpdateHint(NamedTuple):
    """What ``member`` can be asked for: newer rows, and instances by key.

    ``relay_heartbeat`` is the heartbeat of ``member`` if it is a relay of this instance.
    ``holds_rows`` says whether it holds rows that the store has lost.
    """

    member: FleetMember
    position_by_table: Mapping[str, StorePosition]
    member_keys: tuple[int, ...]
    relay_heartbeat: Heartbeat | None = None
    holds_rows: bool = False


class ReceiveResult(NamedTuple):
    """The result of a datagram; ``is_urgent`` asks for a round without delay."""

    hints: tuple[UpdateHint, ...]
    is_urgent: bool


class _ReportVersion(NamedTuple):
    """Identifies a sender's newest report, to reject duplicates and older ones."""

    incarnation: int
    sequence: int


class _PendingReport(NamedTuple):
    """The newest report of another availability zone, waiting to be forwarded."""

    packed: bytes
    at: float
    is_other_region: bool


class ReportReceiver:
    """Applies received reports to the membership and queues those to forward."""

    def __init__(
        self,
        *,
        members: FleetMembership,
        crash_registry: CrashRegistry,
        endpoint_limits: EndpointLimitRegistry,
        on_promises: PromiseHandler | None = None,
    ) -> None:
        self._members = members
        self._on_promises = on_promises
        self._endpoint_limits = endpoint_limits
        self._crash_registry = crash_registry
        self._version_by_sender: dict[str, _ReportVersion] = {}
        self._subscribed_at_by_name: dict[str, float] = {}
        self._joined_at_by_name: dict[str, float] = {}
        self._pending_by_zone: dict[str, _PendingReport] = {}
        self._forwarded_at_by_zone: dict[str, float] = {}

    def receive(self, packed: bytes, host: str, now: float) -> ReceiveResult | None:
        """Process a datagram from ``host``; returns ``None`` if it is malformed."""
        datagram = unpack_datagram(packed)
        if datagram is None:
            return None
        hints = []
        is_urgent = False
        if datagram.fleet_usage and self._is_sent_from(datagram.sender, host):
            self._members.reported_usage = ReportedUsage(datagram.fleet_usage, now)
        if datagram.endpoint_limits and self._is_sent_from(datagram.sender, host):
            self._endpoint_limits.merge(datagram.endpoint_limits, datagram.limit_claims, now)
        if datagram.promises and self._on_promises and self._is_sent_from(datagram.sender, host):
            self._on_promises(datagram.promises, now)
        if datagram.capacities and self._is_sent_from(datagram.sender, host):
            self._members.capacities.merge(datagram.capacities, now)
        for item in datagram.reports:
            member = item.report.heartbeat.member
            if member.name == datagram.sender and _host(member.heartbeat_address) == host:
                if self._accept_if_newer(item.report, now):
                    hints.append(self._hint(item.report))
                    is_urgent |= self._apply_direct(item.report, item.packed, datagram, now)
                    is_urgent |= self._merge_crashes(item.report, 0.0, now)
            elif self._is_sent_from(datagram.sender, host) and self._accept_if_newer(
                item.report, now
            ):
                hints += self._apply_forwarded(
                    item.report, datagram.sender, item.forwarder_held_s, now
                )
                is_urgent |= self._merge_crashes(item.report, item.forwarder_held_s, now)
        return ReceiveResult(tuple(hints), is_urgent)

    def subscribers(self, now: float) -> list[FleetMember]:
        """Return the instances that recently asked for this instance's reports."""
        self._subscribed_at_by_name = _newer_than(self._subscribed_at_by_name, now - DOWN_AFTER_S)
        return self._known_members(self._subscribed_at_by_name)

    def recently_joined(self, now: float) -> list[FleetMember]:
        """Return the instances that recently appeared or came back up."""
        self._joined_at_by_name = _newer_than(self._joined_at_by_name, now - INTRODUCTION_PERIOD_S)
        return self._known_members(self._joined_at_by_name)

    def reports_to_forward(self, now: float) -> list[PackedReport]:
        """Remove and return the reports of other availability zones that are due."""
        due = [
            zone
            for zone, pending in self._pending_by_zone.items()
            if self._is_due(zone, pending, now)
        ]
        reports = []
        for zone in due:
            pending = self._pending_by_zone.pop(zone)
            self._forwarded_at_by_zone[zone] = now
            reports.append(PackedReport(pending.packed, now - pending.at))
        return reports

    def _apply_direct(
        self, report: ZoneReport, packed: bytes, datagram: Datagram, now: float
    ) -> bool:
        """Apply a report that its sender sent directly; return whether it is urgent."""
        member = report.heartbeat.member
        was_draining = self._members.liveness.is_draining(member.name)
        was_unknown_or_down = self._members.record_heartbeat(report.heartbeat, now)
        self._members.apply_report(report, now, forwarder_held_s=None)
        if was_unknown_or_down:
            self._joined_at_by_name[member.name] = now
        if datagram.wants_reports:
            self._subscribed_at_by_name[member.name] = now
        if member.zone != self._members.local_member.zone and report.statuses:
            is_other_region = member.region != self._members.local_member.region
            self._pending_by_zone[member.zone] = _PendingReport(packed, now, is_other_region)
        starts_draining = report.heartbeat.draining and not was_draining
        return datagram.wants_reports and (was_unknown_or_down or starts_draining)

    def _merge_crashes(self, report: ZoneReport, report_age_s: float, now: float) -> bool:
        """Merge reported crashes; return whether subscribers need them without delay."""
        is_urgent = self._crash_registry.merge(report.crashes, now, report_age_s=report_age_s)
        return is_urgent and bool(self.subscribers(now))

    def _apply_forwarded(
        self, report: ZoneReport, sender: str, forwarder_held_s: float, now: float
    ) -> list[UpdateHint]:
        self._members.apply_report(report, now, forwarder_held_s=forwarder_held_s)
        return [
            UpdateHint(member, {}, _status_keys(report)) for member in self._known_members([sender])
        ]

    def _hint(self, report: ZoneReport) -> UpdateHint:
        heartbeat = report.heartbeat
        is_own_relay = heartbeat.member.zone == self._members.local_member.zone and bool(
            report.statuses
        )
        relay_heartbeat = heartbeat if is_own_relay else None
        return UpdateHint(
            heartbeat.member,
            heartbeat.position_by_table,
            _status_keys(report),
            relay_heartbeat,
            heartbeat.holds_rows,
        )

    def _accept_if_newer(self, report: ZoneReport, now: float) -> bool:
        # Datagrams can be duplicated or reordered, and a report arrives over
        # several paths. Applying an old one would show down instances as up.
        member = report.heartbeat.member
        before = self._version_by_sender.get(member.name)
        if member.name == self._members.local_member.name or self._is_stale(report, before, now):
            return False
        self._version_by_sender[member.name] = _ReportVersion(member.incarnation, report.sequence)
        return True

    def _is_stale(self, report: ZoneReport, before: _ReportVersion | None, now: float) -> bool:
        if before is None:
            return False
        member = report.heartbeat.member
        if member.incarnation == before.incarnation:
            return report.sequence <= before.sequence
        # A smaller incarnation of an instance that is down may be a restart after
        # its clock was set back; see ``FleetMembership._supersedes``.
        is_up = self._members.is_up(member.name, now)
        return is_up and member.incarnation < before.incarnation

    def _is_sent_from(self, name: str, host: str) -> bool:
        sender = self._members.registry.get(name)
        return sender is not None and _host(sender.heartbeat_address) == host

    def _known_members(self, names: dict[str, float] | list[str]) -> list[FleetMember]:
        known = (self._members.registry.get(name) for name in names)
        return [member for member in known if member is not None]

    def _is_due(self, zone: str, pending: _PendingReport, now: float) -> bool:
        last_at = self._forwarded_at_by_zone.get(zone, float('-inf'))
        return (
            not pending.is_other_region
            or now - last_at >= self._members.timings.forward_interval_s - ROUND_JITTER_S
        )


def _status_keys(report: ZoneReport) -> tuple[int, ...]:
    return tuple(status.key for status in report.statuses)


def _newer_than(at_by_name: dict[str, float], than: float) -> dict[str, float]:
    return {name: at for name, at in at_by_name.items() if at > than}


def _host(address: str) -> str:
    return address.rpartition(':')[0]
