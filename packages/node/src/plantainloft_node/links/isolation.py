"""Notices that no endpoint at all is reachable from an instance."""

import logging

__all__ = ['IsolationDetector']

log = logging.getLogger(__name__)

# Connections that fail in a row before all endpoints count as unreachable, provided that
# nothing has arrived for this long either.
FAILED_CONNECTS = 3
MIN_SILENCE_S = 0.6
# While no endpoint is reachable, one is tried again after this time.
RETRY_AFTER_S = 0.5


class IsolationDetector:
    """Counts failed connections to endpoints since the last one that opened."""

    def __init__(self) -> None:
        self._failed_connects = 0
        self._failed_at = float('-inf')
        self._isolated_since: float | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether no endpoint is reachable from here."""
        return self._isolated_since is not None

    def has_just_failed(self, now: float) -> bool:
        """Return whether another attempt at any endpoint would most likely fail."""
        return self.is_isolated and now - self._failed_at < RETRY_AFTER_S

    def record_connect_failed(self, now: float, *, received_at: float) -> None:
        """Record a connection that failed; ``received_at`` is when bytes last arrived."""
        self._failed_connects += 1
        self._failed_at = now
        if self.is_isolated or self._failed_connects < FAILED_CONNECTS:
            return
        if now - received_at < MIN_SILENCE_S:
            return
        self._isolated_since = now
        log.warning(
            'Links: no endpoint is reachable from here, nor from peers that were asked.',
            extra={'kind': 'endpoint_links', 'fields': {'lost': True}},
        )

    def record_reached(self, now: float) -> bool:
        """Record that an endpoint was reached, from here or through a peer.

        Returns whether that ends an isolation.
        """
        self._failed_connects = 0
        isolated_since = self._isolated_since
        if isolated_since is None:
            return False
        self._isolated_since = None
        fields = {'lost': False, 'for_s': round(now - isolated_since, 2)}
        log.info(
            'Links: an endpoint is reachable again.',
            extra={'kind': 'endpoint_links', 'fields': fields},
        )
        return True
