"""Beats between entry instances, as datagrams.

A datagram needs no connection, so none can go silent, and one slow peer
holds up nobody. What a beat only hints at (newer rows) is asked for by a
call on a stream.
"""

import logging
from collections.abc import Callable
from typing import Any

import anyio
import msgpack
from anyio.abc import UDPSocket

from plantainloft_node.fleet.members import Beat, FleetMember, MemberBook

__all__ = ['BeatExchange']

log = logging.getLogger(__name__)

BEAT_S = 0.5
# Other regions are told every other time; their bytes cost more and they
# are not named to this region's callers.
FAR_EVERY = 2
_MALFORMED = (ValueError, TypeError, IndexError, msgpack.UnpackException)


class BeatExchange:
    """Sends this instance's beats and takes those of the others."""

    def __init__(
        self,
        *,
        members: MemberBook,
        state: Callable[[], Beat],
        on_beat: Callable[[Beat], None],
        seeds: tuple[str, ...],
    ) -> None:
        self._members = members
        self._state = state
        self._on_beat = on_beat
        self._seeds = seeds
        self._socket: UDPSocket | None = None
        self._sending = anyio.Lock()
        self._was_up: set[str] = set()

    async def run(self) -> None:
        """Send and receive until cancelled."""
        host, _, port = self._members.me.peer.rpartition(':')
        socket = await anyio.create_udp_socket(local_host=host, local_port=int(port))
        self._socket = socket
        async with socket, anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_rounds)
            await self._receive(socket)

    async def send_round(self, *, far: bool = True) -> None:
        """Tell the others now."""
        packed = _pack(self._state())
        targets = {
            member.peer
            for member in self._members.everyone()
            if far or member.region == self._members.me.region
        }
        if not targets:
            targets = set(self._seeds)
        for address in targets - {self._members.me.peer}:
            await self._send(packed, address)

    async def _send_rounds(self) -> None:
        number = 0
        while True:
            await self.send_round(far=not number % FAR_EVERY)
            self._log_changes()
            number += 1
            await anyio.sleep(BEAT_S)

    async def _send(self, packed: bytes, address: str) -> None:
        host, _, port = address.rpartition(':')
        if self._socket is None:
            return
        try:
            async with self._sending:
                await self._socket.sendto(packed, host, int(port))
        except OSError as exc:
            log.debug('Fleet: beat to %s not sent (%s).', address, exc)

    async def _receive(self, socket: UDPSocket) -> None:
        while True:
            packed, _ = await socket.receive()
            beat = _unpack(packed)
            if beat is None:
                log.warning('Fleet: a datagram is no beat.', extra={'kind': 'bad_beat'})
                continue
            fresh = self._members.hear(beat, anyio.current_time())
            if fresh and beat.member.name != self._members.me.name:
                await self._send(_pack(self._state()), beat.member.peer)
            self._on_beat(beat)

    def _log_changes(self) -> None:
        now = anyio.current_time()
        up = {
            member.name
            for member in self._members.everyone()
            if self._members.is_up(member.name, now)
        }
        for name in up ^ self._was_up:
            log.info(
                'Fleet: %s is %s.',
                name,
                'up' if name in up else 'down',
                extra={'kind': 'member', 'fields': {'member': name, 'up': name in up}},
            )
        self._was_up = up


def _pack(beat: Beat) -> bytes:
    rates = {service: round(rate, 1) for service, rate in beat.rate_by_service.items()}
    packed: bytes = msgpack.packb(
        [
            list(beat.member),
            beat.ready,
            beat.leaving,
            beat.newest_by_table,
            rates,
        ]
    )
    return packed


def _unpack(packed: bytes) -> Beat | None:
    try:
        return _beat(msgpack.unpackb(packed))
    except _MALFORMED:
        return None


def _beat(raw: Any) -> Beat:
    member, *rest = raw
    return Beat(FleetMember(*member), *rest)
