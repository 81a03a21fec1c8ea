"""Periodic updates of state that changes with time, not only with row changes."""

from collections.abc import Callable, Mapping

import anyio

from plantainloft_node.entry.component_parameters import UPDATE_INTERVAL_S
from plantainloft_node.entry.overload_switch import is_overload_control_active
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.entry.request_pipeline import RequestPipeline
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.fleet.demand import (
    fleet_size,
    fleet_view,
    has_current_fleet_usage,
    max_running_instances,
    sum_fleet_usage,
    zone_demand_by_name,
)
from plantainloft_node.fleet.heartbeat_table import ZoneDemand
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.overload.service_demand import estimate_demand
from plantainloft_node.placement.cold_rate_limit import cold_limit_sharers
from plantainloft_node.placement.demand import DemandReport, demand_by_region

__all__ = ['PeriodicUpdates']

# Admission is updated at every second update: it goes over all endpoints and instances, and
# reports of load and demand come about twice a second.
ADMISSION_INTERVAL_S = 2 * UPDATE_INTERVAL_S - 0.1


class PeriodicUpdates:
    """Updates shares, ejections, limits and the list of instances at a fixed interval."""

    def __init__(
        self,
        *,
        replicated_state: ReplicatedState,
        members: FleetMembership,
        pipeline: RequestPipeline,
        settings: Callable[[], EntrySettings],
    ) -> None:
        """Set up the updates; ``settings`` returns those in force."""
        self._settings = settings
        self._admission = pipeline.admission
        self._returns = pipeline.returns
        self._replicated_state = replicated_state
        self._members = members
        self._placement = pipeline.placement
        self._demand = pipeline.dispatcher.demand
        self._pool = pipeline.pool
        self._crash_registry = pipeline.dispatcher.crash_registry
        self._retry_budgets = pipeline.dispatcher.retry_budgets
        self._limiter = pipeline.limiter
        self._pipeline = pipeline
        self._admission_due_at = float('-inf')
        # The time (monotonic) of the first update; ``None`` before.
        self._started_at: float | None = None

    async def run(self) -> None:
        """Update until cancelled."""
        while True:
            self.update(anyio.current_time())
            incarnations = self._replicated_state.endpoint_registry.incarnations()
            await self._pool.close_all_except(incarnations)
            await self._pool.close_unusable_tunnels(anyio.current_time())
            await anyio.sleep(UPDATE_INTERVAL_S)

    def update(self, now: float) -> None:
        """Update everything that depends on the current time."""
        self._replicated_state.update(now)
        self._update_overload_control()
        region_by_instance = self._members.region_by_limit_sharer(now)
        if self._started_at is None:
            self._started_at = now
        self._placement.update_instances(
            cold_limit_sharers(region_by_instance, uptime_s=now - self._started_at)
        )
        running_instances = max_running_instances(self._members, now)
        self._placement.running_instances = running_instances
        self._retry_budgets.update(instance_count=running_instances, now=now)
        if self._placement.endpoint_limiter:
            self._placement.update_endpoint_limits(
                fleet_view(self._members, region_by_instance, now), now
            )
        self._placement.update_failing_services(now)
        self._demand.update(UPDATE_INTERVAL_S)
        self._crash_registry.delete_expired(now)
        self._replicated_state.endpoint_registry.remove_expired_announcements(now)
        zones = zone_demand_by_name(self._members, self._demand.rate_by_service, now)
        demand = [DemandReport(zone.region, zone.rate_by_service) for zone in zones.values()]
        self._update_admission(zones, now)
        self._placement.update_region_shares(
            demand_by_region(demand), now, is_overload_control_active=self._admission.is_active
        )
        self._update_limits(now)
        self._pipeline.update_capacity(now)

    def _update_overload_control(self) -> None:
        is_active = is_overload_control_active(
            self._settings(), self._replicated_state.routing_state.route_table
        )
        self._placement.overload_control = is_active
        self._admission.is_active = is_active

    def _update_admission(self, zones: Mapping[str, ZoneDemand], now: float) -> None:
        if not self._admission.is_active or now < self._admission_due_at:
            return
        self._admission_due_at = now + ADMISSION_INTERVAL_S
        demand = estimate_demand(
            registry=self._replicated_state.endpoint_registry,
            rates_by_zone={name: zone.rate_by_service for name, zone in zones.items()},
            own_rates=self._demand.rate_by_service,
            reporting_count=fleet_size(self._members, now).reporting,
            running_count=self._placement.running_instances,
            now=now,
        )
        shares = self._returns.update_shares(self._demand.rate_by_service, now)
        self._admission.update(demand, now, promise_shares=shares)

    def _update_limits(self, now: float) -> None:
        organisations = self._replicated_state.routing_state.route_table.organisations
        if not organisations.by_name:
            return
        self._limiter.retain_organisations(organisations)
        fleet_usage = sum_fleet_usage(self._members, self._limiter.usage_report(now), now)
        size = fleet_size(self._members, now)
        self._limiter.update_fleet_usage(
            fleet_usage, size, now, reports_are_recent=has_current_fleet_usage(self._members, now)
        )
