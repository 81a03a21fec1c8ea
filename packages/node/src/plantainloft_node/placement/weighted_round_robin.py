"""Smooth weighted round robin: a traffic split holds even over a few requests.

A random draw leaves a short window several per cent off its weights. Selecting
by accumulated credit keeps each service's count, after any number of requests,
within one request of its part.
"""

from plantainloft_core.routes import WeightedService

__all__ = ['SmoothWeightedRoundRobin']


class SmoothWeightedRoundRobin:
    """Selects services in turn, by the weights of one route's split."""

    def __init__(self) -> None:
        self._credit_by_service: dict[str, float] = {}

    def next_service(self, shares: tuple[WeightedService, ...]) -> str:
        """Return the service that gets the next request."""
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        credits = {
            share.service: self._credit_by_service.get(share.service, 0.0) + share.weight
            for share in shares
        }
        selected = max(credits, key=lambda name: credits[name])
        credits[selected] -= total
        self._credit_by_service = credits
        return selected
