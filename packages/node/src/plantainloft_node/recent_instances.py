"""The instances that may be running: live ones, and those that fell silent recently."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainloft_core.lookup import Member

__all__ = ['RecentInstances']

# An instance that stopped responding still shares limits for this long: it may be
# partitioned from this one and still serve requests.
SILENT_INSTANCE_RETENTION_S = 60.0


class _RecentInstance(NamedTuple):
    zone: str
    until: float


class RecentInstances:
    """Remembers instances for a while after they stopped responding."""

    def __init__(self) -> None:
        self._instance_by_name: dict[str, _RecentInstance] = {}

    def update(self, live: Iterable[Member], now: float) -> Mapping[str, str]:
        """Return the zones of the instances that may be running, by name.

        ``live`` are those that respond, including this one. One that is leaving is
        not remembered.
        """
        for member in live:
            until = now + (not member.leaving) * SILENT_INSTANCE_RETENTION_S
            self._instance_by_name[member.name] = _RecentInstance(member.zone, until)
        self._instance_by_name = {
            name: instance
            for name, instance in self._instance_by_name.items()
            if instance.until >= now
        }
        return {name: instance.zone for name, instance in self._instance_by_name.items()}
