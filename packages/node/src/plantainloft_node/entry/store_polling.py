"""Which instances poll the store, and how long their polls wait for a change.

Every call to the store is charged for, and a change completes all long polls
that are open. Endpoints change all the time, so only the relays of an
availability zone poll them. The other instances receive a report from the
relays twice a second anyway, and request the rows from them. Declarations
change rarely, may be large and have to take effect everywhere at once, so each
instance polls them itself.

During an outage the store may accept polls that it never answers, without
closing their connections. The poller learns of no change until the wait of
such a poll is over, long after the store has recovered. Requests would then be
sent to an endpoint that left seconds ago, by all instances at once: their polls
are lost alike, so no peer has newer rows.
"""

import random

from plantainloft_node.fleet.membership import FleetMember, FleetMembership
from plantainloft_node.fleet.relay_selection import RELAYS_PER_ZONE, is_responsive, ranked_members
from plantainloft_node.placement.rendezvous import rendezvous_score

__all__ = ['LONG_WAIT_S', 'SHORT_WAIT_S', 'PollingPolicy', 'poll_wait_s']

# From 4 s after the end of an outage, the departure of an endpoint and a new
# configuration must take effect within 2.5 s of their acknowledgement. A lost
# poll ends after this wait, plus 1.2 s for the call and 0.4 s of back-off: at
# most 5.6 s after the outage.
SHORT_WAIT_S = 4.0
# A store that is silent for a moment can lose the polls of all instances at once, because a
# change ended their polls just before. A change that follows must be in force 4 s after the
# store is back. One relay of each availability zone polls the declarations with this wait: a
# lost poll ends 3.1 s after the outage at most, and its peers have the change 0.9 s later.
SENTINEL_WAIT_S = 1.4
# Where all instances poll, this many with the short wait are enough to notice
# changes in time; the others learn of them from heartbeats. More would only add
# calls, which are charged for.
SHORT_WAIT_INSTANCES = 24
LONG_WAIT_S = 10.0
# If no instance of a zone polls the endpoints successfully, the others start to
# poll at this interval, so that each learns of the first success before it starts.
STAGGER_S = 0.2
MAX_STAGGERED_RANK = 10
# After the store has returned from a copy, relays list its tables at once. The others get
# them from the relays, or list them after a random part of this time.
RELISTING_SPREAD_S = 1.2
# After its start an instance has not yet received the reports that say which
# peers poll the store.
STARTUP_GRACE_S = 1.5


class PollingPolicy:
    """Decides whether this instance polls the endpoints or delegates it to relays."""

    def __init__(self, *, members: FleetMembership) -> None:
        self._members = members
        self._started_at: float | None = None
        self._unpolled_since: float | None = None

    def delegates_polling(self, now: float) -> bool:
        """Return whether relays poll the endpoints for this instance.

        While none does so successfully, the other instances of the availability
        zone start to poll one after the other, by rank: the store may be
        unavailable to the relays only.
        """
        ranked = self._ranked_in_zone(now)
        rank = ranked.index(self._members.local_member)
        if rank < RELAYS_PER_ZONE:
            return False
        if self._is_polled_by_others(ranked, now):
            self._unpolled_since = None
            return True
        if self._unpolled_since is None:
            self._unpolled_since = now + self._startup_grace_left_s(now)
        stagger_s = STAGGER_S * min(rank, MAX_STAGGERED_RANK)
        return now - self._unpolled_since < stagger_s

    def long_poll_wait_s(self, now: float) -> float:
        """Return how long a poll of the store waits for a change, in seconds."""
        return SHORT_WAIT_S if self._is_relay(now) else poll_wait_s(self._members, now)

    def declarations_wait_s(self, now: float) -> float:
        """Return how long a poll of the declarations waits for a change, in seconds."""
        is_sentinel = self._ranked_in_zone(now)[0] == self._members.local_member
        return SENTINEL_WAIT_S if is_sentinel else self.long_poll_wait_s(now)

    def relisting_delay_s(self, now: float) -> float:
        """Return how long to wait before listing a table of a store that has returned."""
        if self._is_relay(now):
            return 0.0
        return RELISTING_SPREAD_S * random.uniform(0.5, 1.0)

    def _is_relay(self, now: float) -> bool:
        ranked = self._ranked_in_zone(now)
        return ranked.index(self._members.local_member) < RELAYS_PER_ZONE

    def _ranked_in_zone(self, now: float) -> list[FleetMember]:
        zone = self._members.registry.by_zone()[self._members.local_member.zone]
        return ranked_members(zone, self._members, now)

    def _is_polled_by_others(self, ranked: list[FleetMember], now: float) -> bool:
        if not any(is_responsive(one, self._members, now) for one in ranked[:RELAYS_PER_ZONE]):
            return False
        return any(self._members.liveness.polls_store(one.name) for one in ranked)

    def _startup_grace_left_s(self, now: float) -> float:
        if self._started_at is None:
            self._started_at = now
        return max(0.0, self._started_at + STARTUP_GRACE_S - now)


def poll_wait_s(members: FleetMembership, now: float) -> float:
    """Return the wait in seconds of this instance's polls if all instances poll.

    All instances compute the same ranking of those that are up, so about
    ``SHORT_WAIT_INSTANCES`` use the short wait whichever instances fail.
    """
    names = [member.name for member in members.peers_up(now)]
    mine = _poll_order(members.local_member.name)
    ahead = sum(1 for name in names if _poll_order(name) > mine)
    return SHORT_WAIT_S if ahead < SHORT_WAIT_INSTANCES else LONG_WAIT_S


def _poll_order(name: str) -> tuple[int, str]:
    return rendezvous_score('polls', name), name
