"""A randomized soak: a store that returns from copies, beside signals and restarts.

Run by hand with more seeds: ``python tests/store_soak.py FIRST_SEED COUNT``; with ``large`` at
the end, configurations are large and change in storms, and links are slow.
"""

import itertools
import json
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream, TaskGroup
from entry_fixtures import ScriptedConnection, ScriptedEndpoint
from platform_standin import (
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    EntryProcessHandle,
    StoreCopy,
    StoreStandin,
    answer_every_request,
    endpoint_document,
    make_configuration,
    running_store,
    start_entry_processes,
)
from soak_command import run_seeds

__all__ = ['StoreSoakResult', 'run_store_soak']

INSTANCES = 6
CALLERS = 18
ENDPOINTS_PER_SERVICE = 3
# The services to which configurations route in turn, by parity of their version.
SERVICES = ('desk', 'other')
# When changes bind: see the platform's rules of contact and of changes in force.
CONTACT_S = 4.0
IN_FORCE_S = 2.5
COPY_INTERVAL_S = 0.2
COPY_AGES_S = (0.5, 1.0, 3.0, 5.0)
REWRITE_S = (0.1, 1.5)
CONFIG_INTERVAL_S = 1.5
LEAVING_S = 1.0
WARM_UP_S = 2.0
SETTLE_S = 8.0
STORM_CHANGES = 12
STORM_GAP_S = 0.33
# Draws for a soak of large configurations: the routes, and the links of instances in bytes a
# second. Two instances have fast links: over the others alone, the store may send a
# configuration for longer than changes may take.
FURTHER_ROUTES = (10, 300, 1400, 3000)
SLOW_LINKS = (125_000, 250_000, 625_000, 1_250_000)
FAST_LINK = 12_500_000
FAST_INSTANCES = 2
REQUEST_TIMEOUT_S = 4.0


class StoreSoakResult(NamedTuple):
    """What a soak has seen.

    ``outdated`` are requests handled by a configuration that had been replaced,
    ``sent_to_left`` those that reached an endpoint that had left. ``served_at_end`` is the
    share (0..1) of the requests after all events that were answered, ``still_held`` the rows
    that instances hold then.
    """

    returns: int
    outdated: list[str]
    sent_to_left: list[str]
    defects: list[str]
    served_at_end: float
    still_held: int
    statuses: Counter[int]


class _Change(NamedTuple):
    version: int
    at: float


class _Request(NamedTuple):
    entry: int
    sent_at: float


class _Endpoint:
    """An endpoint of one service, under one ID until it leaves."""

    def __init__(self, *, service: str, number: int) -> None:
        self.service = service
        self.id = f'i-{service}-{number}'
        self.scripted = ScriptedEndpoint(script=answer_every_request)
        self.left_at: float | None = None


class _Caller:
    """Sends requests to one instance on one connection until that is closed."""

    def __init__(self, *, soak: '_StoreSoak', number: int) -> None:
        self._soak = soak
        self._number = number
        self._entry = number % INSTANCES
        self._stream: SocketStream | None = None

    async def run(self) -> None:
        for request_number in itertools.count():
            request_id = f'c{self._number}-{request_number}'
            sent_at = time.monotonic()
            self._soak.requests[request_id] = _Request(self._entry, sent_at)
            self._soak.answers.append((sent_at, await self._send(request_id)))
            await anyio.sleep(0.08)

    async def _send(self, request_id: str) -> int:
        head = (
            f'GET /files/{request_id} HTTP/1.1\r\nHost: desk.example\r\n'
            f'X-Plantainloft-Request-Id: {request_id}\r\nX-Plantainloft-Deadline-Ms: 1500\r\n\r\n'
        )
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                if self._stream is None:
                    address = self._soak.entries[self._entry].caller_address
                    host, _, port = address.partition(':')
                    self._stream = await anyio.connect_tcp(host, int(port))
                await self._stream.send(head.encode())
                return await self._read_status(self._stream)
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            await self._close()
            return 0

    async def _read_status(self, stream: SocketStream) -> int:
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
        return int(head.split(b' ', 2)[1])

    async def _close(self) -> None:
        if self._stream is not None:
            await anyio.aclose_forcefully(self._stream)
            self._stream = None


class _StoreSoak:
    """The store, its writers, the instances and what endpoints have seen."""

    def __init__(
        self,
        *,
        store: StoreStandin,
        entries: list[EntryProcessHandle],
        rng: random.Random,
        further_routes: int = 0,
    ) -> None:
        self._further_routes = further_routes
        self.store = store
        self.entries = entries
        self.rng = rng
        self.requests: dict[str, _Request] = {}
        self.answers: list[tuple[float, int]] = []
        self.outdated: list[str] = []
        self.sent_to_left: list[str] = []
        self.endpoints: list[_Endpoint] = []
        self._numbers = itertools.count()
        self._changes: list[_Change] = []
        self._written: dict[tuple[str, str], object] = {}
        self._copies: list[tuple[float, StoreCopy]] = []
        self._store_disturbed_at = 0.0
        self._entry_disturbed_at = [0.0] * INSTANCES
        self._disturbances = 0

    async def add_endpoint(self, service: str, tasks: TaskGroup) -> None:
        endpoint = _Endpoint(service=service, number=next(self._numbers))
        endpoint.scripted.script = lambda connection: self._answer(endpoint, connection)
        await tasks.start(lambda *, task_status: endpoint.scripted.run(task_status=task_status))
        self.endpoints.append(endpoint)
        self._write(ENDPOINT_TABLE, endpoint.id, self._document(endpoint, 'ready'))

    def declare(self) -> None:
        """Declare the next configuration, which routes to the other service."""
        version = 3 + len(self._changes)
        document = make_configuration(
            version, service=SERVICES[version % 2], further_routes=self._further_routes
        )
        self._write(OPERATOR_TABLE, 'config', document)
        self._changes.append(_Change(version, time.monotonic()))

    async def declare_often(self) -> None:
        while True:
            await anyio.sleep(self.rng.uniform(0.5, 1.5) * CONFIG_INTERVAL_S)
            if not self._is_away():
                self.declare()

    async def keep_copies(self) -> None:
        while True:
            self._copies.append((time.monotonic(), self.store.take_copy()))
            await anyio.sleep(COPY_INTERVAL_S)

    async def play_events(self, duration_s: float, tasks: TaskGroup) -> None:
        """Disturb the store and the instances, overlapping."""
        events: list[Callable[[], object]] = [
            self._return_from_copy,
            self._return_from_copy,
            self._return_from_copy,
            self._refuse,
            lambda: self._restart(signal.SIGTERM),
            lambda: self._restart(signal.SIGKILL),
            self._freeze,
            self._reload,
            lambda: self._replace_endpoint(tasks),
        ]
        if self._further_routes:
            events += [self._declare_storm, self._lose_history]
        ends_at = time.monotonic() + duration_s
        async with anyio.create_task_group() as event_tasks:
            while time.monotonic() < ends_at:
                event_tasks.start_soon(self.rng.choice(events))  # type: ignore[arg-type]
                await anyio.sleep(self.rng.uniform(0.5, 4.0))

    async def _declare_storm(self) -> None:
        for _ in range(STORM_CHANGES):
            if not self._is_away():
                self.declare()
            await anyio.sleep(STORM_GAP_S)

    async def _lose_history(self) -> None:
        self.store.oldest_history_version = self.store.version

    async def _answer(self, endpoint: _Endpoint, connection: ScriptedConnection) -> None:
        while True:
            request = await connection.read_request()
            target = request.split(b' ', 2)[1].decode()
            self._check(endpoint, target.rpartition('/')[2])
            await connection.send(
                b'HTTP/1.1 200 OK\r\nX-Plantainloft-Response-Signature: s\r\n'
                b'Content-Length: 2\r\n\r\nok'
            )

    def _check(self, endpoint: _Endpoint, request_id: str) -> None:
        request = self.requests.get(request_id)
        if request is None or not self._is_in_touch(request):
            return
        binding = [one.version for one in self._changes if one.at + IN_FORCE_S <= request.sent_at]
        possible = [one for one in self._changes if one.version >= max(binding, default=0)]
        if endpoint.service not in {SERVICES[one.version % 2] for one in possible}:
            self.outdated.append(f'{request_id} at {request.sent_at:.2f} by {endpoint.id}')
        if endpoint.left_at is not None and request.sent_at > endpoint.left_at + IN_FORCE_S:
            self.sent_to_left.append(f'{request_id} at {request.sent_at:.2f} by {endpoint.id}')

    def _is_in_touch(self, request: _Request) -> bool:
        disturbed_at = max(self._store_disturbed_at, self._entry_disturbed_at[request.entry])
        return not self._is_away() and request.sent_at - disturbed_at >= CONTACT_S

    def _is_away(self) -> bool:
        return self._disturbances > 0

    async def _return_from_copy(self) -> None:
        age_s = self.rng.choice(COPY_AGES_S)
        taken_by = time.monotonic() - age_s
        if self._is_away():
            return
        await self._absence()
        copies = [copy for at, copy in self._copies if at <= taken_by] or [self._copies[0][1]]
        self.store.return_from_copy(copies[-1])
        self._copies = [(at, copy) for at, copy in self._copies if at <= taken_by]
        await self._end_absence()
        await anyio.sleep(self.rng.uniform(*REWRITE_S))
        while self._is_away():
            await anyio.sleep(0.1)
        self._write_again()

    async def _refuse(self) -> None:
        if not self._is_away():
            await self._absence()
            await self._end_absence()

    async def _absence(self) -> None:
        self._disturbances += 1
        attribute = self.rng.choice(('is_unavailable', 'is_unresponsive'))
        setattr(self.store, attribute, True)
        await anyio.sleep(self.rng.uniform(0.2, 2.5))

    async def _end_absence(self) -> None:
        self.store.is_unavailable = self.store.is_unresponsive = False
        self._disturbances -= 1
        self._store_disturbed_at = time.monotonic()

    def _write(self, table: str, key: str, document: object) -> None:
        self._written[(table, key)] = document
        if document is None:
            self.store.remove(table, key)
        else:
            self.store.put(table, key, document)

    def _write_again(self) -> None:
        """Write what the store has lost, as operators and endpoints do."""
        for (table, key), document in self._written.items():
            is_stored = (table, key) in self.store.rows
            if document is not None or is_stored:
                self._write(table, key, document)

    async def _replace_endpoint(self, tasks: TaskGroup) -> None:
        """Let an endpoint leave, and add another one of its service."""
        ready = [one for one in self.endpoints if one.left_at is None]
        endpoint = self.rng.choice(ready)
        await self.add_endpoint(endpoint.service, tasks)
        while self._is_away():
            await anyio.sleep(0.1)
        self._write(ENDPOINT_TABLE, endpoint.id, self._document(endpoint, 'draining'))
        endpoint.left_at = time.monotonic()
        await anyio.sleep(LEAVING_S)
        while self._is_away():
            await anyio.sleep(0.1)
        self._write(ENDPOINT_TABLE, endpoint.id, None)

    def _document(self, endpoint: _Endpoint, state: str) -> dict[str, object]:
        document = endpoint_document(
            endpoint.scripted.address, state=state, service=endpoint.service
        )
        document['status']['seq'] = 1 if state == 'ready' else 2
        return document

    async def _restart(self, number: signal.Signals) -> None:
        entry = self.rng.randrange(INSTANCES)
        handle = self.entries[entry]
        self._entry_disturbed_at[entry] = float('inf')
        handle.signal(number)
        await handle.wait_for_exit()
        if not handle.is_running():
            handle.start()
        await handle.wait_until_ready()
        self._entry_disturbed_at[entry] = time.monotonic()

    async def _freeze(self) -> None:
        entry = self.rng.randrange(INSTANCES)
        self._entry_disturbed_at[entry] = float('inf')
        self.entries[entry].signal(signal.SIGSTOP)
        await anyio.sleep(self.rng.uniform(0.5, 4.0))
        self.entries[entry].signal(signal.SIGCONT)
        self._entry_disturbed_at[entry] = time.monotonic()

    async def _reload(self) -> None:
        await self.rng.choice(self.entries).reload()


def _write_links(work_dir: Path, rng: random.Random) -> None:
    """Draw the rate of each instance's link, for ``paced_entry_process``."""
    fast = rng.sample(range(INSTANCES), FAST_INSTANCES)
    for number in range(INSTANCES):
        rate = FAST_LINK if number in fast else rng.choice(SLOW_LINKS)
        (work_dir / f'links-{number + 1}.json').write_text(json.dumps(rate))


async def run_store_soak(
    seed: int,
    work_dir: Path,
    entry_processes: list[EntryProcessHandle],
    *,
    duration_s: float,
    is_large: bool = False,
) -> StoreSoakResult:
    """Run one soak; ``entry_processes`` gets the processes that it starts.

    ``is_large``: configurations are large and change in storms, and links are slow.
    """
    rng = random.Random(seed)
    further_routes = rng.choice(FURTHER_ROUTES) if is_large else 0
    if is_large:
        _write_links(work_dir, rng)
    async with running_store() as (store, tasks):
        soak = _StoreSoak(
            store=store, entries=entry_processes, rng=rng, further_routes=further_routes
        )
        for service in SERVICES * ENDPOINTS_PER_SERVICE:
            await soak.add_endpoint(service, tasks)
        soak.declare()
        await start_entry_processes(
            entry_processes,
            store_addresses=[store.address] * INSTANCES,
            work_dir=work_dir,
            module='paced_entry_process' if is_large else 'plantainloft_platform',
        )
        callers = [_Caller(soak=soak, number=number) for number in range(CALLERS)]
        async with anyio.create_task_group() as soak_tasks:
            for task in (soak.keep_copies, soak.declare_often, *(one.run for one in callers)):
                soak_tasks.start_soon(task)
            await anyio.sleep(WARM_UP_S)
            await soak.play_events(duration_s, tasks)
            await anyio.sleep(SETTLE_S)
            since = time.monotonic()
            await anyio.sleep(2.0)
            soak_tasks.cancel_scope.cancel()
        still_held = await _count_held(entry_processes)
        # A connection that arrives while a listener is being cancelled fails the event loop.
        for handle in entry_processes:
            handle.kill()
        tasks.cancel_scope.cancel()
    at_end = [status for at, status in soak.answers if at >= since]
    return StoreSoakResult(
        returns=store.era - 1,
        outdated=soak.outdated,
        sent_to_left=soak.sent_to_left,
        defects=[
            str(record)
            for handle in entry_processes
            for record in handle.log_records()
            if record['kind'] == 'defect'
        ],
        served_at_end=at_end.count(200) / len(at_end),
        still_held=still_held,
        statuses=Counter(status for _, status in soak.answers),
    )


async def _count_held(entry_processes: list[EntryProcessHandle]) -> int:
    return sum([len(await handle.held_rows()) for handle in entry_processes])


async def _run_long(
    seed: int, work_dir: Path, entry_processes: list[EntryProcessHandle], *, is_large: bool
) -> StoreSoakResult:
    return await run_store_soak(seed, work_dir, entry_processes, duration_s=25.0, is_large=is_large)


if __name__ == '__main__':
    first_seed, count, *options = sys.argv[1:]
    run_seeds(partial(_run_long, is_large='large' in options), int(first_seed), int(count))
