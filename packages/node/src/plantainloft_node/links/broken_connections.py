"""Remembers which endpoints' connections broke within the last moment."""

__all__ = ['BrokenConnections']

# Connections that break with lost links break within this time of each other.
SAME_TIME_S = 0.3
RETENTION_S = 5.0


class BrokenConnections:
    """When a connection to each endpoint last broke."""

    def __init__(self) -> None:
        self._broke_at_by_incarnation: dict[str, float] = {}

    def record(self, incarnation: str, now: float) -> None:
        """Record that a connection to ``incarnation`` broke."""
        self._broke_at_by_incarnation = {
            known: at
            for known, at in self._broke_at_by_incarnation.items()
            if now - at < RETENTION_S
        }
        self._broke_at_by_incarnation[incarnation] = now

    def includes_others(self, incarnation: str, broke_at: float) -> bool:
        """Return whether a connection to any other endpoint broke at about ``broke_at``."""
        return any(
            abs(broke_at - at) < SAME_TIME_S
            for known, at in self._broke_at_by_incarnation.items()
            if known != incarnation
        )
