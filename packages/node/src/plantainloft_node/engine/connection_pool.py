"""A pool of idle keep-alive connections to endpoints."""

from collections import Counter
from collections.abc import Callable, Collection

import anyio

from plantainloft_node.engine.upstream_connection import UpstreamConnection
from plantainloft_node.placement.connection_share import ConnectionView

__all__ = ['ConnectionPool']

# Connections beyond the slots of an endpoint are of no use, and several entry
# instances share these slots.
MAX_IDLE_PER_ENDPOINT = 4


def _accept_all(_: UpstreamConnection) -> bool:
    return True


class ConnectionPool(ConnectionView):
    """Idle connections by endpoint incarnation; the most recently used is taken first.

    ``HttpClient`` uses the addresses of its servers in place of incarnations.
    """

    def __init__(self) -> None:
        self._idle_by_incarnation: dict[str, list[UpstreamConnection]] = {}
        self._open_by_incarnation: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return sum(map(len, self._idle_by_incarnation.values()))

    def open_count(self, incarnation: str) -> int:
        """Return the number of connections in use, opening and idle."""
        return self._open_by_incarnation[incarnation]

    def has_idle(self, incarnation: str, now: float) -> bool:
        """Return whether an idle connection has not reached its keep-alive time."""
        return any(
            now < connection.usable_until
            for connection in self._idle_by_incarnation.get(incarnation, ())
        )

    def record_opening(self, incarnation: str) -> None:
        """Count a connection that is being opened."""
        self._open_by_incarnation[incarnation] += 1

    def record_closed(self, incarnation: str) -> None:
        """Count a connection as closed or not opened."""
        self._open_by_incarnation[incarnation] -= 1
        if not self._open_by_incarnation[incarnation]:
            self._open_by_incarnation.pop(incarnation)

    def total_open(self) -> int:
        """Return the number of connections to all endpoints, idle ones included."""
        return self._open_by_incarnation.total()

    async def acquire(
        self,
        incarnation: str,
        now: float,
        *,
        accepts: Callable[[UpstreamConnection], bool] = _accept_all,
    ) -> UpstreamConnection | None:
        """Return an idle connection that is still usable, if there is one.

        Connections that ``accepts`` turns down stay in the pool.
        """
        idle = self._idle_by_incarnation.get(incarnation, [])
        for connection in reversed(tuple(idle)):
            if connection not in idle or not accepts(connection):
                continue
            idle.remove(connection)
            if connection.is_usable(now):
                return connection
            await connection.close()
        return None

    async def release(self, incarnation: str, connection: UpstreamConnection) -> None:
        """Return a reusable connection to the pool."""
        idle = self._idle_by_incarnation.setdefault(incarnation, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ENDPOINT:
            await idle.pop(0).close()

    def others_are_open(self, incarnation: str) -> bool | None:
        """Return whether an idle connection to any other endpoint is still open.

        ``None`` if there is no idle connection to others.
        """
        others = [
            connection
            for other, idle in self._idle_by_incarnation.items()
            if other != incarnation
            for connection in idle
            if connection.path is None
        ]
        return any(connection.is_open() for connection in others) if others else None

    async def close_idle(self, incarnation: str) -> None:
        """Close the idle connections to an endpoint.

        Completes also while the caller is being cancelled, for example by its deadline: a
        connection that is in the pool no longer but not closed would count as open for good.
        """
        with anyio.CancelScope(shield=True):
            for connection in self._idle_by_incarnation.pop(incarnation, []):
                await connection.close()

    async def close_unusable_tunnels(self, now: float) -> None:
        """Close idle connections through peers that can't be used any more.

        A peer that shuts down waits for them.
        """
        for idle in tuple(self._idle_by_incarnation.values()):
            for connection in tuple(idle):
                is_tunnel = connection in idle and connection.path is not None
                if is_tunnel and not connection.is_usable(now):
                    idle.remove(connection)
                    await connection.close()

    async def close_all_except(self, incarnations: Collection[str]) -> None:
        """Close the idle connections to all endpoints but ``incarnations``.

        No request is sent to an endpoint that has left, so nothing else would close
        its connections. Each replaced endpoint would leak four descriptors; with 370
        replacements a day, a limit of 4,100 descriptors is reached in three days.
        """
        for incarnation in self._idle_by_incarnation.keys() - set(incarnations):
            await self.close_idle(incarnation)
