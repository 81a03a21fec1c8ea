"""The components that process callers' requests, and how they are wired."""

from typing import NamedTuple

from plantainloft_node.engine.connection_pool import ConnectionPool
from plantainloft_node.engine.dispatcher import Dispatcher
from plantainloft_node.engine.forwarding_handler import ForwardingHandler
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.sender import Sender
from plantainloft_node.entry.capacity_control import CapacityControl
from plantainloft_node.entry.component_parameters import (
    limit_parameters,
    placement_settings,
    retry_limits,
)
from plantainloft_node.entry.endpoint_links import EndpointLinks, build_endpoint_links
from plantainloft_node.entry.metrics_report import MetricsReport
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.limits.limiter import RequestLimiter
from plantainloft_node.placement.placement import Placement
from plantainloft_node.quarantine.crash_detector import CrashDetector, EndpointAttempt
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.retry_budget.registry import RetryBudgets

__all__ = ['RequestPipeline', 'build_request_pipeline']


class RequestPipeline(NamedTuple):
    """The components that place, send and answer requests."""

    placement: Placement
    pool: ConnectionPool
    dispatcher: Dispatcher
    forwarding_handler: ForwardingHandler
    crash_detector: CrashDetector
    limiter: RequestLimiter
    endpoint_links: EndpointLinks
    capacity: CapacityControl

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply the limits of reloaded settings."""
        self.placement.settings = placement_settings(settings)
        self.dispatcher.retry_budgets.limits = retry_limits(settings)
        self.limiter.settings = limit_parameters(settings)
        self.capacity.apply_settings(settings)


def build_request_pipeline(
    *,
    settings: EntrySettings,
    names: HeaderNames,
    replicated_state: ReplicatedState,
    report: MetricsReport,
    quarantine: Quarantine,
    members: FleetMembership,
) -> RequestPipeline:
    """Return the components that process requests, based on the state in ``replicated_state``."""
    placement = Placement(
        settings=placement_settings(settings), endpoint_registry=replicated_state.endpoint_registry
    )
    pool = ConnectionPool()
    endpoint_links = build_endpoint_links(
        names=names,
        members=members,
        endpoint_registry=replicated_state.endpoint_registry,
        pool=pool,
    )
    report.endpoint_links = endpoint_links

    def record_crash(attempt: EndpointAttempt, now: float) -> None:
        replicated_state.endpoint_registry.record_process_ended(attempt.incarnation, now)
        quarantine.record_crash(attempt, now)

    crash_detector = CrashDetector(on_crash=record_crash, has_ended=endpoint_links.has_ended)
    dispatcher = Dispatcher(
        names=names,
        placement=placement,
        sender=Sender(names=names, pool=pool, connector=endpoint_links.connector),
        retry_budgets=RetryBudgets(limits=retry_limits(settings)),
        crash_detector=crash_detector,
        quarantine=quarantine,
    )
    limiter = RequestLimiter(instance=settings.name, settings=limit_parameters(settings))
    forwarding_handler = ForwardingHandler(
        names=names,
        dispatcher=dispatcher,
        limiter=limiter,
        route_table=lambda: replicated_state.routing_state.route_table,
        record_outcome=report.observe,
    )
    return RequestPipeline(
        placement=placement,
        pool=pool,
        dispatcher=dispatcher,
        forwarding_handler=forwarding_handler,
        crash_detector=crash_detector,
        limiter=limiter,
        endpoint_links=endpoint_links,
        capacity=CapacityControl(
            settings=settings, route_table=lambda: replicated_state.routing_state.route_table
        ),
    )
