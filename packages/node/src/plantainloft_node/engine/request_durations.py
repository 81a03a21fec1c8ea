"""How long requests take, by route."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

__all__ = ['RequestDurations']

# Durations count for one to two of these periods.
PERIOD_S = 30.0
# The longest of fewer durations says little about the next one.
MIN_SAMPLES = 20


class _OpenRequest(NamedTuple):
    since: float
    is_sent: Callable[[], bool]


class RequestDurations:
    """The longest recent duration of a route's requests, in seconds.

    It covers the time from the head of a request to the end of its response, of requests
    that were sent to an endpoint. An open request counts with its age: the requests of a
    route that has just become slow have not ended yet.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        # By the number of the request.
        self._open_by_route: dict[str, dict[int, _OpenRequest]] = {}
        self._longest_by_route: dict[str, float] = {}
        self._previous_longest_by_route: dict[str, float] = {}
        self._count_by_route: Counter[str] = Counter()
        self._previous_count_by_route: Counter[str] = Counter()
        self._period_ends_at = float('-inf')

    @contextmanager
    def open_request(
        self, route: str, since: float, *, is_sent: Callable[[], bool]
    ) -> Iterator[None]:
        """Count a request as open within the context, once it has been sent to an endpoint.

        Its head was read at ``since`` (monotonic).
        """
        number = next(self._numbers)
        open_requests = self._open_by_route.setdefault(route, {})
        open_requests[number] = _OpenRequest(since, is_sent)
        try:
            yield
        finally:
            open_requests.pop(number)
            if not open_requests:
                self._open_by_route.pop(route)

    def record(
        self, route: str, duration_s: float, now: float, *, is_finished: bool = True
    ) -> None:
        """Record a request that ended at ``now`` (monotonic).

        One that was not finished would have taken longer, and is no sample.
        """
        self._start_period_if_due(now)
        self._count_by_route[route] += is_finished
        if duration_s > self._longest_by_route.get(route, 0.0):
            self._longest_by_route[route] = duration_s

    def longest_s(self, route: str, now: float) -> float | None:
        """Return the longest recent duration or age, or ``None`` without any."""
        self._start_period_if_due(now)
        durations = [
            longest[route]
            for longest in (self._longest_by_route, self._previous_longest_by_route)
            if route in longest
        ]
        open_requests = self._open_by_route.get(route, {})
        durations += [now - one.since for one in open_requests.values() if one.is_sent()]
        return max(durations, default=None)

    def has_enough_samples(self, route: str) -> bool:
        """Return whether the longest duration says something about the next one."""
        count = self._count_by_route[route] + self._previous_count_by_route[route]
        return count >= MIN_SAMPLES

    def _start_period_if_due(self, now: float) -> None:
        if now < self._period_ends_at:
            return
        is_recent = now < self._period_ends_at + PERIOD_S
        self._previous_longest_by_route = self._longest_by_route if is_recent else {}
        self._previous_count_by_route = self._count_by_route if is_recent else Counter()
        self._longest_by_route = {}
        self._count_by_route = Counter()
        self._period_ends_at = now + PERIOD_S
