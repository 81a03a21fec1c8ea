"""Whether a request is admitted to the endpoint that placement has chosen.

Endpoints queue requests in the order of arrival and an instance can't reorder them. A
request that should yield must therefore be kept out while the queue that it would join
leaves no room for those that come before it. While the service has room, all requests
are admitted that can be answered in time for their route.
"""

from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from plantainloft_node.overload.fair_shares import Standing

__all__ = [
    'Admit',
    'Arrival',
    'CallerRequest',
    'Reject',
    'RejectReason',
    'ServiceState',
    'decide_admission',
    'rank_of',
]

# The part of its slack for which a request may queue, by priority and by what its group has
# of its fair share: the rest of the queue is left to those that come before it. The least
# is nothing: slots that are free anyhow are used by any request.
QUEUE_PARTS = MappingProxyType(
    {
        Standing.BELOW_SHARE: (1.0, 1.0, 0.75),
        Standing.WITHIN_SHARE: (1.0, 1.0, 0.2),
        Standing.BEYOND_SHARE: (0.5, 0.25, 0.0),
    }
)
# A request that can only be late may queue for this part of its objective, in which a
# slot becomes free anyhow: requests that join after it can still be on time.
LATE_QUEUE = 0.2
# While nearly all requests can only be late, as at the start, when no object is cached,
# none needs the queue to be short: without one, slots would be idle between arrivals.
LATE_QUEUE_OF_ALL = 1.0


class RejectReason(StrEnum):
    """Why a request is rejected."""

    NO_ENDPOINT = 'no endpoint'
    NOT_IN_TIME = 'not in time'
    LATE = 'late'
    BEYOND_SHARE = 'beyond share'
    MORE_URGENT = 'room for more urgent'
    NOT_RUN = 'not run'
    EXPIRED = 'out of time'


class Admit(NamedTuple):
    """The request may be sent; ``rank`` is the one that its use is counted with."""

    rank: int


class Reject(NamedTuple):
    """The request must not be sent; the caller may return after ``retry_after_s``.

    ``is_promised``: room is reserved for its return.
    """

    reason: RejectReason
    retry_after_s: float
    is_promised: bool = False


class CallerRequest(NamedTuple):
    """Who asks for what; the same for a caller that returns.

    ``digest`` identifies the caller with its request, ``organisation`` is empty where no key
    is required, ``caller_deadline`` is when the caller gives up (monotonic, seconds).
    """

    digest: bytes
    service: str
    priority: int
    organisation: str
    caller_deadline: float


class Arrival(NamedTuple):
    """A request with the prediction for the endpoint that was chosen for it.

    Times in seconds: ``objective_left_s`` until its answer is late, ``remaining_s`` until
    it is abandoned, ``expected_s`` until the answer if it is sent now, of which ``wait_s`` is
    spent in the queue. ``has_promise``: its caller returns on a promise.
    """

    priority: int
    objective_s: float
    objective_left_s: float
    remaining_s: float
    expected_s: float
    wait_s: float
    has_promise: bool = False

    @property
    def slack_s(self) -> float:
        """How long it may queue and still be on time; negative if it is late anyhow."""
        return self.objective_left_s - (self.expected_s - self.wait_s)

    @property
    def is_late(self) -> bool:
        """Whether its answer can only be late."""
        return self.wait_s > self.slack_s


class ServiceState(NamedTuple):
    """Whether room of the service is scarce, and the standing of the group.

    ``all_are_late``: hardly any recent request could be on time, even without a queue.
    """

    is_scarce: bool
    standing: Standing
    all_are_late: bool = False


def rank_of(arrival: Arrival) -> int:
    """Return the rank within a group: by priority, then on time before late."""
    return 2 * arrival.priority + arrival.is_late


def decide_admission(arrival: Arrival, service: ServiceState) -> RejectReason | None:
    """Return why ``arrival`` is rejected, or ``None`` if it is admitted."""
    if arrival.expected_s > arrival.remaining_s:
        return RejectReason.NOT_IN_TIME
    if arrival.has_promise or not service.is_scarce:
        return None
    parts = QUEUE_PARTS[service.standing]
    part = parts[min(arrival.priority, len(parts) - 1)]
    if arrival.wait_s <= part * _longest_wait_s(arrival, service):
        return None
    if arrival.is_late:
        return RejectReason.LATE
    if service.standing is Standing.BEYOND_SHARE:
        return RejectReason.BEYOND_SHARE
    return RejectReason.MORE_URGENT


def _longest_wait_s(arrival: Arrival, service: ServiceState) -> float:
    """Return how long the most urgent request within its share may queue."""
    if not arrival.is_late:
        return arrival.slack_s
    late_queue = LATE_QUEUE_OF_ALL if service.all_are_late else LATE_QUEUE
    return late_queue * arrival.objective_s
