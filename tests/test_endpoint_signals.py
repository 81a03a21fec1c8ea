"""What endpoints announce in their responses: leaving, and rest."""

from typing import Any

import anyio
import pytest
from entry_fixtures import (
    SERVICE,
    ScriptedConnection,
    answer_with,
    get_request,
    make_route,
    make_route_table,
    post_request,
    running_forwarding_server,
    signed_ok_response,
)

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.store_position import StorePosition
from plantainloft_node.endpoint_limits.limiter import FleetView
from plantainloft_node.endpoint_signals.announcements import (
    MAX_UNLISTED,
    RAMP_S,
    UNLISTED_RETENTION_S,
    EndpointAnnouncements,
)
from plantainloft_node.endpoint_signals.retry_after import MAX_REST_S, parse_retry_after
from plantainloft_node.endpoint_signals.signals import EndpointSignals, decode_signals
from plantainloft_node.engine import connector
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState
from plantainloft_node.placement.placement import (
    NoCapacity,
    Placement,
    PlacementRequest,
    PlacementSettings,
    Selection,
)
from plantainloft_node.replica.routing_state import RoutingState
from plantainloft_node.replica.store_rows import EndpointGone, EndpointListed, StoreRow

NOW = 1000.0
NAMES = HeaderNames()
LEAVING_HEADER = b'X-Leaving: 1\r\n'


def make_record(endpoint_id: str = 'i0', **fields: object) -> EndpointRecord:
    defaults: dict[str, object] = {
        'id': endpoint_id,
        'service': SERVICE,
        'address': '127.0.0.1:1',
        'zone': 'a',
        'slots': 6,
        'draining': False,
        'cold_s': 0.0,
    }
    return EndpointRecord(**{**defaults, **fields})  # type: ignore[arg-type]


@pytest.fixture
def registry() -> EndpointRegistry:
    registry = EndpointRegistry(region_by_zone={'a': 'ankara'})
    registry.add_or_update(make_record(), NOW)
    return registry


def receive(state: EndpointState, signals: EndpointSignals, now: float = NOW) -> None:
    state.record_signals(signals, sent_at=now - 0.1, now=now)


@pytest.mark.parametrize(
    ('header_values', 'leaves'),
    [([], False), ([b'1'], True), ([b' 1 '], True), ([b'0'], False), ([b'0', b'1'], True)],
)
def test_a_leaving_header_is_decoded(header_values: list[bytes], leaves: bool) -> None:
    headers = [(b'x-leaving', header_value) for header_value in header_values]
    signals = decode_signals(200, headers, NAMES)
    assert (signals.leaves, signals.problems) == (leaves, ())


@pytest.mark.parametrize('header_value', [b'', b'yes', b'01', b'\xff', b'1' * 500])
def test_an_unknown_leaving_value_is_reported_and_ignored(header_value: bytes) -> None:
    signals = decode_signals(200, [(b'x-leaving', header_value)], NAMES)
    assert not signals.leaves
    assert len(signals.problems) == 1


def test_a_misdirected_answer_says_nothing_about_the_endpoint_that_was_meant() -> None:
    headers = [(b'x-leaving', b'1'), (b'retry-after', b'3'), (b'x-request-limit', b'2')]
    signals = decode_signals(421, headers, NAMES)
    assert not (signals.leaves or signals.rest_s or signals.request_limits)


def test_a_later_row_or_response_does_not_revoke_leaving(registry: EndpointRegistry) -> None:
    state = registry.by_id['i0']
    receive(state, EndpointSignals(leaves=True))
    receive(state, EndpointSignals(is_complete=True), NOW + 1)
    registry.add_or_update(make_record(cold_s=2.0), NOW + 2)
    assert state.is_leaving
    assert not state.accepts_requests(NOW + 2)


def test_an_incarnation_that_is_listed_again_is_still_leaving(registry: EndpointRegistry) -> None:
    """Failure: a row that was unreadable for a moment brought the endpoint back."""
    receive(registry.by_id['i0'], EndpointSignals(leaves=True))
    registry.remove('i0')
    registry.remove_expired_announcements(NOW + 1)
    registry.add_or_update(make_record(), NOW + 2)
    assert registry.by_id['i0'].is_leaving


@pytest.mark.parametrize('fields', [{'born_ms': 7}, {'address': '127.0.0.1:2'}])
def test_another_incarnation_starts_without_announcements(
    registry: EndpointRegistry, fields: dict[str, object]
) -> None:
    receive(registry.by_id['i0'], EndpointSignals(leaves=True, rest_s=3.0))
    registry.add_or_update(make_record(**fields), NOW + 1)
    assert registry.by_id['i0'].accepts_requests(NOW + 2)


def test_the_row_of_a_leaving_endpoint_that_goes_is_no_expired_one(
    registry: EndpointRegistry,
) -> None:
    """Failure: a removed row during a store outage keeps the endpoint for a grace period."""
    changes = iter([EndpointListed(record=make_record()), EndpointGone(endpoint_id='i0')])
    routing_state = RoutingState(endpoint_registry=registry, decode=lambda row: next(changes))
    row = StoreRow(table='endpoints', key='i0', position=StorePosition(1, 1), content=None)
    routing_state.apply_rows([row], NOW, source='store')
    routing_state.store_availability.record_failure(due_at=NOW)
    receive(registry.by_id['i0'], EndpointSignals(leaves=True))
    routing_state.apply_rows([row], NOW + 1, source='store')
    assert not registry.by_id


def test_announcements_are_forgotten_after_the_endpoint_has_gone() -> None:
    announcements = EndpointAnnouncements()
    for number in range(MAX_UNLISTED + 50):
        announcements.record_response(f'i{number}@0', EndpointSignals(leaves=True), NOW)
    announcements.remove_expired({'i0@0'}, NOW + 1)
    assert len(announcements) == MAX_UNLISTED + 1
    announcements.remove_expired({'i0@0'}, NOW + 2 + UNLISTED_RETENTION_S)
    assert announcements.leaving_count() == 1
    assert len(announcements) == 1


@pytest.mark.anyio
async def test_callers_get_the_leaving_header_and_no_request_follows_it() -> None:
    async with running_forwarding_server(
        answer_with(LEAVING_HEADER), answer_with(LEAVING_HEADER)
    ) as (server, endpoints):
        answers = [await server.send_request(get_request()) for _ in range(4)]
        assert [b'x-leaving: 1' in answer.lower() for answer in answers] == [
            True,
            True,
            False,
            False,
        ]
        assert [answer.split(b' ')[1] for answer in answers] == [b'200', b'200', b'503', b'503']
        assert [len(endpoint.requests) for endpoint in endpoints] == [1, 1]
        assert not len(server.pool)


@pytest.mark.anyio
@pytest.mark.parametrize('status', [b'404 Gone', b'500 Error'])
async def test_a_failure_announces_leaving_too(status: bytes) -> None:
    async def answer(connection: ScriptedConnection) -> None:
        await connection.read_request()
        head = b'HTTP/1.1 ' + status + b'\r\nX-Signature: s\r\n' + LEAVING_HEADER
        await connection.send(head + b'Content-Length: 0\r\n\r\n')

    async with running_forwarding_server(answer) as (server, _):
        await server.send_request(post_request(b'x'))
        assert server.endpoint_registry.by_id['i0'].is_leaving


@pytest.mark.anyio
async def test_requests_under_way_at_a_leaving_endpoint_end_undisturbed() -> None:
    slow_answer = anyio.Event()

    async def answer(connection: ScriptedConnection) -> None:
        request = await connection.read_request()
        if b'/files/slow' in request:
            await slow_answer.wait()
        await connection.send(signed_ok_response(b'ok', extra_headers=LEAVING_HEADER))

    async with running_forwarding_server(answer) as (server, (endpoint,)):
        answers: list[bytes] = []

        async def send_slow() -> None:
            answers.append(await server.send_request(get_request(path=b'/files/slow')))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_slow)
            while not endpoint.requests:
                await anyio.sleep(0.01)
            await server.send_request(get_request())
            slow_answer.set()
        assert answers[0].startswith(b'HTTP/1.1 200')


@pytest.mark.anyio
async def test_a_request_that_still_opens_its_connection_is_sent_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: a request chosen before the announcement reached the endpoint after it."""
    async with running_forwarding_server(answer_with(b''), answer_with(b'')) as (server, endpoints):
        states = server.endpoint_registry.by_id
        connect = connector.connect

        async def connect_then_announce(address: str, **options: Any) -> object:
            connection = await connect(address, **options)
            for state in states.values():
                if state.record.address == address and not any(
                    other.is_leaving for other in states.values()
                ):
                    receive(state, EndpointSignals(leaves=True), anyio.current_time())
            return connection

        monkeypatch.setattr(connector, 'connect', connect_then_announce)
        answer = await server.send_request(post_request(b'x'))
        assert answer.startswith(b'HTTP/1.1 200')
        assert sorted(len(endpoint.requests) for endpoint in endpoints) == [0, 1]
        assert not any(state.health.ejected_until for state in states.values())


@pytest.mark.parametrize(
    ('header_value', 'expected'),
    [
        (b'3', 3.0),
        (b' 0.25 ', 0.25),
        (b'0', 0.0),
        (b'99999999999', 99999999999.0),
        (b'Thu, 01 Jan 1970 00:16:45 GMT', 5.0),
        (b'Thu, 01 Jan 1970 00:00:05 GMT', 0.0),
    ],
)
def test_a_retry_after_is_parsed(header_value: bytes, expected: float) -> None:
    assert parse_retry_after(header_value, date=None, unix_time_s=NOW) == expected


def test_an_http_date_is_relative_to_the_date_of_the_response() -> None:
    retry_after = b'Thu, 01 Jan 1970 02:00:03 GMT'
    date = b'Thu, 01 Jan 1970 02:00:00 GMT'
    assert parse_retry_after(retry_after, date=date, unix_time_s=NOW) == 3.0


@pytest.mark.parametrize(
    ('header_values', 'rest_s'),
    [([], 0.0), ([b'3', b'7', b'1'], 7.0), ([b'soon', b'3'], 3.0), ([b'3', b'99999'], MAX_REST_S)],
)
def test_the_longest_valid_rest_of_several_applies(
    header_values: list[bytes], rest_s: float
) -> None:
    headers = [(b'retry-after', header_value) for header_value in header_values]
    assert decode_signals(503, headers, NAMES).rest_s == rest_s


@pytest.mark.parametrize(
    'header_value', [b'', b'-1', b'soon', b'nan', b'inf', b'1e3', b'3 s', b'\xff', b'9' * 400]
)
def test_a_malformed_or_huge_rest_is_reported_and_bounded(header_value: bytes) -> None:
    signals = decode_signals(503, [(b'retry-after', header_value)], NAMES)
    assert signals.rest_s <= MAX_REST_S
    assert len(signals.problems) == 1


@pytest.mark.parametrize(('status', 'rest_s'), [(503, 3.0), (429, 0.0), (200, 0.0), (500, 0.0)])
def test_only_an_unavailable_endpoint_asks_for_a_rest(status: int, rest_s: float) -> None:
    assert decode_signals(status, [(b'retry-after', b'3')], NAMES).rest_s == rest_s


def test_a_shorter_rest_or_a_served_request_does_not_end_a_longer_one(
    registry: EndpointRegistry,
) -> None:
    state = registry.by_id['i0']
    receive(state, EndpointSignals(rest_s=5.0))
    receive(state, EndpointSignals(rest_s=1.0), NOW + 0.5)
    receive(state, EndpointSignals(is_complete=True), NOW + 1)
    assert not state.accepts_requests(NOW + 4.9)
    assert state.accepts_requests(NOW + 5)


def test_requests_come_back_bit_by_bit_after_a_rest(registry: EndpointRegistry) -> None:
    """Failure: all instances sent their full traffic again at the same moment."""
    state = registry.by_id['i0']
    receive(state, EndpointSignals(rest_s=3.0))
    shares = [
        sum(
            state.announced.accepts_key(str(key), NOW + 3 + RAMP_S * part / 4) for key in range(400)
        )
        for part in range(5)
    ]
    assert [round(share / 100) for share in shares] == [0, 1, 2, 3, 4]


@pytest.fixture
def placement(registry: EndpointRegistry) -> Placement:
    for number in range(1, 4):
        registry.add_or_update(make_record(f'i{number}'), NOW)
    settings = PlacementSettings(region='ankara', instance='e1', cold_over=1.5, cold_slack=5.0)
    return Placement(settings=settings, endpoint_registry=registry)


ROUTE = make_route(idempotent=True, prefix='/files/')
(SERVICE_LIMITS,) = make_route_table(ROUTE).services_by_name.values()


def select(placement: Placement, key: str, now: float) -> Selection | NoCapacity:
    request = PlacementRequest(ROUTE, SERVICE, key, frozenset(), remaining_s=2.0)
    return placement.select_endpoint(request, SERVICE_LIMITS, now)


def test_a_request_led_past_an_endpoint_names_it(
    registry: EndpointRegistry, placement: Placement
) -> None:
    receive(registry.by_id['i0'], EndpointSignals(leaves=True))
    receive(registry.by_id['i1'], EndpointSignals(rest_s=3.0))
    selections = [select(placement, str(key), NOW + 1) for key in range(50)]
    chosen = {one.endpoint.record.id for one in selections if isinstance(one, Selection)}
    passed_over = {
        name for one in selections if isinstance(one, Selection) for name in one.unwilling_ids
    }
    assert chosen == {'i2', 'i3'}
    assert passed_over == {'i0', 'i1'}


def test_with_all_endpoints_leaving_or_resting_requests_are_refused_until_the_first_is_back(
    registry: EndpointRegistry, placement: Placement
) -> None:
    receive(registry.by_id['i0'], EndpointSignals(leaves=True))
    for number, rest_s in ((1, 5.0), (2, 3.0), (3, 9.0)):
        receive(registry.by_id[f'i{number}'], EndpointSignals(rest_s=rest_s))
    refusal = select(placement, 'k', NOW + 1)
    assert isinstance(refusal, NoCapacity)
    assert refusal.retry_after_s == 2.0
    back = [select(placement, str(key), NOW + 3.1) for key in range(50)]
    assert {one.endpoint.record.id for one in back if isinstance(one, Selection)} == {'i2'}


REST_RESPONSE = b'HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n'


async def ask_for_rest(connection: ScriptedConnection) -> None:
    while True:
        await connection.read_request()
        await connection.send(REST_RESPONSE)


@pytest.mark.anyio
async def test_a_request_that_is_turned_away_goes_to_another_endpoint_at_once() -> None:
    async with running_forwarding_server(ask_for_rest, answer_with(b'')) as (server, endpoints):
        for number in range(20):
            cookie = b'Cookie: affinity=%d\r\n' % number
            with anyio.fail_after(0.5):
                answer = await server.send_request(get_request(extra_headers=cookie))
            assert answer.startswith(b'HTTP/1.1 200')
        assert [len(endpoint.requests) for endpoint in endpoints] == [1, 20]


@pytest.mark.anyio
async def test_a_rest_is_no_failure_of_the_endpoint() -> None:
    """Failure: the endpoint was ejected for a while after its rest."""
    async with running_forwarding_server(ask_for_rest) as (server, _):
        state = server.endpoint_registry.by_id['i0']
        for _ in range(6):
            await server.send_request(get_request())
            # The next rest begins without waiting for the end of this one.
            server.endpoint_registry.announcements.remove_expired((), anyio.current_time() + 600)
        assert state.health.ejected_until == 0.0


@pytest.mark.anyio
async def test_with_nothing_else_left_callers_learn_when_the_rest_ends() -> None:
    async with running_forwarding_server(ask_for_rest) as (server, (endpoint,)):
        answers = [await server.send_request(get_request()) for _ in range(3)]
        assert len(endpoint.requests) == 1
        assert all(answer.startswith(b'HTTP/1.1 503') for answer in answers)
        retry_after = [
            float(answer.lower().split(b'retry-after: ')[1].split()[0]) for answer in answers
        ]
        assert all(2.5 < seconds < 3.5 for seconds in retry_after[1:])


@pytest.mark.anyio
async def test_a_503_that_may_have_run_asks_for_rest_too_and_is_not_repeated() -> None:
    async def answer(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(b'HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n')

    async with running_forwarding_server(answer, answer) as (server, endpoints):
        response = await server.send_request(post_request(b'x'))
        assert response.startswith(b'HTTP/1.1 502')
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 1
        now = anyio.current_time()
        states = server.endpoint_registry.by_id.values()
        assert [state.accepts_requests(now) for state in states].count(False) == 1


@pytest.mark.parametrize(
    ('header_value', 'busy'),
    [(b'3,2,4', 5), (b' 3, 0 ,4', 3), (b'3,2', None), (b'a,b,c', None), (b'-1,2,4', None)],
)
def test_a_load_report_is_decoded(header_value: bytes, busy: int | None) -> None:
    assert decode_signals(200, [(b'x-load', header_value)], NAMES).busy == busy


@pytest.mark.anyio
async def test_the_load_that_an_answer_reports_is_used() -> None:
    async with running_forwarding_server(answer_with(b'X-Load: 3,2,4\r\n')) as (server, _):
        await server.send_request(get_request())
        assert server.endpoint_registry.by_id['i0'].load(anyio.current_time()) > 4


@pytest.mark.anyio
@pytest.mark.parametrize(('keep_alive', 'connections'), [(b'timeout=9', 1), (b'timeout=0', 2)])
async def test_an_idle_connection_is_reused_only_within_its_keep_alive_time(
    keep_alive: bytes, connections: int
) -> None:
    script = answer_with(b'Keep-Alive: ' + keep_alive + b'\r\n')
    async with running_forwarding_server(script) as (server, (endpoint,)):
        for _ in range(2):
            await server.send_request(get_request())
        assert endpoint.accepted_connections == connections


@pytest.mark.parametrize('signals', [EndpointSignals(leaves=True), EndpointSignals(rest_s=3.0)])
def test_an_unwilling_endpoint_is_not_tried_where_ejections_are_ignored(
    registry: EndpointRegistry, placement: Placement, signals: EndpointSignals
) -> None:
    for state in registry.by_id.values():
        for _ in range(6):
            state.health.record_failure(NOW)
    placement.update_failing_services(NOW)
    receive(registry.by_id['i0'], signals)
    selections = [select(placement, str(key), NOW + 0.5) for key in range(50)]
    chosen = {one.endpoint.record.id for one in selections if isinstance(one, Selection)}
    assert chosen == {'i1', 'i2', 'i3'}


@pytest.mark.parametrize('signals', [EndpointSignals(leaves=True), EndpointSignals(rest_s=30.0)])
def test_an_unwilling_endpoint_does_not_get_the_idle_part_of_its_limit(
    registry: EndpointRegistry, placement: Placement, signals: EndpointSignals
) -> None:
    state = registry.by_id['i0']
    selected = ((str(key), select(placement, str(key), NOW)) for key in range(50))
    key = next(key for key, one in selected if getattr(one, 'endpoint', None) is not state)
    receive(state, EndpointSignals(request_limits=(b'3',), is_complete=True))
    fleet = FleetView({'e1': 'ankara'}, frozenset(('e1',)), reachable_fraction=1.0)
    for step in range(40):
        placement.update_endpoint_limits(fleet, NOW + step * 0.25)
        select(placement, key, NOW + step * 0.25)
    later = NOW + 10.0
    idle = select(placement, key, later)
    assert isinstance(idle, Selection) and idle.endpoint is state
    receive(state, signals, later)
    selections = [select(placement, str(key), later + 0.1) for key in range(50)]
    chosen = {one.endpoint.record.id for one in selections if isinstance(one, Selection)}
    assert chosen == {'i1', 'i2', 'i3'}
