"""The Retry-After of refused callers, as seen by the parts that refuse and admit requests."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

__all__ = ['Promise', 'ReturnOffer', 'ReturnPlanner', 'ReturnRequest', 'ServiceCapacity']


class Promise(NamedTuple):
    """A caller that was asked to return: ``digest`` identifies it, times in seconds."""

    digest: bytes
    service: str
    due_at: float


class ReturnRequest(NamedTuple):
    """A refused request; the caller honours a delay of at most ``latest_s``."""

    digest: bytes
    service: str
    priority: int
    earliest_s: float
    latest_s: float


class ReturnOffer(NamedTuple):
    """The delay to send as Retry-After; ``promise`` is None if no room is reserved."""

    retry_after_s: float
    promise: Promise | None


class ServiceCapacity(NamedTuple):
    """What an instance may promise of a service.

    ``rate``: requests a second that the service can start, over all instances;
    ``demand_rate``: newcomers a second that this instance expects; ``own_share``
    (0..1): the part of this instance.
    """

    rate: float
    demand_rate: float
    own_share: float


class ReturnPlanner(ABC):
    """Tells refused callers when to return, and recognises them when they do.

    ``now`` is in seconds of a monotonic clock, the same for all calls.
    """

    @abstractmethod
    def offer(self, request: ReturnRequest, now: float) -> ReturnOffer:
        """Return the delay to send to a refused caller, with room reserved if there is any."""

    @abstractmethod
    def claim(self, digest: bytes, now: float) -> Promise | None:
        """Return the promise to the caller of an arriving request, once, if it is due."""

    @abstractmethod
    def record_outcome(self, promise: Promise, *, served: bool) -> None:
        """Record whether a claimed promise was kept."""

    @abstractmethod
    def reserved_rate(self, service: str, now: float) -> float:
        """Return the promised requests due in the next second here, per second."""

    @abstractmethod
    def update(self, capacity: Mapping[str, ServiceCapacity], now: float) -> None:
        """Set the capacity by service; a service that is left out gets no new promises."""
