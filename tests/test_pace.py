"""Silent endpoints are distinguished from busy ones by the service's answer times."""

import pytest
from entry_fixtures import SERVICE, make_route, make_route_table

from plantainloft_core.outcomes import Invalid
from plantainloft_core.store_position import StorePosition
from plantainloft_node.placement.endpoints import EndpointRegistry
from plantainloft_node.placement.health import EndpointHealth
from plantainloft_node.placement.latency import ServiceLatency, longest_timeout_by_service
from plantainloft_node.replica.routing_state import RoutingState
from plantainloft_node.replica.store_rows import EndpointListed, RoutesDeclared, StoreRow

NOW = 1000.0


def latency_of(*answers: float, longest_timeout_s: float = 4.0) -> ServiceLatency:
    latency = ServiceLatency()
    latency.longest_timeout_s = longest_timeout_s
    for took_s in answers:
        latency.record_response_time(took_s)
    return latency


def test_one_long_request_does_not_make_an_endpoint_silent() -> None:
    """Healthy endpoints of a slow service must stay in use.

    With a fixed bound of 0.9 s, an endpoint that worked longer than that on one
    request was avoided and its connections were closed until the answer came,
    although such times are usual for the service.
    """
    health = EndpointHealth(latency=latency_of(1.4, 1.7, 1.2, 1.9, 1.5))
    health.record_sent(1, NOW)
    assert health.is_usable(NOW + 1.8)
    assert not health.is_usable(NOW + 3.1)


def test_the_minimum_bound_applies_to_a_fast_service() -> None:
    health = EndpointHealth(latency=latency_of(*([0.05] * 200)))
    health.record_sent(1, NOW)
    assert health.is_usable(NOW + 0.8)
    assert not health.is_usable(NOW + 1.0)


def test_under_overload_the_bound_stays_below_the_route_timeout() -> None:
    """A silent endpoint must be detected in time to try another one.

    Under overload, answer times are long and vary widely; a bound that followed
    them without a limit would leave no time.
    """
    latency = latency_of(*([0.2, 1.2] * 100), longest_timeout_s=1.2)
    assert latency.max_silence_s == pytest.approx(0.9)


def test_before_any_answer_the_bound_follows_the_route_timeout() -> None:
    assert latency_of(longest_timeout_s=4.0).max_silence_s == pytest.approx(3.0)
    assert latency_of(longest_timeout_s=0.4).max_silence_s == pytest.approx(0.9)


def test_the_longest_route_timeout_of_a_service_applies() -> None:
    table = make_route_table(
        make_route(idempotent=True, prefix='/a/', timeout_s=1.5),
        make_route(idempotent=False, prefix='/b/', timeout_s=2.5),
    )
    assert longest_timeout_by_service(table) == {SERVICE: 2.5}


def test_a_declared_timeout_reaches_the_endpoints_health() -> None:
    endpoint_registry = EndpointRegistry(region_by_zone={})
    table = make_route_table(make_route(idempotent=True, prefix='/a/', timeout_s=4.0))

    def decode(row: StoreRow) -> RoutesDeclared | EndpointListed | Invalid | None:
        return RoutesDeclared(table=table)

    RoutingState(endpoint_registry=endpoint_registry, decode=decode).apply_rows(
        [StoreRow('t', 'k', StorePosition(1, 1), b'')], NOW, source='store'
    )
    assert endpoint_registry.latency_of(SERVICE).max_silence_s == pytest.approx(3.0)
