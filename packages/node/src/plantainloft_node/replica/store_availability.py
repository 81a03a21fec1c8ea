"""Detects from its answers whether the store has recently been unavailable.

While the store is unavailable, the rows of running endpoints expire; they are
back about two seconds after it recovers. A row that is removed at any other time
means that its endpoint left. The grace period counts from the recovery of the
store, not from when this instance noticed it: an instance that notices late would
otherwise use an endpoint that left for too long after its removal.
"""

import math
from collections import deque
from typing import NamedTuple

import anyio

__all__ = ['ROW_EXPIRY_GRACE_S', 'StoreAvailability']

# According to the platform's documentation, expired rows are back about 2 s after
# the store recovers. An endpoint whose row is still missing then is gone.
ROW_EXPIRY_GRACE_S = 2.3
# A failed poll is noticed 5.2 s after it was sent. In that time two pollers
# and a few probes get answers.
MAX_ANSWER_TIMES = 32
# A return from a copy is noticed by an answer; the absence before it ended earlier.
RETURN_MARGIN_S = 0.001
# Instances that poll the store for others report twice a second.
PEER_REPORT_TIMEOUT_S = 1.8


class _ReportedStoreUptime(NamedTuple):
    """How long the store had been available at ``at``, as reported by a peer."""

    available_for_s: float | None
    at: float

    def uptime_s_at(self, now: float) -> float | None:
        """Extrapolate to ``now`` how long the store has been available.

        A peer that reported an outage and then fell silent may have been the only
        one to know of it. Its report still expires after ``PEER_REPORT_TIMEOUT_S``,
        and the grace period for rows that expired in the outage counts from it.
        """
        passed_s = now - self.at
        if self.available_for_s is not None:
            return self.available_for_s + passed_s
        return passed_s if passed_s >= PEER_REPORT_TIMEOUT_S else None


class StoreAvailability:
    """Tracks outages of the store and when it recovered from the last one."""

    def __init__(self) -> None:
        # When the last answer that did not come was due.
        self._outage_at: float | None = None
        # The earliest time after that at which the store is known to have answered.
        self._recovered_at: float | None = None
        self._answered_at: deque[float] = deque(maxlen=MAX_ANSWER_TIMES)
        self._peer_check_requested = anyio.Event()
        self._store_uptime_by_peer: dict[str, _ReportedStoreUptime] = {}

    def record_answer(self, *, sent_at: float, now: float) -> None:
        """Record an answer: the store was available at ``sent_at`` and at ``now``.

        A long poll proves nothing about the time between the two: an unresponsive
        store keeps the pending polls open.
        """
        for at in (sent_at, now):
            self._answered_at.append(at)
            if self._outage_at is not None and at > self._outage_at:
                self._recovered_at = _earliest(self._recovered_at, at)

    def record_failure(self, *, due_at: float) -> None:
        """Record a call without an answer; ``due_at`` is when the answer was due.

        A poll that an unresponsive store dropped times out a second after it was
        due, and the store may have recovered in between.
        """
        self._peer_check_requested.set()
        if self._outage_at is not None and due_at <= self._outage_at:
            return
        self._outage_at = due_at
        self._recovered_at = min((at for at in self._answered_at if at > due_at), default=None)

    def record_return(self, at: float) -> None:
        """Record that the store, back at ``at``, has returned from a copy.

        It was away before, even if no call failed.
        """
        away_at = at - RETURN_MARGIN_S
        if self._outage_at is None or self._outage_at < away_at:
            self._outage_at = away_at
            self._recovered_at = at

    def record_peer_access(self, *, since: float, asked_at: float) -> None:
        """Record a peer's report that the store has been available to it since ``since``.

        The report covers the time up to ``asked_at``; failures after that stand.
        """
        for name, reported in self._store_uptime_by_peer.items():
            if reported.at <= asked_at:
                self._store_uptime_by_peer[name] = _ReportedStoreUptime(0.0, since)
        if self._outage_at is not None and self._outage_at <= asked_at:
            self._recovered_at = _earliest(self._recovered_at, since)

    def record_peer_uptime(self, name: str, available_for_s: float | None, now: float) -> None:
        """Record the report of ``name``, which polls the store for this instance.

        ``available_for_s`` is what that peer computes. An instance that delegates polling
        makes no calls that could fail. Without these reports, it would treat rows
        that expired in an outage as those of endpoints that left.
        """
        self._store_uptime_by_peer[name] = _ReportedStoreUptime(available_for_s, now)

    def request_peer_check(self) -> None:
        """Request that peers be asked whether the store is available to them.

        Rows were removed while it is unavailable to the instances that poll it.
        """
        self._peer_check_requested.set()

    async def wait_for_failure(self) -> None:
        """Wait until a call fails or ``request_peer_check`` is called."""
        await self._peer_check_requested.wait()
        self._peer_check_requested = anyio.Event()

    @property
    def is_failing(self) -> bool:
        """Whether no call of this instance was answered since the last failure."""
        outage_at = self._outage_at
        return outage_at is not None and all(at <= outage_at for at in self._answered_at)

    def may_have_expired(self, now: float) -> bool:
        """Return whether a row removed now may have expired because of an outage."""
        available_for_s = self.available_for_s(now)
        return available_for_s is None or available_for_s < ROW_EXPIRY_GRACE_S

    def available_for_s(self, now: float) -> float | None:
        """Return how long the store has been available; ``None`` while it is not.

        Infinite if no call has ever failed.
        """
        reported = (uptime.uptime_s_at(now) for uptime in self._store_uptime_by_peer.values())
        available = [self._own_uptime_s(now), *reported]
        known = [available_for_s for available_for_s in available if available_for_s is not None]
        return min(known) if len(known) == len(available) else None

    def _own_uptime_s(self, now: float) -> float | None:
        if self._outage_at is None:
            return math.inf
        return None if self._recovered_at is None else now - self._recovered_at


def _earliest(known: float | None, at: float) -> float:
    return at if known is None else min(known, at)
