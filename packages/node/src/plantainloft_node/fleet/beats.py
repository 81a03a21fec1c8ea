"""The fleet's datagrams: rounds of them sent, and others' received.

A datagram needs no connection, so none can go silent, and one slow peer
holds up nobody. What a report only hints at (newer rows) is asked for by a
call on a stream.
"""

import logging
import random
from collections.abc import Callable

import anyio
from anyio.abc import UDPSocket

from plantainloft_node.fleet.intake import Hint, Intake
from plantainloft_node.fleet.members import MemberBook
from plantainloft_node.fleet.relaying import Message, Relaying
from plantainloft_node.fleet.reports import Beat
from plantainloft_node.quarantine.crash_book import CrashBook

__all__ = ['BEAT_S', 'BeatExchange']

log = logging.getLogger(__name__)

BEAT_S = 0.5
# News that others should hear of now come many at once when a zone starts;
# so long is waited for further ones.
URGENT_AFTER_S = 0.1
# A stranger that sends rubbish is logged this often at most.
BAD_LOG_EVERY_S = 10.0


class BeatExchange:
    """Sends this instance's rounds and takes the datagrams of the others."""

    def __init__(
        self,
        *,
        members: MemberBook,
        state: Callable[[], Beat],
        on_hint: Callable[[Hint], None],
        seeds: tuple[str, ...],
        crashes: CrashBook,
    ) -> None:
        self._members = members
        self._on_hint = on_hint
        self._intake = Intake(members=members, crashes=crashes)
        self._relaying = Relaying(
            members=members,
            intake=self._intake,
            state=state,
            seeds=seeds,
            chance=random.Random(),
            crashes=crashes,
        )
        self._socket: UDPSocket | None = None
        self._sending = anyio.Lock()
        self._urgent = anyio.Event()
        self._was_up: set[str] = set()
        self._bad_logged_at = float('-inf')

    async def run(self) -> None:
        """Send and receive until cancelled."""
        host, _, port = self._members.me.peer.rpartition(':')
        socket = await anyio.create_udp_socket(local_host=host, local_port=int(port))
        self._socket = socket
        async with socket, anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_rounds)
            await self._receive(socket)

    async def send_round(self, *, to_all: bool = False) -> None:
        """Tell the others now; ``to_all``: also those who are not due yet."""
        for message in self._relaying.round(anyio.current_time(), to_all=to_all):
            await self._send(message)

    def hurry(self) -> None:
        """Tell the others within a moment."""
        self._urgent.set()

    async def tell_readers(self) -> None:
        """Tell those who rest while this instance follows the store."""
        for message in self._relaying.to_readers(anyio.current_time()):
            await self._send(message)

    async def _send_rounds(self) -> None:
        to_all = True
        while True:
            await self.send_round(to_all=to_all)
            self._log_changes()
            with anyio.move_on_after(BEAT_S):
                await self._urgent.wait()
            to_all = self._urgent.is_set()
            if to_all:
                await anyio.sleep(URGENT_AFTER_S)
                self._urgent = anyio.Event()

    async def _send(self, message: Message) -> None:
        host, _, port = message.address.rpartition(':')
        if self._socket is None:
            return
        try:
            async with self._sending:
                await self._socket.sendto(message.packed, host, int(port))
        except OSError as exc:
            log.debug('Fleet: datagram to %s not sent (%s).', message.address, exc)

    async def _receive(self, socket: UDPSocket) -> None:
        while True:
            packed, (host, _) = await socket.receive()
            now = anyio.current_time()
            taken = self._intake.take(packed, host, now)
            if taken is None:
                self._log_bad(host, now)
                continue
            if taken.is_urgent:
                self._urgent.set()
            for hint in taken.hints:
                self._on_hint(hint)

    def _log_bad(self, host: str, now: float) -> None:
        if now - self._bad_logged_at < BAD_LOG_EVERY_S:
            return
        self._bad_logged_at = now
        log.warning(
            'Fleet: a datagram from %s is not understood.', host, extra={'kind': 'bad_beat'}
        )

    def _log_changes(self) -> None:
        now = anyio.current_time()
        up = {member.name for member in self._members.up(now)}
        came, went = up - self._was_up, self._was_up - up
        if came or went:
            log.info(
                'Fleet: %d came up, %d went down, %d are up.',
                len(came),
                len(went),
                len(up),
                extra={'kind': 'member', 'fields': {'up': sorted(came), 'down': sorted(went)}},
            )
        self._was_up = up
