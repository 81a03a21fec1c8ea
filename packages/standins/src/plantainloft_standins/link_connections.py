"""Simulated connections to endpoints, direct and through peers, for the model of links."""

import random
from abc import ABC, abstractmethod
from collections import Counter
from enum import Enum
from typing import Any

import anyio
from anyio.abc import ByteStream

from plantainloft_node.engine.attempts import NotSent
from plantainloft_node.engine.connector import ConnectionNeeds
from plantainloft_node.engine.upstream_connection import (
    CONNECT_TIMEOUT_S,
    BrokenAnswerError,
    ResponseHead,
    TunnelPath,
    UpstreamConnection,
    UpstreamRequest,
)
from plantainloft_node.fleet.reports import FleetMember
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.placement.endpoints import EndpointState
from plantainloft_node.tunnels.client import NoTunnel
from plantainloft_node.tunnels.connector import FallbackConnector
from plantainloft_node.tunnels.frames import OpenResult
from plantainloft_node.tunnels.peer_selection import PeerSelector

__all__ = [
    'LinkMode',
    'ModelConnection',
    'ModelConnector',
    'ModelTunnels',
    'SimulatedFleet',
    'SimulatedInstance',
]

ROUND_TRIP_S = 0.003
CROSS_REGION_ROUND_TRIP_S = 0.11
ANSWER_TIMEOUT_S = 0.25
CROSS_REGION_ANSWER_TIMEOUT_S = 0.45
RUN_TIME_RANGE_S = (0.02, 0.4)
SILENCE_CHECK_S = 0.05
STATUS_OK = 200


class LinkMode(Enum):
    """What a lost link does to open connections and to new ones."""

    RESET = 'reset'
    SILENT = 'silent'
    REFUSE_NEW = 'refuse_new'
    HANG_NEW = 'hang_new'


class SimulatedInstance(ABC):
    """An instance, as its connections and those of its peers see it."""

    number: int
    member: FleetMember
    links: LinkMonitor

    @abstractmethod
    async def serve(self, state: EndpointState, priority: int) -> OpenResult:
        """Open a connection for a peer."""


class SimulatedFleet(ABC):
    """The fleet, the state of its links, and what is counted."""

    rng: random.Random
    instance_by_name: dict[str, SimulatedInstance]
    open_connections: 'set[ModelConnection]'
    runs: Counter[bytes]
    requests_by_peer: Counter[str]
    peer_asks: int

    @abstractmethod
    def mode(self, instance: int, zone: str) -> LinkMode | None:
        """Return the mode of a link; ``None`` while it works."""

    @abstractmethod
    async def accepts(self, instance: int, state: EndpointState) -> bool:
        """Return whether a connection opens; waits if it hangs."""


class NoStream(ByteStream):
    async def receive(self, max_bytes: int = 1) -> bytes:
        raise anyio.EndOfStream

    async def send(self, item: bytes) -> None:
        """Drop the bytes."""

    async def send_eof(self) -> None:
        """Do nothing."""

    async def aclose(self) -> None:
        """Do nothing."""


class ModelConnection(UpstreamConnection):
    """A connection from an instance, or its peer, to an endpoint."""

    def __init__(
        self,
        *,
        model: SimulatedFleet,
        owner: SimulatedInstance,
        carrier: SimulatedInstance,
        state: EndpointState,
    ) -> None:
        """``carrier`` is the instance whose links the connection uses."""
        path = None
        if carrier is not owner:
            path = TunnelPath(carrier.member.name, carrier.member.region, 'tunnel')
        super().__init__(stream=NoStream(), id_header=b'', path=path)
        self._model = model
        self._carrier = carrier
        self._state = state
        self._request_path = b''
        self.broken = anyio.Event()
        self._model.open_connections.add(self)

    @property
    def link(self) -> tuple[int, str]:
        """The link that the connection uses: the instance and the endpoint's zone."""
        return self._carrier.number, self._state.record.zone

    @property
    def endpoint_number(self) -> int:
        """The number of the endpoint."""
        return int(self._state.record.id)

    async def send(self, request: UpstreamRequest) -> None:
        if self.broken.is_set():
            raise anyio.BrokenResourceError
        self._request_path = request.target

    async def read_head(self) -> ResponseHead:
        zone = self._state.record.zone
        waiting = self._carrier.links.record_sent(zone, anyio.current_time())
        try:
            await self._run()
        finally:
            self._carrier.links.record_ended(waiting)
        self._carrier.links.record_received(zone, anyio.current_time())
        return ResponseHead(status=STATUS_OK, headers=[])

    async def read_chunk(self) -> bytes:
        return b''

    def reset_for_reuse(self, head: ResponseHead, now: float) -> bool:
        return not self.broken.is_set()

    def is_usable(self, now: float) -> bool:
        return not self.broken.is_set()

    async def close(self) -> None:
        self._model.open_connections.discard(self)

    async def _run(self) -> None:
        """Let the endpoint run the request, unless the link is silent."""
        await self._wait_while_silent()
        self._model.runs[self._request_path] += 1
        with anyio.move_on_after(self._model.rng.uniform(*RUN_TIME_RANGE_S)):
            await self.broken.wait()
        await self._wait_while_silent()
        if self.broken.is_set():
            raise BrokenAnswerError(reason='connection reset')

    async def _wait_while_silent(self) -> None:
        while self._model.mode(*self.link) is LinkMode.SILENT:
            await anyio.sleep(SILENCE_CHECK_S)


class ModelTunnels:
    """Asks simulated peers for connections, with the production choice of peers."""

    def __init__(self, *, model: SimulatedFleet, owner: SimulatedInstance) -> None:
        self._model = model
        self._owner = owner
        self._selector = PeerSelector(
            local_member=owner.member, rng=random.Random(model.rng.random())
        )
        self.open_by_peer: Counter[str] = Counter()

    def is_usable(self, path: TunnelPath, needs: ConnectionNeeds) -> bool:
        return True

    async def open(
        self, state: EndpointState, needs: ConnectionNeeds
    ) -> UpstreamConnection | NoTunnel:
        model = self._model
        peers = self._selector.select(
            [one.member for one in model.instance_by_name.values() if one is not self._owner],
            allowed_regions=needs.allowed_regions,
            tunnels_by_name=self.open_by_peer,
            now=anyio.current_time(),
        )
        for member in peers:
            model.peer_asks += 1
            self._selector.record_asked(anyio.current_time())
            peer = model.instance_by_name[member.name]
            result = await self._ask(peer, state, needs.priority)
            self._selector.record_result(member.name, result, anyio.current_time())
            if result is OpenResult.OPENED:
                self.open_by_peer[member.name] += 1
                model.requests_by_peer[member.name] += 1
                return ModelConnection(model=model, owner=self._owner, carrier=peer, state=state)
            if result is OpenResult.UNREACHABLE:
                return NoTunnel(reason='unreachable', is_unreachable=True)
        return NoTunnel(reason='no peer')

    async def _ask(
        self, peer: SimulatedInstance, state: EndpointState, priority: int
    ) -> OpenResult | None:
        is_near = peer.member.region == self._owner.member.region
        with anyio.move_on_after(ANSWER_TIMEOUT_S if is_near else CROSS_REGION_ANSWER_TIMEOUT_S):
            await anyio.sleep(ROUND_TRIP_S if is_near else 2 * CROSS_REGION_ROUND_TRIP_S)
            return await peer.serve(state, priority)
        return None


class ModelConnector(FallbackConnector):
    """The production connector, with simulated connections."""

    def __init__(self, *, model: SimulatedFleet, owner: SimulatedInstance, **options: Any) -> None:
        super().__init__(**options)
        self._model = model
        self._owner = owner

    async def connect_directly(
        self,
        state: EndpointState,
        *,
        id_header: bytes = b'',
        timeout_s: float = CONNECT_TIMEOUT_S,
        records_failure: bool = True,
    ) -> UpstreamConnection | NotSent:
        zone = state.record.zone
        started_at = anyio.current_time()
        timed_out = True
        with anyio.move_on_after(timeout_s):
            is_near = state.region == self._owner.member.region
            await anyio.sleep(ROUND_TRIP_S if is_near else CROSS_REGION_ROUND_TRIP_S)
            if await self._model.accepts(self._owner.number, state):
                now = anyio.current_time()
                self.links.record_connected(zone, now)
                state.record_connect_time(now - started_at)
                return ModelConnection(
                    model=self._model, owner=self._owner, carrier=self._owner, state=state
                )
            timed_out = False
        if records_failure:
            self.links.record_connect_failed(zone, anyio.current_time())
        return NotSent(reason='connecting', timed_out=timed_out)
