"""Some callers leave before they are answered; requests of others are lost."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
from standins import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Caller,
    Endpoint,
    Fleet,
    Store,
    configuration,
    head_of,
    new_id,
    response,
    route,
    run_case,
    trouble,
)

ENDPOINTS, SLOTS = 12, 6
# How long an endpoint works on a request.
WORK_S = (0.02, 0.15)
CALLERS_PER_ENTRY = 50
# give_up: the share of the callers that leave, and within which time; half of the latency
# objective would be 250 ms.
SHARE, LEAVE_WITHIN_S = 0.2, 0.15
# Requests that a caller sends before the first of them has been answered, and its pause.
AT_ONCE, PAUSE_S = 5, (0.0, 1.2)
OBJECTS = 60
TIMEOUT_S, DEADLINE_MS = 1.2, 2500
TRAFFIC_S = 95.0


async def main(record):
    store = Store(record)
    await store.start()
    run_at = {}

    async def work(endpoint, request, reader, writer):
        """Answer a request, or drop it when its connection is closed."""
        run_at[request.id] = endpoint
        record(f'{request.id}: runs at {endpoint.id}')
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait([closed], timeout=random.uniform(*WORK_S))
        if closed.done():
            return False
        closed.cancel()
        await asyncio.wait([closed])
        writer.write(response(request, b'ok'))
        return True

    zones = ['ist-a', 'ist-b']
    for number in range(ENDPOINTS):
        endpoint = Endpoint(
            store, record, work, service='desk', zone=zones[number % 2], slots=SLOTS
        )
        await endpoint.start()
    files = route('files', 'desk', timeout=f'{TIMEOUT_S:g}s')
    store.put('op', 'config', configuration(7, [files], ['desk']))
    fleet = Fleet(store, record, zones=zones)
    answers = Counter()
    lost = []

    async def send(caller, count):
        if caller.writer is None:
            await caller.connect()
        ids = [new_id() for _ in range(count)]
        for request_id in ids:
            key = random.randrange(OBJECTS)
            caller.writer.write(
                head_of('GET', f'/files/{key}', request_id, key=key, deadline_ms=DEADLINE_MS)
            )
        return ids

    async def call(entry):
        """Send requests for ever, on a connection that is kept."""
        caller = Caller(entry.front)
        while True:
            await asyncio.sleep(random.uniform(*PAUSE_S))
            began = time.monotonic()
            try:
                ids = await send(caller, AT_ONCE)
                while ids:
                    async with asyncio.timeout(DEADLINE_MS / 1000):
                        status, headers, _ = await caller.read_response()
                    answers[status] += 1
                    ids.pop(0)
                    if headers.get('connection', '').lower() == 'close':
                        caller.close()
                        break
            except TimeoutError:
                answers['no answer by the deadline, or no connection'] += 1
                caller.close()
            except (OSError, asyncio.IncompleteReadError):
                closed(entry, ids, time.monotonic() - began)
                caller.close()

    def closed(entry, ids, after_s):
        answers['connection closed'] += 1
        record(f'{entry.name}: closed a connection {after_s:.2f} s after {", ".join(ids)}')
        if after_s >= TIMEOUT_S:
            return
        for request_id in ids:
            if request_id in run_at:
                lost.append(request_id)
                record(f'{request_id}: LOST, it had been passed on to {run_at[request_id].id}')

    async def call_and_leave(entry):
        """Send requests for ever, and leave before some of them are answered."""
        while True:
            await asyncio.sleep(random.uniform(*PAUSE_S))
            caller = Caller(entry.front)
            try:
                await send(caller, AT_ONCE)
            except (OSError, TimeoutError):
                continue
            await asyncio.sleep(random.uniform(0.0, LEAVE_WITHIN_S))
            answers['left'] += AT_ONCE
            caller.close()

    tasks = []
    try:
        await fleet.start()
        await asyncio.sleep(5)
        leaving = int(SHARE * CALLERS_PER_ENTRY) if trouble() else 0
        for entry in fleet.entries:
            for number in range(CALLERS_PER_ENTRY):
                habit = call_and_leave if number < leaving else call
                tasks.append(asyncio.create_task(habit(entry)))
        await asyncio.sleep(TRAFFIC_S)
        defects = Counter(
            entry.name
            for entry in fleet.entries
            for line in entry.log_lines()
            if line.get('kind') == 'defect'
        )
        record.say(f'answers: {dict(answers)}; lines of kind defect: {dict(defects)}')
        record.say(
            f'{len(lost)} requests of callers that stayed had been passed on to a sound endpoint, '
            'and their connection was closed without an answer to them'
        )
        if not answers[200]:
            return NOT_RUN
        return BROKEN if len(lost) > 3 else HELD
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


run_case(main, FOLDER)
