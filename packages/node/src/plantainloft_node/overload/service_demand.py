"""Estimates each service's capacity and demand from what this instance knows."""

from collections.abc import Mapping

from plantainloft_node.overload.controller import ServiceDemand
from plantainloft_node.overload.returns import ServiceCapacity
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState

__all__ = ['estimate_demand']


def estimate_demand(
    *,
    registry: EndpointRegistry,
    rates_by_zone: Mapping[str, Mapping[str, float]],
    own_rates: Mapping[str, float],
    reporting_count: int,
    running_count: int,
    now: float,
) -> dict[str, ServiceDemand]:
    """Return the capacity and demand of each service that has endpoints.

    ``rates_by_zone`` are requests a second by zone and service, ``own_rates`` those of
    this instance. Of the ``running_count`` instances that may be running (0 if unknown),
    ``reporting_count`` report; parts of the others stay reserved.
    """
    estimates = {}
    for service in registry.ids_by_service:
        rate_by_zone = {zone: rates.get(service, 0.0) for zone, rates in rates_by_zone.items()}
        own_rate = own_rates.get(service, 0.0)
        fleet_rate = sum(rate_by_zone.values())
        own_share = 1 / running_count if running_count else 0.0
        if fleet_rate > 0:
            own_share *= min(running_count, reporting_count) * min(1.0, own_rate / fleet_rate)
        slots, requests = _slots_and_requests(registry, service, now)
        processing_s = registry.processing_by_service[service].mean_s
        estimates[service] = ServiceDemand(
            ServiceCapacity(slots / processing_s if processing_s > 0 else 0.0, own_rate, own_share),
            rate_by_zone,
            requests / slots if slots else 0.0,
        )
    return estimates


def _slots_and_requests(registry: EndpointRegistry, service: str, now: float) -> tuple[int, float]:
    """Return the usable slots of ``service`` and the requests at their endpoints."""
    slots = 0
    requests = 0.0
    for state in registry.endpoints_of(service):
        if _is_usable(registry, state, now):
            slots += state.record.slots
            requests += state.load(now)
    return slots, requests


def _is_usable(registry: EndpointRegistry, state: EndpointState, now: float) -> bool:
    return (
        not state.is_leaving
        and state.record.zone not in registry.evacuated_zones
        and state.health.is_usable(now)
    )
