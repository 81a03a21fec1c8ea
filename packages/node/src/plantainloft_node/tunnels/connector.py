"""Opens connections to endpoints directly, or through a peer where links are lost."""

import random
from collections.abc import Callable

import anyio

from plantainloft_node.endpoint_signals.signals import EndpointSignals
from plantainloft_node.engine.attempts import NotSent
from plantainloft_node.engine.connector import ConnectionNeeds, EndpointConnector
from plantainloft_node.engine.upstream_connection import (
    CONNECT_TIMEOUT_S,
    TunnelPath,
    UpstreamConnection,
)
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState
from plantainloft_node.tunnels.client import TunnelClient

__all__ = ['FallbackConnector']

# A connection to an endpoint in any region opens within this time, unless a packet is
# lost. After it a peer is asked as well, and the endpoint once more.
FIRST_ATTEMPT_S = 0.2
# Round trips, and the least time, in which a connection opens if the links work.
CONFIRM_ROUND_TRIPS = 3.0
MIN_CONFIRM_S = 0.06
# Other endpoints that are asked whether the own path works.
MAX_WITNESSES = 4
WITNESSES_TIMEOUT_S = 0.4
NO_NEEDS = ConnectionNeeds()

SignalListener = Callable[[TunnelPath, EndpointState, EndpointSignals], None]


class FallbackConnector(EndpointConnector):
    """Asks a peer for a connection that can't be opened from here.

    A peer's success shows that a failure was due to the own path: it is not held against
    the endpoint.
    """

    def __init__(
        self,
        *,
        links: LinkMonitor,
        id_header: bytes,
        tunnels: TunnelClient,
        endpoint_registry: EndpointRegistry,
        on_signals: SignalListener,
    ) -> None:
        """``on_signals`` is called with what an endpoint announces on a tunnel."""
        super().__init__(links=links)
        self._id_header = id_header
        self._tunnels = tunnels
        self._endpoint_registry = endpoint_registry
        self._on_signals = on_signals

    async def connect(
        self, state: EndpointState, needs: ConnectionNeeds
    ) -> UpstreamConnection | NotSent:
        """Open a connection to ``state``, directly if its links are not known to be lost."""
        if self.links.reaches_nothing(anyio.current_time()):
            return NotSent(reason='no endpoint is reachable', own_path=True)
        return await self._connect(state, needs, first_timeout_s=FIRST_ATTEMPT_S)

    def may_use(
        self, connection: UpstreamConnection, state: EndpointState, needs: ConnectionNeeds
    ) -> bool:
        """Return whether an idle ``connection`` may carry a request."""
        if connection.path is None:
            return self.links.may_use_open_connection(state.record.zone)
        return self._tunnels.is_usable(connection.path, needs)

    def keeps(self, connection: UpstreamConnection, state: EndpointState) -> bool:
        """Return whether ``connection`` is kept: tunnels only while they are needed."""
        if connection.path is None:
            return True
        share = self.links.detour_share(state.record.zone, anyio.current_time())
        return random.random() < share

    def record_signals(
        self, connection: UpstreamConnection, state: EndpointState, signals: EndpointSignals
    ) -> None:
        """Pass on what the endpoint has announced to the peer that the request came from."""
        if connection.path is not None and (signals.leaves or signals.rest_s):
            self._on_signals(connection.path, state, signals)

    async def is_gone(self, state: EndpointState) -> bool | None:
        """Return whether no process accepts connections at the endpoint's address.

        ``None`` if that is unknown. Another endpoint of the zone must accept a connection,
        here or at a peer: instances that lose their links would otherwise report that
        sound endpoints have crashed.
        """
        if not self.links.is_lost(state.record.zone):
            started_at = anyio.current_time()
            if await self._opens_directly(state):
                return False
            if await self.is_own_path_sound(state, since=started_at):
                return True
        tunnel = await self._tunnels.open(state, NO_NEEDS)
        if isinstance(tunnel, UpstreamConnection):
            await tunnel.close()
            self._record_reached_by_peer(state)
            return False
        return True if tunnel.is_unreachable else None

    async def is_own_path_sound(self, state: EndpointState, *, since: float) -> bool:
        """Return whether a connection to ``state`` that failed shows a fault of the endpoint.

        It does if another endpoint of its zone accepted a connection after ``since``, or
        does so now. Bytes that arrive are no sign: they may have been on their way before.
        """
        zone = state.record.zone
        if self.links.vouches_for(zone, since):
            return True
        if self.links.is_lost(zone):
            return False
        others = [
            one for one in self._endpoint_registry.endpoints_in_zone(zone) if one is not state
        ]
        failed = 0
        with anyio.move_on_after(WITNESSES_TIMEOUT_S):
            for other in random.sample(others, min(MAX_WITNESSES, len(others))):
                if await self._opens_directly(other, records_failure=False):
                    return True
                failed += 1
        # While one of them can be reached, the others are down: not a sign of lost links.
        for _ in range(failed):
            self.links.record_connect_failed(zone, anyio.current_time())
        return False

    async def test_links(self, state: EndpointState) -> None:
        """Open a connection to ``state`` and close it: the monitor sees the outcome."""
        if self.links.is_lost(state.record.zone):
            await self._opens_directly(state)
            return
        connection = await self._connect(
            state, NO_NEEDS, first_timeout_s=self._confirm_timeout_s(state)
        )
        if isinstance(connection, UpstreamConnection):
            await connection.close()

    async def _connect(
        self, state: EndpointState, needs: ConnectionNeeds, *, first_timeout_s: float
    ) -> UpstreamConnection | NotSent:
        if self.links.is_lost(state.record.zone):
            tunnel = await self._tunnels.open(state, needs)
            if isinstance(tunnel, UpstreamConnection):
                return tunnel
            return NotSent(
                reason=f'links lost, no way through peers ({tunnel.reason})',
                own_path=not tunnel.is_unreachable,
            )
        direct = await self.connect_directly(
            state, id_header=self._id_header, timeout_s=first_timeout_s
        )
        if isinstance(direct, UpstreamConnection):
            return direct
        return await self._connect_either_way(state, needs, first_failure=direct)

    async def _opens_directly(self, state: EndpointState, *, records_failure: bool = True) -> bool:
        connection = await self.connect_directly(
            state, timeout_s=FIRST_ATTEMPT_S, records_failure=records_failure
        )
        if isinstance(connection, NotSent):
            return False
        await connection.close()
        return True

    async def _connect_either_way(
        self, state: EndpointState, needs: ConnectionNeeds, *, first_failure: NotSent
    ) -> UpstreamConnection | NotSent:
        """Ask a peer and try the endpoint once more, at the same time; the first one wins."""
        opened: list[UpstreamConnection] = []

        async def connect_again(tasks: anyio.abc.TaskGroup) -> None:
            connection = await self.connect_directly(
                state,
                id_header=self._id_header,
                timeout_s=CONNECT_TIMEOUT_S - FIRST_ATTEMPT_S,
            )
            if isinstance(connection, UpstreamConnection):
                opened.append(connection)
                tasks.cancel_scope.cancel()

        async def ask_peer(tasks: anyio.abc.TaskGroup) -> None:
            with anyio.move_on_after(CONNECT_TIMEOUT_S):
                tunnel = await self._tunnels.open(state, needs)
                if isinstance(tunnel, UpstreamConnection):
                    opened.append(tunnel)
                    tasks.cancel_scope.cancel()

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask_peer, tasks)
                if first_failure.timed_out:
                    tasks.start_soon(connect_again, tasks)
        except BaseException:
            for connection in opened:
                await connection.close()
            raise
        if not opened:
            return first_failure
        for surplus in opened[1:]:
            await surplus.close()
        if opened[0].path is None:
            return opened[0]
        return await self._confirm_detour(state, opened[0])

    async def _confirm_detour(
        self, state: EndpointState, tunnel: UpstreamConnection
    ) -> UpstreamConnection:
        """Return the connection to use, now that a peer has opened one.

        The endpoint is tried once more: it may have started after the attempts from here.
        """
        try:
            direct = await self.connect_directly(
                state, id_header=self._id_header, timeout_s=self._confirm_timeout_s(state)
            )
        except BaseException:
            await tunnel.close()
            raise
        if isinstance(direct, UpstreamConnection):
            await tunnel.close()
            return direct
        self._record_reached_by_peer(state)
        return tunnel

    def _confirm_timeout_s(self, state: EndpointState) -> float:
        usual_s = self._endpoint_registry.round_trips.round_trip_s(state.record.zone)
        if not usual_s:
            return FIRST_ATTEMPT_S
        return min(FIRST_ATTEMPT_S, max(MIN_CONFIRM_S, CONFIRM_ROUND_TRIPS * usual_s))

    def _record_reached_by_peer(self, state: EndpointState) -> None:
        zone = state.record.zone
        self.links.record_reached_by_peer(
            zone,
            state.record.incarnation,
            anyio.current_time(),
            zone_size=len(self._endpoint_registry.endpoints_in_zone(zone)),
        )
