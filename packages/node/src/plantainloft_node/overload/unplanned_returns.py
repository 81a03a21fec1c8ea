"""Returns without a plan: a jittered delay, and no promises."""

import random
from collections.abc import Mapping

from plantainloft_node.overload.returns import (
    Promise,
    ReturnOffer,
    ReturnPlanner,
    ReturnRequest,
    ServiceCapacity,
)

__all__ = ['UnplannedReturns', 'no_digest']

# About the time in which endpoints finish their current requests, with jitter so that
# refused callers do not all return at once.
MIN_DELAY_S = 0.15
JITTER_S = 0.35


class UnplannedReturns(ReturnPlanner):
    """Spreads returns at random and reserves no room for them."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def offer(self, request: ReturnRequest, now: float) -> ReturnOffer:
        """Return a delay of ``earliest_s`` or more, with jitter."""
        delay_s = max(MIN_DELAY_S, request.earliest_s) + self._rng.random() * JITTER_S
        return ReturnOffer(delay_s, None)

    def claim(self, digest: bytes, now: float) -> Promise | None:
        """Return ``None``: nothing is promised."""

    def record_outcome(self, promise: Promise, *, served: bool) -> None:
        """Do nothing: nothing is promised."""

    def reserved_rate(self, service: str, now: float) -> float:
        """Return 0: nothing is promised."""
        return 0.0

    def update(self, capacity: Mapping[str, ServiceCapacity], now: float) -> None:
        """Do nothing: delays do not depend on the capacity."""


def no_digest(peer_host: str, route: str, key: str) -> bytes:
    """Return an empty digest: callers are not recognised without promises."""
    return b''
