"""Tells refused callers when to return, within the room that this instance may promise."""

import logging
from collections.abc import Mapping
from typing import NamedTuple

from plantainloft_node.overload.promise_exchange import PromiseExchange
from plantainloft_node.overload.return_schedule import ReturnSchedule
from plantainloft_node.overload.returns import (
    Promise,
    ReturnOffer,
    ReturnPlanner,
    ReturnRequest,
    ServiceCapacity,
)

__all__ = ['MIN_RETRY_AFTER_S', 'ReturnCounts', 'ScheduledReturns']

log = logging.getLogger(__name__)

# About the time in which endpoints finish requests, and in which peers learn of a promise
# even if its first announcement is lost.
MIN_RETRY_AFTER_S = 0.15
# Callers without a promise are spread over this time, so that they don't return together.
UNPROMISED_SPREAD_S = 0.35
LOG_INTERVAL_S = 10.0
_BYTE_VALUES = 256


class ReturnCounts(NamedTuple):
    """What became of refused callers of a service since the start.

    ``promised`` and ``unpromised``: callers that were asked to return, with room reserved
    and without. ``returned``: promises claimed here. ``served`` and ``unserved``: what
    became of these. ``missed``: promises made here and not claimed in time anywhere.
    """

    promised: int = 0
    unpromised: int = 0
    returned: int = 0
    served: int = 0
    unserved: int = 0
    missed: int = 0


class ScheduledReturns(ReturnPlanner):
    """Promises room by one ``ReturnSchedule`` per service."""

    def __init__(self, *, exchange: PromiseExchange, clock_offset_s: float) -> None:
        """``clock_offset_s`` is what is to be added to ``now`` for the time of day."""
        self._exchange = exchange
        self._clock_offset_s = clock_offset_s
        self._started_at: float | None = None
        self._schedule_by_service: dict[str, ReturnSchedule] = {}
        self._start_by_service: Mapping[str, float] = {}
        self._logged_at = float('-inf')
        self.counts_by_service: dict[str, ReturnCounts] = {}

    def offer(self, request: ReturnRequest, now: float) -> ReturnOffer:
        """Return the delay to send to a refused caller, with room reserved if there is any."""
        earliest_s = max(MIN_RETRY_AFTER_S, request.earliest_s)
        schedule = self._schedule_by_service.get(request.service)
        delay_s = None
        if schedule is not None and self._exchange.book.has_room(request.digest):
            delay_s = schedule.reserve(now, earliest_s, request.latest_s, request.priority)
        if delay_s is None:
            self._count(request.service, unpromised=1)
            return ReturnOffer(_unpromised_delay_s(request, earliest_s), None)
        promise = Promise(request.digest, request.service, now + delay_s)
        self._exchange.promise(promise)
        self._count(request.service, promised=1)
        return ReturnOffer(delay_s, promise)

    def claim(self, digest: bytes, now: float) -> Promise | None:
        """Return the promise to the caller of an arriving request, once, if it is due."""
        promise = self._exchange.claim(digest, now)
        if promise is not None:
            self._count(promise.service, returned=1)
        return promise

    def record_outcome(self, promise: Promise, *, served: bool) -> None:
        """Record whether a claimed promise was kept."""
        self._count(promise.service, served=served, unserved=not served)

    def reserved_rate(self, service: str, now: float) -> float:
        """Return the promised requests due in the next second here, per second."""
        schedule = self._schedule_by_service.get(service)
        return 0.0 if schedule is None else schedule.reserved_rate(now)

    def update(self, capacity: Mapping[str, ServiceCapacity], now: float) -> None:
        """Set the capacity by service; a service that is left out gets no new promises."""
        if self._started_at is None:
            self._started_at = now
        for service, schedule in self._schedule_by_service.items():
            if service not in capacity:
                schedule.close(now)
        for service, service_capacity in capacity.items():
            self._schedule(service, self._started_at).update(
                service_capacity, share_start=self._start_by_service.get(service, 0.0), now=now
            )
        for booked in self._exchange.book.remove_expired(now):
            if booked.is_own and not booked.claimed:
                self._count(booked.promise.service, missed=1)
        self._log_counts(now)

    def update_share_starts(self, start_by_service: Mapping[str, float]) -> None:
        """Set the sums of the shares of the instances before this one, by service."""
        self._start_by_service = start_by_service

    def _schedule(self, service: str, started_at: float) -> ReturnSchedule:
        schedule = self._schedule_by_service.get(service)
        if schedule is None:
            schedule = ReturnSchedule(started_at=started_at, clock_offset_s=self._clock_offset_s)
            self._schedule_by_service[service] = schedule
        return schedule

    def _count(self, service: str, **increments: int) -> None:
        counts = self.counts_by_service.get(service, ReturnCounts())
        self.counts_by_service[service] = counts._replace(
            **{name: getattr(counts, name) + added for name, added in increments.items()}
        )

    def _log_counts(self, now: float) -> None:
        if not self.counts_by_service or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        for service, counts in self.counts_by_service.items():
            log.info(
                'Returns: %d callers of %s were promised room, %d got a Retry-After without.',
                counts.promised,
                service,
                counts.unpromised,
                extra={'kind': 'returns', 'fields': {'service': service, **counts._asdict()}},
            )


def _unpromised_delay_s(request: ReturnRequest, earliest_s: float) -> float:
    spread_s = max(0.0, min(UNPROMISED_SPREAD_S, request.latest_s - earliest_s))
    return earliest_s + spread_s * request.digest[0] / _BYTE_VALUES
