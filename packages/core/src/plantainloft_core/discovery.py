"""Service discovery: endpoint incarnations as the platform lists them."""

from typing import NamedTuple

__all__ = ['EndpointRecord']


class EndpointRecord(NamedTuple):
    """One incarnation of an endpoint.

    ``cold_s`` is how long it stays cold, counted from when its row was
    written; ``address`` is ``host:port``; ``born_ms`` is when it started, in
    Unix milliseconds, 0 where its row does not say. An endpoint may start
    again under its id: the time of its start tells one incarnation from
    the next.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_s: float
    born_ms: int = 0

    @property
    def incarnation(self) -> str:
        """What names this start of the endpoint, and no other.

        An endpoint that starts again may be listed at once, without ever
        being seen to leave.
        """
        return f'{self.id}@{self.born_ms}@{self.address}'
