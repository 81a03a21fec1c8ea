"""What this instance observes of its links to the endpoints, by availability zone.

A failed connection may be the endpoint's fault or that of the path to it. Times are in
seconds of the local clock; there is no network access.
"""

from collections import Counter
from typing import NamedTuple

__all__ = ['LinkMonitor', 'ZoneObservation']

_NEVER = float('-inf')


class ZoneObservation(NamedTuple):
    """When the endpoints of a zone were last reached, and last sent anything.

    ``reached_at`` is when a connection was last opened, ``heard_at`` when bytes last
    arrived; minus infinity if never. Connections through other instances don't count.
    """

    reached_at: float = _NEVER
    heard_at: float = _NEVER


class LinkMonitor:
    """Records connections to endpoints, and what arrives on them."""

    def __init__(self) -> None:
        self._observation_by_zone: dict[str, ZoneObservation] = {}
        # Connections by (zone, outcome).
        self.connects: Counter[tuple[str, str]] = Counter()

    def observation(self, zone: str) -> ZoneObservation:
        """Return what was observed of the links to ``zone``."""
        return self._observation_by_zone.get(zone, ZoneObservation())

    def zones(self) -> list[str]:
        """Return the availability zones with observations, sorted."""
        return sorted(self._observation_by_zone)

    def record_connected(self, zone: str, now: float) -> None:
        """Record that a connection to an endpoint of ``zone`` was opened."""
        self.connects[zone, 'opened'] += 1
        self._observation_by_zone[zone] = self.observation(zone)._replace(reached_at=now)

    def record_connect_failed(self, zone: str) -> None:
        """Record that a connection to an endpoint of ``zone`` failed or timed out."""
        self.connects[zone, 'failed'] += 1

    def record_heard(self, zone: str, now: float) -> None:
        """Record that bytes arrived from an endpoint of ``zone``."""
        self._observation_by_zone[zone] = self.observation(zone)._replace(heard_at=now)
