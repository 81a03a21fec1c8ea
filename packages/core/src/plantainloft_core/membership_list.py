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

from plantainloft_core.gossip_queue import GossipQueue
from plantainloft_core.lookup import Member

__all__ = ['MemberUpdate', 'MembershipList', 'MembershipStatus']

DEAD_RETENTION_S = 600.0


class MembershipStatus(enum.IntEnum):
    """Status of a member; within an incarnation, the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberUpdate(NamedTuple):
    """A status update of one member, as sent between nodes."""

    member: Member
    status: MembershipStatus


class _Entry(NamedTuple):
    member: Member
    status: MembershipStatus
    since: float


class MembershipList:
    """One node's view of the status of all members.

    A suspected member that does not respond within ``suspicion_timeout_s`` is
    declared dead. ``revision`` is incremented with each change of the view.
    Times are in seconds of the caller's monotonic clock.
    """

    def __init__(self, *, local_member: Member, suspicion_timeout_s: float, seed: int = 0) -> None:
        self.local_member = local_member
        self.revision = 0
        self._status_changes: list[MemberUpdate] = []
        self._suspicion_timeout_s = suspicion_timeout_s
        self._entry_by_name: dict[str, _Entry] = {}
        self._gossip = GossipQueue()
        self._probe_order: list[str] = []
        self._rng = random.Random(seed)

    def live_members(self) -> list[Member]:
        """Return the members with status ``ALIVE``, including this node."""
        others = (entry.member for entry in self._entry_by_name.values() if _is_live(entry))
        return [self.local_member, *others]

    def status_of(self, name: str) -> MembershipStatus | None:
        """Return the status of member ``name``, or ``None`` if it is not known."""
        entry = self._entry_by_name.get(name)
        return None if entry is None else entry.status

    def announce_leaving(self) -> None:
        """Mark this node as leaving and announce it to the other members."""
        self._announce_self(leaving=True, above_incarnation=self.local_member.incarnation)

    def record_contact(self, member: Member, now: float) -> None:
        """Mark ``member`` alive after a message that it has sent itself."""
        known = self._entry_by_name.get(member.name)
        if known is not None and member.incarnation < known.member.incarnation:
            # The message is from an older process of that name, or the member
            # has not received our update yet: keep the newer incarnation.
            return
        if known is not None and (member.incarnation, MembershipStatus.DEAD) == (
            known.member.incarnation,
            known.status,
        ):
            # Other nodes have declared this incarnation dead as well. Our response
            # tells it so, and it announces itself with a higher one.
            return
        self._apply_update(MemberUpdate(member=member, status=MembershipStatus.ALIVE), now)

    def record_probe_failure(self, name: str, now: float) -> None:
        """Mark ``name`` suspect after a probe that it did not answer."""
        known = self._entry_by_name.get(name)
        if known is not None and known.status == MembershipStatus.ALIVE:
            self._apply_update(
                MemberUpdate(member=known.member, status=MembershipStatus.SUSPECT), now
            )

    def apply_updates(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Apply updates received from another node, unless newer ones are known."""
        for update in updates:
            if update.member.name == self.local_member.name:
                self._refute(update)
            elif self._is_newer(update):
                self._apply_update(update, now)

    def expire_suspects(self, now: float) -> None:
        """Declare suspects dead after ``suspicion_timeout_s``; remove long dead members."""
        for entry in list(self._entry_by_name.values()):
            age_s = now - entry.since
            if entry.status == MembershipStatus.SUSPECT and age_s >= self._suspicion_timeout_s:
                self._apply_update(
                    MemberUpdate(member=entry.member, status=MembershipStatus.DEAD), now
                )
            elif entry.status == MembershipStatus.DEAD and age_s >= DEAD_RETENTION_S:
                self._entry_by_name.pop(entry.member.name)
                self._gossip.discard(entry.member.name)

    def next_probe_targets(self, count: int) -> list[Member]:
        """Return the next members to probe, all of them in turn.

        Dead members are probed too. After a network partition, each side
        has declared the other dead, and only a successful probe corrects this.
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

    def updates_for(self, *, receiver: str) -> list[MemberUpdate]:
        """Return the updates to send with one message to member ``receiver``."""
        updates = [self._update_of(name) for name in self._gossip.take()]
        receiver_entry = self._entry_by_name.get(receiver)
        if receiver_entry is not None and receiver_entry.status != MembershipStatus.ALIVE:
            updates.append(MemberUpdate(member=receiver_entry.member, status=receiver_entry.status))
        return updates

    def take_status_changes(self) -> list[MemberUpdate]:
        """Return the changes of status since the last call."""
        taken = self._status_changes
        self._status_changes = []
        return taken

    def all_updates(self) -> list[MemberUpdate]:
        """Return the status of all members, for a node that has just started."""
        return [self._update_of(name) for name in (self.local_member.name, *self._entry_by_name)]

    def _update_of(self, name: str) -> MemberUpdate:
        if name == self.local_member.name:
            return MemberUpdate(member=self.local_member, status=MembershipStatus.ALIVE)
        entry = self._entry_by_name[name]
        return MemberUpdate(member=entry.member, status=entry.status)

    def _is_newer(self, update: MemberUpdate) -> bool:
        known = self._entry_by_name.get(update.member.name)
        if known is None:
            return update.status != MembershipStatus.DEAD
        received = (update.member.incarnation, update.status)
        return received > (known.member.incarnation, known.status)

    def _refute(self, update: MemberUpdate) -> None:
        same_incarnation = update.member.incarnation == self.local_member.incarnation
        if update.member.incarnation > self.local_member.incarnation:
            # Only another process that runs under our name can have sent this,
            # such as a replacement with our address. Ours must be the newer.
            self._announce_self(
                leaving=self.local_member.leaving, above_incarnation=update.member.incarnation
            )
        elif same_incarnation and update.status != MembershipStatus.ALIVE:
            self._announce_self(
                leaving=self.local_member.leaving, above_incarnation=self.local_member.incarnation
            )

    def _announce_self(self, *, leaving: bool, above_incarnation: int) -> None:
        self.local_member = self.local_member._replace(
            leaving=leaving, incarnation=above_incarnation + 1
        )
        self._gossip.add(self.local_member.name, nodes=len(self._entry_by_name) + 1)
        self.revision += 1

    def _apply_update(self, update: MemberUpdate, now: float) -> None:
        known = self._entry_by_name.get(update.member.name)
        if known is not None and (known.member, known.status) == update:
            return
        self._entry_by_name[update.member.name] = _Entry(update.member, update.status, now)
        self._status_changes.append(update)
        self._gossip.add(update.member.name, nodes=len(self._entry_by_name) + 1)
        self.revision += 1


def _is_live(entry: _Entry) -> bool:
    return entry.status == MembershipStatus.ALIVE
