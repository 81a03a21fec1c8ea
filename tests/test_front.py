"""The forwarding engine with misbehaving endpoints and callers."""

import contextlib
import re
import socket
import struct
from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream
from entry_fixtures import (
    ForwardingServer,
    ScriptedConnection,
    answer_never,
    answer_with,
    get_request,
    make_route,
    make_route_table,
    post_request,
    running_forwarding_server,
    signed_ok_response,
)

from plantainloft_core.routes import CallerLimits
from plantainloft_node.engine.caller_connection import LINGER_S
from plantainloft_node.engine.upstream_connection import connect

pytestmark = pytest.mark.anyio


def status_of(answer: bytes) -> int:
    return int(answer.split(b' ', 2)[1])


async def echo(connection: ScriptedConnection) -> None:
    while True:
        request = await connection.read_request()
        id_match = re.search(rb'x-request-id: (\S+)', request.lower())
        await connection.send(
            signed_ok_response(b'ok', request_id=id_match.group(1) if id_match else b'')
        )


async def refuse(connection: ScriptedConnection) -> None:
    while True:
        await connection.read_request()
        await connection.send(
            b'HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Load: 4,9,4\r\nContent-Length: 0\r\n\r\n'
        )


async def close_at_once(connection: ScriptedConnection) -> None:
    await connection.read_request()


async def test_headers_time_left_and_target_reach_the_endpoint() -> None:
    async with running_forwarding_server(echo) as (server, (endpoint,)):
        answer = await server.send_request(
            get_request(extra_headers=b'X-Request-Timeout-Ms: 900\r\nTE: trailers\r\n')
        )
    assert status_of(answer) == 200
    sent = endpoint.requests[0].lower()
    assert b'x-target-endpoint: i0' in sent
    remaining = re.search(rb'x-request-timeout-ms: (\d+)', sent)
    assert remaining and 0 < int(remaining.group(1)) <= 900
    assert b'trailers' not in sent


@pytest.mark.parametrize('digits', [309, 5000])
async def test_a_time_limit_of_hundreds_of_digits_is_no_limit(digits: int) -> None:
    """Guards against a caller whose connection is closed without an answer."""
    header = b'X-Request-Timeout-Ms: ' + b'9' * digits + b'\r\n'
    async with running_forwarding_server(echo) as (server, endpoints):
        assert status_of(await server.send_request(get_request(extra_headers=header))) == 200
        sent = endpoints[0].requests[0].lower()
    remaining = re.search(rb'x-request-timeout-ms: (\d+)', sent)
    assert remaining and int(remaining.group(1)) <= 2000


@pytest.mark.parametrize('digits', [309, 5000])
async def test_a_keep_alive_time_of_hundreds_of_digits_is_ignored(digits: int) -> None:
    """Guards against an answer that is lost for a header about its connection."""
    header = b'Keep-Alive: timeout=' + b'9' * digits + b'\r\n'
    async with running_forwarding_server(answer_with(header)) as (server, _):
        assert status_of(await server.send_request(get_request())) == 200
        assert status_of(await server.send_request(get_request(request_id=b'r2'))) == 200


async def test_unknown_path_is_404_and_no_configuration_is_503() -> None:
    async with running_forwarding_server(echo) as (server, _):
        assert status_of(await server.send_request(get_request(b'/nothing/'))) == 404
    async with running_forwarding_server(echo, table=make_route_table(version=0)) as (server, _):
        answer = await server.send_request(get_request())
    assert status_of(answer) == 503
    assert b'retry-after' in answer.lower()


async def test_a_request_refused_by_an_endpoint_goes_to_another_one() -> None:
    async with running_forwarding_server(refuse, echo) as (server, endpoints):
        answers = [
            await server.send_request(post_request(b'x', request_id=b'r%d' % n)) for n in range(6)
        ]
    assert [status_of(answer) for answer in answers] == [200] * 6
    assert len(endpoints[1].requests) == 6


async def test_a_request_refused_by_all_endpoints_gets_503_with_retry_after() -> None:
    async with running_forwarding_server(refuse, refuse) as (server, _):
        answer = await server.send_request(post_request(b'x'))
    assert status_of(answer) == 503
    assert b'retry-after' in answer.lower()


async def test_a_retry_that_finds_no_endpoint_is_given_back() -> None:
    """Failure: retries that were never sent left none for those that could be."""
    async with running_forwarding_server(refuse) as (server, endpoints):
        answer = await server.send_request(post_request(b'x'))
        (usage,) = server.retry_budgets.usage(anyio.current_time())
    assert status_of(answer) == 503
    assert len(endpoints[0].requests) == 1
    assert (usage.sent, usage.retries) == (0, 0)


async def test_a_non_idempotent_request_is_never_sent_twice() -> None:
    """Guards against running a non-idempotent request twice (a settlement recorded twice).

    The endpoint runs the request and closes the connection before responding. A
    retry at another endpoint would run it again, and after a refusal the caller
    would send it again.
    """
    async with running_forwarding_server(close_at_once, close_at_once) as (server, endpoints):
        answer = await server.send_request(post_request(b'x'))
    assert status_of(answer) == 502
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


async def test_an_idempotent_request_is_sent_again_after_a_reset() -> None:
    async with running_forwarding_server(close_at_once, echo) as (server, _):
        answers = [await server.send_request(get_request(request_id=b'r%d' % n)) for n in range(4)]
    assert [status_of(answer) for answer in answers] == [200] * 4


async def test_a_refused_connection_allows_a_retry_of_a_non_idempotent_request() -> None:
    async with running_forwarding_server(echo, echo) as (server, endpoints):
        state = server.endpoint_registry.by_id['i0']
        state.record = state.record._replace(address='127.0.0.1:1')
        answers = [
            await server.send_request(post_request(b'x', request_id=b'r%d' % n)) for n in range(4)
        ]
    assert [status_of(answer) for answer in answers] == [200] * 4
    assert len(endpoints[1].requests) == 4


async def test_a_late_duplicate_response_is_not_sent_to_the_next_caller() -> None:
    """Guards against disclosing a response to another caller (a lawyer sees another's file).

    The endpoint responds twice to the first request; the duplicate arrives when the
    reused connection already carries the request of another caller.
    """

    async def respond_twice(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(signed_ok_response(b'first', request_id=b'r1'))
        await connection.read_request()
        await connection.send(
            signed_ok_response(b'stale', request_id=b'r1')
            + signed_ok_response(b'second', request_id=b'r2')
        )
        await anyio.sleep_forever()

    async with running_forwarding_server(respond_twice) as (server, _):
        assert (await server.send_request(get_request(request_id=b'r1'))).endswith(b'first')
        assert (await server.send_request(get_request(request_id=b'r2'))).endswith(b'second')


async def test_surplus_bytes_end_the_connection_to_the_endpoint() -> None:
    async def send_surplus_bytes(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(signed_ok_response(b'ok', request_id=b'r1') + b'HTTP/1.1 200 OK\r\n')
        await connection.read_request()

    async with running_forwarding_server(send_surplus_bytes) as (server, (endpoint,)):
        for _ in range(2):
            assert (await server.send_request(get_request(request_id=b'r1'))).endswith(b'ok')
    assert endpoint.accepted_connections == 2


async def test_a_short_incomplete_response_becomes_502() -> None:
    async def break_off(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(signed_ok_response(b'whole answer')[:-5])

    async with running_forwarding_server(break_off) as (server, _):
        answer = await server.send_request(post_request(b'x'))
    assert status_of(answer) == 502
    assert b'whole' not in answer


async def test_a_long_incomplete_response_does_not_look_complete() -> None:
    """Guards against a truncated response that looks complete (half a file shown as all of it).

    The response exceeds the buffer, so its head has been forwarded when the endpoint
    closes the connection. The caller's connection must end before the announced
    content length is reached.
    """
    body = b'x' * 300_000

    async def break_off(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(signed_ok_response(body)[:-1000])

    async with running_forwarding_server(break_off) as (server, _):
        answer = await server.send_request(post_request(b'x'))
    assert status_of(answer) == 200
    assert len(answer.partition(b'\r\n\r\n')[2]) < len(body)


async def test_a_response_without_length_ends_with_its_connection() -> None:
    async def respond_without_length(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(b'HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\nall of it')

    async with running_forwarding_server(respond_without_length) as (server, _):
        answer = await server.send_request(get_request())
    assert status_of(answer) == 200
    assert answer.endswith(b'all of it')


async def test_a_success_without_signature_is_not_forwarded() -> None:
    async def respond_unsigned(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')

    async with running_forwarding_server(respond_unsigned) as (server, _):
        assert status_of(await server.send_request(post_request(b'x'))) == 502


async def test_a_503_without_a_not_run_header_becomes_502() -> None:
    """Guards against running a request twice (a booking made twice).

    Some server behind the entry instance responds 503 after the request ran.
    Forwarded, the 503 would tell the caller that the request did not run, and the
    caller would send it again.
    """

    async def respond_503(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n')

    async with running_forwarding_server(respond_503) as (server, _):
        assert status_of(await server.send_request(post_request(b'x'))) == 502


async def test_a_request_that_was_answered_5xx_is_not_refused_for_want_of_another_endpoint() -> (
    None
):
    """Failure: a request that had run was told by 503 that it had not."""

    async def respond_500(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(b'HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n')

    async with running_forwarding_server(respond_500) as (server, (endpoint,)):
        assert status_of(await server.send_request(get_request())) == 502
    assert len(endpoint.requests) == 1


async def test_the_connection_of_a_long_5xx_response_is_closed_before_a_retry() -> None:
    """Failure: each retry after such a response left one more connection open for good."""

    async def respond_500(connection: ScriptedConnection) -> None:
        await connection.read_request()
        head = b'HTTP/1.1 500 No\r\nContent-Length: 900000\r\n\r\n'
        await connection.send(head + b'x' * 100_000)
        await connection.read_request()

    async with running_forwarding_server(respond_500) as (server, _):
        await server.send_request(get_request())
        incarnation = server.endpoint_registry.by_id['i0'].record.incarnation
        assert server.pool.open_count(incarnation) == 0


async def test_an_invalid_http_response_becomes_502() -> None:
    async def send_garbage(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(b'\x00\xffnonsense\r\n\r\n')

    async with running_forwarding_server(send_garbage) as (server, _):
        assert status_of(await server.send_request(post_request(b'x'))) == 502


async def test_pipelined_requests_run_together_and_are_answered_in_order() -> None:
    async def respond_by_path(connection: ScriptedConnection) -> None:
        while True:
            request = await connection.read_request()
            if b'/files/slow' in request:
                await anyio.sleep(0.2)
            await connection.send(
                signed_ok_response(b'slow' if b'/files/slow' in request else b'fast')
            )

    async with (
        running_forwarding_server(respond_by_path) as (server, _),
        await server.connect() as stream,
    ):
        await stream.send(
            get_request(b'/files/slow') + get_request(b'/files/fast', request_id=b'r2')
        )
        received = b''
        with anyio.fail_after(5):
            while received.count(b'HTTP/1.1 200') < 2 or not received.endswith(b'fast'):
                received += await stream.receive()
    assert received.index(b'slow') < received.index(b'fast')


async def test_a_pipelined_write_waits_for_the_responses_before_it() -> None:
    """Guards against running a pipelined request twice (a notice filed twice).

    If a response closes the connection, the caller resends the requests behind it.
    A non-idempotent one must not have been run by then.
    """

    async def respond_slowly(connection: ScriptedConnection) -> None:
        while True:
            await connection.read_request()
            await anyio.sleep(0.2)
            await connection.send(signed_ok_response(b'ok', extra_headers=b'Connection: close\r\n'))

    async with (
        running_forwarding_server(respond_slowly) as (server, (endpoint,)),
        await server.connect() as stream,
    ):
        await stream.send(get_request() + post_request(b'x', request_id=b'r2'))
        await anyio.sleep(0.1)
        assert len(endpoint.requests) == 1


async def test_a_caller_that_disconnects_cancels_its_request_at_the_endpoint() -> None:
    """Guards against endpoints that keep working on abandoned requests."""

    async def hang(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.stream.receive()

    async with running_forwarding_server(hang) as (server, (endpoint,)):
        stream = await server.connect()
        await stream.send(get_request())
        with anyio.fail_after(5):
            while not endpoint.requests:
                await anyio.sleep(0.01)
            await stream.aclose()
            while not endpoint.closed_connections:
                await anyio.sleep(0.01)


async def test_the_routes_timeout_ends_a_request_that_ran_as_504() -> None:
    table = make_route_table(make_route(idempotent=False, prefix='/notices/', timeout_s=0.2))
    async with running_forwarding_server(answer_never, table=table) as (server, _):
        assert status_of(await server.send_request(post_request(b'x'))) == 504


async def test_request_heads_and_bodies_are_limited() -> None:
    limits = CallerLimits(max_header_bytes=2000, max_body_bytes=10)
    table = make_route_table(make_route(idempotent=False, prefix='/notices/'), limits=limits)
    async with running_forwarding_server(echo, table=table) as (server, (endpoint,)):
        assert (
            status_of(
                await server.send_request(
                    get_request(extra_headers=b'X-Long: ' + b'x' * 5000 + b'\r\n')
                )
            )
            == 431
        )
        assert status_of(await server.send_request(post_request(b'x' * 11))) == 413
    assert not endpoint.requests


async def test_a_caller_too_slow_with_its_head_gets_408() -> None:
    limits = CallerLimits(header_timeout_s=0.1, idle_timeout_s=5.0)
    async with running_forwarding_server(echo, table=make_route_table(limits=limits)) as (
        server,
        _,
    ):
        assert status_of(await server.send_request(b'GET /files/1 HT')) == 408


async def test_a_long_body_is_streamed_and_answered() -> None:
    body = b'y' * 400_000
    async with running_forwarding_server(echo) as (server, (endpoint,)):
        answer = await server.send_request(post_request(body))
    assert status_of(answer) == 200
    assert endpoint.requests[0].endswith(body)


async def test_a_closing_connection_ends_with_its_last_answer() -> None:
    async with running_forwarding_server(echo) as (server, _), await server.connect() as stream:
        await stream.send(get_request())
        await stream.receive()
        server.connections[0].state.request_close()
        await stream.send(get_request(request_id=b'r2'))
        answer = b''
        with anyio.fail_after(5):
            try:
                while True:
                    answer += await stream.receive()
            except anyio.EndOfStream:
                pass
    assert status_of(answer) == 200
    assert b'connection: close' in answer.lower()


async def read_until_closed(stream: SocketStream) -> bytes:
    """Return what arrives until the other side closes the connection."""
    received = b''
    with anyio.fail_after(5):
        try:
            while True:
                received += await stream.receive()
        except anyio.EndOfStream:
            return received


async def answer_in_pieces(connection: ScriptedConnection) -> None:
    """Answer with a body too long to be buffered, of which a part comes later."""
    while True:
        await connection.read_request()
        response = signed_ok_response(b'x' * 200_000)
        await connection.send(response[:100_000])
        await anyio.sleep(0.3)
        await connection.send(response[100_000:])


async def test_a_request_behind_an_answer_that_closes_the_connection_does_not_run() -> None:
    """Guards against running a request whose answer can't be sent any more."""
    async with (
        running_forwarding_server(answer_in_pieces) as (server, (endpoint,)),
        await server.connect() as stream,
    ):
        while not server.connections:
            await anyio.sleep(0.01)
        server.connections[0].state.request_close()
        await stream.send(get_request())
        received = await stream.receive()
        assert b'connection: close' in received.lower()
        await stream.send(get_request(request_id=b'r2'))
        received += await read_until_closed(stream)
    assert received.endswith(b'x' * 200_000)
    assert len(endpoint.requests) == 1


async def test_bytes_that_arrive_behind_the_last_answer_do_not_destroy_it() -> None:
    """Guards against closing with a reset, which drops what the caller has not read yet."""
    async with (
        running_forwarding_server(answer_in_pieces) as (server, _),
        await server.connect() as stream,
    ):
        await stream.send(get_request(extra_headers=b'Connection: close\r\n'))
        await anyio.sleep(0.8)
        await stream.send(get_request(request_id=b'r2'))
        await anyio.sleep(0.1)
        received = await read_until_closed(stream)
    assert received.endswith(b'x' * 200_000)


async def test_a_connection_that_its_caller_leaves_open_is_closed_all_the_same() -> None:
    """Guards against connections that accumulate while their callers do not close them."""
    async with running_forwarding_server(echo) as (server, _), await server.connect() as stream:
        await stream.send(get_request(extra_headers=b'Connection: close\r\n'))
        assert status_of(await read_until_closed(stream)) == 200
        with anyio.fail_after(LINGER_S + 3):
            while server.connections[0].traffic.open_connections:
                await anyio.sleep(0.05)


async def test_no_request_is_accepted_behind_one_that_is_open_when_the_instance_stops() -> None:
    """Guards against an answer that waits behind one that outlasts the process."""

    async def hang_at_first(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await anyio.sleep(0.5)
        await connection.send(signed_ok_response(b'ok'))

    async with (
        running_forwarding_server(hang_at_first) as (server, (endpoint,)),
        await server.connect() as stream,
    ):
        await stream.send(get_request())
        while not endpoint.requests:
            await anyio.sleep(0.01)
        server.connections[0].start_draining()
        await stream.send(get_request(request_id=b'r2'))
        received = await read_until_closed(stream)
    assert received.count(b'HTTP/1.1 200') == 1
    assert b'connection: close' in received.lower()
    assert len(endpoint.requests) == 1


async def test_an_idle_connection_is_closed_without_reading_on() -> None:
    """Guards against a request that is read but neither run nor refused."""
    async with running_forwarding_server(echo) as (server, _), await server.connect() as stream:
        await stream.send(get_request())
        await stream.receive()
        connection = server.connections[0]
        connection.close_when_idle()
        with anyio.fail_after(0.5):
            while connection.traffic.open_connections:
                await anyio.sleep(0.01)


async def test_pipelined_requests_that_run_are_answered_before_their_connection_closes() -> None:
    """Guards against an answer that closes its connection while requests behind it run."""
    async with (
        running_forwarding_server(answer_in_pieces) as (server, (endpoint,)),
        await server.connect() as stream,
    ):
        await stream.send(get_request() + get_request(request_id=b'r2'))
        while len(endpoint.requests) < 2:
            await anyio.sleep(0.01)
        server.connections[0].state.request_close()
        received = await read_until_closed(stream)
    assert received.count(b'HTTP/1.1 200') == 2
    assert received.count(b'connection: close') == 1


@pytest.mark.parametrize(
    'behind',
    [
        pytest.param(get_request(request_id=b'r2'), id='whole'),
        pytest.param(b'GET /files/2 HTT', id='partial'),
        pytest.param(b'no request\r\n\r\n', id='malformed'),
    ],
)
async def test_what_comes_behind_an_answer_that_closes_the_connection_changes_nothing(
    behind: bytes,
) -> None:
    """Guards against losing an answer to bytes behind its request, or running these."""
    table = make_route_table(
        make_route(idempotent=True, prefix='/files/'), limits=CallerLimits(header_timeout_s=0.1)
    )
    async with (
        running_forwarding_server(answer_in_pieces, table=table) as (server, (endpoint,)),
        await server.connect() as stream,
    ):
        await stream.send(get_request(extra_headers=b'Connection: close\r\n'))
        received = await stream.receive()
        await stream.send(behind)
        received += await read_until_closed(stream)
    assert received.endswith(b'x' * 200_000)
    assert received.count(b'HTTP/1.1') == 1
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize(
    'behind',
    [
        pytest.param(b'GET /files/2 HTT', id='partial'),
        pytest.param(b'no request\r\n\r\n', id='malformed'),
    ],
)
async def test_a_request_that_can_not_be_read_cuts_no_answer_before_it(behind: bytes) -> None:
    """Guards against an answer that is cut by the rejection of the request behind it."""
    table = make_route_table(
        make_route(idempotent=True, prefix='/files/'), limits=CallerLimits(header_timeout_s=0.1)
    )
    async with (
        running_forwarding_server(answer_in_pieces, table=table) as (server, _),
        await server.connect() as stream,
    ):
        await stream.send(get_request())
        received = await stream.receive()
        await stream.send(behind)
        received += await read_until_closed(stream)
    _, answer, rejection = received.split(b'HTTP/1.1 ')
    assert answer.endswith(b'x' * 200_000)
    assert rejection.startswith(b'4')


async def test_idle_connections_are_closed_after_one_of_them_times_out() -> None:
    """Guards against losing one request on each of several silent connections.

    When a middlebox loses track of connections, pooled ones go silent while new ones
    work. A request that times out shows that its connection is silent, and the other
    pooled connections to that endpoint are likely to be silent as well.
    """

    async def respond_once(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(signed_ok_response(b'ok'))
        await connection.read_request()
        await anyio.sleep_forever()

    table = make_route_table(make_route(idempotent=False, prefix='/notices/', timeout_s=1.2))
    async with running_forwarding_server(respond_once, table=table) as (server, (endpoint,)):
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(server.send_request, post_request(b'x'))
        assert endpoint.accepted_connections == 2
        assert status_of(await server.send_request(post_request(b'x'))) == 504
        assert status_of(await server.send_request(post_request(b'x'))) == 200
    assert endpoint.accepted_connections == 3


async def test_connections_to_endpoints_that_left_are_closed() -> None:
    """Guards against running out of file descriptors after some days.

    Idle connections to endpoints that had left stayed open, since they were only
    checked by further requests to the same endpoint.
    """
    async with running_forwarding_server(echo) as (server, _):
        await server.send_request(get_request())
        pool = server.pool
        assert len(pool) == 1
        await pool.close_all_except(server.endpoint_registry.incarnations())
        assert len(pool) == 1
        server.endpoint_registry.remove('i0')
        await pool.close_all_except(server.endpoint_registry.incarnations())
        assert len(pool) == 0


async def test_connections_use_tcp_keepalive_probes() -> None:
    async with running_forwarding_server(echo) as (_, (endpoint,)):
        connection = await connect(endpoint.address)
        raw_socket = connection._stream.extra(SocketAttribute.raw_socket)
        assert raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 1
        await connection.close()


async def test_pipelining_depends_on_the_route_not_on_the_method() -> None:
    """Guards against running a request twice on a non-idempotent route of GET requests."""

    async def respond_slowly(connection: ScriptedConnection) -> None:
        while True:
            await connection.read_request()
            await anyio.sleep(0.2)
            await connection.send(signed_ok_response(b'ok'))

    async with (
        running_forwarding_server(respond_slowly) as (server, (endpoint,)),
        await server.connect() as stream,
    ):
        await stream.send(get_request() + get_request(b'/notices/1', request_id=b'r2'))
        await anyio.sleep(0.1)
        assert len(endpoint.requests) == 1


async def test_a_head_request_is_answered_without_a_body() -> None:
    async def respond_with_head(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(b'HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\n')

    async with (
        running_forwarding_server(respond_with_head) as (server, _),
        await server.connect() as stream,
    ):
        await stream.send(get_request().replace(b'GET', b'HEAD'))
        with anyio.fail_after(5):
            answer = await stream.receive()
    assert status_of(answer) == 200
    assert b'content-length: 5' in answer.lower()


async def test_a_204_has_neither_body_nor_length() -> None:
    async def respond_no_content(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(b'HTTP/1.1 204 No\r\nX-Signature: s\r\n\r\n')

    async with (
        running_forwarding_server(respond_no_content) as (server, _),
        await server.connect() as stream,
    ):
        await stream.send(get_request())
        with anyio.fail_after(5):
            answer = await stream.receive()
    assert status_of(answer) == 204
    assert b'content-length' not in answer.lower()


def logged_fields(caplog: pytest.LogCaptureFixture) -> dict[str, dict[str, object]]:
    """Return the fields of the latest log record of each kind."""
    return {
        record.kind: record.fields  # type: ignore[attr-defined]
        for record in caplog.records
        if hasattr(record, 'fields')
    }


async def test_a_refusal_without_a_configuration_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a refused request whose id appears in no log."""
    caplog.set_level('INFO')
    async with running_forwarding_server(echo, table=make_route_table(version=0)) as (server, _):
        await server.send_request(get_request(request_id=b'r7'))
    assert logged_fields(caplog)['refused'] == {
        'request': 'r7',
        'reason': 'no configuration',
        'version': 0,
    }


async def test_a_caller_that_disconnects_is_logged_with_the_endpoint_of_its_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an aborted run whose request id the entry instance never logged.

    When the caller disconnects, the task of the request is cancelled, which used to
    happen before anything was logged.
    """
    caplog.set_level('INFO')
    arrived = anyio.Event()

    async def hang(connection: ScriptedConnection) -> None:
        await connection.read_request()
        arrived.set()
        await anyio.sleep_forever()

    async with running_forwarding_server(hang) as (server, _):
        async with await server.connect() as stream:
            await stream.send(get_request(request_id=b'r8'))
            await arrived.wait()
        with anyio.fail_after(5):
            while 'caller_left' not in logged_fields(caplog):
                await anyio.sleep(0.01)
    fields = logged_fields(caplog)['caller_left']
    assert (fields['request'], fields['waiting_for'], fields['route']) == ('r8', 'i0', '/files/')


async def test_an_incomplete_streamed_response_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """The endpoint closes the connection while a long response is streamed."""
    caplog.set_level('INFO')

    async def break_off(connection: ScriptedConnection) -> None:
        await connection.read_request()
        head = b'HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 200000\r\n\r\n'
        await connection.send(head + b'x' * 100000)

    async with running_forwarding_server(break_off) as (server, _):
        await server.send_request(get_request(request_id=b'r9'))
    fields = logged_fields(caplog)['cut']
    assert (fields['request'], fields['endpoint']) == ('r9', 'i0')


async def test_an_invalid_request_is_logged_with_its_status(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    async with running_forwarding_server(echo) as (server, _):
        assert status_of(await server.send_request(b'no request\r\n\r\n')) == 400
    assert logged_fields(caplog)['improper'] == {'status': 400}


async def test_an_endpoint_that_closes_during_a_long_body_does_not_end_the_instance() -> None:
    body = b'x' * 300_000
    async with running_forwarding_server(close_at_once, close_at_once) as (server, endpoints):
        assert status_of(await server.send_request(post_request(body))) == 502
        assert status_of(await server.send_request(get_request(b'/nothing/'))) == 404
        assert sum(len(endpoint.requests) for endpoint in endpoints) <= 1


async def test_a_streamed_body_over_the_limit_does_not_end_the_instance() -> None:
    async def read_forever(connection: ScriptedConnection) -> None:
        while True:
            await connection.stream.receive()

    table = make_route_table(
        make_route(idempotent=False, prefix='/notices/'),
        limits=CallerLimits(max_body_bytes=200_000),
    )
    async with running_forwarding_server(read_forever, table=table) as (server, _):
        assert status_of(await server.send_request(post_request(b'x' * 300_000))) == 413
        assert status_of(await server.send_request(get_request(b'/nothing/'))) == 404


class CrashingScript:
    """An endpoint script that crashes its endpoint on requests with ``fatal`` in the first line."""

    def __init__(self) -> None:
        self.fatal_runs = 0

    async def __call__(self, connection: ScriptedConnection) -> None:
        while True:
            request = await connection.read_request()
            if b'fatal' in request.split(b'\r\n', 1)[0]:
                self.fatal_runs += 1
                connection.endpoint.stop()
                return
            id_match = re.search(rb'x-request-id: (\S+)', request.lower())
            await connection.send(
                signed_ok_response(b'ok', request_id=id_match.group(1) if id_match else b'')
            )


async def send_repeatedly(server: ForwardingServer, raw_request: bytes, count: int) -> list[int]:
    answers = []
    for _ in range(count):
        answers.append(status_of(await server.send_request(raw_request)))
        # Lets the check of the endpoint finish, for which the caller does not wait.
        await anyio.sleep(0.05)
    return answers


@pytest.mark.parametrize(
    'fatal',
    [
        get_request(b'/files/fatal'),
        post_request(b'x', path=b'/notices/fatal'),
        post_request(b'x' * 200_000, path=b'/notices/fatal'),
    ],
    ids=['idempotent', 'non-idempotent', 'streamed'],
)
async def test_a_request_that_crashes_endpoints_is_quarantined(fatal: bytes) -> None:
    script = CrashingScript()
    async with running_forwarding_server(*[script] * 8) as (server, _):
        answers = await send_repeatedly(server, fatal, 12)
        assert script.fatal_runs <= 4
        assert answers[-6:] == [502] * 6
        quarantined = await server.send_request(fatal)
        assert b'retry-after' not in quarantined.lower()
        assert status_of(await server.send_request(get_request(b'/files/2'))) == 200


async def test_the_same_body_in_chunks_is_the_same_request() -> None:
    script = CrashingScript()
    chunked = (
        b'POST /notices/fatal HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: c\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n'
    )
    async with running_forwarding_server(*[script] * 8) as (server, _):
        await send_repeatedly(server, post_request(b'x', path=b'/notices/fatal'), 2)
        await send_repeatedly(server, chunked, 1)
        assert script.fatal_runs == 3
        await send_repeatedly(server, chunked, 2)
        await send_repeatedly(server, post_request(b'x', path=b'/notices/fatal'), 2)
        assert script.fatal_runs == 3


async def test_a_crash_during_a_streamed_response_counts_as_a_crash() -> None:
    runs = []

    async def break_off(connection: ScriptedConnection) -> None:
        await connection.read_request()
        runs.append(connection.endpoint)
        await connection.send(signed_ok_response(b'x' * 300_000)[:200_000])
        connection.endpoint.stop()

    async with running_forwarding_server(*[break_off] * 8) as (server, _):
        await send_repeatedly(server, get_request(), 8)
        assert len(runs) == 3


@pytest.mark.parametrize('script', [refuse, close_at_once], ids=['refused', 'lost responses'])
async def test_endpoints_that_stay_up_count_as_no_crash(
    script: Callable[[ScriptedConnection], Awaitable[None]],
) -> None:
    async with running_forwarding_server(*[script] * 4) as (server, _):
        await send_repeatedly(server, post_request(b'x'), 8)
        assert not server.crash_registry


async def test_disconnects_and_timeouts_count_as_no_crash() -> None:
    table = make_route_table(make_route(idempotent=True, prefix='/files/', timeout_s=0.1))
    async with running_forwarding_server(*[answer_never] * 4, table=table) as (server, _):
        assert await send_repeatedly(server, get_request(), 4) == [504] * 4
        for _ in range(4):
            async with await server.connect() as stream:
                await stream.send(get_request())
                await anyio.sleep(0.02)
        assert not server.crash_registry


async def test_a_caller_that_resets_at_once_does_not_end_the_instance() -> None:
    async with running_forwarding_server(echo) as (server, _):
        host, _, port = server.address.partition(':')
        for _ in range(20):
            raw_socket = socket.create_connection((host, int(port)))
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            raw_socket.close()
        assert status_of(await server.send_request(get_request())) == 200


async def test_a_long_error_response_is_closed_before_a_retry() -> None:
    """Failure: its connection counted as open for good, and used up the endpoint's share."""

    async def fail_at_length(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(
            b'HTTP/1.1 500 Error\r\nContent-Length: 200000\r\n\r\n' + b'x' * 200_000
        )
        await connection.read_request()

    async with running_forwarding_server(fail_at_length, fail_at_length) as (server, endpoints):
        answer = await server.send_request(get_request(), timeout_s=2.0)
        assert status_of(answer) == 500
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 2
        with anyio.fail_after(2):
            while server.pool.total_open():
                await anyio.sleep(0.01)


async def test_a_request_that_ends_with_its_process_is_not_logged_as_one_whose_caller_left(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a loss of this instance's own that looks like a caller's choice."""
    caplog.set_level('INFO')
    arrived = anyio.Event()

    async def hang(connection: ScriptedConnection) -> None:
        await connection.read_request()
        arrived.set()
        await anyio.sleep_forever()

    async with running_forwarding_server(hang) as (server, _):
        stream = await server.connect()
        await stream.send(get_request(request_id=b'r8'))
        await arrived.wait()
    await stream.aclose()
    fields = logged_fields(caplog)['aborted']
    assert (fields['request'], fields['waiting_for'], fields['ended_by']) == ('r8', 'i0', 'process')
    assert fields['may_have_run']


async def test_an_instance_that_stops_refuses_what_it_can_not_finish() -> None:
    """Guards against a request that is cut when the process ends."""
    async with running_forwarding_server(echo) as (server, (endpoint,)):
        stop_admission = server.stop_admission
        now = anyio.current_time()
        stop_admission.start(ends_at=now + 0.5, estimates_until=now + 0.5)
        async with await server.connect() as stream:
            await stream.send(get_request() + get_request(request_id=b'r2'))
            answer = await read_until_closed(stream)
    assert answer.count(b'HTTP/1.1 503') == 2
    assert answer.count(b'retry-after: 0.00') == 2
    assert answer.count(b'connection: close') == 1
    assert not endpoint.requests


async def test_requests_are_measured_by_route_while_open_and_once_answered() -> None:
    """Guards against estimates that know nothing of the requests of their own route."""
    arrived = anyio.Event()
    may_answer = anyio.Event()

    async def answer_late(connection: ScriptedConnection) -> None:
        await connection.read_request()
        arrived.set()
        await may_answer.wait()
        await connection.send(signed_ok_response(b'ok'))

    route = make_route(idempotent=True, prefix='/files/')
    table = make_route_table(route)
    async with running_forwarding_server(answer_late, table=table) as (server, _):
        durations = server.stop_admission.durations
        async with await server.connect() as stream:
            await stream.send(get_request())
            await arrived.wait()
            later = anyio.current_time() + 100.0
            assert (durations.longest_s(route.name, later) or 0.0) > 99.0
            may_answer.set()
            await stream.receive()
        processing = server.endpoint_registry.by_id['i0'].processing
        assert processing.routes.of(route.name).expected_s(cached=False, typical_s=-1.0) > 0.0


async def test_an_instance_that_stops_sends_no_retry_that_it_can_not_finish() -> None:
    """Guards against a retry that is cut, and against a false promise in its place."""
    async with running_forwarding_server(close_at_once, close_at_once) as (server, endpoints):
        stop_admission = server.stop_admission
        admits_first = iter((True, True, False))
        stop_admission.admits = lambda *_, **__: next(admits_first)
        answer = await server.send_request(get_request())
    assert status_of(answer) == 502
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        pytest.param(post_request(b'x' * 10)[:-5], 408, id='stalled'),
        pytest.param(post_request(b'x' * 200_000)[:-5], 502, id='stalled_upload'),
        pytest.param(
            b'POST /notices/1 HTTP/1.1\r\nHost: desk.example\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nno chunk\r\n',
            400,
            id='malformed',
        ),
    ],
)
async def test_a_body_that_can_not_be_read_is_answered_at_once(raw: bytes, status: int) -> None:
    """Guards against a request that is held until its deadline, and against a false promise."""
    table = make_route_table(
        make_route(idempotent=False, prefix='/notices/', timeout_s=20.0),
        limits=CallerLimits(header_timeout_s=0.2),
    )
    async with running_forwarding_server(echo, table=table) as (server, _):
        assert status_of(await server.send_request(raw, timeout_s=3.0)) == status


async def test_a_body_over_the_limit_behind_its_answer_ends_the_connection() -> None:
    """Guards against connections that are read without end once they accept nothing more."""
    table = make_route_table(
        make_route(idempotent=True, prefix='/files/'), limits=CallerLimits(max_body_bytes=100_000)
    )
    async with (
        running_forwarding_server(echo, table=table) as (server, _),
        await server.connect() as stream,
    ):
        await stream.send(post_request(b'x' * 200_000, path=b'/unknown')[:-150_000])
        assert status_of(await stream.receive()) == 404
        await stream.send(b'x' * 100_000)
        with anyio.fail_after(3), contextlib.suppress(anyio.BrokenResourceError):
            assert not await read_until_closed(stream)
