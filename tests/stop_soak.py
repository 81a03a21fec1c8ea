"""A randomized soak: stops, second signals, reloads and changes under callers of all habits.

Run by hand with more seeds: ``python tests/stop_soak.py FIRST_SEED COUNT``.
"""

import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from entry_fixtures import ScriptedEndpoint
from platform_standin import (
    OPERATOR_TABLE,
    EntryProcessHandle,
    StoreStandin,
    answer_every_request,
    make_configuration,
    running_store,
    start_entry_processes,
    start_listed_endpoints,
)
from soak_command import run_seeds
from stop_ledger import Caller, CallerHabit, Request, Stop, StopLedger, Work

__all__ = ['StopSoakResult', 'run_soak']

INSTANCES = 5
# Every tenth long run has many instances.
MANY_INSTANCES = 40
ENDPOINTS = 8
GRACE_S = 3.0
# Callers use the address of an instance that stops for up to three times the TTL of look-ups.
CACHED_S = 0.9
WARM_UP_S = 1.0
LONGEST_WORK_S = 5.0
TIMEOUTS_S = (0.8, 1.5, 2.5, 5.0)
HABITS = (
    CallerHabit(),
    CallerHabit(requests_per_connection=1, gap_s=0.02),
    CallerHabit(requests_per_connection=3, gap_s=0.3),
    CallerHabit(pipelined=2, gap_s=0.15),
    CallerHabit(pipelined=6, gap_s=0.02),
    CallerHabit(read_bytes_per_s=300_000),
    # It can take what it has open within the grace period.
    CallerHabit(pipelined=3, read_bytes_per_s=1_500_000),
)
CALLERS_PER_HABIT = 4


class StopSoakResult(NamedTuple):
    """What a soak has seen.

    ``lost`` are requests that ran and ended without a whole answer, ``held`` those that did not
    run and were not refused at once, ``replaced`` those that got another answer while an endpoint
    worked. ``overrun`` are instances that still ran at the end of their grace period, and
    ``exit_codes`` the other ways to end.
    """

    lost: list[Request]
    held: list[Request]
    replaced: list[Request]
    run_twice: list[Request]
    false_refusals: list[Request]
    defects: list[str]
    overrun: list[str]
    exit_codes: Counter[int]
    statuses: Counter[int]


class _Soak:
    """The instances, and the events that befall them."""

    def __init__(
        self,
        *,
        ledger: StopLedger,
        store: StoreStandin,
        processes: list[EntryProcessHandle],
        timeout_s: float,
    ) -> None:
        self.ledger = ledger
        self.timeout_s = timeout_s
        self.entries = [handle.caller_address for handle in processes]
        self.overrun: list[str] = []
        self.exit_codes: Counter[int] = Counter()
        self._store = store
        self._rng = ledger.rng
        self._running = list(processes)
        self._version = 3

    async def play_events(self, duration_s: float) -> None:
        """Let events overlap, and wait until all instances run again."""
        events: list[Callable[[], object]] = [
            self._stop_one,
            self._stop_one,
            self._stop_several,
            self._reload,
            self._reload_without_settings,
            self._change_configuration,
            self._fail_store,
            self._return_store,
        ]
        ends_at = time.monotonic() + duration_s
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < ends_at:
                tasks.start_soon(self._rng.choice(events))  # type: ignore[arg-type]
                await anyio.sleep(self._rng.uniform(0.2, 1.0))

    async def _stop_one(self) -> None:
        if len(self._running) > 1:
            await self._restart(self._take_running())

    async def _stop_several(self) -> None:
        count = self._rng.randint(1, max(1, len(self._running) // 2))
        async with anyio.create_task_group() as tasks:
            for _ in range(min(count, len(self._running) - 1)):
                tasks.start_soon(self._restart, self._take_running())

    async def _reload(self) -> None:
        if self._running:
            self._rng.choice(self._running).signal(signal.SIGHUP)

    async def _reload_without_settings(self) -> None:
        if len(self._running) < 2:
            return
        # It is not stopped meanwhile: with these settings, it would not start again.
        handle = self._take_running()
        text = handle.settings_path.read_text()
        handle.settings_path.write_text('[instance')
        handle.signal(signal.SIGHUP)
        await anyio.sleep(0.3)
        handle.settings_path.write_text(text)
        handle.signal(signal.SIGHUP)
        self._running.append(handle)

    async def _change_configuration(self) -> None:
        self._version += self._rng.randint(1, 3)
        configuration = make_configuration(self._version, timeout=f'{self.timeout_s}s')
        self._store.put(OPERATOR_TABLE, 'config', configuration)

    async def _fail_store(self) -> None:
        self._store.is_unavailable = True
        await anyio.sleep(self._rng.uniform(0.2, 2.0))
        self._store.is_unavailable = False

    async def _return_store(self) -> None:
        copy = self._store.take_copy()
        await anyio.sleep(self._rng.uniform(0.1, 1.0))
        self._store.return_from_copy(copy)

    def _take_running(self) -> EntryProcessHandle:
        handle = self._rng.choice(self._running)
        self._running.remove(handle)
        return handle

    async def _restart(self, handle: EntryProcessHandle) -> None:
        """Stop an instance as the platform does, and start it again."""
        address = handle.caller_address
        self.ledger.stops.append(Stop(address, time.monotonic(), GRACE_S))
        handle.signal(signal.SIGTERM)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._forget_address, address)
            tasks.start_soon(self._signal_again, handle)
            with anyio.move_on_after(GRACE_S):
                self.exit_codes[await handle.wait_for_exit()] += 1
            tasks.cancel_scope.cancel()
        if address in self.entries:
            self.entries.remove(address)
        if handle.is_running():
            self.overrun.append(address)
            handle.signal(signal.SIGKILL)
            await handle.wait_for_exit()
        handle.start()
        await handle.wait_until_ready()
        self.entries.append(address)
        self._running.append(handle)

    async def _forget_address(self, address: str) -> None:
        await anyio.sleep(CACHED_S)
        self.entries.remove(address)

    async def _signal_again(self, handle: EntryProcessHandle) -> None:
        for _ in range(self._rng.randint(0, 3)):
            await anyio.sleep(self._rng.uniform(0.0, 1.0))
            if handle.is_running():
                handle.signal(self._rng.choice((signal.SIGTERM, signal.SIGHUP)))


def _draw_work(rng: random.Random) -> Work:
    """Return work from 10 ms to beyond the grace period, mostly short."""
    seconds = 0.01 * (LONGEST_WORK_S / 0.01) ** rng.random() if rng.random() < 0.3 else 0.05
    if rng.random() < 0.2:
        return Work(seconds=seconds, body_bytes=300_000, sending_s=rng.uniform(0.0, 0.5))
    return Work(seconds=seconds)


async def run_soak(
    seed: int,
    work_dir: Path,
    entry_processes: list[EntryProcessHandle],
    *,
    duration_s: float,
    instances: int = INSTANCES,
) -> StopSoakResult:
    """Run one soak; ``entry_processes`` gets the processes that it starts."""
    ledger = StopLedger(rng=random.Random(seed))
    timeout_s = ledger.rng.choice(TIMEOUTS_S)
    ledger.draw_work = lambda: _draw_work(ledger.rng)
    async with running_store() as (store, tasks):
        endpoints = [ScriptedEndpoint(script=answer_every_request) for _ in range(ENDPOINTS)]
        await start_listed_endpoints(store, tasks, endpoints, slots=64)
        configuration = make_configuration(3, timeout=f'{timeout_s}s')
        store.put(OPERATOR_TABLE, 'config', configuration)
        addresses = [store.address] * instances
        await start_entry_processes(entry_processes, store_addresses=addresses, work_dir=work_dir)
        for endpoint in endpoints:
            endpoint.script = ledger.serve
        soak = _Soak(ledger=ledger, store=store, processes=entry_processes, timeout_s=timeout_s)
        async with anyio.create_task_group() as caller_tasks:
            _start_callers(soak, caller_tasks)
            await anyio.sleep(WARM_UP_S)
            await soak.play_events(duration_s)
            # The callers end their open requests first: a request that they give up is not lost.
            soak.entries.clear()
        # A connection that arrives while a listener is being cancelled fails the event loop.
        for handle in entry_processes:
            handle.kill()
    return _result(soak, entry_processes)


def _start_callers(soak: _Soak, tasks: TaskGroup) -> None:
    for habit in HABITS:
        for _ in range(CALLERS_PER_HABIT):
            caller = Caller(
                ledger=soak.ledger, habit=habit, entries=soak.entries, timeout_s=soak.timeout_s
            )
            tasks.start_soon(caller.run)


def _result(soak: _Soak, processes: list[EntryProcessHandle]) -> StopSoakResult:
    ledger = soak.ledger
    return StopSoakResult(
        lost=ledger.lost(),
        held=ledger.held(longer_than_s=soak.timeout_s / 3),
        replaced=ledger.replaced(),
        run_twice=ledger.run_twice(),
        false_refusals=ledger.run_though_refused(),
        defects=[
            str(line)
            for handle in processes
            for line in handle.log_records()
            if line['kind'] == 'defect'
        ],
        overrun=soak.overrun,
        exit_codes=soak.exit_codes,
        statuses=Counter(request.status for request in ledger.request_by_id.values()),
    )


async def _run_long(
    seed: int, work_dir: Path, entry_processes: list[EntryProcessHandle]
) -> StopSoakResult:
    instances = INSTANCES if seed % 10 else MANY_INSTANCES
    return await run_soak(seed, work_dir, entry_processes, duration_s=20.0, instances=instances)


if __name__ == '__main__':
    run_seeds(_run_long, int(sys.argv[1]), int(sys.argv[2]))
