"""Repeated and overlapping signals sent to real entry processes."""

import signal
from pathlib import Path

import anyio
import pytest
from entry_fixtures import ScriptedConnection
from platform_standin import (
    OPERATOR_TABLE,
    SIGNED_OK_RESPONSE,
    EntryDeployment,
    EntryProcessHandle,
    count_resolved_addresses,
    http_get,
    make_configuration,
    running_store,
    start_entry_processes,
    wait_until_equal,
)

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize('second_signal', [signal.SIGTERM, signal.SIGHUP])
async def test_another_signal_during_shutdown_interrupts_no_request(
    entry_deployment: EntryDeployment, second_signal: signal.Signals
) -> None:
    """Regression test: connections were closed without a response during shutdown.

    While a request is in progress during shutdown, the platform sends SIGTERM
    again, or SIGHUP because the settings changed. The signal handlers had been
    removed when shutdown started, so either signal ended the process at once.
    """
    first, stopping = entry_deployment.entry_processes
    await wait_until_equal(lambda: count_resolved_addresses(first), 2)
    answers: list[bytes] = []

    async def answer_slowly(connection: ScriptedConnection) -> None:
        await connection.read_request()
        await anyio.sleep(1.0)
        await connection.send(SIGNED_OK_RESPONSE)

    async def send_request() -> None:
        answers.append(await http_get(stopping.caller_address, '/notices/1'))

    async def requests_received() -> int:
        return len(entry_deployment.endpoints[0].requests)

    entry_deployment.endpoints[0].script = answer_slowly
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_request)
        await wait_until_equal(requests_received, 1)
        stopping.signal(signal.SIGTERM)
        await wait_until_equal(
            lambda: stopping.get_status(stopping.readiness_address, '/v1/ready'), 503
        )
        stopping.signal(second_signal)
    assert answers[0].startswith(b'HTTP/1.1 200')
    assert await stopping.wait_for_exit() == 0


@pytest.mark.parametrize('content', [None, b'\xff\xfe', b'[instance', b''])
async def test_a_reload_without_readable_settings_ends_no_process(
    entry_deployment: EntryDeployment, content: bytes | None
) -> None:
    """Guards against a reload that cuts all requests, since the file is being replaced."""
    entry = entry_deployment.entry_processes[0]
    if content is None:
        entry.settings_path.unlink()
    else:
        entry.settings_path.write_bytes(content)
    entry.signal(signal.SIGHUP)

    async def reload_messages() -> list[str]:
        return [line['message'] for line in entry.log_records() if line['kind'] == 'reload']

    await wait_until_equal(reload_messages, ['Entry: settings not reloaded.'])
    answer = await http_get(entry.caller_address, '/files/1')
    assert answer.startswith(b'HTTP/1.1 200')


async def test_a_reload_signal_during_startup_does_not_end_the_process(
    entry_deployment: EntryDeployment,
) -> None:
    """Regression test: a process ended right after its start.

    The settings change while the instance starts. Until its handler was
    installed, SIGHUP had its default effect, which ends the process.
    """
    entry = entry_deployment.entry_processes[0]
    entry.kill()
    entry._log_file = entry.log_path.open('wb')
    entry.start()

    async def blocks_reload_signal() -> bool:
        return entry.blocks_signal(signal.SIGHUP)

    await wait_until_equal(blocks_reload_signal, True)
    assert not entry.log_records()
    for _ in range(20):
        entry.signal(signal.SIGHUP)
        await anyio.sleep(0.02)
    await entry.wait_until_ready()
    kinds = [line['kind'] for line in entry.log_records()]
    assert kinds.index('start') < kinds.index('reload')


@pytest.mark.parametrize('module', ['plantainloft_platform', 'cuttable_entry_process'])
async def test_reloads_right_after_a_start_end_no_process_of_a_soak(
    entry_processes: list[EntryProcessHandle], tmp_path: Path, module: str
) -> None:
    """Guards against soaks that lose an instance for good to one of their own reloads."""
    async with running_store() as (store, _):
        store.put(OPERATOR_TABLE, 'config', make_configuration(3))
        await start_entry_processes(
            entry_processes, store_addresses=[store.address], work_dir=tmp_path, module=module
        )
        (entry,) = entry_processes
        for delay_s in (0.0, 0.01, 0.03, 0.1, 0.2, 0.3):
            entry.signal(signal.SIGKILL)
            await entry.wait_for_exit()
            entry.start()
            await anyio.sleep(delay_s)
            await entry.reload()
            await anyio.sleep(0.1)
            assert entry.is_running()
        await entry.wait_until_ready()
        entry.kill()
