"""The forwarding engine against endpoints and callers that misbehave."""

import re
import socket
import struct
from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketAttribute
from entry_fixtures import (
    Conversation,
    Entry,
    get,
    post,
    route,
    running_entry,
    table_of,
    whole,
)

from plantainloft_core.routes import CallerLimits
from plantainloft_node.engine.endpoint_link import connect

pytestmark = pytest.mark.anyio


def status(answer: bytes) -> int:
    return int(answer.split(b' ', 2)[1])


async def echo(talk: Conversation) -> None:
    while True:
        request = await talk.request()
        found = re.search(rb'x-request-id: (\S+)', request.lower())
        await talk.say(whole(b'ok', request_id=found.group(1) if found else b''))


async def shed(talk: Conversation) -> None:
    while True:
        await talk.request()
        await talk.say(
            b'HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Load: 4,9,4\r\nContent-Length: 0\r\n\r\n'
        )


async def close_at_once(talk: Conversation) -> None:
    await talk.request()


async def test_headers_time_left_and_target_reach_the_endpoint() -> None:
    async with running_entry(echo) as (entry, (endpoint,)):
        answer = await entry.ask(get(more=b'X-Request-Timeout-Ms: 900\r\nTE: trailers\r\n'))
    assert status(answer) == 200
    sent = endpoint.requests[0].lower()
    assert b'x-target-endpoint: i0' in sent
    left = re.search(rb'x-request-timeout-ms: (\d+)', sent)
    assert left and 0 < int(left.group(1)) <= 900
    assert b'trailers' not in sent


async def test_unknown_path_is_404_and_no_configuration_is_503() -> None:
    async with running_entry(echo) as (entry, _):
        assert status(await entry.ask(get(b'/nothing/'))) == 404
    async with running_entry(echo, table=table_of(version=0)) as (entry, _):
        answer = await entry.ask(get())
    assert status(answer) == 503
    assert b'retry-after' in answer.lower()


async def test_a_shed_request_goes_to_another_endpoint() -> None:
    async with running_entry(shed, echo) as (entry, endpoints):
        answers = [await entry.ask(post(b'x', request_id=b'r%d' % n)) for n in range(6)]
    assert [status(answer) for answer in answers] == [200] * 6
    assert len(endpoints[1].requests) == 6


async def test_shed_everywhere_is_refused_with_retry_after() -> None:
    async with running_entry(shed, shed) as (entry, _):
        answer = await entry.ask(post(b'x'))
    assert status(answer) == 503
    assert b'retry-after' in answer.lower()


async def test_a_non_idempotent_request_is_never_sent_twice() -> None:
    """Symptom: a settlement recorded twice.

    The endpoint runs the request and its connection breaks before the
    answer. Sent on to another endpoint it would run again; called refused,
    the caller would send it again.
    """
    async with running_entry(close_at_once, close_at_once) as (entry, endpoints):
        answer = await entry.ask(post(b'x'))
    assert status(answer) == 502
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


async def test_an_idempotent_request_is_sent_again_after_a_reset() -> None:
    async with running_entry(close_at_once, echo) as (entry, _):
        answers = [await entry.ask(get(request_id=b'r%d' % n)) for n in range(4)]
    assert [status(answer) for answer in answers] == [200] * 4


async def test_a_refused_connection_is_not_a_run() -> None:
    async with running_entry(echo, echo) as (entry, endpoints):
        state = entry.book.by_id['i0']
        state.record = state.record._replace(address='127.0.0.1:1')
        answers = [await entry.ask(post(b'x', request_id=b'r%d' % n)) for n in range(4)]
    assert [status(answer) for answer in answers] == [200] * 4
    assert len(endpoints[1].requests) == 4


async def test_a_late_second_answer_is_not_given_to_the_next_caller() -> None:
    """Symptom: a lawyer sees another's claim file.

    The endpoint answers once, and once more a little later, when the kept
    connection already carries another caller's request.
    """

    async def twice(talk: Conversation) -> None:
        await talk.request()
        await talk.say(whole(b'first', request_id=b'r1'))
        await talk.request()
        await talk.say(whole(b'stale', request_id=b'r1') + whole(b'second', request_id=b'r2'))
        await anyio.sleep_forever()

    async with running_entry(twice) as (entry, _):
        assert (await entry.ask(get(request_id=b'r1'))).endswith(b'first')
        assert (await entry.ask(get(request_id=b'r2'))).endswith(b'second')


async def test_surplus_bytes_end_the_connection_to_the_endpoint() -> None:
    async def surplus(talk: Conversation) -> None:
        await talk.request()
        await talk.say(whole(b'ok', request_id=b'r1') + b'HTTP/1.1 200 OK\r\n')
        await talk.request()

    async with running_entry(surplus) as (entry, (endpoint,)):
        for _ in range(2):
            assert (await entry.ask(get(request_id=b'r1'))).endswith(b'ok')
    assert endpoint.connections == 2


async def test_an_answer_cut_short_is_replaced() -> None:
    async def short(talk: Conversation) -> None:
        await talk.request()
        await talk.say(whole(b'whole answer')[:-5])

    async with running_entry(short) as (entry, _):
        answer = await entry.ask(post(b'x'))
    assert status(answer) == 502
    assert b'whole' not in answer


async def test_a_long_answer_cut_short_does_not_look_complete() -> None:
    """Symptom: half a file shown as if it were all of it.

    The answer is longer than what is held back, so its head has been
    passed on when the endpoint breaks off. The caller's connection must
    end before the length that the head promised.
    """
    body = b'x' * 300_000

    async def short(talk: Conversation) -> None:
        await talk.request()
        await talk.say(whole(body)[:-1000])

    async with running_entry(short) as (entry, _):
        answer = await entry.ask(post(b'x'))
    assert status(answer) == 200
    assert len(answer.partition(b'\r\n\r\n')[2]) < len(body)


async def test_an_answer_without_length_ends_with_its_connection() -> None:
    async def unframed(talk: Conversation) -> None:
        await talk.request()
        await talk.say(b'HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\nall of it')

    async with running_entry(unframed) as (entry, _):
        answer = await entry.ask(get())
    assert status(answer) == 200
    assert answer.endswith(b'all of it')


async def test_a_success_without_signature_is_not_passed_on() -> None:
    async def unsigned(talk: Conversation) -> None:
        await talk.request()
        await talk.say(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')

    async with running_entry(unsigned) as (entry, _):
        assert status(await entry.ask(post(b'x'))) == 502


async def test_a_503_without_a_word_on_running_is_no_refusal() -> None:
    """Symptom: a booking made twice.

    Something behind answers 503 after the request ran. Passed on, it
    would promise the caller that nothing ran, and the caller sends again.
    """

    async def made_up(talk: Conversation) -> None:
        await talk.request()
        await talk.say(b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n')

    async with running_entry(made_up) as (entry, _):
        assert status(await entry.ask(post(b'x'))) == 502


async def test_bytes_that_are_no_answer_fail_the_try() -> None:
    async def garbage(talk: Conversation) -> None:
        await talk.request()
        await talk.say(b'\x00\xffnonsense\r\n\r\n')

    async with running_entry(garbage) as (entry, _):
        assert status(await entry.ask(post(b'x'))) == 502


async def test_pipelined_requests_run_together_and_are_answered_in_order() -> None:
    async def by_path(talk: Conversation) -> None:
        while True:
            request = await talk.request()
            if b'/files/slow' in request:
                await anyio.sleep(0.2)
            await talk.say(whole(b'slow' if b'/files/slow' in request else b'fast'))

    async with running_entry(by_path) as (entry, _), await entry.connect() as stream:
        await stream.send(get(b'/files/slow') + get(b'/files/fast', request_id=b'r2'))
        got = b''
        with anyio.fail_after(5):
            while got.count(b'HTTP/1.1 200') < 2 or not got.endswith(b'fast'):
                got += await stream.receive()
    assert got.index(b'slow') < got.index(b'fast')


async def test_a_pipelined_write_waits_for_the_answers_before_it() -> None:
    """Symptom: a notice filed twice.

    What comes behind an answer that ends the connection counts as unread,
    and the caller sends it again. It must not have been run by then.
    """

    async def slow(talk: Conversation) -> None:
        while True:
            await talk.request()
            await anyio.sleep(0.2)
            await talk.say(whole(b'ok', more=b'Connection: close\r\n'))

    async with running_entry(slow) as (entry, (endpoint,)), await entry.connect() as stream:
        await stream.send(get() + post(b'x', request_id=b'r2'))
        await anyio.sleep(0.1)
        assert len(endpoint.requests) == 1


async def test_a_caller_that_leaves_cancels_its_request_at_the_endpoint() -> None:
    """Symptom: endpoints busy with requests that nobody waits for."""

    async def never(talk: Conversation) -> None:
        await talk.request()
        await talk.stream.receive()

    async with running_entry(never) as (entry, (endpoint,)):
        stream = await entry.connect()
        await stream.send(get())
        with anyio.fail_after(5):
            while not endpoint.requests:
                await anyio.sleep(0.01)
            await stream.aclose()
            while not endpoint.ended:
                await anyio.sleep(0.01)


async def test_the_routes_timeout_ends_a_request_that_ran_as_504() -> None:
    async def never(talk: Conversation) -> None:
        await talk.request()
        await anyio.sleep_forever()

    table = table_of(route(idempotent=False, prefix='/notices/', timeout_s=0.2))
    async with running_entry(never, table=table) as (entry, _):
        assert status(await entry.ask(post(b'x'))) == 504


async def test_callers_limits_on_heads_and_bodies() -> None:
    limits = CallerLimits(header_bytes=2000, body_bytes=10)
    table = table_of(route(idempotent=False, prefix='/notices/'), limits=limits)
    async with running_entry(echo, table=table) as (entry, (endpoint,)):
        assert status(await entry.ask(get(more=b'X-Long: ' + b'x' * 5000 + b'\r\n'))) == 431
        assert status(await entry.ask(post(b'x' * 11))) == 413
    assert not endpoint.requests


async def test_a_caller_too_slow_with_its_head_gets_408() -> None:
    limits = CallerLimits(header_timeout_s=0.1, idle_timeout_s=5.0)
    async with running_entry(echo, table=table_of(limits=limits)) as (entry, _):
        assert status(await entry.ask(b'GET /files/1 HT')) == 408


async def test_a_long_body_is_streamed_and_answered() -> None:
    body = b'y' * 400_000
    async with running_entry(echo) as (entry, (endpoint,)):
        answer = await entry.ask(post(body))
    assert status(answer) == 200
    assert endpoint.requests[0].endswith(body)


async def test_a_closing_connection_ends_with_its_last_answer() -> None:
    async with running_entry(echo) as (entry, _), await entry.connect() as stream:
        await stream.send(get())
        await stream.receive()
        entry.connections[0].closing = True
        await stream.send(get(request_id=b'r2'))
        answer = b''
        with anyio.fail_after(5):
            try:
                while True:
                    answer += await stream.receive()
            except anyio.EndOfStream:
                pass
    assert status(answer) == 200
    assert b'connection: close' in answer.lower()


async def test_connections_are_probed_and_dropped_together_once_silent() -> None:
    """Symptom: after something between lost track of connections, requests
    go on being lost on kept ones while new ones work.

    The request that waits out its time tells that its connection is
    silent; the endpoint's other kept ones fell silent with it.
    """

    async def first_answers(talk: Conversation) -> None:
        await talk.request()
        await talk.say(whole(b'ok'))
        await talk.request()
        await anyio.sleep_forever()

    table = table_of(route(idempotent=False, prefix='/notices/', timeout_s=1.2))
    async with running_entry(first_answers, table=table) as (entry, (endpoint,)):
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(entry.ask, post(b'x'))
        assert endpoint.connections == 2
        assert status(await entry.ask(post(b'x'))) == 504
        assert status(await entry.ask(post(b'x'))) == 200
    assert endpoint.connections == 3


async def test_links_to_endpoints_that_left_are_closed() -> None:
    """Symptom: an instance runs out of descriptors after some days.

    Endpoints come and go. Idle connections to those that left were kept,
    since only another request to the same endpoint looked at them.
    """
    async with running_entry(echo) as (entry, _):
        await entry.ask(get())
        pool = entry.pool
        assert len(pool) == 1
        await pool.keep_only(entry.book.incarnations())
        assert len(pool) == 1
        entry.book.drop('i0')
        await pool.keep_only(entry.book.incarnations())
        assert len(pool) == 0


async def test_a_silent_connection_is_found_by_probes() -> None:
    async with running_entry(echo) as (_, (endpoint,)):
        link = await connect(endpoint.address)
        raw_socket = link._stream.extra(SocketAttribute.raw_socket)
        assert raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 1
        await link.close()


async def test_what_may_run_early_follows_from_the_route_not_from_the_method() -> None:
    """Symptom: a booking made twice, by a route whose requests are GETs."""

    async def slow(talk: Conversation) -> None:
        while True:
            await talk.request()
            await anyio.sleep(0.2)
            await talk.say(whole(b'ok'))

    async with running_entry(slow) as (entry, (endpoint,)), await entry.connect() as stream:
        await stream.send(get() + get(b'/notices/1', request_id=b'r2'))
        await anyio.sleep(0.1)
        assert len(endpoint.requests) == 1


async def test_a_head_request_is_answered_without_a_body() -> None:
    async def head_only(talk: Conversation) -> None:
        await talk.request()
        await talk.say(b'HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\n')

    async with running_entry(head_only) as (entry, _), await entry.connect() as stream:
        await stream.send(get().replace(b'GET', b'HEAD'))
        with anyio.fail_after(5):
            answer = await stream.receive()
    assert status(answer) == 200
    assert b'content-length: 5' in answer.lower()


async def test_a_204_has_neither_body_nor_length() -> None:
    async def no_content(talk: Conversation) -> None:
        await talk.request()
        await talk.say(b'HTTP/1.1 204 No\r\nX-Signature: s\r\n\r\n')

    async with running_entry(no_content) as (entry, _), await entry.connect() as stream:
        await stream.send(get())
        with anyio.fail_after(5):
            answer = await stream.receive()
    assert status(answer) == 204
    assert b'content-length' not in answer.lower()


def ends(caplog: pytest.LogCaptureFixture) -> dict[str, dict[str, object]]:
    """The last fields logged by kind."""
    return {line.kind: line.fields for line in caplog.records if hasattr(line, 'fields')}  # type: ignore[attr-defined]


async def test_a_refusal_without_a_configuration_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Symptom: a caller names a refused id, and no log has a line of it."""
    caplog.set_level('INFO')
    async with running_entry(echo, table=table_of(version=0)) as (entry, _):
        await entry.ask(get(request_id=b'r7'))
    assert ends(caplog)['refused'] == {'request': 'r7', 'reason': 'no configuration', 'version': 0}


async def test_a_caller_who_leaves_is_logged_with_who_had_the_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Symptom: an endpoint's record shows a run that was cut, and the entry
    instance's log has no line of that id: the caller had left, and the
    request's task was cancelled before any line was written.
    """
    caplog.set_level('INFO')
    arrived = anyio.Event()

    async def never(talk: Conversation) -> None:
        await talk.request()
        arrived.set()
        await anyio.sleep_forever()

    async with running_entry(never) as (entry, _):
        async with await entry.connect() as stream:
            await stream.send(get(request_id=b'r8'))
            await arrived.wait()
        with anyio.fail_after(5):
            while 'caller_left' not in ends(caplog):
                await anyio.sleep(0.01)
    left = ends(caplog)['caller_left']
    assert (left['request'], left['waiting_for'], left['route']) == ('r8', 'i0', '/files/')


async def test_an_answer_cut_short_midway_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """A long answer is passed on as it comes; its endpoint breaks off."""
    caplog.set_level('INFO')

    async def cut_short(talk: Conversation) -> None:
        await talk.request()
        head = b'HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 200000\r\n\r\n'
        await talk.say(head + b'x' * 100000)

    async with running_entry(cut_short) as (entry, _):
        await entry.ask(get(request_id=b'r9'))
    cut = ends(caplog)['cut']
    assert (cut['request'], cut['endpoint']) == ('r9', 'i0')


async def test_an_improper_request_is_logged_with_its_status(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')
    async with running_entry(echo) as (entry, _):
        assert status(await entry.ask(b'no request\r\n\r\n')) == 400
    assert ends(caplog)['improper'] == {'status': 400}


async def test_an_endpoint_that_ends_under_a_long_body_does_not_end_the_instance() -> None:
    body = b'x' * 300_000
    async with running_entry(close_at_once, close_at_once) as (entry, endpoints):
        assert status(await entry.ask(post(body))) == 502
        assert status(await entry.ask(get(b'/nothing/'))) == 404
        assert sum(len(one.requests) for one in endpoints) <= 1


async def test_a_streamed_body_over_the_limit_does_not_end_the_instance() -> None:
    async def read_on(talk: Conversation) -> None:
        while True:
            await talk.stream.receive()

    table = table_of(
        route(idempotent=False, prefix='/notices/'), limits=CallerLimits(body_bytes=200_000)
    )
    async with running_entry(read_on, table=table) as (entry, _):
        assert status(await entry.ask(post(b'x' * 300_000))) == 413
        assert status(await entry.ask(get(b'/nothing/'))) == 404


class CrashingBackends:
    """Scripts that end their endpoint under requests whose path ends in ``fatal``."""

    def __init__(self) -> None:
        self.fatal_runs = 0

    async def __call__(self, talk: Conversation) -> None:
        while True:
            request = await talk.request()
            if b'fatal' in request.split(b'\r\n', 1)[0]:
                self.fatal_runs += 1
                talk.endpoint.stop()
                return
            found = re.search(rb'x-request-id: (\S+)', request.lower())
            await talk.say(whole(b'ok', request_id=found.group(1) if found else b''))


async def ask_many(entry: Entry, raw: bytes, count: int) -> list[int]:
    answers = []
    for _ in range(count):
        answers.append(status(await entry.ask(raw)))
        # The check of the endpoint is not waited for by the caller.
        await anyio.sleep(0.05)
    return answers


@pytest.mark.parametrize(
    'fatal',
    [
        get(b'/files/fatal'),
        post(b'x', path=b'/notices/fatal'),
        post(b'x' * 200_000, path=b'/notices/fatal'),
    ],
    ids=['idempotent', 'non-idempotent', 'streamed'],
)
async def test_a_request_that_crashes_endpoints_is_shut_out(fatal: bytes) -> None:
    backends = CrashingBackends()
    async with running_entry(*[backends] * 8) as (entry, _):
        answers = await ask_many(entry, fatal, 12)
        assert backends.fatal_runs <= 4
        assert answers[-6:] == [502] * 6
        shut_out = await entry.ask(fatal)
        assert b'retry-after' not in shut_out.lower()
        assert status(await entry.ask(get(b'/files/2'))) == 200


async def test_the_same_body_in_chunks_is_the_same_request() -> None:
    backends = CrashingBackends()
    chunked = (
        b'POST /notices/fatal HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: c\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n'
    )
    async with running_entry(*[backends] * 8) as (entry, _):
        await ask_many(entry, post(b'x', path=b'/notices/fatal'), 2)
        await ask_many(entry, chunked, 1)
        assert backends.fatal_runs == 3
        await ask_many(entry, chunked, 2)
        await ask_many(entry, post(b'x', path=b'/notices/fatal'), 2)
        assert backends.fatal_runs == 3


async def test_an_answer_that_breaks_off_on_its_way_counts_as_a_crash() -> None:
    runs = []

    async def breaks_off(talk: Conversation) -> None:
        await talk.request()
        runs.append(talk.endpoint)
        await talk.say(whole(b'x' * 300_000)[:200_000])
        talk.endpoint.stop()

    async with running_entry(*[breaks_off] * 8) as (entry, _):
        await ask_many(entry, get(), 8)
        assert len(runs) == 3


@pytest.mark.parametrize('script', [shed, close_at_once], ids=['shed', 'lost answers'])
async def test_endpoints_that_live_on_crash_under_nobody(
    script: Callable[[Conversation], Awaitable[None]],
) -> None:
    async with running_entry(*[script] * 4) as (entry, _):
        await ask_many(entry, post(b'x'), 8)
        assert not entry.crashes


async def test_a_caller_who_leaves_and_a_time_out_are_no_crashes() -> None:
    async def never(talk: Conversation) -> None:
        await talk.request()
        await anyio.sleep_forever()

    slow = table_of(route(idempotent=True, prefix='/files/', timeout_s=0.1))
    async with running_entry(*[never] * 4, table=slow) as (entry, _):
        assert await ask_many(entry, get(), 4) == [504] * 4
        for _ in range(4):
            async with await entry.connect() as stream:
                await stream.send(get())
                await anyio.sleep(0.02)
        assert not entry.crashes


async def test_a_caller_that_resets_at_once_does_not_end_the_instance() -> None:
    async with running_entry(echo) as (entry, _):
        host, _, port = entry.address.partition(':')
        for _ in range(20):
            raw = socket.create_connection((host, int(port)))
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            raw.close()
        assert status(await entry.ask(get())) == 200
