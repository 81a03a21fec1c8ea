"""Endpoints that crash while they run a fatal request and restart shortly after."""

import time
from collections.abc import Callable
from typing import NamedTuple

import anyio
from anyio.abc import SocketAttribute, SocketStream
from entry_fixtures import ScriptedConnection

FATAL_SUFFIX = b'/fatal'
RUN_TIME_S = 0.1
RESTART_DELAY_S = 1.0


class Arrival(NamedTuple):
    """A request that reached an endpoint; the time is of ``time.monotonic``."""

    arrived_at: float
    endpoint: str
    is_fatal: bool


class Trace:
    """The requests that reached the endpoints of a test, and the times of crashes."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.crashes: list[float] = []

    def late_fatal_arrivals(self, delay_s: float) -> list[Arrival]:
        """Return the fatal requests that arrived over ``delay_s`` after the third crash."""
        start = self.crashes[2] + delay_s
        return [
            arrival for arrival in self.arrivals if arrival.is_fatal and arrival.arrived_at > start
        ]


class CrashingEndpoint:
    """Answers requests, but crashes if the path ends in ``FATAL_SUFFIX``."""

    def __init__(
        self,
        *,
        name: str,
        trace: Trace,
        answer: bytes,
        on_start: Callable[['CrashingEndpoint'], None],
    ) -> None:
        """``on_start`` is called each time the endpoint starts to listen."""
        self.name = name
        self.address = ''
        self.requests: list[bytes] = []
        self._trace = trace
        self._answer = answer
        self._on_start = on_start
        self._run_scope = anyio.CancelScope()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        port = 0
        while True:
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=port)
            port = listener.extra(SocketAttribute.local_port)
            self.address = f'127.0.0.1:{port}'
            self._on_start(self)
            # Only at the first start: after a crash, the previous scope is cancelled.
            if not self._run_scope.cancel_called:
                task_status.started()
            with anyio.CancelScope() as self._run_scope:
                await listener.serve(self._serve_connection)
            await listener.aclose()
            await anyio.sleep(RESTART_DELAY_S)

    async def _serve_connection(self, stream: SocketStream) -> None:
        connection = ScriptedConnection(stream=stream, endpoint=self)  # type: ignore[arg-type]
        try:
            while True:
                await self._handle(await connection.read_request(), connection)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        finally:
            await anyio.aclose_forcefully(stream)

    async def _handle(self, request: bytes, connection: ScriptedConnection) -> None:
        is_fatal = request.split(b' ', 2)[1].endswith(FATAL_SUFFIX)
        self._trace.arrivals.append(Arrival(time.monotonic(), self.name, is_fatal))
        await anyio.sleep(RUN_TIME_S)
        if is_fatal:
            self._trace.crashes.append(time.monotonic())
            self._run_scope.cancel()
            await anyio.sleep_forever()
        await connection.send(self._answer)
