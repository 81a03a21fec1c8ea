"""All instances are killed at the same moment while the endpoints of a service are replaced."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
from standins import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    ZONES,
    Caller,
    Endpoint,
    Fleet,
    Store,
    configuration,
    new_id,
    response,
    route,
    run_case,
    trouble,
)

# Endpoints of the service under test, and of all other services. A listing of the table of
# endpoints takes three pages of 500 rows, and a fourth
# one for those that drain.
DESK_ENDPOINTS = 60
OTHER_ENDPOINTS = 1440
OTHER_SERVICES = 20
# A release: the share of the endpoints that is replaced, so many at a time, each gap. The new
# ones start first. One release follows the other.
SHARE, AT_ONCE, GAP_S = 0.45, 6, 1.0
# How long an endpoint goes on serving once its draining is acknowledged: the bound `drain`
# and some seconds more.
SERVES_ON_S = 9.0
DRAIN_S = 2.5
CONTACT_S = 4.0
# From an instance to the store, which stands in istanbul, and back: 1.4 ms one way between
# zones, 55 ms between regions.
ROUND_TRIP_S = {'istanbul': 0.0028, 'ankara': 0.11, 'izmir': 0.11}
REQUESTS_PER_S = 240
CALLERS_PER_ENTRY = 10
KEYS = 400
TRAFFIC_AT_S, END_S = 5.0, 95.0
# herd_kill of all instances, which start again after a short delay; then the next one.
RESTART_S, KILL_EVERY_S = 0.5, (11.0, 13.0)


class Machine:
    """What the checks need to know of an instance."""

    def __init__(self, entry):
        self.entry = entry
        self.started_at = time.monotonic()
        self.is_stopping = False

    def was_in_touch(self, since):
        """Return whether it ran for the whole `contact` before ``since``, and runs still."""
        return not self.is_stopping and self.started_at + CONTACT_S <= since


class Sent(NamedTuple):
    """A request as its caller sent it."""

    machine: Machine
    started_at: float
    at: float


async def main(record):
    store = Store(record)
    await store.start()
    zones = list(ZONES)
    acknowledged_at = {}
    sent_by_id = {}
    runs = []
    answers = Counter()
    tasks = set()

    def soon(coroutine):
        task = asyncio.create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def work(endpoint, request, reader, writer):
        runs.append((request.arrived_at, request.id, endpoint))
        record(f'{request.id}: runs at {endpoint.id}')
        await asyncio.sleep(0.02)
        is_leaving = endpoint.state == 'draining'
        headers = 'Connection: close\r\n' if is_leaving else ''
        writer.write(response(request, b'ok', headers=headers))
        return not is_leaving

    async def new_endpoint(service, zone):
        endpoint = Endpoint(store, record, work, service=service, zone=zone)
        await endpoint.start()
        return endpoint

    desk = [await new_endpoint('desk', zones[number % 6]) for number in range(DESK_ENDPOINTS)]
    for number in range(OTHER_ENDPOINTS):
        await new_endpoint(f'other-{number % OTHER_SERVICES}', zones[number % 6])
    services = ['desk', *(f'other-{number}' for number in range(OTHER_SERVICES))]
    store.put('op', 'config', configuration(7, [route(name, name) for name in services], services))
    fleet = Fleet(store, record, zones=zones)
    for entry in fleet.entries:
        entry.store_address = await store.open_port(
            round_trip_s=ROUND_TRIP_S[ZONES[entry.zone]], name=entry.name
        )

    async def leave(endpoint):
        endpoint.state = 'draining'
        endpoint.register()
        acknowledged_at[endpoint] = time.monotonic()
        record(f'{endpoint.id}: draining acknowledged as version {store.version}')
        await asyncio.sleep(SERVES_ON_S)
        store.remove('servers', endpoint.id)
        endpoint.stop()

    async def release():
        while True:
            replaced = random.sample(desk, int(SHARE * DESK_ENDPOINTS))
            for start in range(0, len(replaced), AT_ONCE):
                for old in replaced[start : start + AT_ONCE]:
                    soon(replace(old))
                await asyncio.sleep(GAP_S)
            # The last ones are replaced within the gap.
            await asyncio.sleep(GAP_S)

    async def replace(old):
        """Start a new endpoint at some moment of the gap, and let the old one leave."""
        await asyncio.sleep(random.uniform(0.0, GAP_S))
        desk.append(await new_endpoint('desk', old.zone))
        desk.remove(old)
        await leave(old)

    async def call(machine):
        caller = Caller(machine.entry.front)
        pause_s = len(fleet.entries) * CALLERS_PER_ENTRY / REQUESTS_PER_S
        while True:
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
            if machine.is_stopping:
                caller.close()
                continue
            request_id, key = new_id(), random.randrange(KEYS)
            sent_by_id[request_id] = Sent(machine, machine.started_at, time.monotonic())
            try:
                status, _, _ = await caller.get(f'/desk/{key}', request_id=request_id, key=key)
            except (OSError, asyncio.IncompleteReadError) as exc:
                status = type(exc).__name__
            answers[status] += 1
            record(f'{request_id}: sent to {machine.entry.name}, answered {status}')

    async def kill_all(machines):
        while True:
            for machine in machines:
                machine.is_stopping = True
                machine.entry.kill()
            await asyncio.gather(*(machine.entry.process.wait() for machine in machines))
            await asyncio.sleep(RESTART_S)
            await asyncio.gather(*(start_again(machine) for machine in machines))
            await asyncio.sleep(random.uniform(*KILL_EVERY_S))

    async def start_again(machine):
        await machine.entry.start()
        machine.started_at = time.monotonic()
        await machine.entry.wait_ready()
        machine.is_stopping = False

    late = Counter()

    def check(arrived_at, request_id, endpoint):
        drained_at = acknowledged_at.get(endpoint)
        if drained_at is None or arrived_at <= drained_at + DRAIN_S:
            return
        sent = sent_by_id[request_id]
        machine = sent.machine
        in_touch = machine.started_at == sent.started_at and machine.was_in_touch(sent.at)
        record(
            f'{request_id}: {machine.entry.name} (up for {sent.at - sent.started_at:.2f} s) passed '
            f'it to {endpoint.id} {arrived_at - drained_at:.2f} s after its draining was '
            f'acknowledged{"" if in_touch else "; not in touch"}'
        )
        late[machine.entry.name] += in_touch

    try:
        began = time.monotonic()
        await fleet.start()
        machines = [Machine(entry) for entry in fleet.entries]
        await asyncio.sleep(TRAFFIC_AT_S)
        for machine in machines:
            for _ in range(CALLERS_PER_ENTRY):
                soon(call(machine))
        soon(release())
        if trouble():
            soon(kill_all(machines))
        checked = 0
        while time.monotonic() - began < END_S:
            await asyncio.sleep(0.2)
            while checked < len(runs):
                check(*runs[checked])
                checked += 1
        by_machine = {name: count for name, count in late.items() if count}
        record.say(f'{len(runs)} requests ran; answers: {dict(answers)}')
        record.say(
            f'{late.total()} reached an endpoint later than {DRAIN_S} s after its draining was '
            f'acknowledged, passed on by machines in touch: {by_machine}'
        )
        if not answers[200]:
            return NOT_RUN
        return BROKEN if late.total() else HELD
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


run_case(main, FOLDER)
