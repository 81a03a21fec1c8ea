"""Scripted endpoints, and a handler that forwards to them, for tests of the forwarding engine.

Endpoints and callers exchange raw bytes, so tests can send malformed messages.
"""

import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream, TaskGroup

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.organisations import NO_ORGANISATIONS, OrganisationIndex
from plantainloft_core.routes import (
    CallerLimits,
    Route,
    RouteTable,
    ServiceLimits,
    WeightedService,
    build_route_table,
)
from plantainloft_node.endpoint_limits.limiter import FleetView
from plantainloft_node.engine.caller_connection import CallerConnection
from plantainloft_node.engine.connection_pool import ConnectionPool
from plantainloft_node.engine.connector import DirectConnector, EndpointConnector
from plantainloft_node.engine.dispatcher import Dispatcher
from plantainloft_node.engine.forwarding_handler import ForwardingHandler
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.request_admission import RequestAdmission
from plantainloft_node.engine.sender import Sender
from plantainloft_node.engine.stop_admission import StopAdmission
from plantainloft_node.limits.limiter import LimitSettings, RequestLimiter
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.placement.endpoints import EndpointRegistry
from plantainloft_node.placement.placement import Placement, PlacementSettings
from plantainloft_node.quarantine.crash_detector import CrashDetector, refuses_connections
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.retry_budget.registry import RetryBudgets, RetryLimits
from plantainloft_standins.quarantine_store import MemoryQuarantineStore

HEADER_NAMES = HeaderNames(signature=b'x-signature')
LIMIT_SETTINGS = LimitSettings(window_s=5.0, overshoot_ratio=0.0, overshoot_requests=0.0)
RETRY_LIMITS = RetryLimits(ratio=0.2, fixed_retries=64.0, window_s=10.0)
# The smallest settings with which an entry instance starts.
ENTRY_SETTINGS = """
[instance]
name = a-1
zone = a
zones = a=north
[listen]
front = 127.0.0.1:1
ready = 127.0.0.1:2
directory = 127.0.0.1:3
control = 127.0.0.1:4
[peers]
port = 5
[store]
address = 127.0.0.1:6
"""
ConnectionScript = Callable[['ScriptedConnection'], Awaitable[None]]
SERVICE = 'case-desk'


def make_route(*, idempotent: bool, prefix: str, **overrides: object) -> Route:
    """Return a route of the test host; ``overrides`` replace its default settings."""
    defaults: dict[str, object] = {
        'name': prefix,
        'host': 'desk.example',
        'prefix': prefix,
        'idempotent': idempotent,
        'timeout_s': 2.0,
        'latency_objective_s': 0.5,
        'max_attempts': 2,
        'priority': 1,
        'shares': (WeightedService(SERVICE, 1.0),),
        'sticky': True,
        'regions': frozenset(),
    }
    return Route(**{**defaults, **overrides})  # type: ignore[arg-type]


def make_route_table(
    *routes: Route,
    version: int = 1,
    limits: CallerLimits | None = None,
    organisations: OrganisationIndex = NO_ORGANISATIONS,
) -> RouteTable:
    """Return a route table of ``routes`` with the service ``SERVICE`` only."""
    service_limits = ServiceLimits(
        name=SERVICE,
        health_path='/health',
        max_connections=100,
        warmup_s=3.0,
        cold_requests_per_s=11.0,
    )
    return build_route_table(
        version=version,
        routes=routes,
        services=(service_limits,),
        limits=limits or CallerLimits(),
        organisations=organisations,
    )


class ScriptedConnection:
    """A connection to a scripted endpoint, as its script reads and writes it."""

    def __init__(self, *, stream: SocketStream, endpoint: 'ScriptedEndpoint') -> None:
        self.stream = stream
        self.endpoint = endpoint
        self._buffer = b''

    async def read_request(self) -> bytes:
        """Read one request: its head, and a body of the length in Content-Length.

        Chunked bodies are not supported. The request is also appended to
        ``endpoint.requests``.
        """
        while b'\r\n\r\n' not in self._buffer:
            self._buffer += await self.stream.receive()
        head, _, rest = self._buffer.partition(b'\r\n\r\n')
        content_length = re.search(rb'content-length: (\d+)', head.lower())
        size = int(content_length.group(1)) if content_length else 0
        while len(rest) < size:
            rest += await self.stream.receive()
        self._buffer = rest[size:]
        self.endpoint.requests.append(head + b'\r\n\r\n' + rest[:size])
        return self.endpoint.requests[-1]

    async def send(self, raw: bytes) -> None:
        """Send ``raw`` as it is."""
        await self.stream.send(raw)


def signed_ok_response(
    body: bytes, *, request_id: bytes = b'', extra_headers: bytes = b''
) -> bytes:
    """Return a complete signed response with status 200 and ``body``.

    ``extra_headers`` holds further header lines, each with its line ending.
    """
    request_id_header = b'X-Request-Id: ' + request_id + b'\r\n' if request_id else b''
    return (
        b'HTTP/1.1 200 OK\r\nX-Signature: s\r\n'
        + request_id_header
        + extra_headers
        + b'Content-Length: %d\r\n\r\n' % len(body)
        + body
    )


async def answer_never(connection: ScriptedConnection) -> None:
    """Read a request and leave it without a response."""
    await connection.read_request()
    await anyio.sleep_forever()


def answer_with(extra_headers: bytes) -> ConnectionScript:
    """Return a script that answers every request with ``extra_headers``."""

    async def answer(connection: ScriptedConnection) -> None:
        while True:
            await connection.read_request()
            await connection.send(signed_ok_response(b'ok', extra_headers=extra_headers))

    return answer


class ScriptedEndpoint:
    """A listener that runs ``script`` on each of its connections.

    ``accepted_connections`` counts the connections accepted so far,
    ``closed_connections`` those that ended while their script was still reading or
    writing.
    """

    def __init__(self, *, script: ConnectionScript) -> None:
        self.script = script
        self.requests: list[bytes] = []
        self.accepted_connections = 0
        self.closed_connections = 0
        self.address = ''
        self._scope = anyio.CancelScope()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._scope.cancel()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serve on a free port until stopped; ``address`` is set once started."""
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'
        task_status.started()
        with self._scope:
            await listener.serve(self._run_script)
        await listener.aclose()

    async def _run_script(self, stream: SocketStream) -> None:
        self.accepted_connections += 1
        try:
            async with stream:
                await self.script(ScriptedConnection(stream=stream, endpoint=self))
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.closed_connections += 1


class ForwardingServer(NamedTuple):
    """A handler that listens on loopback, and the state that it works with.

    ``connections`` holds every caller connection accepted so far.
    """

    address: str
    endpoint_registry: EndpointRegistry
    forwarding_handler: ForwardingHandler
    connections: list[CallerConnection]
    pool: ConnectionPool
    crash_registry: CrashRegistry
    placement: Placement
    retry_budgets: RetryBudgets
    stop_admission: StopAdmission

    def set_limit_sharers(self, *names: str) -> None:
        """Set the instances among which the request limits of endpoints are divided."""
        fleet = FleetView(dict.fromkeys(names, 'ankara'), frozenset(names), reachable_fraction=1.0)
        self.placement.update_endpoint_limits(fleet, anyio.current_time())

    async def connect(self) -> SocketStream:
        host, _, port = self.address.partition(':')
        return await anyio.connect_tcp(host, int(port))

    async def send_request(self, raw: bytes, *, timeout_s: float = 5.0) -> bytes:
        """Send ``raw`` on a new connection and return the response.

        Returns what has arrived if the connection ends before the response is
        complete.
        """
        answer = b''
        async with await self.connect() as stream:
            await stream.send(raw)
            with anyio.fail_after(timeout_s):
                while not _is_complete(answer):
                    try:
                        answer += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        break
        return answer


def _is_complete(answer: bytes) -> bool:
    head, separator, body = answer.partition(b'\r\n\r\n')
    content_length = re.search(rb'content-length: (\d+)', head.lower())
    return bool(separator and content_length and len(body) >= int(content_length.group(1)))


def get_request(
    path: bytes = b'/files/1', *, extra_headers: bytes = b'', request_id: bytes = b'r1'
) -> bytes:
    return (
        b'GET '
        + path
        + b' HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: '
        + request_id
        + b'\r\n'
        + extra_headers
        + b'\r\n'
    )


def post_request(body: bytes, *, path: bytes = b'/notices/1', request_id: bytes = b'r1') -> bytes:
    return (
        b'POST '
        + path
        + b' HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: '
        + request_id
        + b'\r\nContent-Length: %d\r\n\r\n' % len(body)
        + body
    )


ConnectorFactory = Callable[[EndpointRegistry, TaskGroup], Awaitable[EndpointConnector]]


async def make_direct_connector(_: EndpointRegistry, __: TaskGroup) -> EndpointConnector:
    return DirectConnector(links=LinkMonitor(), id_header=HEADER_NAMES.request_id)


class ConnectorChoice:
    """How the handlers of ``running_forwarding_server`` reach their endpoints."""

    make: ConnectorFactory = staticmethod(make_direct_connector)


@asynccontextmanager
async def running_forwarding_server(
    *scripts: ConnectionScript,
    table: RouteTable | None = None,
    tables: list[RouteTable] | None = None,
    limiter: RequestLimiter | None = None,
    admission: RequestAdmission | None = None,
    admits: Callable[[int], bool] = lambda _: True,
) -> AsyncIterator[tuple[ForwardingServer, list[ScriptedEndpoint]]]:
    """Run a handler that forwards to one scripted endpoint for each script.

    The endpoints are ``i0``, ``i1`` and so on, in the order of ``scripts``.
    Requests without an affinity key spread over them by request id. The last of
    ``tables`` is in force: appending to the list replaces the route table of
    the running handler.
    """
    default_table = table or make_route_table(
        make_route(idempotent=True, prefix='/files/'),
        make_route(idempotent=False, prefix='/notices/'),
    )
    table_versions = tables or [default_table]
    endpoint_registry = EndpointRegistry(region_by_zone={'a': 'ankara'})
    settings = PlacementSettings(region='ankara', instance='e1', cold_over=1.5, cold_slack=5.0)
    placement = Placement(settings=settings, endpoint_registry=endpoint_registry)
    pool = ConnectionPool()
    endpoints = [ScriptedEndpoint(script=script) for script in scripts]
    connections: list[CallerConnection] = []
    quarantine = Quarantine(
        crash_registry=CrashRegistry(),
        store=MemoryQuarantineStore(),
        has_no_live_peers=lambda: False,
        broadcast=lambda: None,
    )
    crash_detector = CrashDetector(on_crash=quarantine.record_crash, has_ended=refuses_connections)
    retry_budgets = RetryBudgets(limits=RETRY_LIMITS)
    # The process has been running for longer than a window.
    retry_budgets.update(instance_count=1, now=anyio.current_time() - 2 * RETRY_LIMITS.window_s)
    request_admission = admission or RequestAdmission(names=HEADER_NAMES, controller=None)
    async with anyio.create_task_group() as tasks:
        connector = await ConnectorChoice.make(endpoint_registry, tasks)
        forwarding_handler = ForwardingHandler(
            names=HEADER_NAMES,
            dispatcher=Dispatcher(
                names=HEADER_NAMES,
                placement=placement,
                sender=Sender(names=HEADER_NAMES, pool=pool, connector=connector),
                retry_budgets=retry_budgets,
                crash_detector=crash_detector,
                quarantine=quarantine,
                admission=request_admission,
            ),
            limiter=limiter or RequestLimiter(instance='e1', settings=LIMIT_SETTINGS),
            route_table=lambda: table_versions[-1],
            record_outcome=lambda name, outcome, seconds: None,
            admits=admits,
        )

        async def serve_caller(stream: SocketStream) -> None:
            connection = CallerConnection(
                stream=stream, handler=forwarding_handler, clock=anyio.current_time
            )
            connections.append(connection)
            await connection.run()

        for number, endpoint in enumerate(endpoints):
            await tasks.start(
                lambda *, task_status, current=endpoint: current.run(task_status=task_status)
            )
            endpoint_registry.add_or_update(
                _endpoint_record(f'i{number}', endpoint.address), anyio.current_time()
            )
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1', local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(listener.serve, serve_caller)
        tasks.start_soon(crash_detector.run)
        tasks.start_soon(quarantine.run)
        yield (
            ForwardingServer(
                f'127.0.0.1:{port}',
                endpoint_registry,
                forwarding_handler,
                connections,
                pool,
                quarantine.crash_registry,
                placement,
                retry_budgets,
                request_admission.stop,
            ),
            endpoints,
        )
        tasks.cancel_scope.cancel()


def _endpoint_record(endpoint_id: str, address: str) -> EndpointRecord:
    return EndpointRecord(
        id=endpoint_id,
        service=SERVICE,
        address=address,
        zone='a',
        slots=4,
        draining=False,
        cold_s=0.0,
    )
