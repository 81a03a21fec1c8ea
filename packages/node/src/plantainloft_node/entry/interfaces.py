"""The interfaces on which an entry process listens."""

from collections.abc import Callable

from anyio.abc import TaskGroup

from plantainloft_node.entry.listeners import Listeners
from plantainloft_node.entry.lookups import LookupHandler, ReadyHandler
from plantainloft_node.entry.metrics_report import MetricsReport
from plantainloft_node.entry.operator_api import OperatorHandler
from plantainloft_node.entry.request_pipeline import RequestPipeline
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.quarantine.quarantine import Quarantine

__all__ = ['start_interfaces']


def start_interfaces(
    *,
    settings: Callable[[], EntrySettings],
    ready: Callable[[], bool],
    listeners: Listeners,
    pipeline: RequestPipeline,
    members: FleetMembership,
    quarantine: Quarantine,
    report: MetricsReport,
    tasks: TaskGroup,
) -> None:
    """Listen for callers, look-ups, readiness checks, tunnels of peers and operators.

    ``settings`` returns those in force; the addresses are those of the start.
    """
    lookups = LookupHandler(
        members=members,
        ready=ready,
        ttl_s=lambda: settings().lookup_ttl_s,
        capacity=pipeline.capacity,
    )
    addresses = settings()
    listen = listeners.listen
    tasks.start_soon(listen, addresses.caller_address, pipeline.forwarding_handler)
    tasks.start_soon(listen, addresses.lookup_address, lookups)
    tasks.start_soon(listen, addresses.readiness_address, ReadyHandler(ready=ready))
    tasks.start_soon(pipeline.endpoint_links.server.listen, addresses.heartbeat_address)
    if addresses.metrics_address:
        links = pipeline.endpoint_links
        operators = OperatorHandler(
            metrics_text=lambda: report.text(
                pipeline.forwarding_handler, pipeline.dispatcher, pipeline.placement
            ),
            quarantine=quarantine,
            report=report,
            announcements=links.endpoint_registry.announcements,
            links=links.monitor,
            retry_budgets=pipeline.dispatcher.retry_budgets,
        )
        tasks.start_soon(listen, addresses.metrics_address, operators)
