"""Serves connections to endpoints for peers that have lost their links."""

import logging
from collections import Counter
from collections.abc import Iterable

import anyio
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from plantainloft_node.engine.upstream_connection import CONNECT_TIMEOUT_S, set_keepalive
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.log_throttle import LogThrottle
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState
from plantainloft_node.tunnels.admission import allowed_priority, is_admitted
from plantainloft_node.tunnels.connector import FallbackConnector
from plantainloft_node.tunnels.frames import OpenRequest, OpenResult, read_open_request
from plantainloft_node.tunnels.loop_delay import LoopDelay
from plantainloft_node.tunnels.tunnel import STREAM_ERRORS, Tunnel

__all__ = ['TunnelServer']

log = logging.getLogger(__name__)

OPEN_REQUEST_TIMEOUT_S = 1.0
ACCEPT_BACKLOG = 256
STRANGER_LOG_INTERVAL_S = 10.0
_SERVE_ERRORS = (*STREAM_ERRORS, TimeoutError, ValueError, TypeError)


class TunnelServer:
    """Accepts peers' requests for connections to endpoints, and serves the tunnels."""

    def __init__(
        self,
        *,
        members: FleetMembership,
        connector: FallbackConnector,
        endpoint_registry: EndpointRegistry,
    ) -> None:
        self._members = members
        self._connector = connector
        self._links = connector.links
        self._endpoint_registry = endpoint_registry
        self._tunnels: set[Tunnel] = set()
        self._draining = False
        self._loop_delay = LoopDelay()
        self._stranger_log = LogThrottle(interval_s=STRANGER_LOG_INTERVAL_S)
        # Answers to peers, by result, and bytes of ended tunnels, by direction.
        self.answers: Counter[str] = Counter()
        self._ended_bytes: Counter[str] = Counter()

    @property
    def open_tunnels(self) -> int:
        """The number of open tunnels."""
        return len(self._tunnels)

    @property
    def loop_delay_s(self) -> float:
        """How late the event loop runs, in seconds."""
        return self._loop_delay.mean_s

    def copied_bytes(self) -> Counter[str]:
        """Return the bytes copied so far, by direction."""
        return sum((tunnel.copied_bytes for tunnel in self._tunnels), self._ended_bytes)

    async def listen(self, address: str) -> None:
        """Serve peers on ``address`` (``host:port``) until cancelled."""
        host, _, port = address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=ACCEPT_BACKLOG
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._retire_unwelcome)
            await listener.serve(self._serve_safely)

    async def start_draining(self) -> None:
        """Open no more tunnels, and ask the users of the open ones to give them up."""
        self._draining = True
        await _retire(self._tunnels)

    async def _serve_safely(self, stream: SocketStream) -> None:
        try:
            async with stream:
                await self._serve(stream)
        except _SERVE_ERRORS as exc:
            log.debug('Tunnels: a connection ended: %r.', exc)
        except Exception:
            # An error on one connection must not end the process.
            log.exception('Tunnels: a connection failed.', extra={'kind': 'defect'})

    async def _serve(self, stream: SocketStream) -> None:
        host = str(stream.extra(SocketAttribute.remote_address, ('', 0))[0])
        if not self._is_peer(host):
            self._log_stranger(host)
            return
        set_keepalive(stream)
        with anyio.fail_after(OPEN_REQUEST_TIMEOUT_S):
            request = await read_open_request(BufferedByteReceiveStream(stream))
        state = self._endpoint_registry.find(request.incarnation)
        opened = await self._open(request, state)
        result = opened if isinstance(opened, OpenResult) else OpenResult.OPENED
        self.answers[result.name.lower()] += 1
        _log_answer(request, result)
        if isinstance(opened, OpenResult) or state is None:
            await stream.send(bytes((result,)))
            return
        tunnel = Tunnel(
            request=request,
            zone=state.record.zone,
            user=stream,
            endpoint=opened,
            links=self._links,
        )
        self._tunnels.add(tunnel)
        try:
            await self._run(tunnel, stream)
        finally:
            await self._close(tunnel)

    async def _run(self, tunnel: Tunnel, stream: SocketStream) -> None:
        await stream.send(bytes((OpenResult.OPENED,)))
        await tunnel.copy()

    async def _close(self, tunnel: Tunnel) -> None:
        self._tunnels.discard(tunnel)
        self._ended_bytes += tunnel.copied_bytes
        _log_closed(tunnel)
        await tunnel.close()

    async def _open(
        self, request: OpenRequest, state: EndpointState | None
    ) -> SocketStream | OpenResult:
        """Open the endpoint's connection; one hop only, never through another peer."""
        if self._draining:
            return OpenResult.DRAINING
        if not is_admitted(
            request.priority,
            open_tunnels=len(self._tunnels),
            loop_delay_s=self._loop_delay.mean_s,
        ):
            return OpenResult.BUSY
        if state is None:
            return OpenResult.UNKNOWN_ENDPOINT
        if not state.accepts_requests(anyio.current_time()):
            return OpenResult.UNWANTED
        if self._links.is_lost(state.record.zone):
            return OpenResult.NO_LINK
        opened = await self._connect(state)
        if self._draining and not isinstance(opened, OpenResult):
            # Draining has started meanwhile, and the users of tunnels have been asked already.
            await anyio.aclose_forcefully(opened)
            return OpenResult.DRAINING
        return opened

    async def _connect(self, state: EndpointState) -> SocketStream | OpenResult:
        zone = state.record.zone
        host, _, port = state.record.address.rpartition(':')
        started_at = anyio.current_time()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                endpoint = await anyio.connect_tcp(host, int(port))
        except (OSError, TimeoutError):
            self._links.record_connect_failed(zone, anyio.current_time())
            is_sound = await self._connector.is_own_path_sound(state, since=started_at)
            return OpenResult.UNREACHABLE if is_sound else OpenResult.UNCERTAIN
        set_keepalive(endpoint)
        self._links.record_connected(zone, anyio.current_time())
        return endpoint

    async def _retire_unwelcome(self) -> None:
        """Retire tunnels that another peer serves better, until cancelled."""
        while True:
            await self._loop_delay.measure()
            await _retire(filter(self._is_unwelcome, self._tunnels))

    def _is_unwelcome(self, tunnel: Tunnel) -> bool:
        is_too_slow = tunnel.request.priority > allowed_priority(self._loop_delay.mean_s)
        return is_too_slow or self._links.is_lost(tunnel.zone)

    def _is_peer(self, host: str) -> bool:
        """Return whether ``host`` is that of a known instance: callers can't pose as one."""
        peers = self._members.peers()
        return any(peer.heartbeat_address.rpartition(':')[0] == host for peer in peers)

    def _log_stranger(self, host: str) -> None:
        if self._stranger_log.try_acquire(host, anyio.current_time()):
            log.warning(
                'Tunnels: refused a connection from %s, which is no known instance.',
                host,
                extra={'kind': 'tunnel', 'fields': {'host': host}},
            )


async def _retire(tunnels: Iterable[Tunnel]) -> None:
    async with anyio.create_task_group() as tasks:
        for tunnel in tunnels:
            tasks.start_soon(tunnel.retire)


def _log_answer(request: OpenRequest, result: OpenResult) -> None:
    fields = {
        'tunnel': request.tunnel,
        'user': request.user,
        'endpoint': request.incarnation.partition('@')[0],
        'result': result.name.lower(),
    }
    log.info(
        'Tunnels: connection for %s: %s.',
        request.user,
        result.name.lower(),
        extra={'kind': 'tunnel', 'fields': fields},
    )


def _log_closed(tunnel: Tunnel) -> None:
    fields = {'tunnel': tunnel.request.tunnel, 'user': tunnel.request.user, **tunnel.copied_bytes}
    log.info(
        'Tunnels: connection for %s closed.',
        tunnel.request.user,
        extra={'kind': 'tunnel', 'fields': fields},
    )
