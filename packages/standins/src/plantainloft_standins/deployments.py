"""Two example deployments, scaled down for one machine, and a load scenario.

A deployment has regions with two availability zones each, and services with a number
of endpoints per zone and slots per endpoint.
"""

from types import MappingProxyType
from typing import Any, NamedTuple

from plantainloft_standins.load_simulation import Scenario, Workload

__all__ = [
    'DEPLOYMENTS',
    'FULL_DEPLOYMENTS',
    'READS',
    'WRITES',
    'Deployment',
    'ServicePlan',
    'initial_patch',
    'nearby_regions_scenario',
]


class ServicePlan(NamedTuple):
    """A service: endpoints per zone, slots per endpoint, service time in ms.

    A request for ``fatal_path`` crashes its endpoint; empty: none does.
    """

    name: str
    per_zone: int
    slots: int
    service_ms: float
    slo_ms: int
    fatal_path: str = ''


class Deployment(NamedTuple):
    """A customer's deployment: regions, services and the capacity of a region."""

    name: str
    regions: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    region_capacity: int

    def zones(self, region: str) -> tuple[str, str]:
        """Return the two availability zones of ``region``."""
        return (f'{region}-a', f'{region}-b')


DEPLOYMENTS = MappingProxyType(
    {
        'karaduman': Deployment(
            name='karaduman',
            regions=('istanbul', 'ankara', 'izmir'),
            services=(
                ServicePlan(name='case-desk', per_zone=1, slots=5, service_ms=4, slo_ms=100),
                ServicePlan(
                    name='settlements',
                    per_zone=1,
                    slots=4,
                    service_ms=6,
                    slo_ms=150,
                ),
            ),
            region_capacity=40,
        ),
        'spotterline': Deployment(
            name='spotterline',
            regions=('eu-west', 'us-east', 'ap-south'),
            services=(
                ServicePlan(name='booking', per_zone=1, slots=4, service_ms=5, slo_ms=150),
                ServicePlan(name='rosters', per_zone=1, slots=3, service_ms=5, slo_ms=200),
            ),
            region_capacity=30,
        ),
    }
)


def _full_size(
    name: str, *, per_zone: tuple[int, int], service_ms: float, capacity: int
) -> Deployment:
    """Return deployment ``name`` with its full number of endpoints."""
    scaled_down = DEPLOYMENTS[name]
    services = tuple(
        plan._replace(per_zone=count, service_ms=service_ms)
        for plan, count in zip(scaled_down.services, per_zone, strict=True)
    )
    return scaled_down._replace(services=services, region_capacity=capacity)


# 30 and 12 endpoints for the two services. A service time of 150 ms keeps slots busy
# at a request rate that one machine can send.
FULL_DEPLOYMENTS = MappingProxyType(
    {
        'karaduman': _full_size('karaduman', per_zone=(5, 2), service_ms=150, capacity=60),
        'spotterline': _full_size('spotterline', per_zone=(5, 2), service_ms=150, capacity=48),
    }
)


def initial_patch(
    deployment: Deployment,
    *,
    endpoint_addresses: dict[str, str],
    entries_per_zone: int,
) -> list[dict[str, Any]]:
    """Return the JSON Patch that creates version 1 of ``deployment``."""
    endpoints = {}
    for plan in deployment.services:
        for region in deployment.regions:
            for zone in deployment.zones(region):
                for index in range(plan.per_zone):
                    name = f'{plan.name}-{zone}-{index}'
                    endpoints[name] = {
                        'service': plan.name,
                        'zone': zone,
                        'address': endpoint_addresses[name],
                        'slots': plan.slots,
                    }
    document = {
        'regions': {
            region: {
                'capacity': deployment.region_capacity,
                'entry_instances': entries_per_zone * len(deployment.zones(region)),
                'zones': list(deployment.zones(region)),
            }
            for region in deployment.regions
        },
        'services': {
            plan.name: {'shift_cap': 0.2, 'slo_ms': plan.slo_ms} for plan in deployment.services
        },
        'endpoints': endpoints,
        'client_blocks': {
            f'block-{zone}': {'zone': zone}
            for region in deployment.regions
            for zone in deployment.zones(region)
        },
    }
    return [{'op': 'add', 'path': f'/{key}', 'value': value} for key, value in document.items()]


def planned_endpoints(deployment: Deployment) -> list[tuple[str, ServicePlan]]:
    """Return the name of every endpoint with the plan of its service."""
    return [
        (f'{plan.name}-{zone}-{index}', plan)
        for plan in deployment.services
        for region in deployment.regions
        for zone in deployment.zones(region)
        for index in range(plan.per_zone)
    ]


# Two kinds of request to one service, modelled on a large site: reads with a shorter
# objective, and writes with higher priority and twice the value.
READS = Workload(
    name='reads',
    per_s=268.0,
    cold_service_s=0.36,
    latency_objective_s=0.234,
    timeout_s=1.2,
    priority=2,
    value=1.0,
    key_count=66,
)
WRITES = Workload(
    name='writes',
    per_s=134.0,
    cold_service_s=0.48,
    latency_objective_s=0.384,
    timeout_s=1.2,
    priority=1,
    value=2.0,
    key_count=33,
)


def nearby_regions_scenario() -> Scenario:
    """Return regions 20 ms apart, one with a third of the callers and 1/14 of the slots."""
    return Scenario(
        endpoints_by_region={'west': 12, 'east': 14, 'south': 2},
        instances_per_region=4,
        slots=4,
        queue=12,
        cache_size=43,
        warm_factor=0.3,
        inter_region_delay_s=0.02,
        duration_s=15.0,
        workloads=(READS, WRITES),
    )
