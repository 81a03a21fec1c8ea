"""Liveness of other instances, observed directly or reported by peers."""

from typing import NamedTuple

__all__ = ['Liveness', 'LivenessTable']


class Liveness(NamedTuple):
    """The newest status of an instance; times are in seconds of the local clock.

    ``polls_store``: the instance polls the store and reaches it.

    ``at``: when a heartbeat was last received, here or by a peer. ``until``: when
    the instance counts as down without a newer one. ``since``: start of the
    current uninterrupted uptime.
    """

    ready: bool
    draining: bool
    polls_store: bool
    at: float
    until: float
    since: float


class LivenessTable:
    """The newest liveness of each instance; older data never replaces newer."""

    def __init__(self) -> None:
        self._liveness_by_name: dict[str, Liveness] = {}
        self._draining_names: set[str] = set()
        # Incremented whenever an instance comes up or starts to drain.
        self.revision = 0

    def record(self, name: str, reported: Liveness, now: float) -> bool:
        """Merge new liveness of ``name``; return whether it was down or unknown before."""
        known = self._liveness_by_name.get(name)
        if reported.draining and name not in self._draining_names:
            self._draining_names.add(name)
            self.revision += 1
        if known is None:
            self._liveness_by_name[name] = reported
            self.revision += 1
            return True
        was_up = now < known.until
        newest = reported if reported.at >= known.at else known
        self._liveness_by_name[name] = newest._replace(
            # Draining is never revoked: a later report from a peer that does not
            # know of it yet would bring callers back.
            draining=reported.draining or known.draining,
            until=max(reported.until, known.until),
            since=known.since if was_up else reported.at,
        )
        self.revision += not was_up
        return not was_up

    def drop(self, name: str) -> None:
        """Remove the liveness of ``name``, which was replaced or has restarted."""
        self._liveness_by_name.pop(name, None)
        self._draining_names.discard(name)
        self.revision += 1

    def get(self, name: str) -> Liveness | None:
        """Return the newest liveness of ``name``, even if it has expired."""
        return self._liveness_by_name.get(name)

    def is_up(self, name: str, now: float) -> bool:
        """Return whether ``name`` is up."""
        liveness = self._liveness_by_name.get(name)
        return liveness is not None and now < liveness.until

    def silent_for_s(self, name: str, now: float) -> float | None:
        """Return how long ago ``name`` last sent a heartbeat, here or to a peer that reported it.

        In seconds, rounded to milliseconds; ``None`` if nothing is known.
        """
        liveness = self.get(name)
        return None if liveness is None else round(now - liveness.at, 3)

    def is_draining(self, name: str) -> bool:
        """Return whether ``name`` has announced that it is shutting down."""
        liveness = self._liveness_by_name.get(name)
        return liveness is not None and liveness.draining

    def has_shut_down(self, name: str, now: float) -> bool:
        """Return whether ``name`` announced that it is shutting down, and is down since."""
        liveness = self.get(name)
        return liveness is not None and liveness.draining and now >= liveness.until

    def shut_down_names(self, now: float) -> list[str]:
        """Return the instances that announced that they are shutting down, and are down."""
        return [name for name in self._draining_names if self.has_shut_down(name, now)]

    def is_available(self, name: str) -> bool:
        """Return whether ``name`` was last reported as ready and is not draining."""
        liveness = self._liveness_by_name.get(name)
        return liveness is not None and liveness.ready and not liveness.draining

    def polls_store(self, name: str) -> bool:
        """Return whether ``name`` last reported that it reaches the store."""
        liveness = self._liveness_by_name.get(name)
        return liveness is not None and liveness.polls_store

    def uptime_s(self, name: str, now: float) -> float:
        """Return how long ``name`` has been up without interruption."""
        liveness = self._liveness_by_name.get(name)
        return now - liveness.since if liveness is not None and now < liveness.until else 0.0
