"""Whether the store is away, or fails this instance only: ask the peers.

A call that fails tells one instance that something is wrong between it and the
store. Taken for an outage, a row that goes then would be taken for lapsed, and
its endpoint be used on though it left; one would see requests reach it from
just the instances that the store fails. So each failure has a few peers probe
the store. A peer that it serves says since when; one that it fails as well now
knows of the outage, before rows that lapsed in it come back to light.
"""

import logging
import random
from typing import Any

import anyio

from plantainloft_node.entry.observing import Observation
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.fleet.members import FleetMember, MemberBook
from plantainloft_node.replica.store_watch import LAPSE_GRACE_S

__all__ = ['PROBE_CALL', 'StoreProbes']

log = logging.getLogger(__name__)

PROBE_CALL = 'probe'
# Peers asked at once, and one after the other until the store serves one. Many
# instances may be failed together; with too few asked, a failure often stays
# without a word, and an endpoint that left gets requests for the whole grace.
PEERS_AT_ONCE = 2
MAX_ASKED = 6
# A store that is slow answers within half a second, from another region within
# a tenth more.
PROBE_S = 0.7
# Failures come in pairs, one a followed table, and every call is paid for.
SPACING_S = 0.5


class StoreProbes:
    """Has peers probe the store when it fails here, and probes it for them."""

    def __init__(self, *, calls: PeerCalls, members: MemberBook, observation: Observation) -> None:
        self._calls = calls
        self._members = members
        self._store = observation.store
        self._beliefs = observation.beliefs
        self._watch = observation.beliefs.store

    async def run(self) -> None:
        """Ask after each failure until cancelled."""
        while True:
            await self._watch.failure()
            await self._ask_peers()
            await anyio.sleep(SPACING_S)

    async def tell(self, _: Any) -> float | None:
        """Return for how many seconds the store has served this instance."""
        if self._watch.is_failing:
            return None
        sent_at = anyio.current_time()
        answered = False
        with anyio.move_on_after(PROBE_S):
            answered = await self._probe()
        now = anyio.current_time()
        if not answered:
            self._watch.note_failed(due_at=sent_at)
            return None
        self._watch.note_answered(sent_at=sent_at, now=now)
        return self._watch.served_s(now)

    async def _probe(self) -> bool:
        if await self._store.probe() is None:
            return True
        # The store may have closed the kept connection that it went out on.
        return await self._store.probe() is None

    async def _ask_peers(self) -> None:
        peers = self._peers_to_ask()
        while peers and self._watch.may_have_lapsed(anyio.current_time()):
            async with anyio.create_task_group() as tasks:
                for member in peers[:PEERS_AT_ONCE]:
                    tasks.start_soon(self._ask, member)
            peers = peers[PEERS_AT_ONCE:]

    def _peers_to_ask(self) -> list[FleetMember]:
        """Draw from those heard without a gap for the time of grace.

        One from beyond a cut that has just healed was served all the while and
        saw the rows of this side lapse, though their endpoints live. Those that
        were last in touch with the store come first.
        """
        now = anyio.current_time()
        up = self._members.up(now)
        known = [one for one in up if self._members.signs.up_for_s(one.name, now) >= LAPSE_GRACE_S]
        drawn = random.sample(known, len(known))
        drawn.sort(key=lambda one: self._members.signs.is_following(one.name), reverse=True)
        return drawn[:MAX_ASKED]

    async def _ask(self, member: FleetMember) -> None:
        asked_at = anyio.current_time()
        served_s = await self._calls.call(member, PROBE_CALL, None)
        if not isinstance(served_s, float):
            return
        now = anyio.current_time()
        self._watch.note_served_elsewhere(since=now - served_s, asked_at=asked_at)
        log.info(
            'Store: it serves %s.',
            member.name,
            extra={'kind': 'store_probe', 'fields': {'member': member.name}},
        )
        self._beliefs.tick(now)
