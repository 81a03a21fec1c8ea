"""Signals that come in series and overlap, sent to real entry processes."""

import signal

import anyio
import pytest
from entry_fixtures import Conversation
from platform_standin import SIGNED, EntryDeployment, call, named, until

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize('second_signal', [signal.SIGTERM, signal.SIGHUP])
async def test_another_signal_during_the_stop_cuts_nothing(
    deployment: EntryDeployment, second_signal: signal.Signals
) -> None:
    """Symptom: callers' connections end without an answer around a stop.

    A stop has begun and a request is under way; the platform sends SIGTERM
    once more, or SIGHUP since the settings changed. The handlers were gone
    once the stop had begun, and either signal ended the process at once.
    """
    first, leaving = deployment.entries
    await until(lambda: named(first), 2)
    answers: list[bytes] = []

    async def slow(talk: Conversation) -> None:
        await talk.request()
        await anyio.sleep(1.0)
        await talk.say(SIGNED)

    async def ask() -> None:
        answers.append(await call(leaving.front, '/notices/1'))

    async def arrived() -> int:
        return len(deployment.endpoints[0].requests)

    deployment.endpoints[0].script = slow
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await until(arrived, 1)
        leaving.signal(signal.SIGTERM)
        await until(lambda: leaving.status_of(leaving.ready, '/v1/ready'), 503)
        leaving.signal(second_signal)
    assert answers[0].startswith(b'HTTP/1.1 200')
    assert await leaving.ended() == 0


async def test_a_reload_during_the_start_ends_nothing(deployment: EntryDeployment) -> None:
    """Symptom: a process ends by itself right after its start.

    Settings change while an instance starts. Until its handler stood,
    SIGHUP had its default effect, which ends the process.
    """
    entry = deployment.entries[0]
    entry.kill()
    entry._log = entry.log_path.open('wb')
    entry.start()

    async def holds_reloads_back() -> bool:
        return entry.blocks(signal.SIGHUP)

    await until(holds_reloads_back, True)
    assert not entry.lines()
    for _ in range(20):
        entry.signal(signal.SIGHUP)
        await anyio.sleep(0.02)
    await entry.until_ready()
    kinds = [line['kind'] for line in entry.lines()]
    assert kinds.index('start') < kinds.index('reload')
