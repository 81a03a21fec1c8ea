"""Passive health of one endpoint: what its answers say, not its reports.

Reports lag and mislead: an endpoint may fail part of its requests while
its health answer is good, or fall silent altogether. Ejection goes by
what requests met there.
"""

from plantainloft_node.placing.pace import ServicePace

__all__ = ['EndpointHealth']

# Weight of the newest answer in the failure share: five answers tell a
# failing endpoint from one bad answer.
NEWEST_WEIGHT = 0.2
EJECT_SHARE = 0.45
# First ejection; doubles while the endpoint fails its trial requests.
EJECT_S = 1.0
EJECT_MAX_S = 8.0


class EndpointHealth:
    """Failure share, ejection and silence of one endpoint."""

    def __init__(self, *, pace: ServicePace) -> None:
        self._pace = pace
        self._failure_share = 0.0
        self._eject_s = EJECT_S
        self.ejected_until = 0.0
        self._waiting_since: dict[int, float] = {}
        self._heard_at = 0.0
        self._unreachable_until = 0.0

    def usable(self, now: float, *, failing_too: bool = False) -> bool:
        """Return whether requests may be sent to it.

        ``failing_too``: also while it is ejected for failing a part of
        its requests, as long as it answers at all.
        """
        if self.silent(now) or now < self._unreachable_until:
            return False
        return failing_too or now >= self.ejected_until

    def failing(self, now: float) -> bool:
        """Return whether it is ejected for failing requests."""
        return now < self.ejected_until and now >= self._unreachable_until

    def silent(self, now: float) -> bool:
        """Return whether it leaves its requests without any answer."""
        if not self._waiting_since:
            return False
        oldest = min(self._waiting_since.values())
        return now - max(oldest, self._heard_at) > self._pace.silent_after_s

    def note_sent(self, number: int, now: float) -> None:
        """Count the request ``number`` as waiting for its answer."""
        self._waiting_since[number] = now

    def note_ended(self, number: int) -> None:
        """The request ``number`` waits no more, answered or not."""
        self._waiting_since.pop(number, None)

    def note_good(self, now: float) -> None:
        """Take a whole answer."""
        self._heard_at = now
        self._failure_share *= 1 - NEWEST_WEIGHT
        self._eject_s = EJECT_S

    def note_failed(self, now: float) -> bool:
        """Take a failure; return whether it ejects the endpoint."""
        self._failure_share += NEWEST_WEIGHT * (1 - self._failure_share)
        if self._failure_share < EJECT_SHARE:
            return False
        self._eject(now)
        return True

    def note_unreachable(self, now: float) -> None:
        """Take a refused or unanswered connection: nothing listens there."""
        self._eject(now)
        self._unreachable_until = self.ejected_until

    def _eject(self, now: float) -> None:
        if now < self.ejected_until:
            return
        self.ejected_until = now + self._eject_s
        self._eject_s = min(EJECT_MAX_S, self._eject_s * 2)
        # Back just under the limit: one failure after the ejection ends
        # it again, one good answer counts for the endpoint.
        self._failure_share = EJECT_SHARE - NEWEST_WEIGHT / 2
