"""Counts requests and their arrivals at endpoints, and checks the allowance of retries."""

from bisect import bisect_left
from typing import NamedTuple

from plantainloft_node.retry_budget.registry import RetryLimits

__all__ = ['RetryLedger', 'RetryWindow']


class RetryWindow(NamedTuple):
    """The retries that arrived in one window; ``starts_at`` is in seconds."""

    starts_at: float
    retries: int
    allowed: float

    @property
    def excess(self) -> float:
        """The retries beyond what is allowed; negative if fewer arrived."""
        return self.retries - self.allowed


class RetryLedger:
    """What callers sent to one service, and what arrived at its endpoints.

    Every arrival of a request after its first one is a retry. A window allows
    ``limits.ratio`` retries for each request sent in it, or in the window before it, or in
    that half a window before it, whichever has most, and ``limits.fixed_retries`` more.
    """

    def __init__(self, *, limits: RetryLimits) -> None:
        self._limits = limits
        self._request_times: list[float] = []
        self._retry_times: list[float] = []
        self._arrived_ids: set[str] = set()

    def record_request(self, at: float) -> None:
        """Count a request that a caller has sent; times must not decrease."""
        self._request_times.append(at)

    def record_arrival(self, request_id: str, at: float) -> None:
        """Count an arrival at an endpoint; times must not decrease."""
        if request_id in self._arrived_ids:
            self._retry_times.append(at)
        self._arrived_ids.add(request_id)

    def retries_between(self, since: float, until: float) -> int:
        """Return the retries that arrived from ``since`` to ``until``."""
        return _count(self._retry_times, since, until)

    def requests_between(self, since: float, until: float) -> int:
        """Return the requests that were sent from ``since`` to ``until``."""
        return _count(self._request_times, since, until)

    def worst_window(self) -> RetryWindow:
        """Return the window with the largest excess."""
        window_s = self._limits.window_s
        starts = {*self._retry_times, *(at - window_s for at in self._retry_times)} or {0.0}
        return max((self._window(at) for at in starts), key=lambda window: window.excess)

    def used_fraction(self, since: float, until: float) -> float:
        """Return the retries as a fraction of what is allowed from ``since`` to ``until``.

        That is ``limits.ratio`` times the requests, and the fixed retries in proportion.
        """
        limits = self._limits
        windows = (until - since) / limits.window_s
        allowed = (
            limits.ratio * self.requests_between(since, until) + limits.fixed_retries * windows
        )
        return self.retries_between(since, until) / allowed

    def _window(self, starts_at: float) -> RetryWindow:
        window_s = self._limits.window_s
        requests = max(
            self.requests_between(starts_at - shift, starts_at - shift + window_s)
            for shift in (0.0, window_s / 2, window_s)
        )
        return RetryWindow(
            starts_at,
            self.retries_between(starts_at, starts_at + window_s),
            self._limits.ratio * requests + self._limits.fixed_retries,
        )


def _count(times: list[float], since: float, until: float) -> int:
    return bisect_left(times, until) - bisect_left(times, since)
