"""Endpoints fall silent while they send large answers; callers wait for the route's timeout."""

import asyncio
import os
import random
import socket
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

ENDPOINTS = 28
# srv_crash: share 0.14 of a service's endpoints, for 4.5 s, dark; several times.
SHARE, DARK_S, CRASHES, FIRST_AT_S, EVERY_S = 0.14, 4.5, 6, 5.0, 8.0
# An answer takes 0.5 s, as long as its body is sent.
ANSWER_BYTES, PIECES, PIECE_PAUSE_S = 360_000, 18, 0.028
TIMEOUT_S, DEADLINE_MS = 1.2, 3000
# The rule: no final answer this long after the route's timeout.
LATE_S = 0.5
REQUESTS_PER_S = 110
END_S = FIRST_AT_S + EVERY_S * CRASHES


async def main(record):
    store = Store(record)
    await store.start()

    async def work(endpoint, request, reader, writer):
        record(f'{request.id}: runs at {endpoint.id}')
        body = b'x' * ANSWER_BYTES
        size = ANSWER_BYTES // PIECES
        await endpoint.awake()
        writer.write(response(request, b'', length=len(body)))
        for start in range(0, len(body), size):
            await asyncio.sleep(PIECE_PAUSE_S)
            await endpoint.awake()
            writer.write(body[start : start + size])
            await writer.drain()

    class DarkEndpoint(Endpoint):
        """An endpoint that can fall silent: it sends and reads nothing more.

        New connections to it hang: its queue of connections is full.
        """

        is_dark = False
        waits = ()

        async def awake(self):
            if self.is_dark:
                await asyncio.Event().wait()

        def go_dark(self):
            self.is_dark = True
            listener = self._server.sockets[0]
            asyncio.get_running_loop().remove_reader(listener.fileno())
            socket.socket(fileno=os.dup(listener.fileno())).listen(0)
            host, port = listener.getsockname()
            self.waits = [socket.socket() for _ in range(4)]
            for waiting in self.waits:
                waiting.setblocking(False)
                waiting.connect_ex((host, port))

        def stop(self):
            super().stop()
            for waiting in self.waits:
                waiting.close()

    zones = list(ZONES)
    endpoints = [
        DarkEndpoint(store, record, work, service='desk', zone=zones[number % 6])
        for number in range(ENDPOINTS)
    ]
    for endpoint in endpoints:
        await endpoint.start()
    files = route('files', 'desk', kind='download', timeout='1200ms')
    store.put('op', 'config', configuration(7, [files], ['desk']))
    fleet = Fleet(store, record, zones=zones[:3])
    answers = Counter()
    # Requests without a final answer at the route's timeout, and those of them without one
    # ``LATE_S`` later.
    longer, late = [], []
    tasks = set()

    def soon(coroutine):
        task = asyncio.create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def request_once(entry):
        caller = Caller(entry.front)
        request_id, key = new_id(), random.randrange(200)
        try:
            await caller.connect()
        except (OSError, TimeoutError):
            answers['not connected'] += 1
            return
        began = time.monotonic()
        try:
            status, _, _ = await caller.get(
                f'/files/{key}', request_id=request_id, key=key, deadline_ms=DEADLINE_MS
            )
        except TimeoutError:
            status = 'no final answer by the deadline'
        except (OSError, asyncio.IncompleteReadError) as exc:
            status = type(exc).__name__
        took_s = time.monotonic() - began
        caller.close()
        answers[status] += 1
        is_late = took_s > TIMEOUT_S + LATE_S
        record(
            f'{request_id}: sent to {entry.name}, {status} after {took_s:.2f} s'
            f'{", TOO LATE" if is_late else ""}'
        )
        if took_s > TIMEOUT_S:
            longer.append(request_id)
        if is_late:
            late.append(request_id)

    async def send_requests():
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            soon(request_once(random.choice(fleet.entries)))

    async def crash():
        await asyncio.sleep(FIRST_AT_S)
        for _ in range(CRASHES):
            for endpoint in random.sample(endpoints, int(SHARE * ENDPOINTS)):
                endpoint.go_dark()
                record(f'{endpoint.id}: dark, with {endpoint.running} requests')
                soon(restart_later(endpoint))
            await asyncio.sleep(EVERY_S)

    async def restart_later(endpoint):
        await asyncio.sleep(DARK_S)
        # The new process has a new id; connections to the old one are reset.
        store.remove('servers', endpoint.id)
        endpoint.stop()
        endpoints.remove(endpoint)
        new = DarkEndpoint(store, record, work, service='desk', zone=endpoint.zone)
        await new.start()
        endpoints.append(new)

    try:
        await fleet.start()
        await asyncio.sleep(2)
        soon(send_requests())
        if trouble():
            soon(crash())
        await asyncio.sleep(END_S)
        record.say(f'answers: {dict(answers)}')
        record.say(
            f'{len(longer)} requests lasted longer than the timeout of their route, and '
            f'{len(late)} of them had no final answer {LATE_S} s after it'
        )
        if not answers[200]:
            return NOT_RUN
        return BROKEN if len(late) >= 8 and len(late) * 4 > len(longer) else HELD
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


run_case(main, FOLDER)
