"""Prediction of answer times, and its use in placement."""

import pytest
from entry_fixtures import SERVICE, route

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.routes import ServiceLimits
from plantainloft_node.placing.endpoints import EndpointBook, EndpointState
from plantainloft_node.placing.expecting import (
    MAX_RECENT_KEYS,
    RECENT_KEY_TTL_S,
    ProcessingTimes,
    RecentKeys,
)
from plantainloft_node.placing.placement import (
    Placement,
    PlacementRequest,
    PlacementTerms,
    Selection,
)

NOW = 1000.0
KEY = '7'
SLOTS = 4
ROUND_TRIP_S = 0.11
SERVICE_LIMITS = ServiceLimits(
    name=SERVICE, health_path='/health', max_connections=100, warmup_s=3.0, cold_requests_per_s=11.0
)
ROUTE = route(idempotent=True, prefix='/files/', priority=0)


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
def book() -> EndpointBook:
    """Return one endpoint in the own region and one in another, both idle.

    Processing takes 0.15 s if the object is cached, 0.48 s otherwise.
    """
    book = EndpointBook(region_by_zone={'a': 'ankara', 'i': 'izmir'})
    book.put(record('near', 'a'), NOW)
    book.put(record('far', 'i'), NOW)
    book.by_id['near'].note_connected(0.001)
    book.by_id['far'].note_connected(ROUND_TRIP_S)
    processing = book.work_by_service[SERVICE]
    processing.note(0.48, remembered=False)
    for _ in range(200):
        processing.note(0.15, remembered=True)
    return book


@pytest.fixture
def near(book: EndpointBook) -> EndpointState:
    return book.by_id['near']


@pytest.fixture
def far(book: EndpointBook) -> EndpointState:
    return book.by_id['far']


@pytest.fixture
def placement(book: EndpointBook) -> Placement:
    terms = PlacementTerms(region='ankara', instance='e1', cold_over=1.5, cold_slack=5.0)
    placement = Placement(terms=terms, book=book)
    placement.update_instances({'e1': 'ankara'})
    return placement


def chosen_id(placement: Placement) -> str:
    request = PlacementRequest(ROUTE, SERVICE, KEY, frozenset(), 2.0)
    choice = placement.choose(request, SERVICE_LIMITS, NOW)
    assert isinstance(choice, Selection)
    return choice.endpoint.record.id


def report_load(state: EndpointState, busy: int) -> None:
    state.note_report(busy=busy, now=NOW)


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
    near.keys.note(KEY, NOW)
    assert chosen_id(placement) == 'near'


def test_a_free_remote_endpoint_is_used_if_it_has_the_object_cached_too(
    placement: Placement, near: EndpointState, far: EndpointState
) -> None:
    report_load(far, 0)
    for state in (near, far):
        state.keys.note(KEY, NOW)
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


def test_a_new_incarnation_has_nothing_cached(book: EndpointBook, near: EndpointState) -> None:
    near.keys.note(KEY, NOW)
    book.put(near.record._replace(born_ms=1), NOW)
    assert not book.by_id['near'].keys.has(KEY, NOW)


def test_processing_times_exclude_round_trip_and_queueing(
    book: EndpointBook, far: EndpointState
) -> None:
    before = book.work_by_service[SERVICE].expected_s(remembered=False)
    far.note_work('x', 9.0, NOW, had_room=False)
    assert book.work_by_service[SERVICE].expected_s(remembered=False) == before
    far.note_work('y', 0.48 + ROUND_TRIP_S, NOW, had_room=True)
    after = book.work_by_service[SERVICE].expected_s(remembered=False)
    assert after == pytest.approx(0.48, abs=0.01)


def test_before_any_answer_on_a_cached_object_the_uncached_time_is_expected() -> None:
    processing = ProcessingTimes()
    processing.note(0.5, remembered=False)
    assert processing.expected_s(remembered=True) == 0.5
    processing.note(0.2, remembered=True)
    assert processing.expected_s(remembered=True) == 0.2


def test_recent_keys_are_limited_in_number_and_expire() -> None:
    keys = RecentKeys()
    for number in range(MAX_RECENT_KEYS + 1):
        keys.note(str(number), NOW)
    assert not keys.has('0', NOW)
    assert keys.has('1', NOW)
    assert not keys.has('1', NOW + RECENT_KEY_TTL_S)
