"""Heartbeats received by this instance, and the demand of availability zones."""

from collections.abc import Mapping
from typing import NamedTuple

from plantainloft_node.fleet.reports import NO_USAGE, Heartbeat
from plantainloft_node.limits.organisation_usage import OrganisationUsage

__all__ = ['HeartbeatTable', 'ReceivedHeartbeat', 'ReportedUsage', 'ZoneDemand', 'ZoneDemandTable']


class ReceivedHeartbeat(NamedTuple):
    """The newest heartbeat of an instance, and when it was received."""

    heartbeat: Heartbeat
    at: float


class ZoneDemand(NamedTuple):
    """Requests per second by service of all callers of an availability zone.

    ``usage_by_organisation`` is what the callers' organisations use of their limits.
    """

    region: str
    rate_by_service: Mapping[str, float]
    usage_by_organisation: Mapping[int, OrganisationUsage] = NO_USAGE


class HeartbeatTable:
    """The newest heartbeat of each instance that sends them to this one directly."""

    def __init__(self) -> None:
        self._heartbeat_by_name: dict[str, ReceivedHeartbeat] = {}

    def put(self, heartbeat: Heartbeat, now: float) -> None:
        """Store a heartbeat received at ``now``."""
        self._heartbeat_by_name[heartbeat.member.name] = ReceivedHeartbeat(heartbeat, now)

    def drop(self, name: str) -> None:
        """Remove the heartbeat of ``name``."""
        self._heartbeat_by_name.pop(name, None)

    def received_at(self, name: str) -> float | None:
        """Return when the last heartbeat of ``name`` was received; ``None`` if never."""
        received = self._heartbeat_by_name.get(name)
        return None if received is None else received.at

    def newest_received_at(self) -> float:
        """Return when the last heartbeat of any instance was received; ``-inf`` if never."""
        return max(
            (received.at for received in self._heartbeat_by_name.values()), default=float('-inf')
        )

    def since(self, at: float, *, zone: str) -> list[ReceivedHeartbeat]:
        """Return the heartbeats of ``zone`` that were received after ``at``."""
        return [
            received
            for received in self._heartbeat_by_name.values()
            if received.at > at and received.heartbeat.member.zone == zone
        ]


class _TimedDemand(NamedTuple):
    demand: ZoneDemand
    at: float
    until: float


class ReportedUsage(NamedTuple):
    """What organisations use of their limits in all zones, as reported by a relay."""

    usage_by_organisation: Mapping[int, OrganisationUsage]
    at: float


class ZoneDemandTable:
    """The newest reported demand of each availability zone, until it expires."""

    def __init__(self) -> None:
        self._demand_by_zone: dict[str, _TimedDemand] = {}

    def put(self, zone: str, demand: ZoneDemand, *, at: float, until: float) -> None:
        """Store the demand of ``zone`` as of ``at`` unless a newer one is known."""
        known = self._demand_by_zone.get(zone)
        if known is None or known.at <= at:
            self._demand_by_zone[zone] = _TimedDemand(demand, at, until)

    def by_zone(self, now: float) -> dict[str, ZoneDemand]:
        """Return the demand of each availability zone that has not expired."""
        return {
            zone: known.demand for zone, known in self._demand_by_zone.items() if now < known.until
        }
