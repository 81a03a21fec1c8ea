"""Gauges of overload control and of the capacity of this instance."""

from plantainloft_node.capacity.guard import pressure
from plantainloft_node.entry.capacity_control import CapacityControl
from plantainloft_node.entry.metrics import Metrics
from plantainloft_node.overload.controller import AdmissionController
from plantainloft_node.overload.return_planner import ScheduledReturns
from plantainloft_node.placement.endpoints import EndpointRegistry
from plantainloft_node.placement.placement import Placement

__all__ = [
    'set_admission_gauges',
    'set_capacity_gauges',
    'set_capacity_plan_gauges',
    'set_endpoint_choice_gauges',
    'set_return_gauges',
]


def set_endpoint_choice_gauges(
    metrics: Metrics, placement: Placement, registry: EndpointRegistry
) -> None:
    """Set the gauges of placement under overload control."""
    set_gauge = metrics.set_gauge
    set_gauge('overload_control', int(placement.overload_control))
    set_gauge('endpoint_connections', placement.connections.total_open())
    for reason, count in placement.refused_by_reason.items():
        set_gauge('placement_refusals', count, reason=reason)
    for service, processing in registry.processing_by_service.items():
        set_gauge('load_per_slot_usual', processing.usual_load.per_slot, service=service)


def set_capacity_plan_gauges(metrics: Metrics, placement: Placement) -> None:
    """Set the gauges of the plans of which region's slots serve which callers."""
    set_gauge = metrics.set_gauge
    for service, plan in placement.capacity_planner.plan_by_service.items():
        if plan.is_measured:
            set_gauge('capacity_plan_utilisation', plan.max_utilisation, service=service)
            for region, demand in plan.demand.items():
                set_gauge('capacity_plan_demand', demand, service=service, region=region)
        for region, slots in plan.slots.items():
            set_gauge('capacity_plan_slots', slots, service=service, region=region)
        for region, share in placement.shares_by_service[service].current().items():
            set_gauge('region_share', share, service=service, region=region)


def set_admission_gauges(metrics: Metrics, admission: AdmissionController) -> None:
    """Set the gauges of admission by service and decision."""
    set_gauge = metrics.set_gauge
    set_gauge('overload_control_active', int(admission.is_active))
    for entry in admission.listing():
        service = entry['service']
        set_gauge('admission_room_per_second', entry['room'], service=service)
        set_gauge('admission_load', entry['load'], service=service)
        set_gauge('admissions', entry['admitted'], service=service, decision='admitted')
        for reason, count in entry['rejected'].items():
            set_gauge('admissions', count, service=service, decision=reason)


def set_return_gauges(metrics: Metrics, returns: ScheduledReturns, now: float) -> None:
    """Set the gauges of callers that were asked to return; none while there are none."""
    for service, counts in returns.counts_by_service.items():
        reserved_rate = returns.reserved_rate(service, now)
        metrics.set_gauge('returns_reserved_per_second', reserved_rate, service=service)
        for outcome, count in counts._asdict().items():
            metrics.set_gauge('returns', count, service=service, outcome=outcome)


def set_capacity_gauges(metrics: Metrics, capacity: CapacityControl) -> None:
    """Set the gauges of this instance's capacity and its use; none while it is unknown."""
    reported = capacity.reported()
    if reported is None:
        return
    set_gauge = metrics.set_gauge
    for resource, limit in reported.limits._asdict().items():
        if limit is not None:
            set_gauge('capacity', limit, resource=resource)
    for resource, use in reported.use._asdict().items():
        set_gauge('capacity_use', use, resource=resource)
    for priority, count in capacity.guard.refused_by_priority.items():
        set_gauge('capacity_refused', count, priority=str(priority))
    set_gauge('capacity_pressure', pressure(reported.use))
    set_gauge('held_bytes', capacity.traffic.held_bytes)
    set_gauge('stalled_callers_closed', capacity.traffic.aborted_count)
    set_gauge('endpoint_backlog_rejected', capacity.backlog.rejected_count)
