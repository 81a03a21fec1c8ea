"""The known entry instances by name, each with its newest incarnation."""

from plantainloft_node.fleet.reports import FleetMember, member_key

__all__ = ['MemberRegistry']


class MemberRegistry:
    """All known instances except this one, by name and by key."""

    def __init__(self, *, local_member: FleetMember) -> None:
        self.local_member = local_member
        self._member_by_name: dict[str, FleetMember] = {}
        self._name_by_key: dict[int, str] = {member_key(local_member): local_member.name}
        # Cached until the membership changes.
        self._members_by_zone: dict[str, list[FleetMember]] | None = None
        # Incremented whenever an instance is added, replaced or removed.
        self.revision = 0

    def get(self, name: str) -> FleetMember | None:
        """Return the instance called ``name``."""
        return self._member_by_name.get(name)

    def name_of(self, key: int) -> str | None:
        """Return the name of the instance with ``key``, which may be this one."""
        return self._name_by_key.get(key)

    @property
    def peer_count(self) -> int:
        """The number of known instances except this one."""
        return len(self._member_by_name)

    def peers(self) -> list[FleetMember]:
        """Return all known instances except this one."""
        return list(self._member_by_name.values())

    def by_zone(self) -> dict[str, list[FleetMember]]:
        """Return all instances, including this one, by availability zone."""
        if self._members_by_zone is None:
            self._members_by_zone = {self.local_member.zone: [self.local_member]}
            for member in self._member_by_name.values():
                self._members_by_zone.setdefault(member.zone, []).append(member)
        return dict(self._members_by_zone)

    def put(self, member: FleetMember) -> bool:
        """Add or update ``member``; return whether it replaced another incarnation."""
        known = self._member_by_name.get(member.name)
        if known == member:
            return False
        if known is not None:
            self._name_by_key.pop(member_key(known), None)
        self._member_by_name[member.name] = member
        self._members_by_zone = None
        self.revision += 1
        self._name_by_key[member_key(member)] = member.name
        return known is not None and known.incarnation != member.incarnation

    def drop(self, name: str) -> None:
        """Remove the instance called ``name``."""
        known = self._member_by_name.pop(name)
        self._members_by_zone = None
        self.revision += 1
        self._name_by_key.pop(member_key(known), None)
