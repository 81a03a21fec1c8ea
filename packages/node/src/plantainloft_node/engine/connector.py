"""Opens the connections to endpoints that requests are sent on."""

from abc import ABC, abstractmethod
from functools import partial
from typing import NamedTuple

import anyio

from plantainloft_node.endpoint_signals.signals import EndpointSignals
from plantainloft_node.engine.attempts import NotSent
from plantainloft_node.engine.upstream_connection import (
    CONNECT_TIMEOUT_S,
    UpstreamConnection,
    connect,
)
from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.placement.endpoints import EndpointState

__all__ = ['ConnectionNeeds', 'DirectConnector', 'EndpointConnector']


class ConnectionNeeds(NamedTuple):
    """What a request asks of its connection; see ``EndpointRequest``."""

    priority: int = 0
    allowed_regions: frozenset[str] = frozenset()


class EndpointConnector(ABC):
    """How connections to endpoints are opened, and which open ones may be used."""

    def __init__(self, *, links: LinkMonitor) -> None:
        self.links = links

    @abstractmethod
    async def connect(
        self, state: EndpointState, needs: ConnectionNeeds
    ) -> UpstreamConnection | NotSent:
        """Open a connection to ``state``."""

    @abstractmethod
    def may_use(
        self, connection: UpstreamConnection, state: EndpointState, needs: ConnectionNeeds
    ) -> bool:
        """Return whether an idle ``connection`` may carry a request."""

    @abstractmethod
    def keeps(self, connection: UpstreamConnection, state: EndpointState) -> bool:
        """Return whether ``connection`` is kept for further requests."""

    @abstractmethod
    def record_signals(
        self, connection: UpstreamConnection, state: EndpointState, signals: EndpointSignals
    ) -> None:
        """Record what the endpoint said in a response on ``connection``."""

    async def connect_directly(
        self,
        state: EndpointState,
        *,
        id_header: bytes = b'',
        timeout_s: float = CONNECT_TIMEOUT_S,
        records_failure: bool = True,
    ) -> UpstreamConnection | NotSent:
        """Open a connection over this instance's own links.

        Unless ``records_failure``, a failure does not count as a sign of lost links; the caller
        may count it later.
        """
        zone = state.record.zone
        started_at = anyio.current_time()
        try:
            with anyio.fail_after(timeout_s):
                connection = await connect(
                    state.record.address,
                    id_header=id_header,
                    on_received=partial(self._record_received, zone),
                )
        except (OSError, TimeoutError) as exc:
            if records_failure:
                self.links.record_connect_failed(zone, anyio.current_time())
            return NotSent(
                reason=f'connecting: {type(exc).__name__}', timed_out=isinstance(exc, TimeoutError)
            )
        now = anyio.current_time()
        self.links.record_connected(zone, now)
        state.record_connect_time(now - started_at)
        return connection

    def _record_received(self, zone: str) -> None:
        self.links.record_received(zone, anyio.current_time())


class DirectConnector(EndpointConnector):
    """Opens connections over this instance's own links only."""

    def __init__(self, *, links: LinkMonitor, id_header: bytes) -> None:
        super().__init__(links=links)
        self._id_header = id_header

    async def connect(
        self, state: EndpointState, needs: ConnectionNeeds
    ) -> UpstreamConnection | NotSent:
        """Open a connection to ``state``."""
        return await self.connect_directly(state, id_header=self._id_header)

    def may_use(
        self, connection: UpstreamConnection, state: EndpointState, needs: ConnectionNeeds
    ) -> bool:
        """Return True: there are no other connections."""
        return True

    def keeps(self, connection: UpstreamConnection, state: EndpointState) -> bool:
        """Return True: there are no other connections."""
        return True

    def record_signals(
        self, connection: UpstreamConnection, state: EndpointState, signals: EndpointSignals
    ) -> None:
        """Do nothing: no other instance is concerned."""
