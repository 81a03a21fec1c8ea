"""Service discovery: endpoint incarnations as the platform lists them."""

from typing import NamedTuple

__all__ = ['EndpointRecord']


class EndpointRecord(NamedTuple):
    """One incarnation of an endpoint.

    ``cold_s`` is how long it stays cold, counted from when its row was
    written; ``address`` is ``host:port``.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_s: float
