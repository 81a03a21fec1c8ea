"""What simulated endpoints announce, and which requests reached them nevertheless."""

from collections import defaultdict
from typing import NamedTuple

__all__ = [
    'NO_ANNOUNCEMENT',
    'AnnouncementLog',
    'EndpointArrival',
    'ModelAnnouncement',
    'RestPeriod',
]


class ModelAnnouncement(NamedTuple):
    """What an endpoint announces: turning requests away for ``rest_s``, or leaving."""

    rest_s: float = 0.0
    leaves: bool = False


NO_ANNOUNCEMENT = ModelAnnouncement()


class EndpointArrival(NamedTuple):
    """A request of an instance that reached an endpoint, and when its caller sent it."""

    endpoint_id: str
    instance: str
    asked_at: float
    at: float


class RestPeriod(NamedTuple):
    """A rest that an endpoint asked an instance for."""

    endpoint_id: str
    instance: str
    began_at: float
    rest_s: float


class AnnouncementLog:
    """Arrivals at endpoints, the rest periods asked for, and who knew of a leaving endpoint."""

    def __init__(self) -> None:
        self.arrivals: list[EndpointArrival] = []
        self.rest_periods: list[RestPeriod] = []
        self.leaving_known_at: dict[tuple[str, str], float] = {}

    def record_leaving(self, endpoint_id: str, instance: str, now: float) -> None:
        """Record that a response to ``instance`` says that the endpoint leaves."""
        self.leaving_known_at.setdefault((endpoint_id, instance), now)

    def arrivals_after_leaving(self, *, drain_s: float) -> int:
        """Return the requests that reached an endpoint too late after it announced leaving.

        Too late means that the caller sent them more than ``drain_s`` after the same
        instance had passed the announcement on.
        """
        return sum(
            arrival.asked_at > known_at + drain_s
            for arrival in self.arrivals
            if (known_at := self.leaving_known_at.get((arrival.endpoint_id, arrival.instance)))
            is not None
        )

    def most_arrivals_in_rest(self, *, grace_s: float) -> int:
        """Return the most requests from one instance in one rest, from ``grace_s`` on."""
        times_by_pair: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
        for arrival in self.arrivals:
            times_by_pair[arrival.endpoint_id, arrival.instance].append(arrival.at)
        counts = (
            sum(
                rest.began_at + grace_s < at < rest.began_at + rest.rest_s
                for at in times_by_pair[rest.endpoint_id, rest.instance]
            )
            for rest in self.rest_periods
        )
        return max(counts, default=0)
