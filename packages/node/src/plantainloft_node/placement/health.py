"""Passive health checking of one endpoint, by the outcome of its requests.

Health reports arrive late and can be wrong: an endpoint may fail part of its
requests while its health check succeeds, or stop answering altogether. Ejection
therefore depends on the outcome of the requests sent to it.
"""

from plantainloft_node.placement.latency import ServiceLatency

__all__ = ['EndpointHealth']

# Weight of the newest answer in the failure ratio: about five answers count, enough
# to distinguish a failing endpoint from a single failure.
NEWEST_WEIGHT = 0.2
EJECTION_FAILURE_RATIO = 0.45
# The first ejection lasts ``MIN_EJECTION_S``; the time doubles as long as the
# endpoint fails its trial requests.
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0


class EndpointHealth:
    """Failure ratio, ejection and silence of one endpoint."""

    def __init__(self, *, latency: ServiceLatency) -> None:
        self._latency = latency
        self._failure_ratio = 0.0
        self._next_ejection_s = MIN_EJECTION_S
        self.ejected_until = 0.0
        self._sent_at_by_request: dict[int, float] = {}
        self._answered_at = 0.0
        self._unreachable_until = 0.0

    def is_usable(self, now: float, *, include_failing: bool = False) -> bool:
        """Return whether requests may be sent to the endpoint.

        ``include_failing``: also while it is ejected for failing part of its
        requests, as long as it answers at all.
        """
        if self.is_silent(now) or now < self._unreachable_until:
            return False
        return include_failing or now >= self.ejected_until

    def is_failing(self, now: float) -> bool:
        """Return whether the endpoint is ejected for failing requests."""
        return now < self.ejected_until and now >= self._unreachable_until

    def is_silent(self, now: float) -> bool:
        """Return whether the endpoint has stopped answering its requests."""
        if not self._sent_at_by_request:
            return False
        oldest = min(self._sent_at_by_request.values())
        return now - max(oldest, self._answered_at) > self._latency.max_silence_s

    def record_sent(self, request_number: int, now: float) -> None:
        """Record that the request ``request_number`` was sent and awaits its answer."""
        self._sent_at_by_request[request_number] = now

    def record_ended(self, request_number: int) -> None:
        """Record that the request ``request_number`` has ended, answered or not."""
        self._sent_at_by_request.pop(request_number, None)

    def record_success(self, now: float) -> None:
        """Record a complete answer."""
        self._answered_at = now
        self._failure_ratio *= 1 - NEWEST_WEIGHT
        self._next_ejection_s = MIN_EJECTION_S

    def record_failure(self, now: float) -> bool:
        """Record a failure; return whether the failure ratio calls for ejection."""
        self._failure_ratio += NEWEST_WEIGHT * (1 - self._failure_ratio)
        if self._failure_ratio < EJECTION_FAILURE_RATIO:
            return False
        self._eject(now)
        return True

    def record_unreachable(self, now: float) -> None:
        """Record a refused or unanswered connection: no process is listening."""
        self._eject(now)
        self._unreachable_until = self.ejected_until

    def _eject(self, now: float) -> None:
        if now < self.ejected_until:
            return
        self.ejected_until = now + self._next_ejection_s
        self._next_ejection_s = min(MAX_EJECTION_S, self._next_ejection_s * 2)
        # Restart just below the threshold: after the ejection, one failure ejects
        # the endpoint again, while a success lowers its failure ratio.
        self._failure_ratio = EJECTION_FAILURE_RATIO - NEWEST_WEIGHT / 2
