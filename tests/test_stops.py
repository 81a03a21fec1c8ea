"""Stops of real entry processes while callers go on using them."""

import random
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import pytest
from entry_fixtures import ScriptedEndpoint
from platform_standin import (
    OPERATOR_TABLE,
    EntryProcessHandle,
    answer_every_request,
    make_configuration,
    running_store,
    start_entry_processes,
    start_listed_endpoints,
    wait_until_equal,
)
from stop_ledger import Caller, CallerHabit, Stop, StopLedger, Work

pytestmark = pytest.mark.anyio

GRACE_S = 3.0
TIMEOUT_S = 2.5
# Callers keep the answers of look-ups, and use the address of an instance that stops.
USED_AFTER_STOP_S = 2.0
ONE_AT_A_TIME = CallerHabit(requests_per_connection=1, gap_s=0.02)
PIPELINING = CallerHabit(pipelined=2, gap_s=0.15)


class StopScene(NamedTuple):
    """Two entry processes, of which the second one stops."""

    ledger: StopLedger
    stopping: EntryProcessHandle


@asynccontextmanager
async def stop_scene(
    entry_processes: list[EntryProcessHandle], work_dir: Path, *, timeout_s: float = TIMEOUT_S
) -> AsyncIterator[StopScene]:
    async with running_store() as (store, tasks):
        ledger = StopLedger(rng=random.Random(65))
        endpoints = [ScriptedEndpoint(script=answer_every_request) for _ in range(4)]
        await start_listed_endpoints(store, tasks, endpoints, slots=64)
        store.put(OPERATOR_TABLE, 'config', make_configuration(3, timeout=f'{timeout_s}s'))
        addresses = [store.address, store.address]
        await start_entry_processes(entry_processes, store_addresses=addresses, work_dir=work_dir)
        for endpoint in endpoints:
            endpoint.script = ledger.serve
        yield StopScene(ledger, entry_processes[1])
        for handle in entry_processes:
            handle.kill()


async def stop_under_load(
    scene: StopScene, habit: CallerHabit, *, callers: int, timeout_s: float = TIMEOUT_S
) -> None:
    """Stop the instance while ``callers`` use it, and wait until it has ended."""
    entries = [scene.stopping.caller_address]
    async with anyio.create_task_group() as tasks:
        for _ in range(callers):
            caller = Caller(ledger=scene.ledger, habit=habit, entries=entries, timeout_s=timeout_s)
            tasks.start_soon(caller.run)
        await anyio.sleep(2.0)
        scene.ledger.stops.append(Stop(entries[0], time.monotonic(), GRACE_S))
        scene.stopping.signal(signal.SIGTERM)
        await anyio.sleep(USED_AFTER_STOP_S)
        entries.clear()
        with anyio.fail_after(GRACE_S):
            assert await scene.stopping.wait_for_exit() == 0


def assert_nothing_was_lost(scene: StopScene) -> None:
    ledger = scene.ledger
    assert ledger.lost() == []
    assert scene.stopping.log_records()[-1]['cut'] == 0
    assert ledger.run_though_refused() == []
    assert ledger.run_twice() == []
    assert ledger.replaced() == []


async def test_requests_that_come_late_are_not_cut_at_the_end_of_the_grace_period(
    entry_processes: list[EntryProcessHandle], tmp_path: Path
) -> None:
    """Guards against passing on requests that can't be finished before the process ends."""
    async with stop_scene(entry_processes, tmp_path) as scene:
        rng = scene.ledger.rng
        scene.ledger.draw_work = lambda: Work(seconds=rng.uniform(0.5, 2.0))
        await stop_under_load(scene, ONE_AT_A_TIME, callers=24)
        assert_nothing_was_lost(scene)


async def test_answers_that_are_sent_beyond_their_deadline_are_not_cut(
    entry_processes: list[EntryProcessHandle], tmp_path: Path
) -> None:
    """Guards against passing on a request whose deadline ends before its answer does."""
    async with stop_scene(entry_processes, tmp_path, timeout_s=0.8) as scene:
        scene.ledger.draw_work = lambda: Work(seconds=0.05, body_bytes=300_000, sending_s=1.6)
        await stop_under_load(scene, ONE_AT_A_TIME, callers=24, timeout_s=0.8)
        assert_nothing_was_lost(scene)


async def test_pipelined_requests_behind_the_last_answer_are_not_passed_on(
    entry_processes: list[EntryProcessHandle], tmp_path: Path
) -> None:
    """Guards against passing on a request behind an answer that closes the connection."""
    async with stop_scene(entry_processes, tmp_path) as scene:
        rng = scene.ledger.rng
        scene.ledger.draw_work = lambda: Work(
            seconds=rng.uniform(0.05, 0.3), body_bytes=300_000, sending_s=0.25
        )
        await stop_under_load(scene, PIPELINING, callers=24)
        assert_nothing_was_lost(scene)


def phase_lines(entry: EntryProcessHandle) -> list[dict[str, Any]]:
    """Return the log lines about the life of ``entry``."""
    kinds = ('start', 'ready', 'stop')
    return [line for line in entry.log_records() if line['kind'] in kinds]


async def test_phases_and_the_requests_that_a_stop_cuts_are_logged(
    entry_processes: list[EntryProcessHandle], tmp_path: Path
) -> None:
    """Guards against a loss that can't be told from a caller that left."""
    async with stop_scene(entry_processes, tmp_path, timeout_s=10.0) as scene:
        scene.ledger.draw_work = lambda: Work(seconds=60.0)
        caller = Caller(
            ledger=scene.ledger,
            habit=ONE_AT_A_TIME,
            entries=[scene.stopping.caller_address],
            timeout_s=10.0,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(caller.run)
            await anyio.sleep(0.3)
            scene.stopping.signal(signal.SIGTERM)
            await anyio.sleep(0.3)
            scene.stopping.signal(signal.SIGHUP)
            await anyio.sleep(0.3)
            scene.stopping.signal(signal.SIGTERM)
            assert await scene.stopping.wait_for_exit() == 0
            tasks.cancel_scope.cancel()
    lines = phase_lines(scene.stopping)
    assert [line['message'] for line in lines] == [
        'Entry: starting.',
        'Entry: ready.',
        'Entry: draining.',
        'Entry: SIGHUP ignored while stopping.',
        'Entry: SIGTERM ignored while stopping.',
        'Entry: stopping.',
        'Entry: stopped.',
    ]
    assert (lines[-1]['finished'], lines[-1]['cut']) == (0, 1)
    cut = [line for line in scene.stopping.log_records() if line['kind'] == 'aborted']
    assert [(line['request'], line['ended_by']) for line in cut] == [('r0', 'process')]
    assert cut[0]['waiting_for'].startswith('i')
    assert cut[0]['ms'] > 2000


async def test_a_stop_ends_within_the_grace_period_whatever_the_ttl_of_look_ups(
    entry_processes: list[EntryProcessHandle], tmp_path: Path
) -> None:
    """Guards against a process that waits for callers until it is killed."""
    async with stop_scene(entry_processes, tmp_path) as scene:
        settings = scene.stopping.settings_path
        settings.write_text(settings.read_text().replace('ttl = 300ms', 'ttl = 2s'))
        scene.stopping.signal(signal.SIGHUP)
        await anyio.sleep(0.3)
        scene.stopping.signal(signal.SIGTERM)
        with anyio.fail_after(GRACE_S):
            assert await scene.stopping.wait_for_exit() == 0


async def test_a_stop_before_the_first_configuration_refuses_requests_and_ends(
    entry_processes: list[EntryProcessHandle], tmp_path: Path
) -> None:
    """Guards against a process that can be stopped only once it is ready."""
    async with running_store() as (store, _):
        entry = EntryProcessHandle(number=1, store_address=store.address, work_dir=tmp_path)
        entry_processes.append(entry)
        entry.start()
        await wait_until_equal(lambda: entry.get_status(entry.caller_address, '/files/1'), 503)
        entry.signal(signal.SIGTERM)
        await anyio.sleep(0.2)
        assert await entry.get_status(entry.caller_address, '/files/1') == 503
        with anyio.fail_after(GRACE_S):
            assert await entry.wait_for_exit() == 0
        entry.kill()
    messages = [line['message'] for line in phase_lines(entry)]
    assert messages == [
        'Entry: starting.',
        'Entry: draining.',
        'Entry: stopping.',
        'Entry: stopped.',
    ]
