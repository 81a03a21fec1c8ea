"""Shares of the connections that all instances together may keep to an endpoint.

An endpoint resets connections beyond its maximum, and requests on them that may not be
repeated are lost. The maximum is divided in advance over the instances that may be running.
"""

from abc import ABC, abstractmethod

__all__ = ['ConnectionView', 'UnlimitedConnections', 'connection_share']


class ConnectionView(ABC):
    """The connections of this instance to endpoints, by incarnation."""

    @abstractmethod
    def open_count(self, incarnation: str) -> int:
        """Return the number of connections in use, opening and idle."""

    @abstractmethod
    def has_idle(self, incarnation: str, now: float) -> bool:
        """Return whether an idle connection may be used."""

    @abstractmethod
    def total_open(self) -> int:
        """Return the number of connections to all endpoints, idle ones included."""

    def may_carry(self, incarnation: str, *, share: int, now: float) -> bool:
        """Return whether one more request keeps the connections within ``share``."""
        return self.has_idle(incarnation, now) or self.open_count(incarnation) < share


class UnlimitedConnections(ConnectionView):
    """Used where connections are not modelled: they cost nothing."""

    def open_count(self, incarnation: str) -> int:
        """Return 0."""
        return 0

    def has_idle(self, incarnation: str, now: float) -> bool:
        """Return True."""
        return True

    def total_open(self) -> int:
        """Return 0."""
        return 0


def connection_share(max_connections: int, *, instances: int) -> int:
    """Return the connections that an instance may have to an endpoint, at least one.

    ``instances`` is the number of those that may be running, 0 while it is unknown.
    """
    return max(1, max_connections // instances) if instances else 1
