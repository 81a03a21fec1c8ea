"""Decides whether this instance has lost its links to the endpoints of a zone.

A failed connection may be the endpoint's fault or that of the path to it, and one
observer alone can't know which. So a link counts as lost only if a peer reaches endpoints
that this instance doesn't: several within a short time, with no connection from here
opened since. Times are in seconds of the local clock; there is no network access.
"""

import itertools
import logging
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from plantainloft_node.links.broken_connections import BrokenConnections
from plantainloft_node.links.isolation import IsolationDetector
from plantainloft_node.links.zone_links import SilenceTimer, ZoneLinks

__all__ = ['LinkMonitor']

log = logging.getLogger(__name__)

# Endpoints of a zone that only peers reach, from which on the zone's links are lost; and
# of any zones, from which on all links are.
ENDPOINTS_FOR_ZONE = 2
ENDPOINTS_FOR_ALL = 3
ZONES_FOR_ALL = 2
# Bounds of the silence that is unusual for all zones together, and for one zone.
MIN_SILENCE_S = 0.25
MAX_SILENCE_S = 0.5
MIN_ZONE_SILENCE_S = 0.4
MAX_ZONE_SILENCE_S = 1.5
# After the return, connections through peers are given up over this time, so that not all
# of them are replaced at the same moment.
RETURN_RAMP_S = 3.0


def _ignore(_: frozenset[str]) -> None:
    """Serve as the default of ``on_change``."""


class _Waiting(NamedTuple):
    links: ZoneLinks
    sent_at: float
    abandon: Callable[[], None] | None


class LinkMonitor:
    """Records connections to endpoints, and decides which zones' links are lost."""

    def __init__(self, *, on_change: Callable[[frozenset[str]], None] = _ignore) -> None:
        """``on_change`` is called with the zones whose links were lost or came back."""
        self._on_change = on_change
        self.links_by_zone: dict[str, ZoneLinks] = {}
        self._isolation = IsolationDetector()
        self.broken = BrokenConnections()
        self.all_zones_timer = SilenceTimer(
            min_silence_s=MIN_SILENCE_S, max_silence_s=MAX_SILENCE_S
        )
        self._waiting_by_token: dict[int, _Waiting] = {}
        self._tokens = itertools.count()
        # Connections by (zone, outcome).
        self.connects: Counter[tuple[str, str]] = Counter()

    @property
    def is_isolated(self) -> bool:
        """Whether no endpoint is reachable, from here or through a peer."""
        return self._isolation.is_isolated

    def reaches_nothing(self, now: float) -> bool:
        """Return whether a connection that is asked for now would most likely fail."""
        return self._isolation.has_just_failed(now)

    def is_lost(self, zone: str) -> bool:
        """Return whether the links to ``zone`` are lost."""
        links = self.links_by_zone.get(zone)
        return links is not None and links.lost_since is not None

    def may_use_open_connection(self, zone: str) -> bool:
        """Return whether a connection to ``zone`` that is already open may carry a request."""
        links = self.links_by_zone.get(zone)
        return links is None or links.open_connections_live

    def detour_share(self, zone: str, now: float) -> float:
        """Return the share (0..1) of connections through peers to ``zone`` that are kept."""
        links = self._links(zone)
        if links.lost_since is not None:
            return 1.0
        return max(0.0, 1 - (now - links.returned_at) / RETURN_RAMP_S)

    def vouches_for(self, zone: str, since: float) -> bool:
        """Return whether an endpoint of ``zone`` was reached after ``since``.

        If so, a connection that failed then was not due to the own path.
        """
        return self._links(zone).vouches(since)

    def record_connected(self, zone: str, now: float) -> None:
        """Record that a connection to an endpoint of ``zone`` was opened."""
        self.connects[zone, 'opened'] += 1
        links = self._links(zone)
        lost_for_s = now - (links.lost_since or now)
        if links.record_connected(now):
            log.info(
                'Links: endpoints of %s are reachable again.',
                zone,
                extra={
                    'kind': 'endpoint_links',
                    'fields': {'zones': [zone], 'lost': False, 'for_s': round(lost_for_s, 2)},
                },
            )
            self._on_change(frozenset((zone,)))
        if self._isolation.record_reached(now):
            self._on_change(frozenset(self.links_by_zone))

    def record_connect_failed(self, zone: str, now: float) -> None:
        """Record that a connection to an endpoint of ``zone`` failed or timed out."""
        self.connects[zone, 'failed'] += 1
        self._links(zone).record_connect_failed()
        if not any(links.lost_since for links in self.links_by_zone.values()):
            self._isolation.record_connect_failed(now, received_at=self.all_zones_timer.received_at)

    def record_reached_by_peer(
        self, zone: str, incarnation: str, now: float, *, zone_size: int
    ) -> None:
        """Record that a peer reached an endpoint of ``zone`` to which no connection opened.

        ``zone_size`` is the number of known endpoints of the zone.
        """
        links = self._links(zone)
        if links.lost_since is not None:
            return
        if self._isolation.record_reached(now):
            self._on_change(frozenset(self.links_by_zone))
        links.record_reached_by_peer(incarnation, now)
        if self._reaches_no_zone():
            all_links = self.links_by_zone.values()
            self._mark_lost([one for one in all_links if one.lost_since is None], now)
        elif len(links.reached_by_peers_at) >= min(ENDPOINTS_FOR_ZONE, zone_size):
            self._mark_lost([links], now)

    def record_sent(
        self, zone: str, now: float, *, abandon: Callable[[], None] | None = None
    ) -> int:
        """Record that a request was sent to ``zone``; return a token for ``record_ended``.

        ``abandon`` is called if its connection has gone silent with the zone's links.
        """
        token = next(self._tokens)
        links = self._links(zone)
        self._waiting_by_token[token] = _Waiting(links, now, abandon)
        links.timer.record_sent(token, now)
        self.all_zones_timer.record_sent(token, now)
        return token

    def record_ended(self, token: int) -> None:
        """Record that a request awaits no response any more."""
        waiting = self._waiting_by_token.pop(token, None)
        if waiting is not None:
            waiting.links.timer.record_ended(token)
            self.all_zones_timer.record_ended(token)

    def record_received(self, zone: str, now: float) -> None:
        """Record that bytes arrived from an endpoint of ``zone``."""
        self._links(zone).timer.record_received(now)
        self.all_zones_timer.record_received(now)

    def abandon_silent(self, now: float) -> None:
        """Abandon requests that wait on connections which have gone silent with their zone.

        A connection that was open when the links were lost may live on. If something has
        arrived since on any connection to the zone, none is given up.
        """
        for waiting in tuple(self._waiting_by_token.values()):
            if waiting.abandon is None or waiting.links.open_connections_live:
                continue
            timer = waiting.links.timer
            silent_s = now - max(waiting.sent_at, timer.received_at)
            if silent_s > min(MAX_SILENCE_S, timer.silence_s):
                waiting.abandon()

    def _links(self, zone: str) -> ZoneLinks:
        links = self.links_by_zone.get(zone)
        if links is None:
            timer = SilenceTimer(min_silence_s=MIN_ZONE_SILENCE_S, max_silence_s=MAX_ZONE_SILENCE_S)
            links = ZoneLinks(zone=zone, timer=timer)
            self.links_by_zone[zone] = links
        return links

    def _reaches_no_zone(self) -> bool:
        """Return whether peers reach endpoints of several zones, and this instance none."""
        zones = [links for links in self.links_by_zone.values() if links.reached_by_peers_at]
        times = [at for links in zones for at in links.reached_by_peers_at.values()]
        if len(times) < ENDPOINTS_FOR_ALL or len(zones) < ZONES_FOR_ALL:
            return False
        return all(links.reached_at < min(times) for links in self.links_by_zone.values())

    def _mark_lost(self, lost: list[ZoneLinks], now: float) -> None:
        for links in lost:
            links.mark_lost(now)
        zones = sorted(links.zone for links in lost)
        log.warning(
            'Links: endpoints of %s are reachable from other instances only.',
            ', '.join(zones),
            extra={'kind': 'endpoint_links', 'fields': {'zones': zones, 'lost': True}},
        )
        self._on_change(frozenset(zones))
