"""Decides which requests an instance that stops still passes on."""

from plantainloft_node.engine.attempts import Attempts, Failed, Refusal
from plantainloft_node.engine.request_durations import RequestDurations

__all__ = ['STOPPING', 'StopAdmission']

# The reason of refusals.
STOPPING = 'the instance stops'
# A request may take longer than the recent ones.
DURATION_MARGIN = 2.0
# The same for one whose response starts by its deadline.
ANSWER_MARGIN = 1.25
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

        Its ``deadline``, by which its response starts, comes before the end, and no recent
        request of the route took longer than the time that is left; or the recent ones took
        so little time that it is answered by then.
        """
        if self._ends_at == float('inf'):
            return True
        time_left_s = self._ends_at - DELIVERY_S - now
        longest_s = self.durations.longest_s(route, now)
        if deadline <= now + time_left_s:
            return longest_s is None or ANSWER_MARGIN * longest_s <= time_left_s
        if longest_s is None or now >= self._estimates_until:
            return False
        is_known = self.durations.has_enough_samples(route)
        return is_known and DURATION_MARGIN * longest_s <= time_left_s

    def refuse(self, attempts: Attempts) -> Refusal | Failed:
        """Return the refusal of a request that is not admitted.

        Other instances may serve its caller at once. A request that may have run has failed
        instead.
        """
        if attempts.may_have_run:
            return Failed(reason=STOPPING)
        return Refusal(reason=STOPPING, retry_after_s=0.0)
