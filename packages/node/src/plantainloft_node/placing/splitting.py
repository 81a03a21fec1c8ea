"""Smooth weighted turns: a split holds also over a few requests.

Drawing at random leaves a short window several per cent off its weights;
taking turns by accumulated credit keeps each prefix within one request.
"""

from plantainloft_core.routes import ServiceShare

__all__ = ['SplitTurns']


class SplitTurns:
    """Takes turns among the services of one route's split."""

    def __init__(self) -> None:
        self._credit_by_service: dict[str, float] = {}

    def next(self, shares: tuple[ServiceShare, ...]) -> str:
        """Return the service whose turn it is."""
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        credits = {
            share.service: self._credit_by_service.get(share.service, 0.0) + share.weight
            for share in shares
        }
        chosen = max(credits, key=lambda name: credits[name])
        credits[chosen] -= total
        self._credit_by_service = credits
        return chosen
