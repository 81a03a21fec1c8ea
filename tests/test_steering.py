"""Load balancing by headroom: stale load reports and region capacity."""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st

from plantainloft_core.model import Configuration, Endpoint, Region, Service, build_configuration
from plantainloft_core.outcomes import Refused
from plantainloft_core.steering import EndpointLoad, HeadroomPolicy

ZONES = ('ankara-a', 'ankara-b')


def _config(region_capacity: int) -> Configuration:
    endpoints = {
        f'e{index}': Endpoint(
            name=f'e{index}',
            service='s',
            region='ankara',
            zone=ZONES[index % 2],
            address=f'http://e{index}',
            slots=4,
            state='active',
        )
        for index in range(4)
    }
    return build_configuration(
        version=1,
        regions_by_name={'ankara': Region(name='ankara', capacity=region_capacity, zones=ZONES)},
        services_by_name={'s': Service(name='s', shift_cap=0.2, slo_ms=100)},
        endpoints_by_name=endpoints,
        client_blocks_by_name={},
    )


def _policy() -> HeadroomPolicy:
    return HeadroomPolicy(rng=random.Random(1))


def _reported_load(inflight: int, *, age_s: float = 0.1) -> EndpointLoad:
    return EndpointLoad(
        local_inflight=0,
        reported_inflight=inflight,
        report_age_s=age_s,
        in_service_s=60,
    )


def test_endpoint_with_stale_reports_gets_one_request_at_most() -> None:
    """Guards against overloading an endpoint that has stopped reporting.

    The last report of e0 said 0 requests in flight. A policy that trusts a
    stale report would take e0 for idle and keep sending to it.
    """
    config = _config(region_capacity=100)
    stale = EndpointLoad(local_inflight=1, reported_inflight=0, report_age_s=30, in_service_s=60)
    loads = {'e0': stale, 'e1': _reported_load(4), 'e2': _reported_load(4), 'e3': _reported_load(4)}
    choice = _policy().choose(config, service='s', zone='ankara-a', loads_by_endpoint=loads)
    assert isinstance(choice, Refused)


@given(
    st.lists(st.integers(min_value=0, max_value=6), min_size=4, max_size=4),
    st.integers(1, 20),
)
def test_choice_never_exceeds_region_capacity(inflight: list[int], capacity: int) -> None:
    config = _config(region_capacity=capacity)
    loads = {f'e{index}': _reported_load(value) for index, value in enumerate(inflight)}
    choice = _policy().choose(config, service='s', zone='ankara-a', loads_by_endpoint=loads)
    if not isinstance(choice, Refused):
        assert sum(inflight) + 1 <= capacity
        assert inflight[int(choice.endpoint.name[1:])] < 4


def test_nodes_with_the_same_stale_view_spread_their_requests() -> None:
    """Guards against requests queueing at one endpoint while others are idle.

    All endpoints report that they are idle, and twelve nodes send one request
    each before the next report. If each node took the least loaded endpoint
    and broke ties by name, all of them would choose the same one.
    """
    config = _config(region_capacity=100)
    loads = {f'e{index}': _reported_load(0) for index in range(4)}
    chosen: collections.Counter[str] = collections.Counter()
    for node in range(12):
        policy = HeadroomPolicy(rng=random.Random(node))
        choice = policy.choose(config, service='s', zone='ankara-a', loads_by_endpoint=loads)
        assert not isinstance(choice, Refused)
        chosen[choice.endpoint.name] += 1
    assert set(chosen) == {'e0', 'e2'}
    assert max(chosen.values()) <= 9
