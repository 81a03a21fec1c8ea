"""Prediction of answer times, and its use in placement."""

import pytest
from entry_fixtures import SERVICE, make_route

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.routes import ServiceLimits
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState
from plantainloft_node.placement.placement import (
    Placement,
    PlacementRequest,
    PlacementSettings,
    Selection,
)
from plantainloft_node.placement.prediction import (
    MAX_RECENT_KEYS,
    RECENT_KEY_TTL_S,
    ProcessingTimes,
    RecentKeys,
)

NOW = 1000.0
KEY = '7'
SLOTS = 4
ROUND_TRIP_S = 0.11
SERVICE_LIMITS = ServiceLimits(
    name=SERVICE, health_path='/health', max_connections=100, warmup_s=3.0, cold_requests_per_s=11.0
)
ROUTE = make_route(idempotent=True, prefix='/files/', priority=0)


def record(endpoint_id: str, zone: str) -> EndpointRecord:
    return EndpointRecord(
        id=endpoint_id,
        service=SERVICE,
        address='127.0.0.1:1',
        zone=zone,
        slots=SLOTS,
        draining=False,
        cold_s=0.0,
    )


@pytest.fixture
def endpoint_registry() -> EndpointRegistry:
    """Return a registry of two idle endpoints: one in the own region, one in another.

    Processing takes 0.15 s if the object is cached, 0.48 s otherwise.
    """
    endpoint_registry = EndpointRegistry(region_by_zone={'a': 'ankara', 'i': 'izmir'})
    endpoint_registry.add_or_update(record('near', 'a'), NOW)
    endpoint_registry.add_or_update(record('far', 'i'), NOW)
    endpoint_registry.by_id['near'].record_connect_time(0.001)
    endpoint_registry.by_id['far'].record_connect_time(ROUND_TRIP_S)
    processing = endpoint_registry.processing_by_service[SERVICE]
    processing.record(0.48, cached=False)
    for _ in range(200):
        processing.record(0.15, cached=True)
    return endpoint_registry


@pytest.fixture
def near(endpoint_registry: EndpointRegistry) -> EndpointState:
    return endpoint_registry.by_id['near']


@pytest.fixture
def far(endpoint_registry: EndpointRegistry) -> EndpointState:
    return endpoint_registry.by_id['far']


@pytest.fixture
def placement(endpoint_registry: EndpointRegistry) -> Placement:
    settings = PlacementSettings(region='ankara', instance='e1', cold_over=1.5, cold_slack=5.0)
    placement = Placement(settings=settings, endpoint_registry=endpoint_registry)
    placement.update_instances({'e1': 'ankara'})
    return placement


def chosen_id(placement: Placement) -> str:
    request = PlacementRequest(ROUTE, SERVICE, KEY, frozenset(), 2.0)
    choice = placement.select_endpoint(request, SERVICE_LIMITS, NOW)
    assert isinstance(choice, Selection)
    return choice.endpoint.record.id


def report_load(state: EndpointState, busy: int) -> None:
    state.record_load_report(busy=busy, now=NOW)


def test_a_request_queues_at_the_endpoint_that_has_its_object_cached(
    placement: Placement, near: EndpointState, far: EndpointState
) -> None:
    """Requests must not run elsewhere because their endpoint is full for a moment.

    The endpoint had no free slot for a few tens of milliseconds. The endpoint that
    the requests were sent to instead did not have their objects cached, and
    processing took three times as long. Under usual load, 100 of 103 such requests
    were late, but only five of 72 that queued.
    """
    report_load(near, SLOTS)
    report_load(far, 0)
    near.recent_keys.record(KEY, NOW)
    assert chosen_id(placement) == 'near'


def test_a_free_remote_endpoint_is_used_if_it_has_the_object_cached_too(
    placement: Placement, near: EndpointState, far: EndpointState
) -> None:
    report_load(far, 0)
    for state in (near, far):
        state.recent_keys.record(KEY, NOW)
    report_load(near, SLOTS)
    assert chosen_id(placement) == 'near'
    report_load(near, 2 * SLOTS)
    assert chosen_id(placement) == 'far'


def test_a_request_runs_elsewhere_when_the_queue_is_full(
    placement: Placement, near: EndpointState, far: EndpointState
) -> None:
    """A full queue is the only reason to use an endpoint without the object cached."""
    report_load(far, 0)
    report_load(near, 2 * SLOTS)
    assert chosen_id(placement) == 'near'
    report_load(near, 3 * SLOTS)
    assert chosen_id(placement) == 'far'


def test_a_new_incarnation_has_nothing_cached(
    endpoint_registry: EndpointRegistry, near: EndpointState
) -> None:
    near.recent_keys.record(KEY, NOW)
    endpoint_registry.add_or_update(near.record._replace(born_ms=1), NOW)
    assert not endpoint_registry.by_id['near'].recent_keys.contains(KEY, NOW)


def test_processing_times_exclude_round_trip_and_queueing(
    endpoint_registry: EndpointRegistry, far: EndpointState
) -> None:
    before = endpoint_registry.processing_by_service[SERVICE].expected_s(cached=False)
    far.record_processing('x', 9.0, NOW, had_free_slot=False)
    assert endpoint_registry.processing_by_service[SERVICE].expected_s(cached=False) == before
    far.record_processing('y', 0.48 + ROUND_TRIP_S, NOW, had_free_slot=True)
    after = endpoint_registry.processing_by_service[SERVICE].expected_s(cached=False)
    assert after == pytest.approx(0.48, abs=0.01)


def test_before_any_answer_on_a_cached_object_the_uncached_time_is_expected() -> None:
    processing = ProcessingTimes()
    processing.record(0.5, cached=False)
    assert processing.expected_s(cached=True) == 0.5
    processing.record(0.2, cached=True)
    assert processing.expected_s(cached=True) == 0.2


def test_recent_keys_are_limited_in_number_and_expire() -> None:
    keys = RecentKeys()
    for number in range(MAX_RECENT_KEYS + 1):
        keys.record(str(number), NOW)
    assert not keys.contains('0', NOW)
    assert keys.contains('1', NOW)
    assert not keys.contains('1', NOW + RECENT_KEY_TTL_S)
