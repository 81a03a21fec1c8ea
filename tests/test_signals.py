"""Repeated and overlapping signals sent to real entry processes."""

import signal

import anyio
import pytest
from entry_fixtures import Conversation
from platform_standin import SIGNED, EntryDeployment, call, named, until

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize('second_signal', [signal.SIGTERM, signal.SIGHUP])
async def test_another_signal_during_shutdown_interrupts_no_request(
    deployment: EntryDeployment, second_signal: signal.Signals
) -> None:
    """Regression test: connections were closed without a response during shutdown.

    While a request is in progress during shutdown, the platform sends SIGTERM
    again, or SIGHUP because the settings changed. The signal handlers had been
    removed when shutdown started, so either signal ended the process at once.
    """
    first, stopping = deployment.entries
    await until(lambda: named(first), 2)
    answers: list[bytes] = []

    async def answer_slowly(conversation: Conversation) -> None:
        await conversation.request()
        await anyio.sleep(1.0)
        await conversation.say(SIGNED)

    async def send_request() -> None:
        answers.append(await call(stopping.front, '/notices/1'))

    async def requests_received() -> int:
        return len(deployment.endpoints[0].requests)

    deployment.endpoints[0].script = answer_slowly
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_request)
        await until(requests_received, 1)
        stopping.signal(signal.SIGTERM)
        await until(lambda: stopping.status_of(stopping.ready, '/v1/ready'), 503)
        stopping.signal(second_signal)
    assert answers[0].startswith(b'HTTP/1.1 200')
    assert await stopping.ended() == 0


async def test_a_reload_signal_during_startup_does_not_end_the_process(
    deployment: EntryDeployment,
) -> None:
    """Regression test: a process ended right after its start.

    The settings change while the instance starts. Until its handler was
    installed, SIGHUP had its default effect, which ends the process.
    """
    entry = deployment.entries[0]
    entry.kill()
    entry._log = entry.log_path.open('wb')
    entry.start()

    async def blocks_reload_signal() -> bool:
        return entry.blocks(signal.SIGHUP)

    await until(blocks_reload_signal, True)
    assert not entry.lines()
    for _ in range(20):
        entry.signal(signal.SIGHUP)
        await anyio.sleep(0.02)
    await entry.until_ready()
    kinds = [line['kind'] for line in entry.lines()]
    assert kinds.index('start') < kinds.index('reload')
