"""What endpoints announce, leaving and rest, on the product's own interface."""

import math
from collections.abc import Collection

from plantainloft_core.model import Configuration
from plantainloft_node.endpoint_signals.announcements import (
    EndpointAnnouncements,
    IncarnationAnnouncements,
)
from plantainloft_node.endpoint_signals.signals import decode_signals
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.upstream_connection import ResponseHead

__all__ = ['NodeEndpointSignals']

HEADER_NAMES = HeaderNames()


class NodeEndpointSignals:
    """The announcements of endpoints, by name.

    A restarted endpoint keeps its name; its load report names the incarnation.
    """

    def __init__(self) -> None:
        self.announcements = EndpointAnnouncements()
        self._incarnation_by_name: dict[str, str] = {}
        self._incarnation_since_by_name: dict[str, float] = {}

    def record_response(self, name: str, head: ResponseHead, *, sent_at: float, now: float) -> None:
        """Record what a response to a request that was sent at ``sent_at`` announces."""
        # A response of the incarnation before may arrive after a restart.
        if sent_at >= self._incarnation_since_by_name.get(name, float('-inf')):
            signals = decode_signals(head.status, head.headers, HEADER_NAMES)
            self.announcements.record_response(name, signals, now)

    def record_incarnation(self, name: str, incarnation: str, now: float) -> None:
        """Record the incarnation that a load report names; a new one starts clean."""
        previous = self._incarnation_by_name.get(name)
        if previous == incarnation:
            return
        self._incarnation_by_name[name] = incarnation
        if previous is not None:
            self._incarnation_since_by_name[name] = now
            self.announcements.forget(name)

    def accepts_requests(self, name: str, now: float) -> bool:
        """Return whether the endpoint wants to be sent requests by this node."""
        return self._announced(name).accepts_requests(now)

    def unwilling_endpoints(
        self, config: Configuration, service: str, key: str, now: float
    ) -> Collection[str]:
        """Return the endpoints of ``service`` that must get no request for ``key`` now."""
        if not self.announcements:
            return ()
        names = {endpoint.name for endpoint in config.endpoints_by_service.get(service, ())}
        willing = {name for name in names if self.accepts_requests(name, now)}
        # If all come back from a rest, they get all requests rather than none.
        back = {name for name in willing if self._announced(name).accepts_key(key, now)}
        return names - (back or willing)

    def retry_after_s(self, config: Configuration, service: str, now: float) -> int:
        """Return the time in seconds until the first endpoint is back from its rest.

        Returns 1 unless all endpoints that stay are resting.
        """
        announced = (
            self._announced(endpoint.name)
            for endpoint in config.endpoints_by_service.get(service, ())
        )
        ends = [one.rest_ends_at for one in announced if not one.is_leaving]
        # The end is minus infinity for an endpoint that has never asked for a rest.
        earliest = max(now, min(ends, default=now))
        return max(1, math.ceil(earliest - now))

    def remove_expired(self, config: Configuration, now: float) -> None:
        """Remove the announcements that no longer matter."""
        self.announcements.remove_expired(config.endpoints_by_name, now)

    def _announced(self, name: str) -> IncarnationAnnouncements:
        return IncarnationAnnouncements(announcements=self.announcements, incarnation=name)
