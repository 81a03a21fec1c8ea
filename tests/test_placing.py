"""Placement decisions: pure functions of their state and of the time passed in."""

import itertools

import pytest
from entry_fixtures import SERVICE, make_route
from hypothesis import given
from hypothesis import strategies as st

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.routes import ServiceLimits, WeightedService
from plantainloft_node.placement.cold_rate_limit import cold_share
from plantainloft_node.placement.endpoints import EndpointRegistry
from plantainloft_node.placement.placement import (
    NoCapacity,
    Placement,
    PlacementRequest,
    PlacementSettings,
    Selection,
)
from plantainloft_node.placement.sliding_window import SlidingWindowCounter
from plantainloft_node.placement.weighted_round_robin import SmoothWeightedRoundRobin

NOW = 1000.0
SERVICE_LIMITS = ServiceLimits(
    name=SERVICE, health_path='/health', max_connections=100, warmup_s=3.0, cold_requests_per_s=11.0
)
ROUTE = make_route(idempotent=True, prefix='/files/')


def record(endpoint_id: str, *, zone: str = 'a', cold_s: float = 0.0) -> EndpointRecord:
    return EndpointRecord(
        id=endpoint_id,
        service=SERVICE,
        address='127.0.0.1:1',
        zone=zone,
        slots=4,
        draining=False,
        cold_s=cold_s,
    )


@pytest.fixture
def endpoint_registry() -> EndpointRegistry:
    endpoint_registry = EndpointRegistry(region_by_zone={'a': 'ankara', 'i': 'izmir'})
    for number in range(6):
        endpoint_registry.add_or_update(record(f'a{number}'), NOW)
        endpoint_registry.add_or_update(record(f'i{number}', zone='i'), NOW)
    for state in endpoint_registry.by_id.values():
        state.record_load_report(busy=0, now=NOW)
    return endpoint_registry


@pytest.fixture
def placement(endpoint_registry: EndpointRegistry) -> Placement:
    settings = PlacementSettings(region='ankara', instance='e1', cold_over=1.5, cold_slack=5.0)
    placement = Placement(settings=settings, endpoint_registry=endpoint_registry)
    placement.update_instances({f'e{number}': 'ankara' for number in range(12)})
    return placement


def request(key: str = '7', **changes: object) -> PlacementRequest:
    """Return a placement request; ``changes`` may also set fields of its route."""
    tried = changes.pop('tried', frozenset())
    remaining_s = changes.pop('remaining_s', 2.0)
    return PlacementRequest(ROUTE._replace(**changes), SERVICE, key, frozenset(tried), remaining_s)  # type: ignore[arg-type,call-overload]


def chosen_id(placement: Placement, key: str = '7', **changes: object) -> str:
    choice = placement.select_endpoint(request(key, **changes), SERVICE_LIMITS, NOW)
    assert isinstance(choice, Selection)
    return choice.endpoint.record.id


def test_a_key_goes_to_the_same_endpoint_from_every_instance(
    endpoint_registry: EndpointRegistry,
) -> None:
    all_settings = [PlacementSettings('ankara', f'e{number}', 1.5, 5.0) for number in range(4)]
    placements = [
        Placement(settings=settings, endpoint_registry=endpoint_registry)
        for settings in all_settings
    ]
    for key in map(str, range(50)):
        assert len({chosen_id(placement, key) for placement in placements}) == 1


def test_keys_spread_over_the_own_region(placement: Placement) -> None:
    chosen = [chosen_id(placement, str(key)) for key in range(600)]
    counts = [chosen.count(f'a{number}') for number in range(6)]
    assert sum(counts) == 600
    assert min(counts) > 60


def test_only_the_keys_of_an_endpoint_that_left_move(
    placement: Placement, endpoint_registry: EndpointRegistry
) -> None:
    before = {key: chosen_id(placement, key) for key in map(str, range(200))}
    endpoint_registry.remove('a3')
    moved = {key for key, endpoint in before.items() if chosen_id(placement, key) != endpoint}
    assert moved == {key for key, endpoint in before.items() if endpoint == 'a3'}


def spilled_of_100(
    placement: Placement, endpoint_registry: EndpointRegistry, at: float, *, full: int
) -> int:
    """Count the spilled of 100 requests while ``full`` endpoints of the own region are full."""
    for number in range(6):
        endpoint_registry.by_id[f'a{number}'].record_load_report(busy=8 * (number < full), now=at)
    choices = [
        placement.select_endpoint(request(str(key)), SERVICE_LIMITS, at) for key in range(100)
    ]
    return sum(
        isinstance(choice, Selection) and choice.endpoint.region == 'izmir' for choice in choices
    )


def test_the_spilled_share_falls_slowly_after_startup(
    placement: Placement, endpoint_registry: EndpointRegistry
) -> None:
    """Too much traffic must not change its region at once when spillover ends.

    At startup no object is cached and endpoints are full, so requests spill over
    to another region. When their own region had free slots two seconds later, all
    of them returned at once: 24 in 100 requests changed their region within two
    seconds, where 15 in 100 may. With a limit on the fall that ended after ten
    seconds, 29 in 100 returned at that moment.
    """
    placement.settings = placement.settings._replace(max_spill_decrease=0.1)
    shares = [
        spilled_of_100(placement, endpoint_registry, NOW + 2 * turn, full=0 if turn else 6)
        for turn in range(13)
    ]
    assert shares[0] == 100
    assert shares[-1] == 0
    falls = [early - late for early, late in itertools.pairwise(shares)]
    assert max(falls) <= 11


def test_long_after_startup_spilled_traffic_returns_at_once(
    placement: Placement, endpoint_registry: EndpointRegistry
) -> None:
    shares = [
        spilled_of_100(placement, endpoint_registry, NOW + 2 * turn, full=6 if turn == 7 else 0)
        for turn in range(9)
    ]
    assert shares == [*([0] * 7), 100, 0]


def test_a_slow_endpoint_is_avoided_and_tried_again(
    placement: Placement, endpoint_registry: EndpointRegistry
) -> None:
    """Slow endpoints must be avoided although they still answer.

    Five of twelve endpoints had become slow. They did not fail, so they were not
    ejected, and their load was known only for a moment after each report. For ten
    seconds they were sent requests, half of which timed out.
    """
    later = NOW + 30
    first = chosen_id(placement)
    for _ in range(50):
        endpoint_registry.latency_of(SERVICE).record_response_time(0.2)
    for _ in range(4):
        endpoint_registry.by_id[first].record_abandoned(1.0, later)
    assert endpoint_registry.by_id[first].is_slow(later)
    choice = placement.select_endpoint(request(), SERVICE_LIMITS, later)
    assert isinstance(choice, Selection) and choice.endpoint.record.id != first
    again = placement.select_endpoint(request(), SERVICE_LIMITS, later + 4)
    assert isinstance(again, Selection) and again.endpoint.record.id == first


def test_an_endpoint_that_warms_up_does_not_count_as_slow(
    endpoint_registry: EndpointRegistry,
) -> None:
    endpoint_registry.add_or_update(record('new', cold_s=3.0), NOW)
    state = endpoint_registry.by_id['new']
    for _ in range(50):
        endpoint_registry.latency_of(SERVICE).record_response_time(0.1)
    for _ in range(5):
        state.record_response_time(0.9, NOW + 6)
    assert not state.is_slow(NOW + 6)


def test_load_is_bounded_and_spills_to_another_region(
    placement: Placement, endpoint_registry: EndpointRegistry
) -> None:
    for number in range(6):
        endpoint_registry.by_id[f'a{number}'].record_load_report(busy=8, now=NOW)
    assert chosen_id(placement).startswith('i')


def test_the_lowest_priority_is_refused_first(
    placement: Placement, endpoint_registry: EndpointRegistry
) -> None:
    for state in endpoint_registry.by_id.values():
        state.record_load_report(busy=7, now=NOW)
    assert isinstance(
        placement.select_endpoint(request(priority=2), SERVICE_LIMITS, NOW), NoCapacity
    )
    assert isinstance(
        placement.select_endpoint(request(priority=0), SERVICE_LIMITS, NOW), Selection
    )


def test_draining_evacuated_and_disallowed_endpoints_get_no_requests(
    placement: Placement, endpoint_registry: EndpointRegistry
) -> None:
    first = chosen_id(placement)
    endpoint_registry.add_or_update(
        endpoint_registry.by_id[first].record._replace(draining=True), NOW
    )
    assert chosen_id(placement) != first
    assert chosen_id(placement, regions=frozenset(('izmir',))).startswith('i')
    endpoint_registry.update_evacuated_zones(frozenset(('a',)), warmup_s=3.0, now=NOW)
    assert chosen_id(placement).startswith('i')


def test_endpoints_are_cold_after_the_evacuation_of_their_zone_ends(
    endpoint_registry: EndpointRegistry,
) -> None:
    """Endpoints must not get their full load right after an evacuation ends.

    They may have lost their caches while the zone was evacuated, without any row
    that says so, and crashed under the load.
    """
    endpoint_registry.update_evacuated_zones(frozenset(('a',)), warmup_s=3.0, now=NOW)
    endpoint_registry.update_evacuated_zones(frozenset(), warmup_s=3.0, now=NOW + 8)
    assert endpoint_registry.by_id['a0'].is_cold(NOW + 10)
    assert not endpoint_registry.by_id['i0'].is_cold(NOW + 10)
    assert not endpoint_registry.by_id['a0'].is_cold(NOW + 12)


@given(
    max_rate=st.floats(min_value=1, max_value=500),
    count=st.integers(min_value=1, max_value=120),
    endpoint_id=st.text(min_size=1, max_size=12),
)
def test_cold_shares_never_add_up_to_more_than_the_bound(
    max_rate: float, count: int, endpoint_id: str
) -> None:
    regions = {f'e{number}': 'ai'[number % 2] for number in range(count)}
    shares = [
        cold_share(
            max_rate=max_rate,
            instance=name,
            region_by_instance=regions,
            endpoint_id=endpoint_id,
            region='a',
        )
        for name in regions
    ]
    assert sum(shares) <= max_rate
    assert max(shares) - min(shares) <= 1


def test_in_a_large_fleet_instances_in_a_cold_endpoints_region_may_send_to_it() -> None:
    """A cold endpoint must be usable by the callers of its own region.

    With 60 instances, a limit of 21 requests a second gives 17 of them one request
    a second. Selected by rank alone, two thirds of these were in other regions,
    whose callers hardly use the endpoint, and callers in its own region were sent
    elsewhere during its whole warm-up.
    """
    regions = {f'e{number}': 'abc'[number % 3] for number in range(60)}
    shares = {
        name: cold_share(
            max_rate=21.5, instance=name, region_by_instance=regions, endpoint_id='x', region='a'
        )
        for name in regions
    }
    assert sum(shares.values()) == 17
    assert {regions[name] for name, share in shares.items() if share} == {'a'}


def test_a_cold_endpoint_gets_only_this_instances_share(
    endpoint_registry: EndpointRegistry,
) -> None:
    endpoint_registry.add_or_update(record('cold', cold_s=3.0), NOW)
    for name in [name for name in endpoint_registry.by_id if name != 'cold']:
        endpoint_registry.remove(name)
    settings = PlacementSettings(region='ankara', instance='e1', cold_over=1.5, cold_slack=5.0)
    placement = Placement(settings=settings, endpoint_registry=endpoint_registry)
    placement.update_instances({f'e{number}': 'ankara' for number in range(12)})
    sent = 0
    for step in range(100):
        now = NOW + step / 100
        choice = placement.select_endpoint(request(), SERVICE_LIMITS, now)
        if isinstance(choice, Selection):
            placement.record_sent(choice.endpoint, now)
            sent += 1
    assert 1 <= sent <= 2


def test_failing_endpoints_are_ejected_and_used_again_later(
    placement: Placement, endpoint_registry: EndpointRegistry
) -> None:
    first = chosen_id(placement)
    health = endpoint_registry.by_id[first].health
    while not health.record_failure(NOW):
        assert chosen_id(placement) == first
    assert chosen_id(placement) != first
    assert health.is_usable(NOW + 1.5)


def test_a_silent_endpoint_is_avoided(
    placement: Placement, endpoint_registry: EndpointRegistry
) -> None:
    """An endpoint that stops answering must be detected without any failure.

    It became silent while its connections stayed open. None of its requests
    ended, so no failure was counted, and requests waited there until they timed
    out.
    """
    first = chosen_id(placement)
    endpoint_registry.by_id[first].health.record_sent(1, NOW - 2)
    assert chosen_id(placement) != first
    endpoint_registry.by_id[first].health.record_ended(1)
    assert chosen_id(placement) == first


def test_a_traffic_split_holds_over_few_requests() -> None:
    round_robin = SmoothWeightedRoundRobin()
    shares = (WeightedService('new', 10.0), WeightedService('old', 90.0))
    for count in (10, 50, 100):
        chosen = [round_robin.next_service(shares) for _ in range(count)]
        assert abs(chosen.count('new') - count / 10) <= 1


def test_partly_failing_endpoints_are_used_when_most_of_them_fail(
    placement: Placement, endpoint_registry: EndpointRegistry
) -> None:
    """Ejection must not leave a service without any endpoint that still answers.

    All endpoints of a service refused half of their requests. All were ejected,
    and every request was refused.
    """
    for state in endpoint_registry.by_id.values():
        while not state.health.record_failure(NOW):
            continue
    assert isinstance(placement.select_endpoint(request(), SERVICE_LIMITS, NOW), NoCapacity)
    placement.update_failing_services(NOW)
    assert isinstance(placement.select_endpoint(request(), SERVICE_LIMITS, NOW), Selection)
    for state in endpoint_registry.by_id.values():
        state.health.record_unreachable(NOW + 10)
    placement.update_failing_services(NOW + 10)
    assert isinstance(placement.select_endpoint(request(), SERVICE_LIMITS, NOW + 10), NoCapacity)


def test_a_request_is_not_queued_where_it_cannot_be_answered_in_time(
    endpoint_registry: EndpointRegistry, placement: Placement
) -> None:
    """A request that would time out in a queue must be refused instead.

    All endpoints are busy. The request has 0.5 s left, but requests queued at its
    endpoint are answered after 0.6 s. If it is queued, its caller waits until the
    timeout without learning the outcome, and a slot is wasted on it.
    """
    for state in endpoint_registry.by_id.values():
        state.record_load_report(busy=4, now=NOW)
    endpoint_registry.latency_of(SERVICE).record_response_time(0.3)
    assert isinstance(
        placement.select_endpoint(request(remaining_s=0.7), SERVICE_LIMITS, NOW), Selection
    )
    refused = placement.select_endpoint(request(remaining_s=0.5), SERVICE_LIMITS, NOW)
    assert isinstance(refused, NoCapacity)
    assert refused.reason == 'no endpoint answers in time'


def test_expired_events_are_removed_even_if_never_counted() -> None:
    """A window must not grow without bound.

    Events expired only when the window was counted. The requests of a service
    without retries, and those after the spillover of startup, were never counted,
    so an instance's memory grew with every request.
    """
    window = SlidingWindowCounter(window_s=2.0)
    for number in range(1000):
        window.add(NOW + number)
    assert len(window) <= 2


def test_an_endpoint_whose_process_has_ended_gets_no_more_requests(
    placement: Placement, endpoint_registry: EndpointRegistry
) -> None:
    ended = chosen_id(placement)
    endpoint_registry.record_process_ended(endpoint_registry.by_id[ended].record.incarnation, NOW)
    assert chosen_id(placement) != ended
