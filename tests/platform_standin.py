"""A stand-in of the platform's store, and entry processes beside it."""

import base64
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from entry_fixtures import Conversation, RawEndpoint

from plantainloft_core.routes import CallerLimits
from plantainloft_node.engine.callers import CallerConnection
from plantainloft_node.engine.exchange import Exchange, Handler

JSON_TYPE = [(b'content-type', b'application/json')]
OPERATOR = 'op'
ENDPOINT_TABLE = 'servers'
SIGNED = b'HTTP/1.1 200 OK\r\nX-Plantainloft-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok'


class StoreStandin(Handler):
    """Rows in memory, with their history, as the platform's pages tell.

    ``refusing`` answers 503 to everything, ``forgotten`` drops history up
    to that version (410), ``silent`` never answers.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.version = 0
        self.refusing = False
        self.silent = False
        self.forgotten = 0
        self.calls: list[str] = []
        self.address = ''
        self._changed = anyio.Event()

    def limits(self) -> CallerLimits:
        return CallerLimits()

    def repeatable(self, exchange: Exchange) -> bool:
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
        self._wake()

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        await _serve(self, task_status)

    async def handle(self, exchange: Exchange) -> None:
        call = exchange.path.rpartition('/')[2]
        self.calls.append(call)
        if self.silent:
            await anyio.sleep_forever()
        if self.refusing:
            await exchange.answer(503, [])
            return
        asked = {name: found[0] for name, found in parse_qs(exchange.query).items()}
        if call == 'rows-get':
            await self._get(exchange, asked)
        elif call == 'rows-feed':
            await self._feed(exchange, asked)
        else:
            body, _ = await exchange.body.prefetch()
            await self._transact(exchange, json.loads(body))

    async def _transact(self, exchange: Exchange, asked: dict[str, Any]) -> None:
        for row in asked['expect_rev']:
            known = self.rows.get((row['table'], row['key']), {'ver': 0})
            if row['ver'] != (0 if known.get('removed') else known['ver']):
                await exchange.answer(412, JSON_TYPE, b'{"rows":[]}')
                return
        for row in asked['writes']:
            self._write(row['table'], row['key'], row['value'])
        for row in asked['remove']:
            self.remove(row['table'], row['key'])
        await self._reply(exchange, {})

    async def _get(self, exchange: Exchange, asked: dict[str, str]) -> None:
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == asked['table'] and not row.get('removed') and key >= asked.get('from', '')
        ]
        limit = int(asked.get('limit', 500))
        await self._reply(exchange, {'rows': rows[:limit], 'more_pages': len(rows) > limit})

    async def _feed(self, exchange: Exchange, asked: dict[str, str]) -> None:
        after = int(asked['after'])
        if after < self.forgotten:
            await exchange.answer(410, [])
            return
        with anyio.move_on_after(int(asked['wait_ms']) / 1000):
            while not self._since(asked['table'], after):
                await self._changed.wait()
        await self._reply(exchange, {'rows': self._since(asked['table'], after)})

    async def _reply(self, exchange: Exchange, document: dict[str, Any]) -> None:
        whole = {**document, 'ver': self.version, 'now': '1ms'}
        await exchange.answer(200, JSON_TYPE, json.dumps(whole).encode())

    def _since(self, table: str, after: int) -> list[dict[str, Any]]:
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
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class StoreDoor(Handler):
    """The store as one instance meets it: it may be refused alone."""

    def __init__(self, *, store: StoreStandin) -> None:
        self._store = store
        self._waiting: set[anyio.CancelScope] = set()
        self.refusing = False
        self.address = ''

    def limits(self) -> CallerLimits:
        return self._store.limits()

    def repeatable(self, exchange: Exchange) -> bool:
        return True

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        await _serve(self, task_status)

    async def handle(self, exchange: Exchange) -> None:
        if self.refusing:
            await exchange.answer(503, [])
            return
        with anyio.CancelScope() as waiting:
            self._waiting.add(waiting)
            await self._store.handle(exchange)
        self._waiting.discard(waiting)
        if waiting.cancelled_caught:
            await exchange.answer(503, [])

    def refuse(self) -> None:
        """Refuse from now on, the polls that wait too."""
        self.refusing = True
        for waiting in self._waiting:
            waiting.cancel()


async def _serve(
    handler: StoreStandin | StoreDoor, task_status: anyio.abc.TaskStatus[None]
) -> None:
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=0)
    handler.address = f'127.0.0.1:{listener.extra(SocketAttribute.local_port)}'
    task_status.started()

    async def one(stream: SocketStream) -> None:
        await CallerConnection(stream=stream, handler=handler, clock=anyio.current_time).run()

    await listener.serve(one)


def config(version: int, *, service: str = 'desk', timeout: str = '1500ms') -> dict[str, Any]:
    """A configuration with one route of each kind."""

    def one_route(name: str, kind: str) -> dict[str, Any]:
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

    def one_service(name: str) -> dict[str, Any]:
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
            one_route('files', 'idempotent'),
            one_route('notices', 'non_idempotent'),
            one_service('desk'),
            one_service('other'),
            {'resource_type': 'limits', 'metadata': {}, 'spec': limits},
        ],
    }


def endpoint_row(
    address: str,
    *,
    state: str = 'ready',
    zone: str = 'ank-a',
    service: str = 'desk',
    slots: int = 4,
) -> dict[str, Any]:
    """What an endpoint's row says."""
    return {
        'address': address,
        'info': {'service': service, 'version': 'v1', 'zone': zone, 'slots': slots},
        'status': {'state': state, 'seq': 1, 'cold_left': '0ms'},
    }


SETTINGS = """
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


class EntryProcessHandle:
    """A real entry process, its addresses and what it logged."""

    def __init__(self, *, number: int, store: str, work_dir: Path, seeds: str = '') -> None:
        self.host = f'127.0.9.{number}'
        ports = _free_ports(self.host)
        self.front, self.ready, self.directory, self.metrics = (
            f'{self.host}:{port}' for port in ports
        )
        self.settings = work_dir / f'entry-{number}.ini'
        self.settings.write_text(
            SETTINGS.format(
                name=f'e{number}', host=self.host, ports=ports, store=store, seeds=seeds
            )
        )
        self.log_path = work_dir / f'entry-{number}.log'
        self._log = self.log_path.open('wb')
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'plantainloft_platform'],
            env={**os.environ, 'PLANTAINLOFT_CONFIG': str(self.settings)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._process.send_signal(number)

    def blocks(self, number: int) -> bool:
        """Return whether the process holds this signal back just now."""
        assert self._process is not None
        status = Path(f'/proc/{self._process.pid}/status').read_text()
        blocked = next(line for line in status.splitlines() if line.startswith('SigBlk:'))
        return bool(int(blocked.split()[1], 16) & (1 << (number - 1)))

    async def ended(self) -> int:
        assert self._process is not None
        return await anyio.to_thread.run_sync(self._process.wait, abandon_on_cancel=True)

    def kill(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self._log.close()

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.log_path.read_text().splitlines()]

    async def until_ready(self) -> None:
        await until(lambda: self.status_of(self.ready, '/v1/ready'), 200)

    async def status_of(self, address: str, path: str) -> int:
        answer = await call(address, path)
        return int(answer.split(b' ', 2)[1]) if answer else 0


def _free_ports(host: str) -> list[int]:
    sockets = [socket.socket() for _ in range(4)]
    for one in sockets:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def call(address: str, path: str, *, host: str = 'desk.example', more: str = '') -> bytes:
    """GET ``path``; return the raw answer, or nothing without one."""
    name, _, port = address.partition(':')
    got = b''
    try:
        with anyio.move_on_after(5):
            async with await anyio.connect_tcp(name, int(port)) as stream:
                head = f'GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n{more}\r\n'
                await stream.send(head.encode())
                while True:
                    got += await stream.receive()
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        return got
    return got


async def until(probe: Any, wanted: Any, *, within_s: float = 20.0) -> None:
    """Wait until ``await probe()`` returns ``wanted``."""
    with anyio.fail_after(within_s):
        while await probe() != wanted:
            await anyio.sleep(0.05)


@asynccontextmanager
async def running_store() -> AsyncIterator[tuple[StoreStandin, TaskGroup]]:
    store = StoreStandin()
    async with anyio.create_task_group() as tasks:
        await tasks.start(lambda *, task_status: store.serve(task_status=task_status))
        yield store, tasks
        tasks.cancel_scope.cancel()


class EntryDeployment(NamedTuple):
    """A store, two backends and the entry processes on them."""

    store: StoreStandin
    doors: list[StoreDoor]
    endpoints: list[RawEndpoint]
    entries: list[EntryProcessHandle]


async def answer_all(talk: Conversation) -> None:
    while True:
        await talk.request()
        await talk.say(SIGNED)


async def served_by(deployment: EntryDeployment, entry: EntryProcessHandle) -> tuple[int, ...]:
    """Return which backends a request reaches."""
    before = [len(endpoint.requests) for endpoint in deployment.endpoints]
    await call(entry.front, '/files/1', more='X-Plantainloft-Request-Id: r\r\n')
    after = [len(endpoint.requests) for endpoint in deployment.endpoints]
    return tuple(late - early for early, late in zip(before, after, strict=True))


async def named(entry: EntryProcessHandle) -> int:
    answer = await call(entry.directory, '/v1/resolve?name=x&region=ankara&zone=ank-a')
    body = answer.partition(b'\r\n\r\n')[2]
    return len(json.loads(body)['addresses']) if body else 0


async def followed(entry: EntryProcessHandle) -> bool:
    metrics = await call(entry.metrics, '/metrics')
    return b'plantainloft_store_followed{table="declarations"} 1' in metrics
