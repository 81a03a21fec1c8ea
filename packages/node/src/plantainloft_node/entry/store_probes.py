"""Asks peers whether the store is down, or unavailable to this instance only.

After a failed call an instance only knows that something is wrong between it
and the store. If it assumed an outage, it would take a row that is removed at
that time for an expired one, and keep using the endpoint although it has left.
Only the instances that cannot reach the store would send requests there. So
after each failure a few peers are asked to probe the store. A peer that reaches
it answers for how long the store has been available. A peer that does not
reach it learns of the outage, before it learns of rows that expired during it.
"""

import logging
import random
from typing import Any

import anyio

from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.fleet.membership import FleetMember, FleetMembership
from plantainloft_node.replica.store_availability import ROW_EXPIRY_GRACE_S

__all__ = ['PROBE_CALL', 'StoreProbes']

log = logging.getLogger(__name__)

PROBE_CALL = 'probe'
# Peers asked concurrently, and in total, until one reaches the store. The store
# may be unavailable to many instances at once. If too few are asked, often none
# can explain the failure, and an endpoint that left gets requests for the whole
# grace period.
PEERS_AT_ONCE = 2
MAX_PEERS_ASKED = 6
# A slow store answers within 0.5 s, and within 0.1 s more from another region.
PROBE_TIMEOUT_S = 0.7
# Failures come in pairs, one for each polled table, and every call is charged for.
MIN_PROBE_INTERVAL_S = 0.5


class StoreProbes:
    """Asks peers to probe the store after a failure, and probes it for them."""

    def __init__(
        self, *, calls: PeerCalls, members: FleetMembership, replicated_state: ReplicatedState
    ) -> None:
        self._calls = calls
        self._members = members
        self._store = replicated_state.store
        self._routing_state = replicated_state.routing_state
        self._store_availability = replicated_state.routing_state.store_availability

    async def run(self) -> None:
        """Ask peers after each failed call to the store until cancelled."""
        while True:
            await self._store_availability.wait_for_failure()
            await self._ask_peers()
            await anyio.sleep(MIN_PROBE_INTERVAL_S)

    async def answer_probe_call(self, _: Any) -> float | None:
        """Probe the store for a peer.

        Return for how many seconds it has been available to this instance, or
        ``None`` if it is not.
        """
        if self._store_availability.is_failing:
            return None
        sent_at = anyio.current_time()
        answered = False
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            answered = await self._probe()
        now = anyio.current_time()
        if not answered:
            self._store_availability.record_failure(due_at=sent_at)
            return None
        self._store_availability.record_answer(sent_at=sent_at, now=now)
        return self._store_availability.available_for_s(now)

    async def _probe(self) -> bool:
        if await self._store.probe() is None:
            return True
        # The store may have closed the idle connection that the first probe used.
        return await self._store.probe() is None

    async def _ask_peers(self) -> None:
        peers = self._peers_to_ask()
        while peers and self._store_availability.may_have_expired(anyio.current_time()):
            async with anyio.create_task_group() as tasks:
                for member in peers[:PEERS_AT_ONCE]:
                    tasks.start_soon(self._ask_peer, member)
            peers = peers[PEERS_AT_ONCE:]

    def _peers_to_ask(self) -> list[FleetMember]:
        """Return random peers that have been up continuously for the grace period.

        A peer from the other side of a network partition that has just healed had
        access to the store all the time. It saw the rows of this side expire
        although their endpoints are alive, so its answer would be misleading.
        Peers that last reported to poll the store successfully come first.
        """
        now = anyio.current_time()
        up = self._members.peers_up(now)
        known = [
            one
            for one in up
            if self._members.liveness.uptime_s(one.name, now) >= ROW_EXPIRY_GRACE_S
        ]
        candidates = random.sample(known, len(known))
        candidates.sort(key=lambda one: self._members.liveness.polls_store(one.name), reverse=True)
        return candidates[:MAX_PEERS_ASKED]

    async def _ask_peer(self, member: FleetMember) -> None:
        asked_at = anyio.current_time()
        available_for_s = await self._calls.call(member, PROBE_CALL, None)
        if not isinstance(available_for_s, float):
            return
        now = anyio.current_time()
        self._store_availability.record_peer_access(since=now - available_for_s, asked_at=asked_at)
        log.info(
            'Store: available to %s although a call from this instance failed.',
            member.name,
            extra={'kind': 'store_probe', 'fields': {'member': member.name}},
        )
        self._routing_state.expire_grace_periods(now)
