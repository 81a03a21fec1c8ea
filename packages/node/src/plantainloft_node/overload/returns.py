"""What admission needs from the planning of returns: delays, promises and their outcomes."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

__all__ = ['Promise', 'ReturnOffer', 'ReturnPlanner', 'ReturnRequest', 'ServiceCapacity']


class Promise(NamedTuple):
    """A caller that was told to return: ``digest`` identifies it, times in seconds."""

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
    """What a service can start, and the part of it that is this instance's.

    ``rate``: requests a second that the service can start, over all instances;
    ``demand_rate``: newcomers a second that this instance expects; ``own_share`` (0..1):
    the part of this instance.
    """

    rate: float
    demand_rate: float
    own_share: float


class ReturnPlanner(ABC):
    """Decides when refused callers return, and recognises those that do."""

    @abstractmethod
    def offer(self, request: ReturnRequest, now: float) -> ReturnOffer:
        """Return when the caller of a refused request should return."""

    @abstractmethod
    def claim(self, digest: bytes, now: float) -> Promise | None:
        """Return the promise that a caller returns on, if any; each is returned once."""

    @abstractmethod
    def record_outcome(self, promise: Promise, *, served: bool) -> None:
        """Record whether the request that came on ``promise`` was answered."""

    @abstractmethod
    def reserved_rate(self, service: str, now: float) -> float:
        """Return the promised requests due here in the next second, per second."""

    @abstractmethod
    def update(self, capacity: Mapping[str, ServiceCapacity], now: float) -> None:
        """Set the capacity by service."""
