"""How long a service's endpoints take to answer, as seen by this instance.

Services differ tenfold in how long they work on a request. A fixed bound
that tells a silent endpoint from one at work suits only some of them.
"""

from plantainloft_core.routes import RouteTable

__all__ = ['EndpointPace', 'ServicePace', 'longest_wait_by_service']

# Weight of the newest answer: about 30 answers count, two seconds' worth
# at 15 a second, so that one slow endpoint moves the estimate but little.
NEWEST_WEIGHT = 0.03
# RFC 6298 bounds an answer's time by the mean and four mean deviations.
DEVIATIONS = 4.0
# Below this, a pause of this instance or a lost packet (sent again after
# 0.2 s at least, twice at most) would pass for an endpoint's silence.
SILENT_MIN_S = 0.9
# A request must have time left to be tried elsewhere once its endpoint is
# taken as silent.
WAIT_PART = 0.75
# For one endpoint about three answers count: it gets a few a second from
# one instance, and each that meets a slow one may be lost.
ENDPOINT_WEIGHT = 0.35
ENDPOINT_FADES_S = 4.0
# Before any answer, and before the routes are known.
USUAL_S = 0.3
LONGEST_WAIT_S = 1.2


class ServicePace:
    """Mean and deviation of the answer times of one service, in seconds."""

    def __init__(self) -> None:
        self.longest_wait_s = LONGEST_WAIT_S
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def note_answer(self, took_s: float) -> None:
        """Take the time from sending a request to its whole answer."""
        if self._mean_s is None:
            self._mean_s = took_s
            self._deviation_s = took_s / 2
            return
        gap_s = took_s - self._mean_s
        self._deviation_s += NEWEST_WEIGHT * (abs(gap_s) - self._deviation_s)
        self._mean_s += NEWEST_WEIGHT * gap_s

    @property
    def usual_s(self) -> float:
        """The mean time of an answer."""
        return USUAL_S if self._mean_s is None else self._mean_s

    @property
    def silent_after_s(self) -> float:
        """An endpoint that answers nothing for this long is silent."""
        most = max(SILENT_MIN_S, WAIT_PART * self.longest_wait_s)
        if self._mean_s is None:
            return most
        likely = self._mean_s + DEVIATIONS * self._deviation_s
        return min(most, max(SILENT_MIN_S, likely))


class EndpointPace:
    """How long one endpoint took to answer lately, in seconds.

    The estimate fades, since an endpoint that is avoided answers nothing
    that could mend it: after a few seconds it is tried again.
    """

    def __init__(self) -> None:
        self._took_s = 0.0
        self._noted_at = 0.0

    def note_answer(self, took_s: float, now: float) -> None:
        """Take the time of an answer."""
        self._took_s += ENDPOINT_WEIGHT * (took_s - self._took_s)
        self._noted_at = now

    def note_given_up(self, after_s: float, now: float) -> None:
        """Take a request given up; its answer would have taken longer."""
        if after_s > self._took_s:
            self.note_answer(after_s, now)

    def recent_s(self, now: float) -> float:
        """Return the mean time of an answer, less the older it is."""
        return self._took_s * max(0.0, 1 - (now - self._noted_at) / ENDPOINT_FADES_S)


def longest_wait_by_service(table: RouteTable) -> dict[str, float]:
    """Return the longest route time-out (s) of each service."""
    longest: dict[str, float] = {}
    for routes in table.routes_by_host.values():
        for route in routes:
            for share in route.shares:
                known = longest.get(share.service, 0.0)
                longest[share.service] = max(known, route.timeout_s)
    return longest
