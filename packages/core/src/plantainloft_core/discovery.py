"""Service discovery: endpoints as the platform lists them."""

from typing import NamedTuple

__all__ = ['MAX_SLOTS', 'EndpointRecord']

# An endpoint needs a connection, and with it a file descriptor, for each running request.
MAX_SLOTS = 1_000_000


class EndpointRecord(NamedTuple):
    """One incarnation of an endpoint, that is, one run of it.

    ``address`` is ``host:port``. ``cold_s`` is how long the endpoint stays
    cold after its row was written. ``born_ms`` is its start time in Unix
    milliseconds, or 0 if the row does not contain it. An endpoint may restart
    with the same ID; the start time distinguishes its incarnations. ``seq`` rises
    with each row that the incarnation writes, or is 0 if rows do not contain it.
    ``slots`` is how many requests it runs at a time, 1 to ``MAX_SLOTS``.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_s: float
    born_ms: int = 0
    seq: int = 0

    @property
    def incarnation(self) -> str:
        """The unique ID of this incarnation.

        An endpoint that restarts may be listed again at once, without ever
        being observed as gone.
        """
        return f'{self.id}@{self.born_ms}@{self.address}'
