"""Another writer's entry of a backend ends all entry processes, again and again.

Three entry processes serve steady traffic. After five seconds a row appears among the
backends whose number of slots is no number of slots. Seen are the clients' answers, the
backends' runs, and the processes that end by themselves.
"""

import asyncio
import json
import os
import tempfile
import time
from collections import Counter

from standins import (
    Backend,
    Entry,
    Store,
    call,
    limits,
    network_prefix,
    new_id,
    route,
    run_case,
    service,
    wait_until_ready,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = {'euw-a': 'eu-west', 'use-a': 'us-east', 'aps-a': 'ap-south'}
HOST = 'desk.example'
LEAD_S = 8.0
BEFORE_S = 5.0
AFTER_S = 20.0
REQUESTS_PER_S = 30
# The rule counts processes that end by themselves three times, on a tenth of the machines
# in use and two at least.
OWN_ENDS = 3
MACHINES = 2


def foreign_entry(address):
    """Return an entry like those of the backends, but with slots of another type."""
    document = {
        'address': address,
        'info': {'service': 'desk', 'version': 'v1', 'zone': 'euw-a', 'slots': 'SLOTS'},
        'status': {'state': 'ready', 'seq': 1, 'cold_left': '0ms'},
    }
    return json.dumps(document).replace('"SLOTS"', '9' * 400).encode()


async def client(entries, record, outcomes, stop):
    number = 0
    while not stop.is_set():
        number += 1
        entry = entries[number % len(entries)]
        asyncio.ensure_future(send(entry, number, record, outcomes))
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def send(entry, number, record, outcomes):
    request_id = new_id()
    headers = [
        ('Host', HOST),
        ('X-Plantainloft-Request-Id', request_id),
        ('X-Plantainloft-Deadline-Ms', '1500'),
        ('Cookie', f'X-Plantainloft-Affinity-Key={number % 40}'),
    ]
    sent_at = time.monotonic()
    answer = await call(entry.address('front'), 'GET', '/files/1', headers=headers, timeout_s=1.5)
    status = 'no answer' if answer is None else answer[0]
    outcomes.append((sent_at, status))
    record.write(f'{request_id} to {entry.name}: {status}')


async def play(record):
    prefix = network_prefix()
    store = Store()
    await store.start(f'{prefix}.200')
    document = {
        'version': 3,
        'resources': [
            route('files', '/files/', kind='idempotent', service='desk', host=HOST),
            service('desk'),
            limits(),
        ],
    }
    store.put('op', 'config', document)
    backends = [
        Backend(store, id=f'i-{zone}-{n}', service='desk', zone=zone)
        for zone in ZONES
        for n in (1, 2)
    ]
    for backend in backends:
        await backend.start(f'{prefix}.201')
    with tempfile.TemporaryDirectory() as folder:
        entries = [
            Entry(name=f'front-{zone}-1', zone=zone, host=f'{prefix}.{n}', folder=folder)
            for n, zone in enumerate(ZONES, start=1)
        ]
        seeds = [entry.address('control') for entry in entries]
        watchers = []
        try:
            for entry in entries:
                entry.write_settings(store=store, zones=ZONES, seeds=seeds)
                entry.start()
            watchers = [asyncio.ensure_future(entry.keep_running()) for entry in entries]
            await wait_until_ready(entries)
            await asyncio.sleep(LEAD_S)
            outcomes, stop = [], asyncio.Event()
            clients = asyncio.ensure_future(client(entries, record, outcomes, stop))
            await asyncio.sleep(BEFORE_S)
            changed_at = time.monotonic()
            if TROUBLE:
                record.write('another writer adds the entry servers/i-foreign')
                store.put('servers', 'i-foreign', foreign_entry(f'{prefix}.201:9'))
            await asyncio.sleep(AFTER_S)
            stop.set()
            await clients
            await asyncio.sleep(2.0)
            return report(record, entries, backends, outcomes, changed_at)
        finally:
            for watcher in watchers:
                watcher.cancel()
            for entry in entries:
                entry.stop()


def report(record, entries, backends, outcomes, changed_at):
    before = Counter(status for at, status in outcomes if at < changed_at)
    after = Counter(status for at, status in outcomes if at >= changed_at + 1.0)
    record.write(f'answers before: {dict(before)}')
    record.write(f'answers from 1 s after: {dict(after)}')
    record.write(f'runs: { {one.id: len(one.runs) for one in backends} }')
    for entry in entries:
        ends = [f'{at - changed_at:+.2f} s (status {status})' for at, status in entry.own_ends]
        record.write(f'{entry.name} ended by itself {len(ends)} times: {", ".join(ends)}')
    if not before[200]:
        record.write('nothing was served before')
        return 2
    ended = [entry for entry in entries if len(entry.own_ends) >= OWN_ENDS]
    is_broken = len(ended) >= MACHINES
    record.write(f'Fault: {"broken" if is_broken else "held"}')
    return int(is_broken)


if __name__ == '__main__':
    run_case(play, os.path.dirname(os.path.abspath(__file__)))
