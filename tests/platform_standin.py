"""An in-memory stand-in for the platform's store, and entry processes that use it."""

import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from entry_fixtures import ScriptedConnection, ScriptedEndpoint

from plantainloft_core.routes import CallerLimits
from plantainloft_node.engine.caller_connection import CallerConnection
from plantainloft_node.engine.exchange import Exchange, ExchangeHandler

JSON_TYPE = [(b'content-type', b'application/json')]
OPERATOR_TABLE = 'op'
# Runs of the tests that can go on at the same time on addresses of their own.
RUN_COUNT = 250
ENDPOINT_TABLE = 'servers'
SIGNED_OK_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nX-Plantainloft-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok'
)


class StoreCopy(NamedTuple):
    """All rows of a store at ``version``."""

    rows: dict[tuple[str, str], dict[str, Any]]
    version: int


class StoreStandin(ExchangeHandler):
    """Keeps rows in memory and serves them as the platform's documentation describes.

    A test injects faults by setting attributes: while ``is_unavailable`` is set,
    every request is answered with 503; while ``is_unresponsive`` is set, no
    request is answered; ``oldest_history_version`` is the version before which no
    history is kept, so that asking for the changes after an earlier version is
    answered with 410. ``take_copy`` and ``return_from_copy`` lose what was written in
    between, and start another ``era``.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.version = 0
        self.era = 1
        self.is_unavailable = False
        self.is_unresponsive = False
        self.oldest_history_version = 0
        self.operations: list[str] = []
        self.address = ''
        self._changed = anyio.Event()

    def limits(self) -> CallerLimits:
        return CallerLimits()

    def is_idempotent(self, exchange: Exchange) -> bool:
        return True

    def put(self, table: str, key: str, document: Any) -> None:
        encoded = base64.b64encode(json.dumps(document).encode()).decode()
        self._write(table, key, encoded)

    def remove(self, table: str, key: str) -> None:
        self.version += 1
        self.rows[(table, key)] = {
            'table': table,
            'part': '',
            'key': key,
            'ver': self.version,
            'removed': True,
        }
        self._notify_waiters()

    def take_copy(self) -> StoreCopy:
        """Return a copy of all rows, from which the store may return later."""
        return StoreCopy(dict(self.rows), self.version)

    def return_from_copy(self, copy: StoreCopy) -> None:
        """Lose what was written since ``copy``; its versions are given out again."""
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.oldest_history_version = min(self.oldest_history_version, self.version)
        self.era += 1
        self._notify_waiters()

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        await _listen_and_serve(self, task_status)

    async def handle(self, exchange: Exchange) -> None:
        operation = exchange.path.rpartition('/')[2]
        self.operations.append(operation)
        if self.is_unresponsive:
            await anyio.sleep_forever()
        if self.is_unavailable:
            await exchange.respond(503, self._headers())
            return
        parameters = {name: values[0] for name, values in parse_qs(exchange.query).items()}
        if operation == 'rows-get':
            await self._get(exchange, parameters)
        elif operation == 'rows-feed':
            await self._feed(exchange, parameters)
        else:
            body, _ = await exchange.body.read_replayable()
            await self._transact(exchange, json.loads(body))

    async def _transact(self, exchange: Exchange, transaction: dict[str, Any]) -> None:
        for row in transaction['expect_rev']:
            current = self.rows.get((row['table'], row['key']), {'ver': 0})
            if row['ver'] != (0 if current.get('removed') else current['ver']):
                await exchange.respond(412, [*JSON_TYPE, *self._headers()], b'{"rows":[]}')
                return
        for row in transaction['writes']:
            self._write(row['table'], row['key'], row['value'])
        for row in transaction['remove']:
            self.remove(row['table'], row['key'])
        await self._reply(exchange, {})

    async def _get(self, exchange: Exchange, parameters: dict[str, str]) -> None:
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == parameters['table']
            and not row.get('removed')
            and key >= parameters.get('from', '')
        ]
        limit = int(parameters.get('limit', 500))
        await self._reply(exchange, {'rows': rows[:limit], 'more_pages': len(rows) > limit})

    async def _feed(self, exchange: Exchange, parameters: dict[str, str]) -> None:
        after = int(parameters['after'])
        if after < self.oldest_history_version or after > self.version:
            await exchange.respond(410, self._headers())
            return
        with anyio.move_on_after(int(parameters['wait_ms']) / 1000):
            while not self._rows_after(parameters['table'], after):
                await self._changed.wait()
        await self._reply(exchange, {'rows': self._rows_after(parameters['table'], after)})

    async def _reply(self, exchange: Exchange, document: dict[str, Any]) -> None:
        payload = {**document, 'ver': self.version, 'now': '1ms'}
        await exchange.respond(200, [*JSON_TYPE, *self._headers()], json.dumps(payload).encode())

    def _headers(self) -> list[tuple[bytes, bytes]]:
        return [(b'store-era', b'%d' % self.era)]

    def _rows_after(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [row for (name, _), row in self.rows.items() if name == table]
        return sorted((row for row in rows if row['ver'] > after), key=lambda row: row['ver'])

    def _write(self, table: str, key: str, encoded: str) -> None:
        self.version += 1
        self.rows[(table, key)] = {
            'table': table,
            'part': '',
            'key': key,
            'value': encoded,
            'ver': self.version,
        }
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class StoreProxy(ExchangeHandler):
    """A proxy through which one entry instance reaches the store.

    It can refuse requests while other instances still reach the store.
    """

    def __init__(self, *, store: StoreStandin) -> None:
        self._store = store
        self._open_requests: set[anyio.CancelScope] = set()
        self.is_unavailable = False
        self.address = ''

    def limits(self) -> CallerLimits:
        return self._store.limits()

    def is_idempotent(self, exchange: Exchange) -> bool:
        return True

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        await _listen_and_serve(self, task_status)

    async def handle(self, exchange: Exchange) -> None:
        if self.is_unavailable:
            await exchange.respond(503, [])
            return
        with anyio.CancelScope() as scope:
            self._open_requests.add(scope)
            await self._store.handle(exchange)
        self._open_requests.discard(scope)
        if scope.cancelled_caught:
            await exchange.respond(503, [])

    def start_refusing(self) -> None:
        """Answer 503 from now on, also to open requests such as long polls."""
        self.is_unavailable = True
        for scope in self._open_requests:
            scope.cancel()


async def _listen_and_serve(
    handler: StoreStandin | StoreProxy, task_status: anyio.abc.TaskStatus[None]
) -> None:
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=0)
    handler.address = f'127.0.0.1:{listener.extra(SocketAttribute.local_port)}'
    task_status.started()

    async def serve_connection(stream: SocketStream) -> None:
        await CallerConnection(stream=stream, handler=handler, clock=anyio.current_time).run()

    await listener.serve(serve_connection)


def make_configuration(
    version: int, *, service: str = 'desk', timeout: str = '1500ms', further_routes: int = 0
) -> dict[str, Any]:
    """Return a configuration with an idempotent and a non-idempotent route to ``service``.

    It has ``further_routes`` to the service ``desk`` besides, which nobody uses.
    """

    def route_resource(name: str, kind: str, service: str) -> dict[str, Any]:
        return {
            'resource_type': 'routes',
            'metadata': {'name': name},
            'spec': {
                'host': 'desk.example',
                'prefix': f'/{name}/',
                'kind': kind,
                'timeout': timeout,
                'target_latency': '500ms',
                'priority': 1,
                'service': service,
                'max_attempts': 2,
                'sticky': True,
                'allowed_regions': [],
            },
        }

    def service_resource(name: str) -> dict[str, Any]:
        return {
            'resource_type': 'services',
            'metadata': {'name': name},
            'spec': {
                'health_path': '/health',
                'max_conns': 390,
                'protocol': 'h1',
                'tls': False,
                'warmup': '3s',
                'cold_per_s': 11.0,
            },
        }

    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout': '3000ms',
        'idle_timeout': '15000ms',
    }
    return {
        'version': version,
        'resources': [
            route_resource('files', 'idempotent', service),
            route_resource('notices', 'non_idempotent', service),
            service_resource('desk'),
            service_resource('other'),
            {'resource_type': 'limits', 'metadata': {}, 'spec': limits},
            *(
                route_resource(f'further-{number}', 'idempotent', 'desk')
                for number in range(further_routes)
            ),
        ],
    }


def endpoint_document(
    address: str,
    *,
    state: str = 'ready',
    zone: str = 'ank-a',
    service: str = 'desk',
    slots: int = 4,
) -> dict[str, Any]:
    """Return the content of an endpoint's row."""
    return {
        'address': address,
        'info': {'service': service, 'version': 'v1', 'zone': zone, 'slots': slots},
        'status': {'state': state, 'seq': 1, 'cold_left': '0ms'},
    }


SETTINGS_TEMPLATE = """
[instance]
name = {name}
zone = ank-a
zones = ank-a=ankara,izm-a=izmir

[listen]
front = {host}:{ports[0]}
ready = {host}:{ports[1]}
directory = {host}:{ports[2]}
control = {host}:7801
metrics = {host}:{ports[3]}

[peers]
port = 7802
seeds = {seeds}

[store]
address = {store}

[bounds]
grace = 3s

[lookup]
ttl = 300ms
"""


def entry_host(number: int) -> str:
    """Return the address of an entry process; each run of the tests has its own."""
    return f'127.{1 + os.getpid() % RUN_COUNT}.9.{number}'


class EntryProcessHandle:
    """An entry process that runs as a subprocess, its addresses and its log.

    ``module`` is what it runs; ``link_fault_path`` is read by ``cuttable_entry_process`` only.
    """

    def __init__(
        self,
        *,
        number: int,
        store_address: str,
        work_dir: Path,
        seeds: str = '',
        module: str = 'plantainloft_platform',
    ) -> None:
        self._module = module
        self.link_fault_path = work_dir / f'links-{number}.json'
        self.host = entry_host(number)
        ports = _free_ports(self.host)
        self.caller_address, self.readiness_address, self.lookup_address, self.metrics_address = (
            f'{self.host}:{port}' for port in ports
        )
        self.settings_path = work_dir / f'entry-{number}.ini'
        self.settings_path.write_text(
            SETTINGS_TEMPLATE.format(
                name=f'e{number}', host=self.host, ports=ports, store=store_address, seeds=seeds
            )
        )
        self.log_path = work_dir / f'entry-{number}.log'
        self._log_file = self.log_path.open('wb')
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, '-m', self._module],
            env={
                **os.environ,
                'PLANTAINLOFT_CONFIG': str(self.settings_path),
                'PYTHONPATH': str(Path(__file__).parent),
                'LINK_FAULT_FILE': str(self.link_fault_path),
            },
            stdout=self._log_file,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._process.send_signal(number)

    async def reload(self) -> None:
        """Send SIGHUP, once the interpreter of the process has reached the program.

        Until then, SIGHUP ends any Python process. One that has exited gets no signal.
        """
        # Another thread that waits for the exit may remove the status of the process.
        with suppress(FileNotFoundError, ProcessLookupError):
            while not self._is_prepared_for(signal.SIGHUP):
                await anyio.sleep(0.001)
            self.signal(signal.SIGHUP)

    def blocks_signal(self, number: int) -> bool:
        """Return whether the process blocks this signal at present."""
        return self._is_in_signal_set('SigBlk', number)

    def _is_prepared_for(self, number: int) -> bool:
        return not self.is_running() or any(
            self._is_in_signal_set(name, number) for name in ('SigBlk', 'SigCgt', 'SigIgn')
        )

    def _is_in_signal_set(self, name: str, number: int) -> bool:
        assert self._process is not None
        status = Path(f'/proc/{self._process.pid}/status').read_text()
        signals = next(line for line in status.splitlines() if line.startswith(f'{name}:'))
        return bool(int(signals.split()[1], 16) & (1 << (number - 1)))

    async def wait_for_exit(self) -> int:
        """Wait for the process to exit and return its exit code."""
        assert self._process is not None
        return await anyio.to_thread.run_sync(self._process.wait, abandon_on_cancel=True)

    def is_running(self) -> bool:
        assert self._process is not None
        return self._process.poll() is None

    def kill(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self._log_file.close()

    def log_records(self) -> list[dict[str, Any]]:
        """Return the log records written so far."""
        return [json.loads(line) for line in self.log_path.read_text().splitlines()]

    async def store_return(self) -> dict[str, Any]:
        """Return what the process knows of returns of the store."""
        answer = await http_get(self.metrics_address, '/store-returns')
        listed: list[dict[str, Any]] = json.loads(answer.partition(b'\r\n\r\n')[2])
        return listed[0]

    async def held_rows(self) -> list[str]:
        """Return the keys of the rows that the process holds."""
        return [held['row'] for held in (await self.store_return())['rows_held']]

    async def wait_until_ready(self) -> None:
        await wait_until_equal(lambda: self.get_status(self.readiness_address, '/v1/ready'), 200)

    async def get_status(self, address: str, path: str) -> int:
        """GET ``path`` and return the status code, or 0 if nothing was received."""
        answer = await http_get(address, path)
        return int(answer.split(b' ', 2)[1]) if answer else 0


def _free_ports(host: str) -> list[int]:
    # All sockets stay bound until each has a port, so that the ports differ.
    sockets = [socket.socket() for _ in range(4)]
    for sock in sockets:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def http_get(
    address: str, path: str, *, host: str = 'desk.example', extra_headers: str = ''
) -> bytes:
    """GET ``path`` and return the raw bytes received, which may be none or a part.

    ``host`` is the Host header; ``extra_headers`` holds further header lines, each with
    its line ending.
    """
    ip_address, _, port = address.partition(':')
    received = b''
    try:
        with anyio.move_on_after(5):
            async with await anyio.connect_tcp(ip_address, int(port)) as stream:
                head = (
                    f'GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n'
                    f'{extra_headers}\r\n'
                )
                await stream.send(head.encode())
                while True:
                    received += await stream.receive()
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        return received
    return received


async def wait_until_equal(probe: Any, wanted: Any, *, timeout_s: float = 20.0) -> None:
    """Wait until ``await probe()`` returns ``wanted``."""
    with anyio.fail_after(timeout_s):
        while await probe() != wanted:
            await anyio.sleep(0.05)


@asynccontextmanager
async def running_store() -> AsyncIterator[tuple[StoreStandin, TaskGroup]]:
    """Run a store; yield it with a task group that is cancelled at the end."""
    store = StoreStandin()
    async with anyio.create_task_group() as tasks:
        await tasks.start(lambda *, task_status: store.serve(task_status=task_status))
        yield store, tasks
        tasks.cancel_scope.cancel()


async def start_entry_processes(
    entry_processes: list[EntryProcessHandle],
    *,
    store_addresses: Sequence[str],
    work_dir: Path,
    module: str = 'plantainloft_platform',
) -> None:
    """Start an entry process for each address of the store, and wait until all are ready.

    The handles are appended to ``entry_processes`` before their processes start.
    """
    for number, store_address in enumerate(store_addresses, start=1):
        entry_processes.append(
            EntryProcessHandle(
                number=number,
                store_address=store_address,
                work_dir=work_dir,
                seeds=f'{entry_host(1)}:7801',
                module=module,
            )
        )
    for handle in entry_processes:
        handle.start()
    for handle in entry_processes:
        await handle.wait_until_ready()


async def start_listed_endpoints(
    store: StoreStandin, tasks: TaskGroup, endpoints: Sequence[ScriptedEndpoint], *, slots: int
) -> None:
    """Start endpoints of one service and list them in the store as ``i0``, ``i1`` and so on."""
    for number, endpoint in enumerate(endpoints):
        await tasks.start(
            lambda *, task_status, current=endpoint: current.run(task_status=task_status)
        )
        store.put(ENDPOINT_TABLE, f'i{number}', endpoint_document(endpoint.address, slots=slots))


class EntryDeployment(NamedTuple):
    """A store, two endpoints and the entry processes that forward to them.

    ``store_proxies`` are the proxies through which the entry processes reach the store,
    in the order of ``entry_processes``.
    """

    store: StoreStandin
    store_proxies: list[StoreProxy]
    endpoints: list[ScriptedEndpoint]
    entry_processes: list[EntryProcessHandle]


async def answer_every_request(connection: ScriptedConnection) -> None:
    """Answer every request with ``SIGNED_OK_RESPONSE``."""
    while True:
        await connection.read_request()
        await connection.send(SIGNED_OK_RESPONSE)


async def send_request_and_count(
    entry_deployment: EntryDeployment, entry: EntryProcessHandle
) -> tuple[int, ...]:
    """Send one request to ``entry`` and return how many each endpoint received."""
    counts_before = [len(endpoint.requests) for endpoint in entry_deployment.endpoints]
    await http_get(
        entry.caller_address, '/files/1', extra_headers='X-Plantainloft-Request-Id: r\r\n'
    )
    counts_after = [len(endpoint.requests) for endpoint in entry_deployment.endpoints]
    return tuple(new - old for old, new in zip(counts_before, counts_after, strict=True))


async def count_resolved_addresses(entry: EntryProcessHandle) -> int:
    """Return how many addresses the directory of ``entry`` returns."""
    answer = await http_get(entry.lookup_address, '/v1/resolve?name=x&region=ankara&zone=ank-a')
    body = answer.partition(b'\r\n\r\n')[2]
    return len(json.loads(body)['addresses']) if body else 0


async def configuration_version(entry: EntryProcessHandle) -> int:
    """Return the version of the configuration in force at ``entry``."""
    metrics = await http_get(entry.metrics_address, '/metrics')
    found = re.search(rb'^plantainloft_configuration_version (\d+)', metrics, re.MULTILINE)
    return int(found.group(1)) if found else 0


async def follows_declarations(entry: EntryProcessHandle) -> bool:
    """Return whether ``entry`` reports that it follows the store's declarations."""
    metrics = await http_get(entry.metrics_address, '/metrics')
    return b'plantainloft_store_followed{table="declarations"} 1' in metrics
