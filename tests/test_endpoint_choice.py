"""Choice of endpoints by expected completion time, and the connections to them."""

import pytest
from entry_fixtures import SERVICE, make_route

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.routes import ServiceLimits
from plantainloft_node.endpoint_signals.signals import EndpointSignals
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState

NOW = 1000.0
KEY = '7'
SLOTS = 3
CACHED_S = 0.3
UNCACHED_S = 1.0
ROUND_TRIP_S = 0.11
SERVICE_LIMITS = ServiceLimits(
    name=SERVICE, health_path='/health', max_connections=100, warmup_s=3.0, cold_requests_per_s=11.0
)
ROUTE = make_route(idempotent=True, prefix='/files/', priority=0)


def make_record(endpoint_id: str, zone: str, *, cold_s: float = 0.0) -> EndpointRecord:
    return EndpointRecord(
        id=endpoint_id,
        service=SERVICE,
        address='127.0.0.1:1',
        zone=zone,
        slots=SLOTS,
        draining=False,
        cold_s=cold_s,
    )


@pytest.fixture
def registry() -> EndpointRegistry:
    """Return four idle endpoints in the own region and two elsewhere."""
    registry = EndpointRegistry(region_by_zone={'a': 'ankara', 'i': 'izmir'})
    for number in range(4):
        registry.add_or_update(make_record(f'a{number}', 'a'), NOW)
    for number in range(2):
        registry.add_or_update(make_record(f'i{number}', 'i'), NOW)
    registry.round_trips.record('a', 0.001)
    registry.round_trips.record('i', ROUND_TRIP_S)
    for state in registry.by_id.values():
        state.record_load_report(busy=0, now=NOW)
    return registry


def measure_processing(registry: EndpointRegistry) -> None:
    processing = registry.processing_by_service[SERVICE]
    for _ in range(200):
        processing.record(CACHED_S, cached=True)
        processing.record(UNCACHED_S, cached=False)


def report_work_factor(state: EndpointState, factor: float) -> None:
    state.record_signals(EndpointSignals(work_factor=factor), sent_at=NOW, now=NOW)


def test_slow_work_is_expected_while_it_lasts(registry: EndpointRegistry) -> None:
    """Failure: requests go on to a machine that takes 2.5 times as long, or avoid it later."""
    measure_processing(registry)
    state = registry.by_id['a0']
    usual_s = state.expected_s(KEY, SLOTS, NOW)
    report_work_factor(state, 2.5)
    assert state.expected_s(KEY, SLOTS, NOW) == pytest.approx(2.5 * usual_s, rel=0.01)
    assert usual_s < state.expected_s(KEY, SLOTS, NOW + 0.3) < 2 * usual_s
    assert state.expected_s(KEY, SLOTS, NOW + 0.6) == pytest.approx(usual_s)


def test_a_report_without_a_factor_changes_nothing(registry: EndpointRegistry) -> None:
    """Failure: an endpoint of an older build counts as slow or fast."""
    measure_processing(registry)
    state = registry.by_id['a0']
    usual_s = state.expected_s(KEY, 0, NOW)
    state.record_signals(EndpointSignals(busy=2), sent_at=NOW, now=NOW)
    assert state.expected_s(KEY, 0, NOW) == usual_s


def test_usual_times_are_learnt_from_slow_answers(registry: EndpointRegistry) -> None:
    """Failure: a slow episode raises the expected times of all endpoints of the service."""
    state = registry.by_id['a0']
    report_work_factor(state, 2.0)
    state.record_processing(KEY, 2 * UNCACHED_S + 0.001, NOW, had_free_slot=True)
    assert registry.by_id['a1'].expected_s('8', 0, NOW) == pytest.approx(UNCACHED_S, rel=0.01)
