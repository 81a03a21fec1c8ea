"""The components that schedule the returns of refused callers, and how they are wired."""

import time
from collections import Counter
from collections.abc import Callable, Mapping

from plantainloft_core.routes import RouteTable
from plantainloft_node.entry.overload_switch import is_overload_control_active
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.fleet.demand import (
    zone_heartbeats,
    zone_request_rates,
)
from plantainloft_node.fleet.membership import FleetMember, FleetMembership
from plantainloft_node.fleet.reports import member_key
from plantainloft_node.overload.promise_exchange import PromiseExchange
from plantainloft_node.overload.return_planner import ScheduledReturns
from plantainloft_node.overload.return_shares import FleetReports, ReturnShares

__all__ = ['ReturnPlanning', 'fleet_reports']


class ReturnPlanning:
    """The planner of returns, its exchange with peers, and the shares of this instance.

    Nothing is promised until the planner is given capacities, and promises of peers are
    ignored while overload control is off.
    """

    def __init__(
        self,
        *,
        members: FleetMembership,
        settings: EntrySettings,
        route_table: Callable[[], RouteTable],
    ) -> None:
        self.settings = settings
        self._members = members
        self._route_table = route_table
        self._shares = ReturnShares()
        self.exchange = PromiseExchange(
            sender=members.local_member.name,
            first_number=member_key(members.local_member),
            is_active=self.is_active,
        )
        # The clock of the event loop is the monotonic one.
        self.planner = ScheduledReturns(
            exchange=self.exchange, clock_offset_s=time.time() - time.monotonic()
        )

    def is_active(self) -> bool:
        """Return whether overload control is active."""
        return is_overload_control_active(self.settings, self._route_table())

    def update_shares(self, own_rates: Mapping[str, float], now: float) -> dict[str, float]:
        """Return the ``own_share`` by service, for the planner's ``update`` that follows.

        ``own_rates`` is this instance's requests per second by service.
        """
        reports = fleet_reports(self._members, own_rates, now)
        share_by_service = self._shares.update(reports, now)
        self.planner.update_share_starts(
            {service: share.start for service, share in share_by_service.items()}
        )
        return {service: share.size for service, share in share_by_service.items()}


def fleet_reports(
    members: FleetMembership, own_rates: Mapping[str, float], now: float
) -> FleetReports:
    """Return what is known of the fleet's demand and of the instances that may be running."""
    local = members.local_member
    running: list[FleetMember] = []
    if members.has_member_list:
        peers = members.peers()
        running = [peer for peer in peers if not members.liveness.has_shut_down(peer.name, now)]
        running.append(local)
    reporting = [one for one in running if one is local or members.is_up(one.name, now)]
    return FleetReports(
        own_zone=local.zone,
        own_rates=own_rates,
        rates_by_zone=_rates_by_zone(members, own_rates, now),
        instances_by_zone=Counter(one.zone for one in running),
        reporting_by_zone=Counter(one.zone for one in reporting),
        zone_position=sum(one.zone == local.zone and one.name < local.name for one in running),
    )


def _rates_by_zone(
    members: FleetMembership, own_rates: Mapping[str, float], now: float
) -> dict[str, Mapping[str, float]]:
    """Return the reported demand by zone; empty if that of the own zone is unknown."""
    rates_by_zone: dict[str, Mapping[str, float]] = {
        zone: demand.rate_by_service for zone, demand in members.zone_demands.by_zone(now).items()
    }
    own_zone = members.local_member.zone
    if own_zone in rates_by_zone:
        return rates_by_zone
    heartbeats = zone_heartbeats(members, now)
    if len(heartbeats) < sum(peer.zone == own_zone for peer in members.peers_up(now)):
        return {}
    return {**rates_by_zone, own_zone: zone_request_rates(heartbeats, own_rates)}
