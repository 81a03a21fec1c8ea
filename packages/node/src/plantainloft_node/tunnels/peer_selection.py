"""Chooses the peers that are asked for a connection to an endpoint.

A pure decision: the nearest peers first, spread over those that are equally near. A peer
that has just declined is left out for a while.
"""

import random
from collections.abc import Collection, Mapping, Sequence
from types import MappingProxyType

from plantainloft_node.fleet.reports import FleetMember
from plantainloft_node.tunnels.frames import OpenResult

__all__ = ['MAX_PEERS_ASKED', 'PeerSelector']

MAX_PEERS_ASKED = 3
# How long a peer is left out after each result, in seconds. One that has lost its links
# finds out by itself when they return.
LEFT_OUT_S = MappingProxyType(
    {
        OpenResult.NO_LINK: 1.0,
        OpenResult.BUSY: 0.3,
        OpenResult.DRAINING: 10.0,
        OpenResult.UNKNOWN_ENDPOINT: 0.3,
        OpenResult.UNCERTAIN: 1.0,
    }
)
_WITHOUT_LINK = frozenset((OpenResult.NO_LINK, OpenResult.UNCERTAIN))
# A peer that doesn't answer may be overloaded, cut off, or of a build without tunnels.
UNANSWERED_LEFT_OUT_S = 2.0
# A peer that opened a connection this recently most likely has its links still.
TRUSTED_S = 3.0
# Share of the requests for which other peers than those are asked first, so that all of
# them get known.
EXPLORED_SHARE = 0.1
# While no instance has links, they ask each other no more often than this, and requests
# are refused at once.
MAX_FAILED_ASKS_PER_S = 20.0


class PeerSelector:
    """Ranks peers by distance, load and recent answers."""

    def __init__(self, *, local_member: FleetMember, rng: random.Random) -> None:
        self._local_member = local_member
        self._rng = rng
        self._left_out_until_by_name: dict[str, float] = {}
        self._without_link_until_by_name: dict[str, float] = {}
        self._opened_at_by_name: dict[str, float] = {}
        self._last_result_by_name: dict[str, OpenResult | None] = {}
        self._failed_asks_left = MAX_FAILED_ASKS_PER_S
        self._failed_asks_updated_at = 0.0

    def select(
        self,
        peers: Sequence[FleetMember],
        *,
        allowed_regions: Collection[str],
        tunnels_by_name: Mapping[str, int],
        now: float,
    ) -> list[FleetMember]:
        """Return the peers to ask, in order; empty if none should be asked now.

        ``peers`` are those that are up and serving, ``tunnels_by_name`` the tunnels that
        are open through each. Unless ``allowed_regions`` is empty, the request may only
        pass through these regions.
        """
        allowed = [peer for peer in peers if not allowed_regions or peer.region in allowed_regions]
        if self._remaining_failed_asks(now) < 1:
            allowed = [peer for peer in allowed if self._is_trusted(peer, now)]
        # A peer that was uncertain about one endpoint may well reach others.
        tiers = self._tiers(allowed, now) or self._uncertain(allowed)
        ordered = [self._ordered(tier, tunnels_by_name, now) for tier in tiers]
        # Instances of one zone often lose their links together, so that the second one to
        # be asked is farther away than the first.
        first = [tier[0] for tier in ordered]
        others = [peer for tier in ordered for peer in tier[1:]]
        return [*first, *others][:MAX_PEERS_ASKED]

    def record_asked(self, now: float) -> None:
        """Record that a peer is asked; it counts as failed until it has answered."""
        self._failed_asks_left = self._remaining_failed_asks(now) - 1
        self._failed_asks_updated_at = now

    def record_result(self, name: str, result: OpenResult | None, now: float) -> None:
        """Record the answer of a peer; ``None`` if there was none."""
        self._last_result_by_name[name] = result
        if result is OpenResult.OPENED:
            self._opened_at_by_name[name] = now
        if result is None or result in _WITHOUT_LINK:
            self._opened_at_by_name.pop(name, None)
        else:
            self._failed_asks_left += 1
        left_out_s = UNANSWERED_LEFT_OUT_S if result is None else LEFT_OUT_S.get(result, 0.0)
        self._left_out_until_by_name[name] = now + left_out_s
        if result in _WITHOUT_LINK:
            self._without_link_until_by_name[name] = now + left_out_s

    def _tiers(self, peers: Sequence[FleetMember], now: float) -> list[list[FleetMember]]:
        """Return the usable peers by distance.

        The nearest tier is joined with the next as long as it has fewer usable peers than
        instances without links, this one included: a few would carry the load of many.
        """
        local = self._local_member
        in_zone = [peer for peer in peers if peer.zone == local.zone]
        in_region = [
            peer for peer in peers if peer.region == local.region and peer.zone != local.zone
        ]
        elsewhere = [peer for peer in peers if peer.region != local.region]
        tiers: list[list[FleetMember]] = []
        usable: list[FleetMember] = []
        without_link = 1
        for nearest in (in_zone, in_region, elsewhere):
            usable += [peer for peer in nearest if self._is_usable(peer.name, now)]
            without_link += sum(
                now < self._without_link_until_by_name.get(peer.name, 0.0) for peer in nearest
            )
            if usable and len(usable) >= without_link:
                tiers.append(usable)
                usable = []
        return [*tiers, usable] if usable else tiers

    def _ordered(
        self, tier: Sequence[FleetMember], tunnels_by_name: Mapping[str, int], now: float
    ) -> list[FleetMember]:
        """Return the peers of a tier in the order in which they are asked.

        The first is drawn from the less used half: instances that lose their links
        together would otherwise all choose the same one.
        """
        by_load = sorted(
            tier, key=lambda peer: (tunnels_by_name.get(peer.name, 0), self._rng.random())
        )
        trusted = [peer for peer in by_load if self._is_trusted(peer, now)]
        explores = self._rng.random() < EXPLORED_SHARE
        drawn_from = by_load if explores or not trusted else trusted
        first = self._rng.choice(drawn_from[: (len(drawn_from) + 1) // 2])
        others = [peer for peer in by_load if peer != first]
        return [first, *sorted(others, key=lambda peer: peer not in trusted)]

    def _uncertain(self, peers: Sequence[FleetMember]) -> list[list[FleetMember]]:
        uncertain = [
            peer
            for peer in peers
            if self._last_result_by_name.get(peer.name) is OpenResult.UNCERTAIN
        ]
        return [uncertain] if uncertain else []

    def _is_trusted(self, peer: FleetMember, now: float) -> bool:
        return now - self._opened_at_by_name.get(peer.name, float('-inf')) < TRUSTED_S

    def _remaining_failed_asks(self, now: float) -> float:
        elapsed_s = now - self._failed_asks_updated_at
        refilled = self._failed_asks_left + elapsed_s * MAX_FAILED_ASKS_PER_S
        return min(MAX_FAILED_ASKS_PER_S, refilled)

    def _is_usable(self, name: str, now: float) -> bool:
        return now >= self._left_out_until_by_name.get(name, 0.0)
