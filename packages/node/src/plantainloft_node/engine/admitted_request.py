"""A request that passed the checks of its route and organisation."""

from typing import NamedTuple

from plantainloft_core.organisations import Organisation
from plantainloft_core.routes import Route
from plantainloft_node.engine.exchange import Exchange

__all__ = ['AdmittedRequest']


class AdmittedRequest(NamedTuple):
    """A request with its route and its deadline.

    ``caller_deadline`` is when the caller gives up, which may be later than ``deadline``.
    ``organisation`` is the one identified by the caller's key; ``None`` where no key
    is required.
    """

    exchange: Exchange
    route: Route
    affinity_key: str
    deadline: float
    caller_deadline: float
    body: bytes
    body_complete: bool
    organisation: Organisation | None = None
