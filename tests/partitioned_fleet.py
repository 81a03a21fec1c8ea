"""Entry processes of which some lose their links to the endpoints."""

import itertools
import random
import time
from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup
from cuttable_entry import write_fault
from entry_fixtures import ScriptedConnection, ScriptedEndpoint
from platform_standin import (
    OPERATOR_TABLE,
    SIGNED_OK_RESPONSE,
    EntryProcessHandle,
    answer_every_request,
    http_get,
    make_configuration,
    running_store,
    start_entry_processes,
    start_listed_endpoints,
)

INSTANCES = 8
ENDPOINTS = 8
RUN_TIME_S = 0.05
PATHS = ('/files/1', '/notices/1')


class FirstTry(NamedTuple):
    """A request of a caller; ``status`` is 0 without a response."""

    entry: int
    sent_at: float
    status: int


class PartitionedFleet:
    """Entry processes, their endpoints, and the outcomes of callers' requests."""

    def __init__(
        self, *, entries: list[EntryProcessHandle], endpoints: list[ScriptedEndpoint]
    ) -> None:
        self.entries = entries
        self.endpoints = endpoints
        self.first_tries: list[FirstTry] = []
        self.run_time_s = RUN_TIME_S
        for endpoint in endpoints:
            endpoint.script = self._answer
        self._numbers = itertools.count()
        self._rng = random.Random(7)

    def cut(self, entries: Iterable[int], mode: str) -> None:
        """Cut the links of ``entries`` to all endpoints; an empty ``mode`` restores them."""
        for entry in entries:
            fault = {endpoint.address: mode for endpoint in self.endpoints if mode}
            write_fault(self.entries[entry].link_fault_path, fault)

    def served_share(self, entries: Sequence[int], since: float, until: float) -> float:
        """Return the share of first tries sent to ``entries`` that were answered 200."""
        statuses = [
            one.status
            for one in self.first_tries
            if one.entry in entries and since <= one.sent_at < until
        ]
        return statuses.count(200) / len(statuses)

    async def send_requests(self, per_s: float) -> None:
        """Send requests for different objects to instances at random until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self._send, self._rng.randrange(len(self.entries)))
                await anyio.sleep(1 / per_s)

    async def send_at_once(self, entry: int, count: int) -> None:
        """Send ``count`` requests to one instance and wait for their responses."""
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self._send, entry)

    async def _answer(self, connection: ScriptedConnection) -> None:
        while True:
            await connection.read_request()
            await anyio.sleep(self.run_time_s)
            await connection.send(SIGNED_OK_RESPONSE)

    async def _send(self, entry: int) -> None:
        number = next(self._numbers)
        headers = (
            f'X-Plantainloft-Request-Id: r{number}\r\n'
            'X-Plantainloft-Deadline-Ms: 1500\r\n'
            f'Cookie: X-Plantainloft-Affinity-Key={number % 97}\r\n'
        )
        sent_at = time.monotonic()
        address = self.entries[entry].caller_address
        answer = await http_get(address, PATHS[number % 2], extra_headers=headers)
        status = int(answer.split(b' ', 2)[1]) if answer else 0
        self.first_tries.append(FirstTry(entry, sent_at, status))


@asynccontextmanager
async def partitioned_fleet(
    entry_processes: list[EntryProcessHandle], work_dir: Path, *, instances: int = INSTANCES
) -> AsyncIterator[tuple[PartitionedFleet, TaskGroup]]:
    """Run ``instances`` entry processes and ``ENDPOINTS`` endpoints of one service."""
    async with running_store() as (store, tasks):
        endpoints = [ScriptedEndpoint(script=answer_every_request) for _ in range(ENDPOINTS)]
        await start_listed_endpoints(store, tasks, endpoints, slots=12)
        store.put(OPERATOR_TABLE, 'config', make_configuration(3))
        await start_entry_processes(
            entry_processes,
            store_addresses=[store.address] * instances,
            work_dir=work_dir,
            module='cuttable_entry_process',
        )
        yield PartitionedFleet(entries=entry_processes, endpoints=endpoints), tasks
