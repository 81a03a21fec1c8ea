"""Run one entry instance as a process and shut it down gracefully."""

import logging

import anyio
import httpx

from plantainloft_core.serving import serve_until_signal
from plantainloft_core.table_client import TableClient
from plantainloft_node.app import make_app
from plantainloft_node.config import NodeSettings
from plantainloft_node.engine.stop_times import request_grace_s, stop_times
from plantainloft_node.node import Node
from plantainloft_node.peering import PeerConnections, PeerTrafficCounter

__all__ = ['run_node']

log = logging.getLogger(__name__)

MAX_HTTP_CONNECTIONS = 400


class _NodeStop:
    """The parts of a graceful stop, which end together within the grace period."""

    def __init__(self, *, node: Node) -> None:
        self._node = node
        self._writes_end_at = float('inf')

    async def start(self, requested_at: float) -> None:
        """Tell the others that the instance leaves, and refuse what it can't finish.

        The grace period began at ``requested_at`` (monotonic).
        """
        settings = self._node.settings
        times = stop_times(
            requested_at=requested_at,
            grace_s=settings.grace_s,
            lookup_ttl_s=settings.lookup_ttl_s,
        )
        self._writes_end_at = times.writes_end_at
        self._node.forwarder.stop.start(times)
        with anyio.move_on_at(times.ends_at):
            await self._node.membership.leave()

    async def finish_writes(self) -> None:
        """Wait until the results of requests are written, while there is time."""
        left_s = self._writes_end_at - anyio.current_time()
        await self._node.batcher.flush(timeout_s=max(0.0, left_s))


async def run_node(settings: NodeSettings) -> None:
    """Run an entry instance until SIGTERM, then shut it down gracefully."""
    limits = httpx.Limits(max_connections=MAX_HTTP_CONNECTIONS)
    async with httpx.AsyncClient(limits=limits) as http:
        table = TableClient(base_url=settings.table_url, timeout_s=settings.table_timeout_s)
        async with anyio.create_task_group() as tasks:
            peer_traffic = PeerTrafficCounter()
            node = Node(
                settings=settings,
                http=http,
                table=table,
                peer_connections=PeerConnections(tasks=tasks, peer_traffic=peer_traffic),
                peer_traffic=peer_traffic,
            )
            await tasks.start(node.listen)
            tasks.start_soon(node.follower.run)
            tasks.start_soon(node.batcher.run)
            tasks.start_soon(node.handler.run_claim_recovery)
            tasks.start_soon(node.membership.run)
            for component in (node.gossip.run, node.run_crash_detection):
                tasks.start_soon(component)
            tasks.start_soon(node.tick)
            tasks.start_soon(node.poll_loads)
            log.info('Node: %s serving on %s.', settings.name, settings.listen)

            stop = _NodeStop(node=node)

            async def serve_then_stop() -> None:
                # Must run in a child task. In the task that hosts the task group,
                # hypercorn's shutdown followed by the cancellation below let a
                # CancelledError escape run_node on every graceful shutdown (a
                # traceback and exit status 1).
                await serve_until_signal(
                    make_app(node),
                    bind=settings.listen,
                    grace_s=request_grace_s(settings.grace_s),
                    on_stop=stop.start,
                )
                await stop.finish_writes()
                tasks.cancel_scope.cancel()

            tasks.start_soon(serve_then_stop)
        await table.close()
        log.info('Node: %s stopped.', settings.name)
