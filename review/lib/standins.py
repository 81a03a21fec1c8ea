"""Stand-ins for the platform's store, for backends and for clients, and entry processes.

Everything runs on loopback addresses and uses Python's standard library only. The entry
processes are the project's own, started with the command of the deploy file and with
settings that are rendered from its template.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from urllib.parse import unquote_plus

ROOT = Path(__file__).resolve().parents[2]
PORTS = {'ready': 8140, 'directory': 8143, 'front': 8144, 'control': 8146}
METRICS_PORT = 9464
PEER_PORTS = (7660, 7675)
# A process that exits is restarted after a short delay.
RESTART_DELAY_S = 0.5
BOUNDS = {
    'grace': '6s',
    'retry_budget_ratio': 0.2,
    'budget_extra': 64,
    'budget_window': '10s',
    'cold_over': 1.5,
    'cold_slack': 5,
    'max_shift': 0.15,
}
LIMITS = {'cpu_share': 0.86, 'cores': 1, 'memory_mb': 300, 'max_fds': 4100, 'link_mbps': 1000.0}


class Record:
    """The file ``record.txt``: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def write(self, text):
        self._file.write(f'{time.monotonic() - self._started_at:8.3f} {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


# --- settings ---


def _lookup(path, scopes):
    if path == '.':
        return scopes[-1][0]
    for value, _, _ in reversed(scopes):
        found = value
        for part in path.split('.'):
            if isinstance(found, dict) and part in found:
                found = found[part]
            elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                found = found[int(part)]
            else:
                found = None
                break
        if found is not None:
            return found
    return None


def _text(value):
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, list):
        return ','.join(map(str, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, scopes):
    """Fill in a template as DEPLOY.md describes: values, sections, ``.``, ``@`` and ``,``."""
    pattern = re.compile(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}|\{\{([^}]+)\}\}', re.DOTALL)

    def replace(match):
        kind, name, body, plain = match.groups()
        if plain is not None:
            if plain == '@':
                return str(scopes[-1][1])
            if plain == ',':
                return '' if scopes[-1][2] else ','
            return _text(_lookup(plain, scopes))
        value = _lookup(name, scopes)
        if kind == '^':
            return '' if value else render(body, scopes)
        if value is None or value is False:
            return ''
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            entries = [('', value)]
        last = len(entries) - 1
        return ''.join(
            render(body, [*scopes, (entry, key, index == last)])
            for index, (key, entry) in enumerate(entries)
        )

    return pattern.sub(replace, template)


# --- HTTP/1.1 ---


async def read_message(reader):
    """Return the first line, the headers (lower-case names) and the body; ``None`` at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def message(status, headers=(), body=b''):
    lines = [f'HTTP/1.1 {status} X', *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def close(writer):
    writer.close()
    with contextlib.suppress(ConnectionError, OSError):
        await writer.wait_closed()


# --- the platform's store ---


class Store:
    """Rows in tables, with the calls of the platform's page that the system uses."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self._waiters = set()
        self._server = None
        self.address = ''

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = '{}:{}'.format(*self._server.sockets[0].getsockname()[:2])

    def put(self, table, key, value):
        """Write a row; ``value`` is bytes, or a document that is stored as JSON."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply([(table, '', key, base64.b64encode(content).decode())])

    def remove(self, table, key):
        self._apply([(table, '', key, None)])

    def _apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            row = {'table': table, 'part': part, 'key': key, 'ver': self.version}
            row.update({'removed': True} if value is None else {'value': value})
            self.rows[table, part, key] = row
        for waiter in self._waiters:
            waiter.set()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                line, _, body = request
                status, document = await self._answer(line, body)
                encoded = json.dumps(
                    {**document, 'ver': self.version, 'now': f'{int(time.monotonic() * 1000)}ms'}
                ).encode()
                writer.write(message(status, [('Content-Type', 'application/json')], encoded))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, line, body):
        _, target, _ = line.split(' ')
        path, _, query = target.partition('?')
        parameters = dict(part.split('=', 1) for part in query.split('&') if part)
        if path == '/v1/rows-get':
            return 200, self._get(parameters)
        if path == '/v1/rows-feed':
            return 200, await self._feed(parameters)
        if path == '/v1/rows-tx':
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, parameters):
        first, last = unquote_plus(parameters.get('from', '')), unquote_plus(parameters.get('target', ''))
        found = sorted(
            (
                row
                for row in self.rows.values()
                if row['table'] == parameters['table']
                and row['part'] == parameters.get('part', '')
                and 'value' in row
                and row['key'] >= first
                and (not last or row['key'] < last)
            ),
            key=lambda row: row['key'].encode(),
        )
        limit = min(500, int(parameters.get('limit', 500)))
        return {'rows': found[:limit], 'more_pages': len(found) > limit}

    async def _feed(self, parameters):
        after = int(parameters['after'])
        until = time.monotonic() + int(parameters.get('wait_ms', 0)) / 1000
        while True:
            rows = [
                row
                for row in self.rows.values()
                if row['table'] == parameters['table'] and row['ver'] > after
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return {'rows': sorted(rows, key=lambda row: row['ver'])}
            waiter = asyncio.Event()
            self._waiters.add(waiter)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(waiter.wait(), left_s)
            self._waiters.discard(waiter)

    def _transact(self, transaction):
        for row in transaction.get('expect_rev', ()):
            known = self.rows.get((row['table'], row['part'], row['key']))
            version = known['ver'] if known and 'value' in known else 0
            if version != row['ver']:
                return 412, {'rows': []}
        writes = [
            (row['table'], row['part'], row['key'], row['value'])
            for row in transaction.get('writes', ())
        ]
        removals = [
            (row['table'], row['part'], row['key'], None) for row in transaction.get('remove', ())
        ]
        if any(table in ('op', 'servers') for table, *_ in writes + removals):
            return 403, {}
        self._apply(writes + removals)
        return 200, {}


# --- backends ---


class Backend:
    """Runs one request at a time on each connection, and refuses those for another id."""

    def __init__(self, store, *, id, service, zone, slots=4, work_s=0.05):
        self.store, self.id, self.service, self.zone = store, id, service, zone
        self.slots, self.work_s = slots, work_s
        self.runs = []
        self.running = self.waiting = 0
        self.address = ''
        self._slots = asyncio.Semaphore(slots)
        self._server = None

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = '{}:{}'.format(*self._server.sockets[0].getsockname()[:2])
        self.store.put('servers', self.id, self.document())

    def document(self, state='ready'):
        info = {'service': self.service, 'version': 'v1', 'zone': self.zone, 'slots': self.slots}
        status = {'state': state, 'seq': 1, 'cold_left': '0ms'}
        return {'address': self.address, 'info': info, 'status': status}

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(*request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, line, headers, body):
        request_id = headers.get('x-plantainloft-request-id', '')
        common = [
            ('X-Plantainloft-Instance-Id', self.id),
            ('X-Plantainloft-Server-Load', f'{self.running},{self.waiting},{self.slots}'),
        ]
        if line.split(' ')[1] == '/health':
            return message(200, common)
        if request_id:
            common.append(('X-Plantainloft-Request-Id', request_id))
        if headers.get('x-plantainloft-target-instance', self.id) != self.id:
            return message(421, common)
        if self.waiting >= 3 * self.slots:
            return message(503, [*common, ('X-Plantainloft-Not-Executed', '1')])
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            self.runs.append((time.monotonic(), request_id, headers))
            await asyncio.sleep(self.work_s)
            self.running -= 1
        signed = [*common, ('X-Plantainloft-Response-Signature', f'{self.id}.{request_id}')]
        return message(200, signed, b'done ' + request_id.encode())


# --- entry processes ---


class Entry:
    """One entry process on an address of its own, as the platform starts it."""

    def __init__(self, *, name, zone, host, folder, bounds=BOUNDS):
        self.name, self.zone, self.host = name, zone, host
        self._bounds = bounds
        self._folder = Path(folder)
        self._process = None
        self._log = (self._folder / f'{name}.log').open('ab')
        # Times at which the process ended without a signal of ours, and its exit statuses.
        self.own_ends = []
        self._watcher = None
        self._expected_end = False

    def address(self, role):
        return f'{self.host}:{PORTS[role]}'

    def write_settings(self, *, store, zones, seeds):
        role = _role()
        fields = {
            'node': self.name,
            'zone': self.zone,
            'region': zones[self.zone],
            'ip': self.host,
            'limits': LIMITS,
            'port_range': list(PEER_PORTS),
            'seeds': seeds,
            'listen': {name: self.address(name) for name in PORTS},
            'zones': zones,
            'platform': {'address': store.address, 'form': 'table'},
            'bounds': self._bounds,
        }
        template = (ROOT / role['template']).read_text(encoding='utf-8')
        self._settings = self._folder / f'{self.name}.ini'
        self._settings.write_text(render(template, [(fields, '', True)]), encoding='utf-8')

    def start(self):
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PLANTAINLOFT_CONFIG'] = str(self._settings)
        self._expected_end = False
        self._process = subprocess.Popen(
            shlex.split(_role()['run']),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        """Send a signal that is expected to end the process."""
        self._expected_end = True
        if self._process.poll() is None:
            self._process.send_signal(number)

    def is_running(self):
        return self._process is not None and self._process.poll() is None

    async def keep_running(self):
        """Restart the process whenever it ends by itself, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if self._expected_end or self.is_running():
                continue
            self.own_ends.append((time.monotonic(), self._process.returncode))
            await asyncio.sleep(RESTART_DELAY_S)
            self.start()

    def stop(self):
        self._expected_end = True
        if self.is_running():
            self._process.kill()
        if self._process is not None:
            self._process.wait()
        self._log.close()

    async def is_ready(self):
        answer = await call(self.address('ready'), 'GET', '/v1/ready', timeout_s=1.0)
        return answer is not None and answer[0] == 200


def _role():
    with (ROOT / 'deploy' / 'system.toml').open('rb') as deploy_file:
        return tomllib.load(deploy_file)['roles']['entry']


async def wait_until_ready(entries, timeout_s=20.0):
    until = time.monotonic() + timeout_s
    while not all([await entry.is_ready() for entry in entries]):
        if time.monotonic() > until:
            raise TimeoutError('the entry processes are not ready')
        await asyncio.sleep(0.1)


# --- clients ---


async def call(address, method, target, *, headers=(), body=b'', timeout_s=3.0):
    """Send one request on a new connection; return status, headers and body, or ``None``."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f'{method} {target} HTTP/1.1', *(f'{name}: {text}' for name, text in headers)]
            if not any(name.lower() == 'host' for name, _ in headers):
                lines.append(f'Host: {address}')
            if body:
                lines.append(f'Content-Length: {len(body)}')
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body)
            answer = await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            await close(writer)
    if answer is None:
        return None
    return int(answer[0].split(' ')[1]), answer[1], answer[2]


def new_id():
    return f'{random.getrandbits(64):016x}'


def network_prefix():
    """Return the first three numbers of a loopback network whose ports are free."""
    for _ in range(50):
        prefix = f'127.{random.randint(64, 250)}.{random.randint(1, 250)}'
        if all(_is_free(f'{prefix}.{n}', port) for n in (1, 2) for port in PORTS.values()):
            return prefix
    raise OSError('no free loopback network')


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def route(name, prefix, *, kind, service, host, timeout='1200ms', priority=1):
    spec = {
        'host': host,
        'prefix': prefix,
        'kind': kind,
        'timeout': timeout,
        'target_latency': '400ms',
        'priority': priority,
        'service': service,
        'max_attempts': 2,
        'sticky': True,
        'allowed_regions': [],
    }
    return {'resource_type': 'routes', 'metadata': {'name': name}, 'spec': spec}


def service(name):
    spec = {
        'health_path': '/health',
        'max_conns': 390,
        'protocol': 'h1',
        'tls': False,
        'warmup': '3s',
        'cold_per_s': 11.0,
    }
    return {'resource_type': 'services', 'metadata': {'name': name}, 'spec': spec}


def limits():
    spec = {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout': '3000ms',
        'idle_timeout': '15000ms',
    }
    return {'resource_type': 'limits', 'metadata': {}, 'spec': spec}


# --- running a case ---


def run_case(play, folder):
    """Run ``play`` with a record in ``folder`` and exit with the status that it returns.

    The status is 2 if the case could not run. SIGTERM cancels it, so that the processes
    that it has started are ended.
    """
    record = Record(folder)
    try:
        status = asyncio.run(_cancel_on_sigterm(play(record)))
    except (OSError, TimeoutError, asyncio.CancelledError) as exc:
        record.write(f'could not run: {exc!r}')
        status = 2
    finally:
        record.close()
    sys.exit(status)


async def _cancel_on_sigterm(case):
    task = asyncio.ensure_future(case)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


SIGTERM, SIGKILL = signal.SIGTERM, signal.SIGKILL
