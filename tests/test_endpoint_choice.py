"""Choice of endpoints by expected completion time, and the connections to them."""

from functools import partial

import anyio
import pytest
from anyio.abc import SocketAttribute
from entry_fixtures import SERVICE, make_route

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.routes import Route, ServiceLimits
from plantainloft_node.endpoint_signals.signals import EndpointSignals
from plantainloft_node.engine.attempts import NotSent
from plantainloft_node.engine.connection_pool import ConnectionPool
from plantainloft_node.engine.connector import ConnectionNeeds, DirectConnector
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.sender import EndpointRequest, Sender, record_refusal_load
from plantainloft_node.engine.upstream_connection import (
    UpstreamConnection,
    UpstreamRequest,
    connect,
)
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.placement.answer_prediction import predict_answer
from plantainloft_node.placement.connection_share import ConnectionView, connection_share
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState
from plantainloft_node.placement.placement import (
    NoCapacity,
    Placement,
    PlacementRequest,
    PlacementSettings,
    Selection,
)
from plantainloft_node.placement.route_times import (
    MAX_ROUTES,
    MAX_TRIALS,
    REFUSALS_PER_PROBE,
    RouteTimes,
    RouteTimesTable,
)
from plantainloft_standins.load_simulation import Scenario, Workload, simulate

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


@pytest.fixture
def placement(registry: EndpointRegistry) -> Placement:
    settings = PlacementSettings(region='ankara', instance='e1', cold_over=1.5, cold_slack=5.0)
    placement = Placement(settings=settings, endpoint_registry=registry)
    placement.update_instances({'e1': 'ankara'})
    placement.overload_control = True
    return placement


def select(
    placement: Placement,
    *,
    remaining_s: float = 2.5,
    tried: frozenset[str] = frozenset(),
    route: Route = ROUTE,
) -> Selection | NoCapacity:
    request = PlacementRequest(route, SERVICE, KEY, tried, remaining_s)
    return placement.select_endpoint(request, SERVICE_LIMITS, NOW)


def chosen(placement: Placement, **changes: object) -> EndpointState:
    choice = select(placement, **changes)  # type: ignore[arg-type]
    assert isinstance(choice, Selection)
    return choice.endpoint


def fill(registry: EndpointRegistry, busy: int) -> None:
    for state in registry.by_id.values():
        state.record_load_report(busy=busy, now=NOW)


def measure_processing(registry: EndpointRegistry) -> None:
    processing = registry.processing_by_service[SERVICE]
    for _ in range(200):
        processing.record(CACHED_S, cached=True, route=ROUTE.name)
        processing.record(UNCACHED_S, cached=False, route=ROUTE.name)


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


def test_a_request_that_can_only_time_out_is_refused_at_once(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: 504 at the route timeout for requests that were running or queued by then."""
    measure_processing(registry)
    refused = select(placement, remaining_s=UNCACHED_S - 0.1)
    assert isinstance(refused, NoCapacity)
    assert refused.reason == 'no endpoint answers in time'
    assert chosen(placement, remaining_s=UNCACHED_S + ROUND_TRIP_S + 0.1)


@pytest.mark.parametrize('answers', [0, 1, 20])
def test_a_quick_route_of_a_slow_service_is_not_refused(
    registry: EndpointRegistry, placement: Placement, answers: int
) -> None:
    """Failure: requests of milliseconds are refused since others of the service take seconds."""
    measure_processing(registry)
    quick = ROUTE._replace(name='quick')
    state = registry.by_id['a0']
    for number in range(answers):
        state.record_processing(str(number), 0.005, NOW, had_free_slot=True, route='quick')
    assert chosen(placement, remaining_s=0.3, route=quick)
    fill(registry, 2 * SLOTS - 1)
    assert isinstance(select(placement, remaining_s=0.3, route=quick), NoCapacity)


def test_a_route_without_answers_is_tried_a_few_times_only(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: requests that all time out are all sent, as their route never gets an answer."""
    measure_processing(registry)
    hopeless = ROUTE._replace(name='hopeless')
    choices = [select(placement, remaining_s=0.05, route=hopeless) for _ in range(500)]
    sent = sum(isinstance(choice, Selection) for choice in choices)
    candidates = 5
    assert sent <= MAX_TRIALS + 500 * candidates / REFUSALS_PER_PROBE
    assert all(isinstance(choice, Selection) for choice in choices[:MAX_TRIALS])


def test_only_the_queue_ahead_is_expected_to_take_as_long_as_the_service(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: at full endpoints, quick requests are refused for the work of slow ones."""
    measure_processing(registry)
    quick = ROUTE._replace(name='quick')
    for state in registry.by_id.values():
        state.record_response_time(UNCACHED_S, NOW)
    registry.by_id['a0'].record_processing('1', 0.005, NOW, had_free_slot=True, route='quick')
    fill(registry, SLOTS)
    assert chosen(placement, remaining_s=1.2 * UNCACHED_S, route=quick)
    assert isinstance(select(placement, remaining_s=0.8 * UNCACHED_S, route=quick), NoCapacity)


def test_a_slow_route_of_a_quick_service_is_refused_at_once(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: 504 at the timeout for slow requests, since most of the service are quick."""
    slow = ROUTE._replace(name='slow')
    state = registry.by_id['a0']
    for number in range(200):
        state.record_processing(f'q{number}', 0.005, NOW, had_free_slot=True, route=ROUTE.name)
    for number in range(3):
        state.record_processing(f's{number}', UNCACHED_S, NOW, had_free_slot=True, route='slow')
    assert isinstance(select(placement, remaining_s=UNCACHED_S - 0.1, route=slow), NoCapacity)
    assert chosen(placement, remaining_s=0.3)


def test_the_queue_of_an_endpoint_counts(registry: EndpointRegistry, placement: Placement) -> None:
    """Failure: a request is queued behind others for longer than it has left."""
    measure_processing(registry)
    fill(registry, 2 * SLOTS - 1)
    assert isinstance(select(placement, remaining_s=UNCACHED_S + 0.2), NoCapacity)
    assert chosen(placement, remaining_s=2 * UNCACHED_S)


def test_a_cached_object_makes_a_request_possible(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: a request is refused that its endpoint answers in 0.3 s from its cache."""
    measure_processing(registry)
    chosen(placement).recent_keys.record(KEY, NOW)
    assert chosen(placement, remaining_s=CACHED_S + 0.2)


def test_nothing_is_refused_on_a_guess(registry: EndpointRegistry, placement: Placement) -> None:
    """Failure: after a start all requests with little time are refused and none is measured."""
    assert chosen(placement, remaining_s=0.1)


def test_a_cold_endpoint_is_expected_to_be_slow(registry: EndpointRegistry) -> None:
    """Failure: requests time out on an endpoint that has just started."""
    measure_processing(registry)
    registry.add_or_update(make_record('a9', 'a', cold_s=3.0), NOW)
    started = registry.by_id['a9']
    took_s = 4 * UNCACHED_S + 0.001
    started.record_processing('8', took_s, NOW, had_free_slot=True, route=ROUTE.name)
    expected_s = predict_answer(started, ROUTE.name, KEY, 0, NOW).expected_s
    assert expected_s == pytest.approx(4.0, rel=0.01)
    assert predict_answer(registry.by_id['a0'], ROUTE.name, KEY, 0, NOW).expected_s < 1.3


def test_without_overload_control_only_queued_requests_are_refused(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: a deployment that does not use overload control sees other refusals."""
    measure_processing(registry)
    placement.overload_control = False
    assert chosen(placement, remaining_s=UNCACHED_S - 0.1)


def busy_elsewhere(registry: EndpointRegistry, state: EndpointState, busy: int) -> None:
    fill(registry, 1)
    state.record_load_report(busy=busy, now=NOW)


def test_a_full_endpoint_is_left_while_others_have_room(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: the busiest endpoint has three times the mean load and rejects requests."""
    measure_processing(registry)
    home = chosen(placement)
    busy_elsewhere(registry, home, 4 * SLOTS)
    assert chosen(placement) is not home
    assert chosen(placement).region == 'ankara'


def test_an_idle_endpoint_is_used_instead_of_a_long_queue(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: requests wait at their first choice while its neighbours are idle."""
    measure_processing(registry)
    home = chosen(placement)
    for _ in range(200):
        fill(registry, 0)
    home.record_load_report(busy=2 * SLOTS, now=NOW)
    assert chosen(placement) is not home


def test_a_short_wait_is_preferred_to_work_on_an_uncached_object(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: objects are copied to endpoints that evict others for them."""
    measure_processing(registry)
    home = chosen(placement)
    home.recent_keys.record(KEY, NOW)
    busy_elsewhere(registry, home, SLOTS + 1)
    assert chosen(placement) is home


def test_of_two_endpoints_with_the_object_cached_the_faster_one_is_used(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: requests go to an endpoint that reports to be slow for now."""
    measure_processing(registry)
    home = chosen(placement)
    other = chosen(placement, tried=frozenset((home.record.id,)))
    for state in (home, other):
        state.recent_keys.record(KEY, NOW)
    assert chosen(placement) is home
    report_work_factor(home, 2.5)
    assert chosen(placement) is other


def test_a_retry_goes_to_other_candidates(registry: EndpointRegistry, placement: Placement) -> None:
    """Failure: the second attempt meets the same full endpoint."""
    home = chosen(placement)
    assert chosen(placement, tried=frozenset((home.record.id,))) is not home


def test_without_overload_control_there_is_one_candidate_in_the_region(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: a deployment that does not use overload control spreads its objects."""
    placement.overload_control = False
    home = chosen(placement)
    busy_elsewhere(registry, home, 4 * SLOTS)
    assert chosen(placement).region == 'izmir'


class ScriptedConnections(ConnectionView):
    """Connections by endpoint id."""

    def __init__(self, *, open_counts: dict[str, int], idle: set[str]) -> None:
        self._open_counts = open_counts
        self._idle = idle

    def open_count(self, incarnation: str) -> int:
        return self._open_counts.get(incarnation.partition('@')[0], 0)

    def has_idle(self, incarnation: str, now: float) -> bool:
        return incarnation.partition('@')[0] in self._idle

    def total_open(self) -> int:
        return sum(self._open_counts.values())


def test_shares_of_all_instances_are_within_the_maximum() -> None:
    """Failure: endpoints reset 799 to 1,538 connections a day that exceed their maximum."""
    for instances in (1, 8, 35, 88, 195):
        assert instances * connection_share(390, instances=instances) <= 390
    assert connection_share(100, instances=195) == 1
    assert connection_share(100, instances=0) == 1


def test_a_request_beyond_the_share_goes_to_another_candidate(placement: Placement) -> None:
    """Failure: an instance opens more connections than its part of the maximum."""
    home = chosen(placement)
    placement.running_instances = SERVICE_LIMITS.max_connections // 2
    placement.connections = ScriptedConnections(open_counts={home.record.id: 2}, idle=set())
    assert chosen(placement) is not home
    placement.connections = ScriptedConnections(
        open_counts={home.record.id: 2}, idle={home.record.id}
    )
    assert chosen(placement) is home


def test_among_equal_candidates_one_with_an_idle_connection_is_used(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: 14,963 new connections for 24,508 requests."""
    measure_processing(registry)
    home = chosen(placement)
    other = chosen(placement, tried=frozenset((home.record.id,)))
    for state in (home, other):
        state.recent_keys.record(KEY, NOW)
    placement.connections = ScriptedConnections(open_counts={}, idle={other.record.id})
    assert chosen(placement) is other


class SlowConnector(DirectConnector):
    """Opens no connection before it is cancelled."""

    async def connect(
        self, state: EndpointState, needs: ConnectionNeeds
    ) -> UpstreamConnection | NotSent:
        await anyio.sleep_forever()
        raise AssertionError


@pytest.mark.anyio
async def test_connections_that_are_being_opened_count(registry: EndpointRegistry) -> None:
    """Failure: a burst opens a connection for each request before the first one is open."""
    state = registry.by_id['a0']
    pool = ConnectionPool()
    connector = SlowConnector(links=LinkMonitor(), id_header=b'')
    sender = Sender(names=HeaderNames(), pool=pool, connector=connector)
    request = EndpointRequest(
        UpstreamRequest(b'GET', b'/', [], b'', body_complete=True), None, connection_share=2
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sender.send, state, request)
        tasks.start_soon(sender.send, state, request)
        await anyio.wait_all_tasks_blocked()
        assert pool.open_count(state.record.incarnation) == 2
        third = await sender.send(state, request)
        assert isinstance(third, NotSent)
        assert not third.blames_endpoint
        tasks.cancel_scope.cancel()
    assert pool.total_open() == 0


@pytest.mark.anyio
async def test_idle_connections_are_closed_by_a_cancelled_request(
    registry: EndpointRegistry,
) -> None:
    """Failure: after timeouts, connections that are gone use up the share of an endpoint."""
    pool = ConnectionPool()
    incarnation = registry.by_id['a0'].record.incarnation
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    host, port = listener.extra(SocketAttribute.local_address)[:2]
    async with listener:
        for _ in range(3):
            connection = await connect(f'{host}:{port}')
            pool.record_opening(incarnation)
            connection.call_when_closed(partial(pool.record_closed, incarnation))
            await pool.release(incarnation, connection)
        with anyio.move_on_after(0.01):
            try:
                await anyio.sleep_forever()
            finally:
                await pool.close_idle(incarnation)
        assert len(pool) == 0
        assert pool.total_open() == 0


def test_a_refusal_shows_that_an_endpoint_is_full(
    registry: EndpointRegistry, placement: Placement
) -> None:
    """Failure: requests go on to an endpoint whose queue is shorter than the one assumed."""
    home = chosen(placement)
    fill(registry, 1)
    record_refusal_load(home, EndpointSignals(busy=SLOTS + 1), NOW)
    assert chosen(placement) is not home


def make_scenario(*, overload_control: bool, seed: int) -> Scenario:
    """Return deployment B scaled to 40 endpoints, a sixth of which is slow at any time."""

    def slowdown(number: int, now: float) -> float:
        return 2.5 if (7 * number + int(now / 0.6)) % 6 == 0 else 1.0

    search = Workload(
        name='search',
        per_s=60.0,
        cold_service_s=0.95,
        latency_objective_s=0.9,
        timeout_s=2.2,
        priority=0,
        value=1.0,
        key_count=50,
    )
    return Scenario(
        endpoints_by_region={'west': 4, 'east': 16, 'south': 20},
        instances_per_region=4,
        slots=SLOTS,
        queue=9,
        cache_size=8,
        warm_factor=0.3,
        inter_region_delay_s=0.055,
        duration_s=20.0,
        workloads=(search, search._replace(name='page', per_s=50.0, priority=1)),
        slowdown=slowdown,
        overload_control=overload_control,
        seed=seed,
    )


def test_an_estimate_that_refuses_all_requests_is_measured_again() -> None:
    """Failure: after a slow episode all requests were refused for good, at idle endpoints."""
    times = RouteTimes()
    times.record(9.0, cached=False)
    assert not all(times.allows_refusal() for _ in range(REFUSALS_PER_PROBE))
    times.record(0.3, cached=False)
    assert times.allows_refusal()


def test_the_times_of_many_routes_take_bounded_room() -> None:
    """Failure: each route that ever was in a configuration keeps its times for good."""
    table = RouteTimesTable()
    for number in range(3 * MAX_ROUTES):
        table.of('busy').record(0.1, cached=False)
        table.of(f'r{number}').record(0.2, cached=False)
    assert table.of('busy').expected_s(cached=False, typical_s=9.0) == pytest.approx(0.1)
    assert table.of('r0').expected_s(cached=False, typical_s=9.0) == 0.0


def test_more_is_in_time_and_less_refused_by_endpoints_than_without() -> None:
    """Failure: requests meet full endpoints, or are late there, while others have room."""
    refused, in_time = [], []
    for overload_control in (False, True):
        models = [
            simulate(make_scenario(overload_control=overload_control, seed=seed))
            for seed in range(1, 9)
        ]
        stats = [one for model in models for one in model.stats_by_workload.values()]
        refused.append(sum(model.shed for model in models))
        in_time.append(sum(one.within_objective for one in stats))
    assert refused[1] < refused[0]
    assert in_time[1] > in_time[0]
