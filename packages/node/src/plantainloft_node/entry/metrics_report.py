"""Metrics of an instance, collected when they are requested."""

import anyio

from plantainloft_node.endpoint_limits.limiter import EndpointLimiter, LimitUsage
from plantainloft_node.engine.dispatcher import Dispatcher
from plantainloft_node.engine.forwarding_handler import ForwardingHandler
from plantainloft_node.entry.capacity_control import CapacityControl
from plantainloft_node.entry.endpoint_links import EndpointLinks
from plantainloft_node.entry.metrics import Metrics
from plantainloft_node.entry.overload_metrics import (
    set_admission_gauges,
    set_capacity_gauges,
    set_capacity_plan_gauges,
    set_endpoint_choice_gauges,
    set_return_gauges,
)
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.limits.limiter import RequestLimiter
from plantainloft_node.limits.organisation_listing import ListedOrganisation, list_organisations
from plantainloft_node.links.listing import list_links
from plantainloft_node.overload.controller import AdmissionController, ScarcityEntry
from plantainloft_node.overload.return_planner import ScheduledReturns
from plantainloft_node.placement.placement import Placement
from plantainloft_node.replica.return_listing import StoreReturnEntry, list_store_return

__all__ = ['MetricsReport']

# Only this many organisations get series of their own, to bound the size of the output.
MAX_ORGANISATION_SERIES = 50
# The same for endpoints that name a request limit.
MAX_LIMITED_ENDPOINT_SERIES = 50


class MetricsReport:
    """Counts requests as they are answered, and reads gauges on demand."""

    def __init__(self, *, replicated_state: ReplicatedState, members: FleetMembership) -> None:
        self._replicated_state = replicated_state
        self._members = members
        self._metrics = Metrics()
        # Assigned after construction: the limiters are created along with components
        # that need this report.
        self.limiter: RequestLimiter | None = None
        self.endpoint_limiter: EndpointLimiter | None = None
        self.endpoint_links: EndpointLinks | None = None
        self.returns: ScheduledReturns | None = None
        self.capacity: CapacityControl | None = None
        self.admission: AdmissionController | None = None

    def observe(self, route: str, outcome: str, seconds: float) -> None:
        """Record one answered request and its duration."""
        self._metrics.increment('requests', route=route, outcome=outcome)
        self._metrics.observe('request_seconds', seconds, route=route)

    def text(
        self, forwarding_handler: ForwardingHandler, dispatcher: Dispatcher, placement: Placement
    ) -> str:
        """Update the gauges and return all series as text."""
        now = anyio.current_time()
        metrics = self._metrics
        routing_state = self._replicated_state.routing_state
        metrics.set_gauge('configuration_version', routing_state.route_table.version)
        metrics.set_gauge('configuration_age_seconds', now - routing_state.route_table_since)
        metrics.set_gauge('members_up', len(self._members.peers_up(now)) + 1)
        metrics.set_gauge('requests_in_progress', forwarding_handler.requests_in_progress)
        self._set_retry_gauges(dispatcher, now)
        metrics.set_gauge('spilled_share', placement.spilled_share(now))
        metrics.set_gauge('quarantined_requests', len(dispatcher.crash_registry.quarantined(now)))
        self._set_store_and_endpoint_gauges(now)
        self._set_organisation_gauges()
        self._set_endpoint_limit_gauges()
        self._set_announcement_gauges(now)
        self._set_link_gauges(now)
        self._set_store_return_gauges()
        self._set_overload_gauges(placement, now)
        return metrics.text()

    def organisations(self) -> list[ListedOrganisation]:
        """Return the organisations with their usage of their limits at this instance."""
        if self.limiter is None:
            return []
        organisations = self._replicated_state.routing_state.route_table.organisations
        usage_by_name = self.limiter.usage_by_organisation(organisations, anyio.current_time())
        return list_organisations(organisations, usage_by_name)

    def endpoint_limits(self) -> list[LimitUsage]:
        """Return the limits that endpoints name, with this instance's use of them."""
        limiter = self.endpoint_limiter
        if limiter is None:
            return []
        now = anyio.current_time()
        return [
            limiter.usage(state, limit, now)
            for state, limit in self._replicated_state.endpoint_registry.limited_endpoints()
        ]

    def store_return(self) -> StoreReturnEntry:
        """Return the era of the store, its last return and the rows held since."""
        state = self._replicated_state
        return list_store_return(state.store.eras, state.updates, anyio.current_time())

    def scarcity(self) -> list[ScarcityEntry]:
        """Return what admission control has admitted to each service, and rejected."""
        return [] if self.admission is None else self.admission.listing()

    def _set_store_return_gauges(self) -> None:
        entry = self.store_return()
        self._metrics.set_gauge('store_era', entry['era'])
        self._metrics.set_gauge('store_returns', entry['returns'])
        if entry['returned_s_ago'] is not None:
            self._metrics.set_gauge('store_returned_seconds_ago', entry['returned_s_ago'])
        self._metrics.set_gauge('store_rows_held', len(entry['rows_held']))
        count_by_outcome = {
            'written_again': entry['rows_written_again'],
            'given_up': entry['rows_given_up'],
        }
        for outcome, count in count_by_outcome.items():
            self._metrics.set_gauge('store_rows_released', count, outcome=outcome)

    def _set_overload_gauges(self, placement: Placement, now: float) -> None:
        registry = self._replicated_state.endpoint_registry
        set_endpoint_choice_gauges(self._metrics, placement, registry)
        set_capacity_plan_gauges(self._metrics, placement)
        if self.returns is not None:
            set_return_gauges(self._metrics, self.returns, now)
        if self.admission is not None:
            set_admission_gauges(self._metrics, self.admission)
        if self.capacity is not None:
            set_capacity_gauges(self._metrics, self.capacity)

    def _set_organisation_gauges(self) -> None:
        """Set the gauges of the organisations with the highest demand."""
        by_demand = sorted(self.organisations(), key=lambda one: -one['fleet_wanted'])
        for one in by_demand[:MAX_ORGANISATION_SERIES]:
            name = one['name']
            self._metrics.set_gauge('organisation_share', one['share'], organisation=name)
            self._metrics.set_gauge('organisation_used', one['used'], organisation=name)
            self._metrics.set_gauge('organisation_refused', one['refused'], organisation=name)
            self._metrics.set_gauge('organisation_fleet_used', one['fleet_used'], organisation=name)

    def _set_endpoint_limit_gauges(self) -> None:
        usages = [usage for usage in self.endpoint_limits() if usage.limit_per_s is not None]
        self._metrics.set_gauge('endpoints_with_limit', len(usages))
        for usage in usages[:MAX_LIMITED_ENDPOINT_SERIES]:
            endpoint_id = usage.endpoint_id
            limit_per_s = usage.limit_per_s or 0.0
            self._metrics.set_gauge('endpoint_limit_per_second', limit_per_s, endpoint=endpoint_id)
            self._metrics.set_gauge('endpoint_limit_share', usage.share, endpoint=endpoint_id)
            self._metrics.set_gauge('endpoint_limit_sent', usage.sent, endpoint=endpoint_id)

    def _set_retry_gauges(self, dispatcher: Dispatcher, now: float) -> None:
        for usage in dispatcher.retry_budgets.usage(now):
            service = usage.service
            self._metrics.set_gauge('retry_budget_left', usage.remaining, service=service)
            self._metrics.set_gauge('retry_budget_used', usage.retries, service=service)
            self._metrics.set_gauge('retry_budget_allowed', usage.allowed, service=service)
            self._metrics.set_gauge('retries', usage.sent, service=service, outcome='sent')
            self._metrics.set_gauge('retries', usage.withheld, service=service, outcome='withheld')

    def _set_announcement_gauges(self, now: float) -> None:
        announcements = self._replicated_state.endpoint_registry.announcements
        self._metrics.set_gauge('endpoints_leaving', announcements.leaving_count())
        self._metrics.set_gauge('endpoints_resting', announcements.resting_count(now))
        for (announcement, attempt), count in announcements.sends_against.items():
            self._metrics.set_gauge(
                'sends_against_announcement', count, announcement=announcement, attempt=attempt
            )

    def _set_link_gauges(self, now: float) -> None:
        if self.endpoint_links is None:
            return
        monitor, client = self.endpoint_links.monitor, self.endpoint_links.client
        server = self.endpoint_links.server
        set_gauge = self._metrics.set_gauge
        listed = list_links(monitor, now)
        for (zone, outcome), count in monitor.connects.items():
            set_gauge('endpoint_connects', count, zone=zone, outcome=outcome)
        set_gauge('zones_without_links', sum(one['lost_for_s'] is not None for one in listed))
        for one in listed:
            if one['reached_s_ago'] is not None:
                set_gauge('endpoints_reached_seconds_ago', one['reached_s_ago'], zone=one['zone'])
            if one['received_s_ago'] is not None:
                set_gauge('endpoints_received_seconds_ago', one['received_s_ago'], zone=one['zone'])
        set_gauge('tunnels_used', client.open_by_peer.total())
        set_gauge('tunnels_served', server.open_tunnels)
        for answer, count in client.answers.items():
            set_gauge('tunnel_requests', count, side='user', answer=answer)
        for answer, count in server.answers.items():
            set_gauge('tunnel_requests', count, side='peer', answer=answer)
        for direction, count in server.copied_bytes().items():
            set_gauge('tunnel_bytes', count, direction=direction)

    def _set_store_and_endpoint_gauges(self, now: float) -> None:
        metrics = self._metrics
        for name, poller in self._replicated_state.pollers.items():
            metrics.set_gauge('store_followed', poller.is_connected, table=name)
            metrics.set_gauge('store_heard_seconds_ago', now - poller.last_answer_at, table=name)
            behind_s = self._replicated_state.updates.lag.behind_s(name, now)
            metrics.set_gauge('table_behind_seconds', behind_s, table=name)
        for service, latency in self._replicated_state.endpoint_registry.latency_by_service.items():
            metrics.set_gauge('answer_seconds_usual', latency.mean_s, service=service)
            metrics.set_gauge('silent_after_seconds', latency.max_silence_s, service=service)
        for (
            service,
            times,
        ) in self._replicated_state.endpoint_registry.processing_by_service.items():
            cached_s = times.expected_s(cached=True)
            metrics.set_gauge('work_seconds', cached_s, service=service, object='remembered')
            uncached_s = times.expected_s(cached=False)
            metrics.set_gauge('work_seconds', uncached_s, service=service, object='new')
        for (
            zone,
            round_trip_s,
        ) in self._replicated_state.endpoint_registry.round_trips.by_zone().items():
            metrics.set_gauge('round_trip_seconds', round_trip_s, zone=zone)
        for service, counts in self._replicated_state.endpoint_registry.counts_by_state(
            now
        ).items():
            for state, count in counts.items():
                metrics.set_gauge('endpoints', count, service=service, state=state)
