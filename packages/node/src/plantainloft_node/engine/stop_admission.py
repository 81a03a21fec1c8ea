"""Decides which requests an instance that stops still passes on."""

from plantainloft_node.engine.attempts import Attempts, Failed, Refusal
from plantainloft_node.engine.request_durations import RequestDurations

__all__ = ['StopAdmission']

# The reason of refusals.
STOPPING = 'the instance stops'
# A request may take longer than the recent ones.
DURATION_MARGIN = 2.0
# Sending the last bytes of a response takes up to this long.
DELIVERY_S = 0.1


class StopAdmission:
    """Admits only requests that can be finished before the process ends.

    A request that can't is refused at once, while its caller has time to go elsewhere.
    Requests that come late must be certain to be finished; their callers have had time to
    go elsewhere.
    """

    def __init__(self) -> None:
        self.durations = RequestDurations()
        self._ends_at = float('inf')
        self._estimates_until = float('inf')

    def start(self, *, ends_at: float, estimates_until: float) -> None:
        """Stop: open requests are cut at ``ends_at``.

        The durations of recent requests are relied on before ``estimates_until``. Times are
        monotonic.
        """
        self._ends_at = ends_at
        self._estimates_until = estimates_until

    def admits(self, route: str, *, deadline: float, now: float) -> bool:
        """Return whether a request of ``route`` may be sent to an endpoint.

        Either its ``deadline`` comes first, or the recent requests of the route took so
        little time that it is answered by then.
        """
        last_answer_at = self._ends_at - DELIVERY_S
        if deadline <= last_answer_at:
            return True
        if now >= self._estimates_until:
            return False
        longest_s = self.durations.longest_s(route, now)
        return longest_s is not None and now + DURATION_MARGIN * longest_s <= last_answer_at

    def refuse(self, attempts: Attempts) -> Refusal | Failed:
        """Return the refusal of a request that is not admitted.

        Other instances may serve its caller at once. A request that may have run has failed
        instead.
        """
        if attempts.may_have_run:
            return Failed(reason=STOPPING)
        return Refusal(reason=STOPPING, retry_after_s=0.0)
