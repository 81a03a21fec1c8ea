"""Room for the returns of refused callers of one service, in buckets of time."""

import math
from collections import Counter

from plantainloft_node.overload.returns import ServiceCapacity

__all__ = ['BUCKET_S', 'HORIZON_S', 'NEWCOMER_PART', 'ReturnSchedule']

# Delays on the network and in callers vary by about this much; smaller buckets would
# promise a precision that returns don't have.
BUCKET_S = 0.1
# Callers honour a delay of at most a third of the time they have left, 4 s at most.
HORIZON_S = 4.0
BUCKETS_PER_S = 10
HORIZON_BUCKETS = round(HORIZON_S / BUCKET_S)
# Part of the capacity that promises leave to newcomers: they can still be on time, while a
# returning caller has already lost the time that it has waited.
NEWCOMER_PART = 0.25
# Part of the room that less urgent requests may take while more urgent ones are refused too.
LESS_URGENT_PART = 0.8
# Room dealt out is reduced when the capacity falls below this part of what it was: smaller
# changes are within the part of newcomers.
REDUCE_BELOW = 0.8
# Requests a second beyond which capacity is not dealt out: it bounds the work of an update where
# the processing times of a service are close to zero. The largest service with 195 instances,
# 2,350 slots of 0.62 s, starts about 4,000.
MAX_DEALT_RATE = 10_000.0
# The fractions of successive multiples of these are spread evenly over the unit interval,
# independently of each other: of tickets, of the first tickets of buckets, and of rounding.
_GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
_ROTATION = math.sqrt(2) - 1
_ROUNDING = math.sqrt(3) - 1


class _Deal:
    """This instance's part of a bucket, for returning requests.

    A service takes as many tickets of a bucket as it can start requests then, in the order
    of their numbers. Tickets are spread evenly over the unit interval, and each instance takes
    those in its share of it. Instances whose views of the capacity differ disagree only about
    the tickets with the highest numbers.
    """

    def __init__(self, *, capacity: ServiceCapacity, share_start: float, bucket: int) -> None:
        own_rate = capacity.rate * capacity.own_share
        newcomer_part = min(NEWCOMER_PART, capacity.demand_rate / own_rate) if own_rate > 0 else 1.0
        self._returns_part = 1.0 - newcomer_part
        self._share = capacity.own_share
        # Shares are at most 1, so that the offset is positive for any present time.
        self._offset = bucket * _ROTATION + 1.0 - share_start
        self._bucket = bucket
        self._rate = capacity.rate
        # Most buckets pass without a refusal, and tickets take time to go over.
        self._room: int | None = None

    @property
    def room(self) -> int:
        """The number of this instance's tickets."""
        if self._room is None:
            self._room = sum(
                math.modf(self._offset + ticket * _GOLDEN_RATIO)[0] < self._share
                for ticket in range(_ticket_count(self._bucket, self._rate * self._returns_part))
            )
        return self._room

    def reduce(self, rate: float) -> None:
        """Leave out the tickets that don't count if the service starts ``rate`` a second."""
        if rate < self._rate:
            self._rate = rate
            self._room = None


class ReturnSchedule:
    """The room for returning requests of one service at this instance.

    All instances deal the requests that the service can start in a bucket by the same
    rule, so that together they promise no more than that, also where the part of one
    instance is far below one request.
    """

    def __init__(self, *, started_at: float, clock_offset_s: float) -> None:
        """Promise nothing that a predecessor may have promised before ``started_at``.

        ``clock_offset_s`` is what is to be added to ``now`` for the time of day, which
        numbers the buckets alike at all instances.
        """
        self._clock_offset_s = clock_offset_s
        self._next_bucket = self._bucket(started_at + HORIZON_S) + 1
        self._reduced_at_rate = 0.0
        self._deal_by_bucket: dict[int, _Deal] = {}
        self._promised: Counter[int] = Counter()
        self._refused_at_by_priority: dict[int, float] = {}
        self._is_open = False

    def update(self, capacity: ServiceCapacity, *, share_start: float, now: float) -> None:
        """Deal out the buckets that have come into reach.

        ``share_start`` (0..1) is the sum of the shares of the instances before this one.
        """
        self._is_open = True
        self._drop_past(now)
        capacity = capacity._replace(rate=min(capacity.rate, MAX_DEALT_RATE))
        self._reduce(capacity.rate)
        last = self._bucket(now) + HORIZON_BUCKETS
        for bucket in range(max(self._next_bucket, self._bucket(now)), last + 1):
            self._deal_by_bucket[bucket] = _Deal(
                capacity=capacity, share_start=share_start, bucket=bucket
            )
        self._next_bucket = max(self._next_bucket, last + 1)

    def close(self, now: float) -> None:
        """Make no new promises until the next ``update``."""
        self._is_open = False
        self._drop_past(now)

    def reserve(
        self, now: float, earliest_s: float, latest_s: float, priority: int
    ) -> float | None:
        """Reserve room for a request; return its delay, or ``None`` if there is no room."""
        yields = self._yields_to_more_urgent(priority, now)
        self._refused_at_by_priority[priority] = now
        if not self._is_open:
            return None
        first = math.ceil(self._bucket_time(now + earliest_s) - 0.5)
        last = math.floor(self._bucket_time(now + latest_s) - 0.5)
        buckets = range(first, min(last, self._bucket(now) + HORIZON_BUCKETS) + 1)
        if yields and not self._has_room_for_less_urgent(buckets):
            return None
        for bucket in buckets:
            if self._room(bucket) > self._promised.get(bucket, 0):
                self._promised[bucket] += 1
                return (bucket + 0.5) * BUCKET_S - self._clock_offset_s - now
        return None

    def reserved_rate(self, now: float) -> float:
        """Return the requests promised for the next second, per second."""
        first = self._bucket(now)
        buckets = range(first, first + BUCKETS_PER_S)
        return float(sum(self._promised.get(bucket, 0) for bucket in buckets))

    def _room(self, bucket: int) -> int:
        deal = self._deal_by_bucket.get(bucket)
        return 0 if deal is None else deal.room

    def _bucket_time(self, at: float) -> float:
        return (at + self._clock_offset_s) / BUCKET_S

    def _bucket(self, at: float) -> int:
        return math.floor(self._bucket_time(at))

    def _reduce(self, rate: float) -> None:
        """Reduce the room dealt out while the service could start more than now."""
        if rate >= self._reduced_at_rate * REDUCE_BELOW:
            self._reduced_at_rate = max(rate, self._reduced_at_rate)
            return
        self._reduced_at_rate = rate
        for deal in self._deal_by_bucket.values():
            deal.reduce(rate)

    def _drop_past(self, now: float) -> None:
        current = self._bucket(now)
        # Promises are only of buckets that were dealt out.
        past = tuple(bucket for bucket in self._deal_by_bucket if bucket < current)
        for bucket in past:
            self._deal_by_bucket.pop(bucket)
            self._promised.pop(bucket, None)
        self._refused_at_by_priority = {
            priority: at
            for priority, at in self._refused_at_by_priority.items()
            if at > now - HORIZON_S
        }

    def _yields_to_more_urgent(self, priority: int, now: float) -> bool:
        return any(
            refused < priority and at > now - HORIZON_S
            for refused, at in self._refused_at_by_priority.items()
        )

    def _has_room_for_less_urgent(self, buckets: range) -> bool:
        dealt = sum(self._room(bucket) for bucket in buckets)
        promised = sum(self._promised.get(bucket, 0) for bucket in buckets)
        return promised < dealt * LESS_URGENT_PART


def _ticket_count(bucket: int, rate: float) -> int:
    """Return ``rate`` by bucket, rounded such that the mean over many buckets is exact."""
    return math.floor(rate * BUCKET_S + math.modf(bucket * _ROUNDING)[0])
