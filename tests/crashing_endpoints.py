"""Endpoints that end while they run one request, and are back after a while."""

import time
from collections.abc import Callable
from typing import NamedTuple

import anyio
from anyio.abc import SocketAttribute, SocketStream
from entry_fixtures import Conversation

FATAL = b'/fatal'
RUNS_S = 0.1
DOWN_S = 1.0


class Arrival(NamedTuple):
    """A request that reached an endpoint, on the clock of ``time.monotonic``."""

    at: float
    endpoint: str
    fatal: bool


class Trace:
    """What reached the endpoints of a test, and when they ended."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.crashes: list[float] = []

    def fatal_after(self, seconds: float) -> list[Arrival]:
        """Return the fatal requests later than ``seconds`` after the third crash."""
        third = self.crashes[2] + seconds
        return [one for one in self.arrivals if one.fatal and one.at > third]


class CrashingEndpoint:
    """Answers requests, and ends under those whose path ends in ``FATAL``."""

    def __init__(
        self,
        *,
        name: str,
        trace: Trace,
        answer: bytes,
        on_start: Callable[['CrashingEndpoint'], None],
    ) -> None:
        """``on_start`` is called each time that the endpoint listens."""
        self.name = name
        self.address = ''
        self.requests: list[bytes] = []
        self._trace = trace
        self._answer = answer
        self._on_start = on_start
        self._running = anyio.CancelScope()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        port = 0
        while True:
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=port)
            port = listener.extra(SocketAttribute.local_port)
            self.address = f'127.0.0.1:{port}'
            self._on_start(self)
            if not self._running.cancel_called:
                task_status.started()
            with anyio.CancelScope() as self._running:
                await listener.serve(self._talk)
            await listener.aclose()
            await anyio.sleep(DOWN_S)

    async def _talk(self, stream: SocketStream) -> None:
        talk = Conversation(stream=stream, endpoint=self)  # type: ignore[arg-type]
        try:
            while True:
                await self._handle(await talk.request(), talk)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        finally:
            await anyio.aclose_forcefully(stream)

    async def _handle(self, request: bytes, talk: Conversation) -> None:
        fatal = request.split(b' ', 2)[1].endswith(FATAL)
        self._trace.arrivals.append(Arrival(time.monotonic(), self.name, fatal))
        await anyio.sleep(RUNS_S)
        if fatal:
            self._trace.crashes.append(time.monotonic())
            self._running.cancel()
            await anyio.sleep_forever()
        await talk.say(self._answer)
