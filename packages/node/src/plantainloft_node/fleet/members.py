"""Which entry instances there are, by the beats they send."""

from typing import NamedTuple

__all__ = ['GONE_AFTER_S', 'Beat', 'FleetMember', 'MemberBook']

# Beats come twice a second and some are lost: an instance is taken as
# down when three in a row are missing. Callers that are sent to one that
# is down wait a whole second for a connection.
DOWN_AFTER_S = 1.8
# One that was not heard for so long no longer counts for shared limits.
FORGET_AFTER_S = 60.0
# One that was not heard for so long is replaced, not cut off: the longest
# outages of a region that the users plan for last an hour, and whoever
# comes back from one makes itself known anew by its beats.
GONE_AFTER_S = 7200.0


class FleetMember(NamedTuple):
    """An entry instance: where it is, and its start (``incarnation``).

    ``front`` is the address callers use, ``peer`` the one for beats and
    calls between instances; both ``host:port``.
    """

    name: str
    incarnation: int
    region: str
    zone: str
    front: str
    peer: str


class Beat(NamedTuple):
    """What an instance says of itself twice a second.

    ``newest_by_table`` are the newest row versions that it knows,
    ``rate_by_service`` its callers' requests a second.
    """

    member: FleetMember
    ready: bool
    leaving: bool
    newest_by_table: dict[str, int]
    rate_by_service: dict[str, float]


class _Heard(NamedTuple):
    """The newest beat; ``since``: heard without a gap from then on."""

    beat: Beat
    at: float
    since: float


class MemberBook:
    """All instances known, and when each was heard."""

    def __init__(self, *, me: FleetMember) -> None:
        self.me = me
        self._heard_by_name: dict[str, _Heard] = {}
        self._known_by_name: dict[str, FleetMember] = {}
        self._learned_at_by_name: dict[str, float] = {}
        # Whether a list of all instances was read since the start.
        self.listed = False

    def learn(self, member: FleetMember, now: float) -> bool:
        """Add an instance that others told of; return whether it is new."""
        if member.name == self.me.name:
            return False
        known = self._known_by_name.get(member.name)
        if known is not None and not self._replaces(member, known, now):
            return False
        self._known_by_name[member.name] = member
        self._learned_at_by_name[member.name] = now
        return known is None

    def hear(self, beat: Beat, now: float) -> bool:
        """Take a beat; return whether its sender was unknown or down."""
        name = beat.member.name
        if name == self.me.name:
            return False
        known = self._known_by_name.get(name)
        repeats = known is not None and known.incarnation == beat.member.incarnation
        if known is not None and not repeats and not self._replaces(beat.member, known, now):
            return False
        fresh = not self.is_up(name, now)
        since = now if fresh else self._heard_by_name[name].since
        self._known_by_name[name] = beat.member
        self._heard_by_name[name] = _Heard(beat=beat, at=now, since=since)
        return fresh

    def is_up(self, name: str, now: float) -> bool:
        """Return whether ``name`` was heard lately."""
        heard = self._heard_by_name.get(name)
        return heard is not None and now - heard.at < DOWN_AFTER_S

    def heard_for_s(self, name: str, now: float) -> float:
        """Return for how long ``name`` has been heard without a gap."""
        return now - self._heard_by_name[name].since if self.is_up(name, now) else 0.0

    def everyone(self) -> list[FleetMember]:
        """Return every instance known but this one."""
        return list(self._known_by_name.values())

    def counted(self, now: float) -> list[FleetMember]:
        """Return the others that count for shared limits."""
        return [member for name, member in self._known_by_name.items() if self._counts(name, now)]

    def is_gone(self, name: str, now: float) -> bool:
        """Return whether ``name`` was known here and is long silent."""
        return name in self._known_by_name and now - self._last_sign(name, now) >= GONE_AFTER_S

    def forget_gone(self, now: float) -> list[str]:
        """Forget the instances that are gone; return their names.

        Addresses are not used again: in years of replaced instances, beats
        would go to thousands of them.
        """
        gone = [name for name in self._known_by_name if self.is_gone(name, now)]
        for name in gone:
            self._known_by_name.pop(name)
            self._heard_by_name.pop(name, None)
            self._learned_at_by_name.pop(name, None)
        return gone

    def serving(self, now: float) -> list[FleetMember]:
        """Return the others that are up, ready and not leaving."""
        return [
            heard.beat.member
            for heard in self._heard_by_name.values()
            if now - heard.at < DOWN_AFTER_S and heard.beat.ready and not heard.beat.leaving
        ]

    def beats(self, now: float) -> list[Beat]:
        """Return the last beats of the others that are up."""
        return [
            heard.beat for heard in self._heard_by_name.values() if now - heard.at < DOWN_AFTER_S
        ]

    def sharing(self, now: float) -> dict[str, str]:
        """Return the regions of those among whom limits are shared out.

        By name, this instance included.

        Those that are listed but not heard count as well: just restarted,
        an instance has heard nobody yet, and taking itself for the only
        one it would use everybody's share. Those cut off may go on
        sending. Empty until a list was read: no share is known then.
        """
        if not self.listed:
            return {}
        sharing = sorted((*self.counted(now), self.me))
        return {member.name: member.region for member in sharing}

    def _replaces(self, member: FleetMember, known: FleetMember, now: float) -> bool:
        # Incarnations are numbered by the time of day. Restarted after its
        # clock was set back, an instance has a smaller number than before;
        # refused for good, it would be up and named to no caller. While the
        # known incarnation is heard, a smaller one is a late datagram.
        if member.incarnation > known.incarnation:
            return True
        return member.incarnation < known.incarnation and not self.is_up(known.name, now)

    def _last_sign(self, name: str, now: float) -> float:
        heard = self._heard_by_name.get(name)
        learned_at = self._learned_at_by_name.get(name, now if heard is None else heard.at)
        return learned_at if heard is None else max(heard.at, learned_at)

    def _counts(self, name: str, now: float) -> bool:
        heard = self._heard_by_name.get(name)
        if heard is None:
            return now - self._learned_at_by_name.get(name, now) < FORGET_AFTER_S
        silent_s = now - heard.at
        if heard.beat.leaving and silent_s >= DOWN_AFTER_S:
            return False
        return silent_s < FORGET_AFTER_S
