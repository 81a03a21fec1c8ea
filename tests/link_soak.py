"""A randomized soak: links, signals, restarts and failing endpoints under open connections.

Run by hand with more seeds: ``python tests/link_soak.py FIRST_SEED COUNT``.
"""

import itertools
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream, TaskGroup
from cuttable_entry import HANG_NEW, REFUSE_NEW, RESET, SILENT
from entry_fixtures import ScriptedConnection
from failing_fleet import TURNED_AWAY
from partitioned_fleet import PartitionedFleet, partitioned_fleet
from platform_standin import EntryProcessHandle
from soak_command import run_seeds

from plantainloft_node.retry_budget.registry import DEFAULT_RETRY_LIMITS
from plantainloft_standins.retry_ledger import RetryLedger, RetryWindow

__all__ = ['SoakResult', 'run_soak']

INSTANCES = 6
CALLERS = 16
REQUEST_TIMEOUT_MS = 1500
MODES = (RESET, SILENT, REFUSE_NEW, HANG_NEW)
WARM_UP_S = 3.0
SETTLE_S = 6.0
BODY_BYTES = 200_000
LONG_BODY_SHARE = 0.1


class SoakResult(NamedTuple):
    """What a soak has seen.

    ``run_twice`` are the requests that may run only once and ran more often,
    ``false_refusals`` those that ran although they were refused, ``spoiled`` the answers that
    were not the endpoint's whole answer. ``served_at_end`` is the share (0..1) of the requests
    after all events that were answered.
    """

    run_twice: list[str]
    false_refusals: list[str]
    spoiled: list[str]
    defects: list[str]
    served_at_end: float
    worst_retries: RetryWindow
    statuses: Counter[int]


class _Caller:
    """Sends one request after the other on one connection until it is closed."""

    def __init__(self, *, soak: '_Soak', number: int) -> None:
        self._soak = soak
        self._number = number
        self._stream: SocketStream | None = None

    async def run(self) -> None:
        for request_number in itertools.count():
            request_id = f'c{self._number}-{request_number}'
            is_write = self._soak.rng.random() < 0.5
            if is_write:
                self._soak.write_ids.add(request_id)
            started_at = time.monotonic()
            self._soak.retries.record_request(started_at)
            status, body = await self._send(request_id, is_write=is_write)
            self._soak.record(request_id, started_at, status, body)
            await anyio.sleep(0.05)

    async def _send(self, request_id: str, *, is_write: bool) -> tuple[int, bytes]:
        size = BODY_BYTES if self._soak.rng.random() < LONG_BODY_SHARE else 3
        path = '/notices/1' if is_write else '/files/1'
        head = (
            f'POST {path} HTTP/1.1\r\nHost: desk.example\r\n'
            f'X-Plantainloft-Request-Id: {request_id}\r\n'
            f'X-Plantainloft-Deadline-Ms: {REQUEST_TIMEOUT_MS}\r\n'
            f'Content-Length: {size}\r\n\r\n'
        )
        try:
            with anyio.fail_after(4):
                if self._stream is None:
                    handle = self._soak.rng.choice(self._soak.fleet.entries)
                    host, _, port = handle.caller_address.partition(':')
                    self._stream = await anyio.connect_tcp(host, int(port))
                await self._stream.send(head.encode() + b'x' * size)
                return await self._read_answer(self._stream)
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            await self._close()
            return 0, b''

    async def _read_answer(self, stream: SocketStream) -> tuple[int, bytes]:
        received = b''
        while b'\r\n\r\n' not in received:
            received += await stream.receive()
        head, _, body = received.partition(b'\r\n\r\n')
        lines = head.lower().split(b'\r\n')
        length = next(int(line[15:]) for line in lines if line.startswith(b'content-length:'))
        while len(body) < length:
            body += await stream.receive()
        if b'connection: close' in lines:
            await self._close()
        return int(head.split(b' ', 2)[1]), body

    async def _close(self) -> None:
        if self._stream is not None:
            await anyio.aclose_forcefully(self._stream)
            self._stream = None


class _Soak:
    """The fleet, its callers, and what endpoints and callers have seen."""

    def __init__(
        self, *, fleet: PartitionedFleet, rng: random.Random, endpoints_fail: bool
    ) -> None:
        self.fleet = fleet
        self._endpoints_fail = endpoints_fail
        self.rng = rng
        self.runs_by_id: Counter[str] = Counter()
        # Requests that may run only once.
        self.write_ids: set[str] = set()
        self.answers: list[tuple[str, float, int, bytes]] = []
        self.retries = RetryLedger(limits=DEFAULT_RETRY_LIMITS)
        # The share (0..1) of the requests that endpoints turn away.
        self._turned_away = 0.0

    def record(self, request_id: str, started_at: float, status: int, body: bytes) -> None:
        self.answers.append((request_id, started_at, status, body))

    async def answer(self, connection: ScriptedConnection) -> None:
        """Run requests; each answer tells the id of its request."""
        while True:
            request = await connection.read_request()
            request_id = _header(request, b'x-plantainloft-request-id')
            self.retries.record_arrival(request_id, time.monotonic())
            if self._turned_away and self.rng.random() < self._turned_away:
                await connection.send(TURNED_AWAY)
                continue
            self.runs_by_id[request_id] += 1
            await anyio.sleep(self.rng.uniform(0.01, 0.3))
            body = request_id.encode()
            if self.rng.random() < LONG_BODY_SHARE:
                body = body.ljust(BODY_BYTES, b'.')
            await connection.send(
                b'HTTP/1.1 200 OK\r\nX-Plantainloft-Response-Signature: s\r\n'
                b'Content-Length: %d\r\n\r\n' % len(body) + body
            )

    async def play_events(self, duration_s: float) -> None:
        """Cut and restore links, and stop, kill and restart instances, overlapping."""
        events: list[Callable[[], object]] = [
            self._cut,
            self._cut,
            self._cut,
            self._terminate,
            self._kill,
            self._reload,
        ]
        if self._endpoints_fail:
            events += [self._turn_away, self._turn_away, self._kill_all]
        ends_at = time.monotonic() + duration_s
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < ends_at:
                tasks.start_soon(self.rng.choice(events))  # type: ignore[arg-type]
                await anyio.sleep(self.rng.uniform(0.3, 1.5))

    async def _cut(self) -> None:
        count = self.rng.choice((1, 1, 2, 3, INSTANCES - 1, INSTANCES))
        cut_off = self.rng.sample(range(INSTANCES), count)
        self.fleet.cut(cut_off, self.rng.choice(MODES))
        await anyio.sleep(self.rng.uniform(0.5, 5.0))
        self.fleet.cut(cut_off, '')

    async def _turn_away(self) -> None:
        self._turned_away = self.rng.choice((0.3, 0.9, 0.9))
        await anyio.sleep(self.rng.uniform(1.0, 8.0))
        self._turned_away = 0.0

    async def _kill_all(self) -> None:
        async with anyio.create_task_group() as tasks:
            for handle in self.fleet.entries:
                tasks.start_soon(self._restart, handle, signal.SIGKILL)

    async def _terminate(self) -> None:
        handle = self.rng.choice(self.fleet.entries)
        await self._restart(handle, signal.SIGTERM)

    async def _kill(self) -> None:
        handle = self.rng.choice(self.fleet.entries)
        await self._restart(handle, signal.SIGKILL)

    async def _reload(self) -> None:
        await self.rng.choice(self.fleet.entries).reload()

    async def _restart(self, handle: EntryProcessHandle, number: signal.Signals) -> None:
        handle.signal(number)
        await handle.wait_for_exit()
        if not handle.is_running():
            handle.start()


def _header(request: bytes, name: bytes) -> str:
    for line in request.partition(b'\r\n\r\n')[0].split(b'\r\n'):
        key, _, text = line.partition(b':')
        if key.lower() == name:
            return text.strip().decode()
    return ''


async def run_soak(
    seed: int,
    work_dir: Path,
    entry_processes: list[EntryProcessHandle],
    *,
    duration_s: float,
    endpoints_fail: bool = False,
) -> SoakResult:
    """Run one soak; ``entry_processes`` gets the processes that it starts.

    ``endpoints_fail``: endpoints also turn requests away, and all processes are killed.
    """
    rng = random.Random(seed)
    async with partitioned_fleet(entry_processes, work_dir, instances=INSTANCES) as (fleet, tasks):
        soak = _Soak(fleet=fleet, rng=rng, endpoints_fail=endpoints_fail)
        for endpoint in fleet.endpoints:
            endpoint.script = soak.answer
        callers = [_Caller(soak=soak, number=number) for number in range(CALLERS)]
        async with anyio.create_task_group() as caller_tasks:
            await _play(soak, callers, caller_tasks, duration_s)
            since = time.monotonic()
            await anyio.sleep(3.0)
            caller_tasks.cancel_scope.cancel()
        # A connection that arrives while a listener is being cancelled fails the event loop.
        for handle in entry_processes:
            handle.kill()
        tasks.cancel_scope.cancel()
    return _result(soak, since)


async def _play(soak: _Soak, callers: list[_Caller], tasks: TaskGroup, duration_s: float) -> None:
    for caller in callers:
        tasks.start_soon(caller.run)
    await anyio.sleep(WARM_UP_S)
    await soak.play_events(duration_s)
    soak.fleet.cut(range(INSTANCES), '')
    for handle in soak.fleet.entries:
        await handle.wait_until_ready()
    await anyio.sleep(SETTLE_S)


def _result(soak: _Soak, since: float) -> SoakResult:
    at_end = [status for _, at, status, _ in soak.answers if at >= since]
    refused = {request_id for request_id, _, status, _ in soak.answers if status == 503}
    writes_run_twice = [
        request_id
        for request_id, runs in soak.runs_by_id.items()
        if runs > 1 and request_id in soak.write_ids
    ]
    return SoakResult(
        run_twice=writes_run_twice,
        false_refusals=[one for one in soak.write_ids & refused if soak.runs_by_id[one]],
        spoiled=[
            request_id
            for request_id, _, status, body in soak.answers
            if status == 200 and body.rstrip(b'.') != request_id.encode()
        ],
        defects=[
            str(record)
            for handle in soak.fleet.entries
            for record in handle.log_records()
            if record['kind'] == 'defect'
        ],
        worst_retries=soak.retries.worst_window(),
        served_at_end=at_end.count(200) / len(at_end),
        statuses=Counter(status for _, _, status, _ in soak.answers),
    )


async def _run_long(
    seed: int, work_dir: Path, entry_processes: list[EntryProcessHandle]
) -> SoakResult:
    return await run_soak(seed, work_dir, entry_processes, duration_s=20.0, endpoints_fail=True)


if __name__ == '__main__':
    run_seeds(_run_long, int(sys.argv[1]), int(sys.argv[2]))
