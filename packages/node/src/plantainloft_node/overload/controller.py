"""Admission control of an instance: decisions, refusals and the listing for operators."""

import logging
import math
from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple, TypedDict

from plantainloft_node.log_throttle import LogThrottle
from plantainloft_node.overload.admission import (
    Admit,
    Arrival,
    CallerRequest,
    Reject,
    RejectReason,
    ServiceState,
    decide_admission,
    rank_of,
)
from plantainloft_node.overload.fair_shares import DecayingSum, FairShares, Standing, fair_level
from plantainloft_node.overload.returns import (
    Promise,
    ReturnPlanner,
    ReturnRequest,
    ServiceCapacity,
)

__all__ = [
    'AdmissionController',
    'GroupCounts',
    'ScarcityEntry',
    'ServiceDemand',
]

log = logging.getLogger(__name__)

# Load (demand over capacity) from which room is scarce: from here on, queues only grow.
SCARCITY_LOAD = 1.0
# With fewer requests than this at the endpoints, as a part of their slots, there is room
# whatever the load seems to be: processing times may have been learned while no object
# was cached.
MIN_USED_IF_SCARCE = 0.75
# With more, there is none: the queues hold most of a round of work, and late answers follow.
USED_IF_FULL = 1.75
# With a smaller part of requests that can be on time, late ones need not leave room for them.
MIN_PUNCTUAL_PART = 0.1
# Scarcity is logged at most this often, for each service.
LOG_INTERVAL_S = 1.0
# Callers honour a Retry-After of up to this part of the time that they have left.
HONOURED_PART = 1 / 3
# Organisations beyond this number are counted together, to bound memory and listings.
MAX_COUNTED_GROUPS = 50
OTHER_GROUPS = '(others)'


class ServiceDemand(NamedTuple):
    """Capacity of a service and the demand (requests a second) of each zone.

    ``used`` is the number of requests at its endpoints, running or queued, over its slots.
    """

    capacity: ServiceCapacity
    rate_by_zone: Mapping[str, float]
    used: float


class GroupCounts(TypedDict):
    """Requests of a zone or organisation since the process started."""

    name: str
    admitted: int
    rejected: int


class ScarcityEntry(TypedDict):
    """Admission to one service at this instance.

    ``room`` is the number of requests a second that this instance may admit, ``load`` the
    service's demand over its capacity, the rest are counts since the process started. A
    request that was admitted and that no endpoint ran counts as rejected as well.
    """

    service: str
    room: float
    load: float
    admitted: int
    rejected: dict[str, int]
    promised: int
    returned: int
    served_on_return: int
    zones: list[GroupCounts]
    organisations: list[GroupCounts]


class _Service:
    """Shares and counts of one service."""

    def __init__(self) -> None:
        self.shares = FairShares()
        self.load = 0.0
        self.is_scarce = False
        self._groups: set[str] = set()
        # Recent requests, and those of them that could be on time if they need not queue.
        self._decided = DecayingSum()
        self._punctual = DecayingSum()
        self.room_per_s = math.inf
        self.promised = 0
        self.returned = 0
        self.served_on_return = 0
        self.rejected_by_reason: Counter[str] = Counter()
        self.admitted_by_group: Counter[str] = Counter()
        self.rejected_by_group: Counter[str] = Counter()

    def record_slack(self, slack_s: float, now: float) -> None:
        """Count a request that can queue for ``slack_s`` without being late."""
        self._decided.add(1.0, now)
        if slack_s >= 0:
            self._punctual.add(1.0, now)

    def all_are_late(self, now: float) -> bool:
        return self._punctual.value(now) < MIN_PUNCTUAL_PART * self._decided.value(now)

    def count(self, counter: Counter[str], group: str) -> None:
        if group not in self._groups:
            if len(self._groups) >= MAX_COUNTED_GROUPS:
                group = OTHER_GROUPS
            self._groups.add(group)
        counter[group] += 1


class AdmissionController:
    """Admits or rejects requests while overload control is active.

    Its caller checks ``is_active`` first and makes no other call while it is unset.
    """

    def __init__(
        self, *, zone: str, planner: ReturnPlanner, digest_caller: Callable[[str, str, str], bytes]
    ) -> None:
        """Set up the controller of an instance in ``zone``.

        ``digest_caller`` returns the digest of a caller for its network address, the name
        of the route, and the affinity key or target.
        """
        self.digest_caller = digest_caller
        self._zone = zone
        self._planner = planner
        self.is_active = False
        self._service_by_name: dict[str, _Service] = {}
        self._log_throttle = LogThrottle(interval_s=LOG_INTERVAL_S)

    def begin(self, request: CallerRequest, now: float) -> Promise | None:
        """Count a new request, and return the promise on which its caller returns, if any.

        It counts as a request of the service at which room was promised.
        """
        promise = self._planner.claim(request.digest, now)
        service = self._service(request.service if promise is None else promise.service)
        service.shares.record_demand(request.organisation, now)
        service.returned += promise is not None
        return promise

    def record_outcome(self, promise: Promise, *, served: bool) -> None:
        """Record whether the request that came on ``promise`` was answered."""
        self._planner.record_outcome(promise, served=served)
        self._service(promise.service).served_on_return += served

    def decide(self, request: CallerRequest, arrival: Arrival, now: float) -> Admit | Reject:
        """Decide about a request for which an endpoint was chosen, and count it."""
        service = self._service(request.service)
        group = request.organisation
        rank = rank_of(arrival)
        service.record_slack(arrival.slack_s, now)
        state = ServiceState(is_scarce=False, standing=Standing.BELOW_SHARE)
        if service.is_scarce:
            state = ServiceState(
                is_scarce=True,
                standing=service.shares.standing(group, rank, now),
                all_are_late=service.all_are_late(now),
            )
        reason = decide_admission(arrival, state)
        if reason is not None:
            return self.reject(request, reason, now)
        service.count(service.admitted_by_group, group)
        service.shares.record_use(group, rank, now)
        return Admit(rank)

    def reject(
        self,
        request: CallerRequest,
        reason: RejectReason,
        now: float,
        *,
        earliest_s: float = 0.0,
        admitted_rank: int | None = None,
    ) -> Reject:
        """Reject a request that may return in ``earliest_s`` or later.

        ``admitted_rank``: it had been admitted with this rank, and no endpoint ran it.
        """
        service = self._service(request.service)
        if admitted_rank is not None:
            service.shares.release(request.organisation, admitted_rank, now)
        service.rejected_by_reason[reason.value] += 1
        service.count(service.rejected_by_group, request.organisation)
        latest_s = max(0.0, request.caller_deadline - now) * HONOURED_PART
        offer = self._planner.offer(
            ReturnRequest(request.digest, request.service, request.priority, earliest_s, latest_s),
            now,
        )
        service.promised += offer.promise is not None
        return Reject(reason, offer.retry_after_s, offer.promise is not None)

    def update(
        self,
        demand_by_service: Mapping[str, ServiceDemand],
        now: float,
        *,
        promise_shares: Mapping[str, float] | None = None,
    ) -> None:
        """Set capacity and demand by service; called every 0.25 s while active.

        ``promise_shares`` are the shares (0..1) of this instance in what may be promised,
        if they differ from those in newcomers.
        """
        capacity = {name: demand.capacity for name, demand in demand_by_service.items()}
        if promise_shares is not None:
            capacity = {
                name: one._replace(own_share=promise_shares.get(name, 0.0))
                for name, one in capacity.items()
            }
        self._planner.update(capacity, now)
        for name, demand in demand_by_service.items():
            service = self._service(name)
            reserved = self._planner.reserved_rate(name, now)
            service.load = _load(demand.capacity, reserved)
            service.is_scarce = _is_scarce(service.load, demand.used)
            service.room_per_s = max(0.0, _fair_room(demand, self._zone) - reserved)
            service.shares.update(service.room_per_s, now)
            if service.is_scarce and self._log_throttle.try_acquire(name, now):
                self._log(name, service)

    def listing(self) -> list[ScarcityEntry]:
        """Return the entries of all services, sorted by service."""
        return [self._entry(name, one) for name, one in sorted(self._service_by_name.items())]

    def _entry(self, name: str, service: _Service) -> ScarcityEntry:
        admitted = service.admitted_by_group.total()
        rejected = service.rejected_by_group.total()
        groups = service.admitted_by_group.keys() | service.rejected_by_group.keys()
        room = service.room_per_s
        return ScarcityEntry(
            service=name,
            room=round(room, 2) if math.isfinite(room) else 0.0,
            load=round(service.load, 3),
            admitted=admitted,
            rejected=dict(service.rejected_by_reason),
            promised=service.promised,
            returned=service.returned,
            served_on_return=service.served_on_return,
            zones=[GroupCounts(name=self._zone, admitted=admitted, rejected=rejected)],
            organisations=[
                GroupCounts(
                    name=group,
                    admitted=service.admitted_by_group[group],
                    rejected=service.rejected_by_group[group],
                )
                for group in sorted(groups)
            ],
        )

    def _service(self, name: str) -> _Service:
        service = self._service_by_name.get(name)
        if service is None:
            service = _Service()
            self._service_by_name[name] = service
        return service

    def _log(self, name: str, service: _Service) -> None:
        fields = {
            'service': name,
            'load': round(service.load, 2),
            'room': round(service.room_per_s, 1),
            'admitted': service.admitted_by_group.total(),
            'rejected': dict(service.rejected_by_reason),
        }
        log.info(
            'Admission: %s is short of room.', name, extra={'kind': 'scarcity', 'fields': fields}
        )


def _load(capacity: ServiceCapacity, reserved: float) -> float:
    """Return demand and ``reserved`` requests a second over the capacity, 0 if it is unknown."""
    own_rate = capacity.rate * capacity.own_share
    return (capacity.demand_rate + reserved) / own_rate if own_rate > 0 else 0.0


def _is_scarce(load: float, used: float) -> bool:
    return used >= USED_IF_FULL or (load >= SCARCITY_LOAD and used >= MIN_USED_IF_SCARCE)


def _fair_room(demand: ServiceDemand, zone: str) -> float:
    """Return the requests a second that this instance may admit.

    Zones share the capacity by max-min fairness; the instances of a zone share its part
    by their demand.
    """
    capacity = demand.capacity
    own_part = capacity.rate * capacity.own_share
    zone_rate = demand.rate_by_zone.get(zone, 0.0)
    if zone_rate <= 0:
        return own_part
    level = fair_level(demand.rate_by_zone.values(), capacity.rate)
    if not math.isfinite(level):
        return own_part
    return level / zone_rate * capacity.demand_rate
