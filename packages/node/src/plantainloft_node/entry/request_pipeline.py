"""The components that process callers' requests, and how they are wired."""

from typing import NamedTuple

from plantainloft_node.engine.connection_pool import ConnectionPool
from plantainloft_node.engine.dispatcher import Dispatcher
from plantainloft_node.engine.forwarding_handler import ForwardingHandler
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.request_admission import RequestAdmission
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
from plantainloft_node.entry.return_planning import ReturnPlanning
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.limits.limiter import RequestLimiter
from plantainloft_node.overload.controller import AdmissionController
from plantainloft_node.overload.promises import caller_digest
from plantainloft_node.placement.placement import Placement
from plantainloft_node.quarantine.crash_detector import CrashDetector, EndpointAttempt
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.retry_budget.registry import RetryBudgets

__all__ = ['RequestPipeline', 'build_request_pipeline']

# A tunnel joins a connection of a peer to one of an endpoint.
FDS_PER_TUNNEL = 2


class RequestPipeline(NamedTuple):
    """The components that place, send and answer requests."""

    placement: Placement
    pool: ConnectionPool
    dispatcher: Dispatcher
    forwarding_handler: ForwardingHandler
    crash_detector: CrashDetector
    limiter: RequestLimiter
    endpoint_links: EndpointLinks
    returns: ReturnPlanning
    admission: AdmissionController
    capacity: CapacityControl

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply the limits of reloaded settings."""
        self.returns.settings = settings
        self.placement.settings = placement_settings(settings)
        self.dispatcher.retry_budgets.limits = retry_limits(settings)
        self.limiter.settings = limit_parameters(settings)
        self.capacity.apply_settings(settings)

    def start_stopping(self, *, ends_at: float, estimates_until: float) -> None:
        """Pass on only requests that can be finished before open ones are cut.

        See ``StopAdmission.start``.
        """
        self.dispatcher.admission.stop.start(ends_at=ends_at, estimates_until=estimates_until)

    def update_capacity(self, now: float) -> None:
        """Measure what this instance uses of its capacity, and apply its limits."""
        server = self.endpoint_links.server
        own_fds = len(self.pool) + self.forwarding_handler.requests_in_progress
        self.capacity.update(
            tunnel_bytes=server.copied_bytes().total(),
            endpoint_fds=own_fds + FDS_PER_TUNNEL * server.open_tunnels,
            loop_delay_s=server.loop_delay_s,
            now=now,
        )


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
    placement.connections = pool
    capacity = CapacityControl(
        settings=settings,
        members=members,
        route_table=lambda: replicated_state.routing_state.route_table,
    )
    endpoint_links = build_endpoint_links(
        names=names,
        members=members,
        endpoint_registry=replicated_state.endpoint_registry,
        pool=pool,
    )
    report.endpoint_links = endpoint_links
    report.capacity = capacity

    def record_crash(attempt: EndpointAttempt, now: float) -> None:
        replicated_state.endpoint_registry.record_process_ended(attempt.incarnation, now)
        quarantine.record_crash(attempt, now)

    crash_detector = CrashDetector(on_crash=record_crash, has_ended=endpoint_links.has_ended)
    returns = ReturnPlanning(
        members=members,
        settings=settings,
        route_table=lambda: replicated_state.routing_state.route_table,
    )
    report.returns = returns.planner
    admission = AdmissionController(
        zone=settings.zone, planner=returns.planner, digest_caller=caller_digest
    )
    report.admission = admission
    dispatcher = Dispatcher(
        names=names,
        placement=placement,
        sender=Sender(
            names=names,
            pool=pool,
            connector=endpoint_links.connector,
            backlog=capacity.backlog,
        ),
        retry_budgets=RetryBudgets(limits=retry_limits(settings)),
        crash_detector=crash_detector,
        quarantine=quarantine,
        admission=RequestAdmission(names=names, controller=admission),
    )
    limiter = RequestLimiter(instance=settings.name, settings=limit_parameters(settings))
    forwarding_handler = ForwardingHandler(
        names=names,
        dispatcher=dispatcher,
        limiter=limiter,
        route_table=lambda: replicated_state.routing_state.route_table,
        record_outcome=report.observe,
        admits=capacity.guard.admits,
    )
    return RequestPipeline(
        placement=placement,
        pool=pool,
        dispatcher=dispatcher,
        forwarding_handler=forwarding_handler,
        crash_detector=crash_detector,
        limiter=limiter,
        endpoint_links=endpoint_links,
        returns=returns,
        admission=admission,
        capacity=capacity,
    )
