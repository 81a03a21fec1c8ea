"""Membership list with failure detection, without a shared clock or store.

This is the SWIM failure detector (Das, Gupta, Motivala, 2002) without its
indirect probes. In each round, a node probes a few others and sends with each
probe the status changes that it knows of. The cost per node does not grow
with the number of nodes. A node that learns that it is suspected refutes this
with a higher incarnation, which supersedes the suspicion.

The module does no I/O: callers pass in received messages and the time.
"""

import enum
import random
from collections.abc import Iterable
from typing import NamedTuple

from plantainloft_core.lookup import Member
from plantainloft_core.news import GossipQueue

__all__ = ['MemberEvent', 'Roster', 'Status']

DEAD_RETENTION_S = 600.0


class Status(enum.IntEnum):
    """Status of a member; within an incarnation, the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberEvent(NamedTuple):
    """A status update of one member, as sent between nodes."""

    member: Member
    status: Status


class _Entry(NamedTuple):
    member: Member
    status: Status
    since: float


class Roster:
    """One node's view of the status of all members.

    A suspected member that does not respond within ``suspect_s`` is declared
    dead. ``generation`` is incremented with each change of the view. Times are
    in seconds of the caller's monotonic clock.
    """

    def __init__(self, *, me: Member, suspect_s: float, seed: int = 0) -> None:
        self.me = me
        self.generation = 0
        self._status_changes: list[MemberEvent] = []
        self._suspect_s = suspect_s
        self._entry_by_name: dict[str, _Entry] = {}
        self._gossip = GossipQueue()
        self._probe_order: list[str] = []
        self._rng = random.Random(seed)

    def live(self) -> list[Member]:
        """Return the members believed to be alive, including this node."""
        others = (entry.member for entry in self._entry_by_name.values() if _is_live(entry))
        return [self.me, *others]

    def status_of(self, name: str) -> Status | None:
        """Return the status of member ``name``, or ``None`` if it is not known."""
        entry = self._entry_by_name.get(name)
        return None if entry is None else entry.status

    def leave(self) -> None:
        """Mark this node as leaving and announce it to the other members."""
        self._announce_self(leaving=True, above=self.me.incarnation)

    def hear(self, member: Member, now: float) -> None:
        """Mark ``member`` alive after a message that it has sent itself."""
        known = self._entry_by_name.get(member.name)
        if known is not None and member.incarnation < known.member.incarnation:
            # The message is from an older process of that name, or the member
            # has not received our update yet: keep the newer incarnation.
            return
        if known is not None and (member.incarnation, Status.DEAD) == (
            known.member.incarnation,
            known.status,
        ):
            # Other nodes believe that it is dead as well. Our response tells it
            # so, and it announces itself with a higher incarnation.
            return
        self._update(MemberEvent(member=member, status=Status.ALIVE), now)

    def miss(self, name: str, now: float) -> None:
        """Mark ``name`` suspect after a probe that it did not answer."""
        known = self._entry_by_name.get(name)
        if known is not None and known.status == Status.ALIVE:
            self._update(MemberEvent(member=known.member, status=Status.SUSPECT), now)

    def merge(self, events: Iterable[MemberEvent], now: float) -> None:
        """Apply updates received from another node, unless newer ones are known."""
        for event in events:
            if event.member.name == self.me.name:
                self._refute(event)
            elif self._is_newer(event):
                self._update(event, now)

    def expire(self, now: float) -> None:
        """Declare suspects dead after ``suspect_s``; remove long dead members."""
        for entry in list(self._entry_by_name.values()):
            age_s = now - entry.since
            if entry.status == Status.SUSPECT and age_s >= self._suspect_s:
                self._update(MemberEvent(member=entry.member, status=Status.DEAD), now)
            elif entry.status == Status.DEAD and age_s >= DEAD_RETENTION_S:
                self._entry_by_name.pop(entry.member.name)
                self._gossip.discard(entry.member.name)

    def targets(self, count: int) -> list[Member]:
        """Return the next members to probe, all of them in turn.

        Dead members are probed too. After a network partition, each side
        believes that the other is dead, and only a successful probe corrects
        this.
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
        """Return the updates to send with one message to member ``to``."""
        events = [self._event_of(name) for name in self._gossip.take()]
        receiver = self._entry_by_name.get(to)
        if receiver is not None and receiver.status != Status.ALIVE:
            events.append(MemberEvent(member=receiver.member, status=receiver.status))
        return events

    def take_changes(self) -> list[MemberEvent]:
        """Return the changes of status since the last call."""
        taken = self._status_changes
        self._status_changes = []
        return taken

    def everyone(self) -> list[MemberEvent]:
        """Return the status of all members, for a node that has just started."""
        return [self._event_of(name) for name in (self.me.name, *self._entry_by_name)]

    def _event_of(self, name: str) -> MemberEvent:
        if name == self.me.name:
            return MemberEvent(member=self.me, status=Status.ALIVE)
        entry = self._entry_by_name[name]
        return MemberEvent(member=entry.member, status=entry.status)

    def _is_newer(self, event: MemberEvent) -> bool:
        known = self._entry_by_name.get(event.member.name)
        if known is None:
            return event.status != Status.DEAD
        received = (event.member.incarnation, event.status)
        return received > (known.member.incarnation, known.status)

    def _refute(self, event: MemberEvent) -> None:
        same_incarnation = event.member.incarnation == self.me.incarnation
        if event.member.incarnation > self.me.incarnation:
            # Only another process that runs under our name can have sent this,
            # such as a replacement with our address. Ours must be the newer.
            self._announce_self(leaving=self.me.leaving, above=event.member.incarnation)
        elif same_incarnation and event.status != Status.ALIVE:
            self._announce_self(leaving=self.me.leaving, above=self.me.incarnation)

    def _announce_self(self, *, leaving: bool, above: int) -> None:
        self.me = self.me._replace(leaving=leaving, incarnation=above + 1)
        self._gossip.add(self.me.name, nodes=len(self._entry_by_name) + 1)
        self.generation += 1

    def _update(self, event: MemberEvent, now: float) -> None:
        known = self._entry_by_name.get(event.member.name)
        if known is not None and (known.member, known.status) == event:
            return
        self._entry_by_name[event.member.name] = _Entry(event.member, event.status, now)
        self._status_changes.append(event)
        self._gossip.add(event.member.name, nodes=len(self._entry_by_name) + 1)
        self.generation += 1


def _is_live(entry: _Entry) -> bool:
    return entry.status == Status.ALIVE
