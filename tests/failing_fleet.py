"""Entry processes whose endpoints turn requests away or lose their answers."""

import itertools
import random
import re
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from entry_fixtures import ScriptedConnection, ScriptedEndpoint
from platform_standin import (
    OPERATOR_TABLE,
    SIGNED_OK_RESPONSE,
    EntryProcessHandle,
    http_get,
    make_configuration,
    running_store,
    start_entry_processes,
    start_listed_endpoints,
)

from plantainloft_node.retry_budget.registry import RetryLimits
from plantainloft_standins.retry_ledger import RetryLedger

ENDPOINTS = 8
RUN_TIME_S = 0.03
RETRY_LIMITS = RetryLimits(ratio=0.2, fixed_retries=64.0, window_s=10.0)
TURNED_AWAY = (
    b'HTTP/1.1 503 Service Unavailable\r\nX-Plantainloft-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
REQUEST_ID = re.compile(rb'x-plantainloft-request-id: *(\S+)', re.IGNORECASE)


class FailingFleet:
    """Entry processes and endpoints of one service that fail on demand.

    ``turned_away_share`` and ``lost_share`` (0..1) are the requests that endpoints refuse to
    run, and those whose connection they close in place of an answer.
    """

    def __init__(self, *, entries: list[EntryProcessHandle], seed: int) -> None:
        self.entries = entries
        self.turned_away_share = 0.0
        self.lost_share = 0.0
        self.ledger = RetryLedger(limits=RETRY_LIMITS)
        self.statuses: Counter[int] = Counter()
        self.rng = random.Random(seed)
        self._numbers = itertools.count()

    async def send_requests(self, per_s: float) -> None:
        """Send requests to instances at random until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self._send, self.rng.choice(self.entries))
                await anyio.sleep(1 / per_s)

    async def restart(self, entries: Iterable[EntryProcessHandle]) -> None:
        """Kill processes and start them again."""
        restarted = list(entries)
        for entry in restarted:
            entry.signal(signal.SIGKILL)
        for entry in restarted:
            await entry.wait_for_exit()
            entry.start()

    async def answer(self, connection: ScriptedConnection) -> None:
        """Answer the requests of one connection to an endpoint."""
        while True:
            request = await connection.read_request()
            found = REQUEST_ID.search(request)
            if found is not None:
                self.ledger.record_arrival(found.group(1).decode(), time.monotonic())
            if self.rng.random() < self.turned_away_share:
                await connection.send(TURNED_AWAY)
                continue
            await anyio.sleep(RUN_TIME_S)
            if self.rng.random() < self.lost_share:
                return
            await connection.send(SIGNED_OK_RESPONSE)

    async def _send(self, entry: EntryProcessHandle) -> None:
        number = next(self._numbers)
        headers = (
            f'X-Plantainloft-Request-Id: r{number}\r\n'
            f'Cookie: X-Plantainloft-Affinity-Key={number % 97}\r\n'
        )
        self.ledger.record_request(time.monotonic())
        answer = await http_get(entry.caller_address, '/files/1', extra_headers=headers)
        self.statuses[int(answer.split(b' ', 2)[1]) if answer else 0] += 1


@asynccontextmanager
async def failing_fleet(
    entry_processes: list[EntryProcessHandle], work_dir: Path, *, instances: int, seed: int
) -> AsyncIterator[tuple[FailingFleet, TaskGroup]]:
    """Run ``instances`` entry processes and ``ENDPOINTS`` endpoints of one service."""
    async with running_store() as (store, tasks):
        fleet = FailingFleet(entries=entry_processes, seed=seed)
        endpoints = [ScriptedEndpoint(script=fleet.answer) for _ in range(ENDPOINTS)]
        await start_listed_endpoints(store, tasks, endpoints, slots=12)
        store.put(OPERATOR_TABLE, 'config', make_configuration(3))
        await start_entry_processes(
            entry_processes,
            store_addresses=[store.address] * instances,
            work_dir=work_dir,
        )
        yield fleet, tasks
