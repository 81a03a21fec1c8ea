"""Sends and receives the heartbeat datagrams of the fleet.

Datagrams need no connection, so there is no connection that can stall, and a
slow peer delays nobody else. Data that a report only announces, such as newer
rows, is fetched by a call on a stream.
"""

import logging
import random
from collections.abc import Callable

import anyio
from anyio.abc import UDPSocket

from plantainloft_node.endpoint_limits.registry import EndpointLimitRegistry
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.fleet.report_planner import OutgoingDatagram, ReportPlanner
from plantainloft_node.fleet.report_receiver import PromiseHandler, ReportReceiver, UpdateHint
from plantainloft_node.fleet.report_timings import HEARTBEAT_INTERVAL_S
from plantainloft_node.fleet.reports import Heartbeat
from plantainloft_node.quarantine.crash_registry import CrashRegistry

__all__ = ['HEARTBEAT_INTERVAL_S', 'HeartbeatExchange']

log = logging.getLogger(__name__)

# Delay before an urgent round. When a zone starts, many urgent changes arrive
# together, and one round then carries all of them.
URGENT_ROUND_DELAY_S = 0.1
# Limits the log lines that an unknown sender of malformed datagrams can cause.
MALFORMED_LOG_INTERVAL_S = 10.0


class HeartbeatExchange:
    """Sends this instance's rounds of datagrams and receives those of its peers."""

    def __init__(
        self,
        *,
        members: FleetMembership,
        own_heartbeat: Callable[[], Heartbeat],
        on_update_hint: Callable[[UpdateHint], None],
        seeds: tuple[str, ...],
        crash_registry: CrashRegistry,
        endpoint_limits: EndpointLimitRegistry,
        on_promises: PromiseHandler | None = None,
    ) -> None:
        self._members = members
        self._on_update_hint = on_update_hint
        self._report_receiver = ReportReceiver(
            members=members,
            crash_registry=crash_registry,
            endpoint_limits=endpoint_limits,
            on_promises=on_promises,
        )
        self._report_planner = ReportPlanner(
            members=members,
            report_receiver=self._report_receiver,
            own_heartbeat=own_heartbeat,
            seeds=seeds,
            rng=random.Random(),
            crash_registry=crash_registry,
            endpoint_limits=endpoint_limits,
        )
        self._socket: UDPSocket | None = None
        self._send_lock = anyio.Lock()
        self._round_requested = anyio.Event()
        self._previously_up: set[str] = set()
        self._malformed_logged_at = float('-inf')

    async def run(self) -> None:
        """Send and receive datagrams until cancelled."""
        host, _, port = self._members.local_member.heartbeat_address.rpartition(':')
        socket = await anyio.create_udp_socket(local_host=host, local_port=int(port))
        self._socket = socket
        async with socket, anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_rounds)
            await self._receive(socket)

    async def send_round(self, *, include_not_due: bool = False) -> None:
        """Send a round now; ``include_not_due`` includes peers that are not due yet."""
        for datagram in self._report_planner.plan_round(
            anyio.current_time(), include_not_due=include_not_due
        ):
            await self._send(datagram)

    def request_round(self) -> None:
        """Schedule a round within ``URGENT_ROUND_DELAY_S``."""
        self._round_requested.set()

    async def send_to_subscribers(self) -> None:
        """Send reports to subscribers, which do not poll the store themselves."""
        for datagram in self._report_planner.datagrams_for_subscribers(anyio.current_time()):
            await self._send(datagram)

    async def send_to_zone(self, packed: bytes) -> None:
        """Send a datagram to the other instances of this availability zone that are up."""
        local = self._members.local_member
        now = anyio.current_time()
        for member in self._members.registry.by_zone()[local.zone]:
            if member != local and self._members.is_up(member.name, now):
                await self._send(OutgoingDatagram(member.heartbeat_address, packed))

    async def _send_rounds(self) -> None:
        include_not_due = True
        while True:
            await self.send_round(include_not_due=include_not_due)
            self._log_changes()
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                await self._round_requested.wait()
            include_not_due = self._round_requested.is_set()
            if include_not_due:
                await anyio.sleep(URGENT_ROUND_DELAY_S)
                self._round_requested = anyio.Event()

    async def _send(self, datagram: OutgoingDatagram) -> None:
        host, _, port = datagram.address.rpartition(':')
        if self._socket is None:
            return
        try:
            async with self._send_lock:
                await self._socket.sendto(datagram.packed, host, int(port))
        except OSError as exc:
            log.debug('Fleet: could not send a datagram to %s: %s', datagram.address, exc)

    async def _receive(self, socket: UDPSocket) -> None:
        while True:
            packed, (host, _) = await socket.receive()
            now = anyio.current_time()
            result = self._report_receiver.receive(packed, host, now)
            if result is None:
                self._log_malformed(host, now)
                continue
            if result.is_urgent:
                self._round_requested.set()
            for hint in result.hints:
                self._on_update_hint(hint)

    def _log_malformed(self, host: str, now: float) -> None:
        if now - self._malformed_logged_at < MALFORMED_LOG_INTERVAL_S:
            return
        self._malformed_logged_at = now
        log.warning(
            'Fleet: ignored a malformed datagram from %s.', host, extra={'kind': 'bad_beat'}
        )

    def _log_changes(self) -> None:
        now = anyio.current_time()
        up = {member.name for member in self._members.peers_up(now)}
        joined, lost = up - self._previously_up, self._previously_up - up
        if joined or lost:
            log.info(
                'Fleet: %d instances came up, %d went down, %d are up.',
                len(joined),
                len(lost),
                len(up),
                extra={
                    'kind': 'member',
                    'fields': {
                        'up': sorted(joined),
                        'down': sorted(lost),
                        'silent_s': {
                            name: self._members.liveness.silent_for_s(name, now)
                            for name in sorted(lost)
                        },
                    },
                },
            )
        self._previously_up = up
