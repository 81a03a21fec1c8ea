"""The roster: which entry instances are live, without a shared clock or store.

Each node probes a few others per round and passes on, with its probes,
what it learnt: who is suspected, dead, leaving or back. The cost per
node does not grow with the number of nodes. A node that reads that it
is suspected answers with a higher incarnation, which supersedes the
suspicion. This is the failure detector known as SWIM (Das, Gupta,
Motivala, 2002), without its indirect probes.

Pure state: it is told what was heard and what time it is.
"""

import enum
import random
from collections.abc import Iterable
from typing import NamedTuple

from plantainloft_core.lookup import Member
from plantainloft_core.news import NewsQueue

__all__ = ['MemberEvent', 'Roster', 'Status']

FORGET_DEAD_S = 600.0


class Status(enum.IntEnum):
    """What is believed of a member; a higher value wins at one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberEvent(NamedTuple):
    """News of one member, as passed from node to node."""

    member: Member
    status: Status


class _Entry(NamedTuple):
    member: Member
    status: Status
    since: float


class Roster:
    """What one node believes of every member.

    ``suspect_s`` is how long a suspected member has to answer before it
    counts as dead. Times are monotonic seconds of the caller's clock.
    """

    def __init__(self, *, me: Member, suspect_s: float, seed: int = 0) -> None:
        self.me = me
        self.generation = 0
        self._changes: list[MemberEvent] = []
        self._suspect_s = suspect_s
        self._entry_by_name: dict[str, _Entry] = {}
        self._news = NewsQueue()
        self._probe_order: list[str] = []
        self._rng = random.Random(seed)

    def live(self) -> list[Member]:
        """Return the members believed alive, this node always among them."""
        others = (entry.member for entry in self._entry_by_name.values() if _is_live(entry))
        return [self.me, *others]

    def status_of(self, name: str) -> Status | None:
        """Return what is believed of member ``name``, if it is known."""
        entry = self._entry_by_name.get(name)
        return None if entry is None else entry.status

    def leave(self) -> None:
        """Mark this node leaving, as news for everyone."""
        self._restate(leaving=True, above=self.me.incarnation)

    def hear(self, member: Member, now: float) -> None:
        """Take a message straight from ``member`` as proof that it lives."""
        known = self._entry_by_name.get(member.name)
        if known is not None and member.incarnation < known.member.incarnation:
            # An older process of that name, or news of ours it has not
            # heard yet: the newer incarnation stands.
            return
        if known is not None and (member.incarnation, Status.DEAD) == (
            known.member.incarnation,
            known.status,
        ):
            # Others believe it dead too. It is told so in our answer and
            # comes back to all of us with a higher incarnation.
            return
        self._set(MemberEvent(member=member, status=Status.ALIVE), now)

    def miss(self, name: str, now: float) -> None:
        """Suspect ``name``: it did not answer a probe."""
        known = self._entry_by_name.get(name)
        if known is not None and known.status == Status.ALIVE:
            self._set(MemberEvent(member=known.member, status=Status.SUSPECT), now)

    def merge(self, events: Iterable[MemberEvent], now: float) -> None:
        """Take in news passed on by another node; newer news wins."""
        for event in events:
            if event.member.name == self.me.name:
                self._answer_rumour(event)
            elif self._is_news(event):
                self._set(event, now)

    def expire(self, now: float) -> None:
        """Turn long suspicion into death; forget those long dead."""
        for entry in list(self._entry_by_name.values()):
            age_s = now - entry.since
            if entry.status == Status.SUSPECT and age_s >= self._suspect_s:
                self._set(MemberEvent(member=entry.member, status=Status.DEAD), now)
            elif entry.status == Status.DEAD and age_s >= FORGET_DEAD_S:
                self._entry_by_name.pop(entry.member.name)
                self._news.discard(entry.member.name)

    def targets(self, count: int) -> list[Member]:
        """Return the next members to probe, all of them in turn.

        The dead have their turn too: after a cut heals, both sides hold
        the other dead, and only a probe that gets through tells them.
        """
        chosen: list[Member] = []
        for _ in range(min(count, len(self._entry_by_name))):
            if not self._probe_order:
                self._probe_order = list(self._entry_by_name)
                self._rng.shuffle(self._probe_order)
            entry = self._entry_by_name.get(self._probe_order.pop())
            if entry is not None and entry.member not in chosen:
                chosen.append(entry.member)
        return chosen

    def news(self, *, to: str) -> list[MemberEvent]:
        """Return the news to send with one message to member ``to``."""
        events = [self._event(name) for name in self._news.take()]
        receiver = self._entry_by_name.get(to)
        if receiver is not None and receiver.status != Status.ALIVE:
            events.append(MemberEvent(member=receiver.member, status=receiver.status))
        return events

    def take_changes(self) -> list[MemberEvent]:
        """Return what this node came to believe since the last call."""
        taken = self._changes
        self._changes = []
        return taken

    def everyone(self) -> list[MemberEvent]:
        """Return news of every member, for a node that just started."""
        return [self._event(name) for name in (self.me.name, *self._entry_by_name)]

    def _event(self, name: str) -> MemberEvent:
        if name == self.me.name:
            return MemberEvent(member=self.me, status=Status.ALIVE)
        entry = self._entry_by_name[name]
        return MemberEvent(member=entry.member, status=entry.status)

    def _is_news(self, event: MemberEvent) -> bool:
        known = self._entry_by_name.get(event.member.name)
        if known is None:
            return event.status != Status.DEAD
        heard = (event.member.incarnation, event.status)
        return heard > (known.member.incarnation, known.status)

    def _answer_rumour(self, event: MemberEvent) -> None:
        mine = event.member.incarnation == self.me.incarnation
        if event.member.incarnation > self.me.incarnation:
            # Only a process that takes itself for us can say so (an
            # address handed to a replacement): ours must stay newer.
            self._restate(leaving=self.me.leaving, above=event.member.incarnation)
        elif mine and event.status != Status.ALIVE:
            self._restate(leaving=self.me.leaving, above=self.me.incarnation)

    def _restate(self, *, leaving: bool, above: int) -> None:
        self.me = self.me._replace(leaving=leaving, incarnation=above + 1)
        self._news.add(self.me.name, nodes=len(self._entry_by_name) + 1)
        self.generation += 1

    def _set(self, event: MemberEvent, now: float) -> None:
        known = self._entry_by_name.get(event.member.name)
        if known is not None and (known.member, known.status) == event:
            return
        self._entry_by_name[event.member.name] = _Entry(event.member, event.status, now)
        self._changes.append(event)
        self._news.add(event.member.name, nodes=len(self._entry_by_name) + 1)
        self.generation += 1


def _is_live(entry: _Entry) -> bool:
    return entry.status == Status.ALIVE
