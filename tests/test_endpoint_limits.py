"""Request limits that endpoints name in their responses."""

import logging

import anyio
import pytest
from entry_fixtures import (
    ConnectionScript,
    ScriptedConnection,
    get_request,
    post_request,
    running_forwarding_server,
    signed_ok_response,
)

from plantainloft_node.endpoint_limits.header_parsing import InvalidLimitError, parse_request_limit
from plantainloft_node.endpoint_limits.registry import EndpointLimitRegistry, endpoint_number

NOW = 1000.0
NUMBER = endpoint_number('i0')


@pytest.mark.parametrize(
    ('header_values', 'expected'),
    [
        ([], None),
        ([b'3'], 3.0),
        ([b' 1.25 '], 1.25),
        ([b'0'], 0.0),
        ([b'7', b'2'], 2.0),
        ([b'1e300'], 100000.0),
    ],
)
def test_a_limit_is_parsed(header_values: list[bytes], expected: float | None) -> None:
    assert parse_request_limit(header_values) == expected


@pytest.mark.parametrize('header_value', [b'', b'many', b'-1', b'nan', b'inf', b'3;q=1', b'\xff'])
def test_an_invalid_limit_is_rejected(header_value: bytes) -> None:
    with pytest.raises(InvalidLimitError):
        parse_request_limit([b'3', header_value])


def limit_after(*responses: tuple[list[bytes], float, float]) -> float | None:
    """Return the limit known after responses of (header values, sent at, received at)."""
    registry = EndpointLimitRegistry()
    for header_values, sent_at, received_at in responses:
        registry.record_response('i0', header_values, sent_at=sent_at, now=received_at)
    known = registry.get(NUMBER)
    return None if known is None else known.per_s


def test_a_slow_response_with_a_higher_limit_does_not_raise_it() -> None:
    assert limit_after(([b'3'], 1.0, 2.0), ([b'8'], 0.5, 3.0)) == 3.0
    assert limit_after(([b'3'], 1.0, 2.0), ([b'8'], 2.5, 3.0)) == 8.0


def test_a_slow_response_without_a_limit_does_not_end_it() -> None:
    assert limit_after(([b'3'], 1.0, 2.0), ([], 0.5, 3.0)) == 3.0
    assert limit_after(([b'3'], 1.0, 2.0), ([], 2.5, 3.0)) is None


def test_an_invalid_limit_keeps_the_previous_one() -> None:
    assert limit_after(([b'3'], 1.0, 2.0), ([b'nan'], 2.5, 3.0)) == 3.0


def test_a_limit_that_changes_with_each_response_is_logged_once_a_second(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    registry = EndpointLimitRegistry()
    for step in range(40):
        now = NOW + step * 0.05
        header_value = b'%d' % (3 + step % 2) if step % 3 else b'many'
        registry.record_response('i0', [header_value], sent_at=now - 0.01, now=now)
    assert 1 < len(caplog.records) <= 2


def answer_with(extra_headers: bytes) -> ConnectionScript:
    """Return a script that answers every request with ``extra_headers``."""

    async def answer(connection: ScriptedConnection) -> None:
        while True:
            await connection.read_request()
            await connection.send(signed_ok_response(b'ok', extra_headers=extra_headers))

    return answer


@pytest.mark.anyio
@pytest.mark.parametrize('header_value', [b'3', b'many', b'-1', b'', b'0'])
async def test_callers_get_the_limit_header_as_the_endpoint_sent_it(header_value: bytes) -> None:
    header = b'X-Request-Limit: ' + header_value + b'\r\n'
    async with running_forwarding_server(answer_with(header)) as (server, _):
        answer = await server.send_request(get_request())
        assert header.strip().lower() in answer.lower()


@pytest.mark.anyio
@pytest.mark.parametrize(
    'refusal',
    [
        b'HTTP/1.1 429 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 500 Error\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n',
    ],
)
async def test_a_refusal_without_the_header_does_not_end_a_limit(refusal: bytes) -> None:
    async def answer(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await connection.send(signed_ok_response(b'ok', extra_headers=b'X-Request-Limit: 30\r\n'))
        await connection.read_request()
        await connection.send(refusal)

    async with running_forwarding_server(answer) as (server, (endpoint,)):
        server.set_limit_sharers('e1')
        await server.send_request(get_request())
        server.set_limit_sharers('e1')
        await anyio.sleep(0.1)
        await server.send_request(post_request(b'x'))
        assert len(endpoint.requests) == 2
        ((_, limit),) = server.endpoint_registry.limited_endpoints()
        assert limit.per_s == 30.0
