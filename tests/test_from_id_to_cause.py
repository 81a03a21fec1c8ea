"""For eight kinds of failure, the logs lead from the request id to the cause."""

import anyio
import pytest
from entry_fixtures import ScriptedConnection
from platform_standin import (
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    SIGNED_OK_RESPONSE,
    EntryDeployment,
    count_resolved_addresses,
    endpoint_document,
    follows_declarations,
    http_get,
    make_configuration,
    wait_until_equal,
)

from plantainloft_core.organisations import digest_key
from plantainloft_ctl.commands.endpoint_limits import EndpointLimits
from plantainloft_ctl.commands.endpoint_signals import EndpointSignals
from plantainloft_ctl.commands.retry_budgets import RetryBudgets
from plantainloft_ctl.commands.scarcity import Scarcity
from plantainloft_ctl.request_timeline import explain_request, parse_log_lines

pytestmark = pytest.mark.anyio


def timeline(entry_deployment: EntryDeployment, request_id: str) -> list[str]:
    logs = [entry.log_path.read_text() for entry in entry_deployment.entry_processes]
    return explain_request(request_id, parse_log_lines(logs))


def request_id_header(request_id: str) -> str:
    return f'X-Plantainloft-Request-Id: {request_id}\r\n'


async def test_refused_because_every_endpoint_is_full(entry_deployment: EntryDeployment) -> None:
    """Slow requests occupy the only slot, so the next ones are refused."""

    async def answer_slowly(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await anyio.sleep(1.0)
        await connection.send(SIGNED_OK_RESPONSE)

    endpoint = entry_deployment.endpoints[0]
    endpoint.script = answer_slowly
    entry_deployment.store.put(
        ENDPOINT_TABLE, 'i-desk', endpoint_document(endpoint.address, slots=1)
    )
    entry = entry_deployment.entry_processes[0]

    async def has_endpoint_document() -> bool:
        versions = [
            line['row_version'] for line in entry.log_records() if line.get('row') == 'i-desk'
        ]
        return (
            bool(versions)
            and max(versions) == entry_deployment.store.rows[(ENDPOINT_TABLE, 'i-desk')]['ver']
        )

    await wait_until_equal(has_endpoint_document, True)
    async with anyio.create_task_group() as tasks:
        for number in range(3):
            tasks.start_soon(
                lambda number=number: http_get(entry.caller_address, f'/files/{number}')
            )
        await anyio.sleep(0.3)
        answer = await http_get(
            entry.caller_address, '/files/9', extra_headers=request_id_header('full-1')
        )
    assert answer.startswith(b'HTTP/1.1 503') and b'retry-after' in answer.lower()
    text = '\n'.join(timeline(entry_deployment, 'full-1'))
    assert 'Front: request refused.' in text
    assert 'reason=every endpoint is full' in text
    assert 'endpoints=i-desk 2.' in text or 'endpoints=i-desk 3.' in text


async def test_outcome_unknown_because_the_endpoint_stopped_responding(
    entry_deployment: EntryDeployment,
) -> None:
    """The endpoint reads the request and never sends anything."""

    async def never_answer(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await anyio.sleep_forever()

    entry_deployment.endpoints[0].script = never_answer
    entry = entry_deployment.entry_processes[0]
    answer = await http_get(
        entry.caller_address, '/notices/1', extra_headers=request_id_header('lost-1')
    )
    assert answer.startswith(b'HTTP/1.1 504')
    text = '\n'.join(timeline(entry_deployment, 'lost-1'))
    assert 'Front: request failed.' in text
    assert 'reason=out of time' in text
    assert 'waiting_for=i-desk' in text


async def test_routed_by_an_outdated_configuration(entry_deployment: EntryDeployment) -> None:
    """The store refuses one instance while the configuration changes."""
    first, second = entry_deployment.entry_processes
    await wait_until_equal(lambda: count_resolved_addresses(second), 2)
    entry_deployment.store_proxies[0].start_refusing()
    await wait_until_equal(lambda: follows_declarations(first), False)
    entry_deployment.store.put(OPERATOR_TABLE, 'config', make_configuration(4, service='other'))
    await http_get(first.caller_address, '/files/1', extra_headers=request_id_header('old-1'))

    async def has_new_configuration() -> bool:
        return any(
            line['kind'] == 'belief' and line.get('version') == 4 for line in first.log_records()
        )

    await wait_until_equal(has_new_configuration, True)
    lines = timeline(entry_deployment, 'old-1')
    store_lost = next(line for line in lines if 'declarations not followed' in line)
    request_line = next(line for line in lines if line.startswith('*'))
    learned = next(line for line in lines if 'RoutesDeclared' in line and 'version=4' in line)
    assert lines.index(store_lost) < lines.index(request_line) < lines.index(learned)
    assert 'version=3' in request_line
    assert 'source=e2' in learned


async def declare_organisation(entry_deployment: EntryDeployment) -> None:
    """Declare an organisation limited to one request per window.

    Return once the first instance has that configuration.
    """
    declared = make_configuration(4)
    declared['resources'].append(
        {
            'resource_type': 'tenants',
            'metadata': {'name': 'ankara-bar'},
            'spec': {'api_keys': ['k-bar'], 'rate_per_s': 0.2, 'burst': 0},
        }
    )
    entry_deployment.store.put(OPERATOR_TABLE, 'config', declared)
    entry = entry_deployment.entry_processes[0]

    async def has_new_configuration() -> bool:
        return any(
            line['kind'] == 'belief' and line.get('version') == 4 for line in entry.log_records()
        )

    await wait_until_equal(has_new_configuration, True)


async def test_rejected_because_no_organisation_has_the_key(
    entry_deployment: EntryDeployment,
) -> None:
    await declare_organisation(entry_deployment)
    entry = entry_deployment.entry_processes[0]
    extra_headers = f'Api-Key: k-old\r\n{request_id_header("old-key-1")}'
    answer = await http_get(entry.caller_address, '/files/1', extra_headers=extra_headers)
    assert answer.startswith(b'HTTP/1.1 401')
    text = '\n'.join(timeline(entry_deployment, 'old-key-1'))
    assert 'Front: request unauthorised.' in text
    assert f'version=4, key_digest={digest_key(b"k-old")[:12]}' in text
    assert 'k-old' not in text


async def test_rejected_because_its_organisation_exceeded_its_limit(
    entry_deployment: EntryDeployment,
) -> None:
    await declare_organisation(entry_deployment)
    entry = entry_deployment.entry_processes[0]
    answers = [
        await http_get(
            entry.caller_address,
            '/files/1',
            extra_headers=f'Api-Key: k-bar\r\n{request_id_header(f"much-{number}")}',
        )
        for number in range(40)
    ]
    assert answers[-1].startswith(b'HTTP/1.1 429') and b'retry-after' in answers[-1].lower()
    text = '\n'.join(timeline(entry_deployment, 'much-39'))
    assert 'Front: request over_limit.' in text
    assert 'organisation=ankara-bar' in text
    assert 'fleet_wanted=' in text


async def test_refused_because_every_endpoint_is_at_its_request_limit(
    entry_deployment: EntryDeployment, capsys: pytest.CaptureFixture[str]
) -> None:
    async def answer_with_limit(connection: ScriptedConnection) -> None:
        while True:
            await connection.read_request()
            await connection.send(
                SIGNED_OK_RESPONSE.replace(b'OK\r\n', b'OK\r\nServer-Limit: 0\r\n')
            )

    entry_deployment.endpoints[0].script = answer_with_limit
    entry = entry_deployment.entry_processes[0]
    answers = [
        await http_get(
            entry.caller_address,
            '/files/1',
            extra_headers=request_id_header(f'limited-{number}'),
        )
        for number in range(4)
    ]
    assert answers[0].startswith(b'HTTP/1.1 200') and b'server-limit: 0' in answers[0].lower()
    assert answers[3].startswith(b'HTTP/1.1 503') and b'retry-after' in answers[3].lower()
    text = '\n'.join(timeline(entry_deployment, 'limited-3'))
    assert 'endpoint i-desk names a limit of 0 requests a second' in text
    assert 'reason=every endpoint is at its request limit, endpoints=i-desk' in text
    nodes = [f'http://{one.metrics_address}' for one in entry_deployment.entry_processes]
    await anyio.sleep(2.0)
    await anyio.to_thread.run_sync(EndpointLimits(nodes=nodes))
    listed = capsys.readouterr().out.splitlines()
    assert listed[1].split()[:2] == ['i-desk', '0/s']
    assert listed[1].endswith('2 of 2')


async def test_refused_because_every_endpoint_leaves_or_rests(
    entry_deployment: EntryDeployment, capsys: pytest.CaptureFixture[str]
) -> None:
    async def ask_for_rest(connection: ScriptedConnection) -> None:
        while True:
            await connection.read_request()
            await connection.send(
                b'HTTP/1.1 503 Busy\r\nX-Plantainloft-Not-Executed: 1\r\n'
                b'Server-Leaving: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n'
            )

    entry_deployment.endpoints[0].script = ask_for_rest
    entry = entry_deployment.entry_processes[0]
    for number in range(3):
        answer = await http_get(
            entry.caller_address, '/files/1', extra_headers=request_id_header(f'resting-{number}')
        )
        assert answer.startswith(b'HTTP/1.1 503')
    text = '\n'.join(timeline(entry_deployment, 'resting-2'))
    assert 'endpoint i-desk is leaving' in text
    assert 'endpoint i-desk asks for 30 s of rest' in text
    assert 'reason=no endpoint is usable, endpoints=i-desk' in text
    nodes = [f'http://{one.metrics_address}' for one in entry_deployment.entry_processes]
    await anyio.to_thread.run_sync(EndpointSignals(nodes=nodes))
    listed = capsys.readouterr().out.splitlines()
    assert listed[1].split()[:2] == ['i-desk', 'for']
    assert listed[1].endswith('1 of 2')


async def test_refused_because_the_retry_budget_is_used_up(
    entry_deployment: EntryDeployment, capsys: pytest.CaptureFixture[str]
) -> None:
    async def turn_away(connection: ScriptedConnection) -> None:
        while True:
            await connection.read_request()
            await connection.send(
                b'HTTP/1.1 503 Busy\r\nX-Plantainloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
            )

    entry_deployment.endpoints[0].script = turn_away
    entry = entry_deployment.entry_processes[0]
    answer = await http_get(
        entry.caller_address, '/files/1', extra_headers=request_id_header('no-retry-1')
    )
    assert answer.startswith(b'HTTP/1.1 503')
    text = '\n'.join(timeline(entry_deployment, 'no-retry-1'))
    assert 'retry_withheld=budget' in text
    assert 'Retries: 0 to desk in the last window, 0 left.' in text
    nodes = [f'http://{one.metrics_address}' for one in entry_deployment.entry_processes]
    await anyio.to_thread.run_sync(RetryBudgets(nodes=nodes))
    listed = capsys.readouterr().out.splitlines()
    service, requests, retries, _, left, sent, withheld = listed[1].split()[:7]
    assert (service, requests, withheld) == ('desk', '1', '1')
    assert (retries, left, sent) == ('0', '0', '0')


async def test_refused_while_overload_control_is_active(
    entry_deployment: EntryDeployment, capsys: pytest.CaptureFixture[str]
) -> None:
    """Failure: neither the line of a refused request nor a listing told what was refused why."""

    async def turn_away(connection: ScriptedConnection) -> None:
        while True:
            await connection.read_request()
            await connection.send(
                b'HTTP/1.1 503 Busy\r\nX-Plantainloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
            )

    entry_deployment.endpoints[0].script = turn_away
    configuration = make_configuration(4)
    configuration['resources'][0]['spec']['kind'] = 'download'
    entry_deployment.store.put(OPERATOR_TABLE, 'config', configuration)
    entry = entry_deployment.entry_processes[0]
    with anyio.fail_after(5):
        while b'overload_control_active 1' not in await http_get(entry.metrics_address, '/metrics'):
            await anyio.sleep(0.1)
    answer = await http_get(
        entry.caller_address, '/files/1', extra_headers=request_id_header('scarce-1')
    )
    assert answer.startswith(b'HTTP/1.1 503')
    assert 'rejected_for=not run' in '\n'.join(timeline(entry_deployment, 'scarce-1'))
    nodes = [f'http://{one.metrics_address}' for one in entry_deployment.entry_processes]
    await anyio.to_thread.run_sync(Scarcity(nodes=nodes))
    listed = capsys.readouterr().out.splitlines()
    (line,) = (line for line in listed if line.startswith('desk ') and 'not run' in line)
    assert line.endswith('not run: 1')
