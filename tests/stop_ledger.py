"""Requests around stops of entry processes, as callers and endpoints see them."""

import itertools
import random
import re
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream, TaskGroup
from entry_fixtures import ScriptedConnection

__all__ = ['Caller', 'CallerHabit', 'Request', 'Stop', 'StopLedger', 'Work']

CONNECTION_ENDS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
PIECES = 6
READ_BYTES = 4096
# A process that was sent SIGTERM may end this long after its grace period.
STOP_SLACK_S = 1.0


class Work(NamedTuple):
    """What endpoints do for a request: seconds of work, then a body of ``body_bytes`` in pieces."""

    seconds: float
    body_bytes: int = 2
    sending_s: float = 0.0


class Stop(NamedTuple):
    """A SIGTERM of an entry process, with its grace period in seconds."""

    entry: str
    at: float
    grace_s: float

    def excuses(self, request: 'Request') -> bool:
        """Whether the grace period is too short for a request that was sent early enough.

        It is also too short for one that was sent before the stop, and whose answer has to wait
        for such a request of its connection.
        """
        if self._is_too_short_for(request):
            return True
        return request.sent_at <= self.at and any(map(self._is_too_short_for, request.behind))

    def _is_too_short_for(self, request: 'Request') -> bool:
        last_sixth_at = self.at + self.grace_s * 5 / 6
        return request.sent_at <= self.at + self.grace_s / 2 and request.works_at(last_sixth_at)


@dataclass(slots=True)
class Run:
    """The time in which an endpoint is at work on a request."""

    began_at: float
    ended_at: float = float('inf')


@dataclass(slots=True, kw_only=True)
class Request:
    """One request of a caller; times are monotonic, ``status`` is 0 without a whole answer."""

    id: str
    entry: str
    sent_at: float
    deadline: float
    idempotent: bool
    # Requests that were open on the connection when this one was sent, in order.
    behind: list['Request'] = field(repr=False)
    runs: list[Run] = field(default_factory=list)
    ended_at: float = float('inf')
    answer_began: bool = False
    status: int = 0

    def works_at(self, moment: float) -> bool:
        """Whether an endpoint is at work at ``moment`` or later."""
        return any(run.ended_at > moment for run in self.runs)


class StopLedger:
    """Counts requests that ended without a whole answer, as callers would complain of them."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.request_by_id: dict[str, Request] = {}
        self.stops: list[Stop] = []
        # What endpoints do for the next request.
        self.draw_work = lambda: Work(seconds=self.rng.uniform(0.05, 0.3))
        self._numbers = itertools.count()

    def record_sent(
        self, entry: str, *, timeout_s: float, idempotent: bool, behind: list[Request]
    ) -> Request:
        """Record a request right before it is sent."""
        now = time.monotonic()
        request = Request(
            id=f'r{next(self._numbers)}',
            entry=entry,
            sent_at=now,
            deadline=now + timeout_s,
            idempotent=idempotent,
            behind=behind,
        )
        self.request_by_id[request.id] = request
        return request

    async def serve(self, connection: ScriptedConnection) -> None:
        """Answer requests as an endpoint, and record which ran."""
        while True:
            raw = await connection.read_request()
            found = re.search(rb'x-plantainloft-request-id: (\S+)', raw, re.IGNORECASE)
            request = self.request_by_id[found[1].decode()] if found else None
            run = Run(began_at=time.monotonic())
            if request is not None:
                request.runs.append(run)
            try:
                await self._answer(connection, self.draw_work())
            finally:
                run.ended_at = time.monotonic()

    async def _answer(self, connection: ScriptedConnection, work: Work) -> None:
        await anyio.sleep(work.seconds)
        await connection.send(
            b'HTTP/1.1 200 OK\r\nX-Plantainloft-Response-Signature: s\r\n'
            b'Content-Length: %d\r\n\r\n' % work.body_bytes
        )
        piece = work.body_bytes // PIECES
        for sent in range(PIECES):
            is_last = sent == PIECES - 1
            await connection.send(b'x' * (work.body_bytes - sent * piece if is_last else piece))
            if not is_last:
                await anyio.sleep(work.sending_s / PIECES)

    def lost(self) -> list[Request]:
        """Return the requests that ran and whose connection ended without a whole answer.

        Those that reached their deadline before an answer began, or that a stop excuses, do not
        count.
        """
        return [
            request
            for request in self.request_by_id.values()
            if request.runs
            and not request.status
            and (request.ended_at < request.deadline or request.answer_began)
            and not any(stop.excuses(request) for stop in self.stops_around(request))
        ]

    def held(self, *, longer_than_s: float) -> list[Request]:
        """Return the requests that did not run and whose connection was kept open for longer."""
        return [
            request
            for request in self.request_by_id.values()
            if not request.runs
            and not request.status
            and not request.behind
            and request.sent_at + longer_than_s < request.ended_at < request.deadline
        ]

    def run_though_refused(self) -> list[Request]:
        """Return the requests that were refused with a promise that they do not run, and ran."""
        return [
            request
            for request in self.request_by_id.values()
            if request.status in NOT_RUN_STATUSES and request.runs
        ]

    def run_twice(self) -> list[Request]:
        """Return the requests that may run only once and ran more often."""
        return [
            request
            for request in self.request_by_id.values()
            if not request.idempotent and len(request.runs) > 1
        ]

    def replaced(self) -> list[Request]:
        """Return the requests that got another answer while an endpoint worked on them."""
        return [
            request
            for request in self.request_by_id.values()
            if request.status >= 500
            and request.status not in NOT_RUN_STATUSES
            and request.ended_at < request.deadline
            and request.works_at(request.ended_at)
            and self.stops_around(request)
        ]

    def stops_around(self, request: Request) -> list[Stop]:
        """Return the stops during which ``request`` was open at the instance that stopped."""
        return [
            stop
            for stop in self.stops
            if stop.entry == request.entry
            and request.ended_at >= stop.at
            and request.sent_at <= stop.at + stop.grace_s + STOP_SLACK_S
        ]


class CallerHabit(NamedTuple):
    """How a caller uses connections.

    It keeps up to ``pipelined`` requests open on each, uses it for ``requests_per_connection``
    requests at most, sends one every ``gap_s`` seconds and reads ``read_bytes`` a second.
    Requests of a caller that pipelines are all idempotent.
    """

    pipelined: int = 1
    requests_per_connection: int = 1000
    gap_s: float = 0.05
    read_bytes_per_s: float = float('inf')


class Caller:
    """Sends requests to the entry process that ``choose_entry`` returns, until cancelled."""

    def __init__(
        self, *, ledger: StopLedger, habit: CallerHabit, entries: list[str], timeout_s: float
    ) -> None:
        """``entries`` are the addresses to choose from; they may change at any time."""
        self._ledger = ledger
        self._habit = habit
        self._entries = entries
        self._timeout_s = timeout_s

    async def run(self) -> None:
        """Open one connection after another until no address is left."""
        while self._entries:
            entry = self._ledger.rng.choice(self._entries)
            host, _, port = entry.partition(':')
            try:
                with anyio.fail_after(1):
                    stream = await anyio.connect_tcp(host, int(port))
            except (OSError, TimeoutError):
                await anyio.sleep(0.05)
                continue
            await _Session(self._ledger, self._habit, entry, stream, self._timeout_s).run(
                self._entries
            )


class _Session:
    """One connection of a caller."""

    def __init__(
        self,
        ledger: StopLedger,
        habit: CallerHabit,
        entry: str,
        stream: SocketStream,
        timeout_s: float,
    ) -> None:
        self._ledger = ledger
        self._habit = habit
        self._entry = entry
        self._stream = stream
        self._timeout_s = timeout_s
        self._open: list[Request] = []
        self._buffer = b''
        self._closes = False

    async def run(self, entries: Iterable[str]) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send, entries, tasks)
                await self._receive()
                tasks.cancel_scope.cancel()
        finally:
            now = time.monotonic()
            for request in self._open:
                request.ended_at = now
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    async def _send(self, entries: Iterable[str], tasks: TaskGroup) -> None:
        for _ in range(self._habit.requests_per_connection):
            while len(self._open) >= self._habit.pipelined:
                await anyio.sleep(0.01)
            if self._closes or not tuple(entries):
                break
            try:
                await self._send_one()
            except CONNECTION_ENDS:
                return
            await anyio.sleep(self._habit.gap_s)
        while self._open:
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()

    async def _send_one(self) -> None:
        idempotent = self._habit.pipelined > 1 or self._ledger.rng.random() < 0.5
        request = self._ledger.record_sent(
            self._entry,
            timeout_s=self._timeout_s,
            idempotent=idempotent,
            behind=list(self._open),
        )
        self._open.append(request)
        path = '/files/1' if idempotent else '/notices/1'
        head = (
            f'POST {path} HTTP/1.1\r\nHost: desk.example\r\n'
            f'X-Plantainloft-Request-Id: {request.id}\r\n'
            f'X-Plantainloft-Deadline-Ms: {self._timeout_s * 1000:.0f}\r\n'
            f'Cookie: X-Plantainloft-Affinity-Key={request.id}\r\n'
            'Content-Length: 3\r\n\r\nabc'
        )
        await self._stream.send(head.encode())

    async def _receive(self) -> None:
        try:
            while not self._closes:
                status = await self._read_response()
                request = self._open.pop(0)
                request.status = status
                request.ended_at = time.monotonic()
        except CONNECTION_ENDS:
            return

    async def _read_response(self) -> int:
        while b'\r\n\r\n' not in self._buffer:
            await self._read_more()
        head, _, self._buffer = self._buffer.partition(b'\r\n\r\n')
        lines = head.lower().split(b'\r\n')
        self._open[0].answer_began = True
        # Callers send nothing more once a response has announced the close.
        self._closes = b'connection: close' in lines
        length = next(int(line[15:]) for line in lines if line.startswith(b'content-length:'))
        while len(self._buffer) < length:
            await self._read_more()
        self._buffer = self._buffer[length:]
        return int(head.split(b' ', 2)[1])

    async def _read_more(self) -> None:
        if self._habit.read_bytes_per_s < float('inf'):
            await anyio.sleep(READ_BYTES / self._habit.read_bytes_per_s)
            self._buffer += await self._stream.receive(READ_BYTES)
            return
        self._buffer += await self._stream.receive()
