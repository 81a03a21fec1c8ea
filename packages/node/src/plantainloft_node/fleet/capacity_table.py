"""The capacities and present use of other instances, as they report them to each other."""

from collections.abc import Iterable
from typing import NamedTuple

from plantainloft_node.capacity.settings import UNKNOWN_CAPACITY, Capacity
from plantainloft_node.capacity.usage import NO_USE, InstanceCapacity
from plantainloft_node.fleet.reports import CapacityReport

__all__ = ['CapacityTable']

# Use older than this says nothing: it changes within a second or two.
USE_EXPIRES_S = 5.0
# A capacity does not change while an instance runs. The age of a report is sent in one
# byte, 25.5 s at most; relays of a fleet of 195 instances report each one within 8 s.
CAPACITY_EXPIRES_S = 25.0
# Twice the instances of the largest fleet, so that forged keys can't fill the memory.
MAX_CAPACITIES = 400


class _TimedCapacity(NamedTuple):
    capacity: InstanceCapacity
    at: float


class CapacityTable:
    """The newest reported capacity of each instance, by the key of its incarnation."""

    def __init__(self) -> None:
        self._capacity_by_key: dict[int, _TimedCapacity] = {}

    def merge(self, reports: Iterable[CapacityReport], now: float) -> None:
        """Keep those of ``reports`` that are newer than what is known."""
        self._remove_expired(now)
        for report in reports:
            at = now - report.age_s
            known = self._capacity_by_key.get(report.key)
            if known is None and len(self._capacity_by_key) >= MAX_CAPACITIES:
                continue
            if known is None or known.at < at:
                self._capacity_by_key[report.key] = _TimedCapacity(report.capacity, at)

    def get(self, key: int, now: float) -> InstanceCapacity | None:
        """Return the capacity of an instance, without its use if that is no longer current."""
        known = self._capacity_by_key.get(key)
        if known is None or now - known.at > CAPACITY_EXPIRES_S:
            return None
        if now - known.at > USE_EXPIRES_S:
            return known.capacity._replace(use=NO_USE)
        return known.capacity

    def differ_from(self, own: Capacity, now: float) -> bool:
        """Return whether the known capacities, including ``own``, are not all alike."""
        known = {report.capacity.limits for report in self.reports(now)}
        return len((known | {own}) - {UNKNOWN_CAPACITY}) > 1

    def reports(self, now: float) -> list[CapacityReport]:
        """Return what is known, to be passed on to other instances."""
        self._remove_expired(now)
        return [
            CapacityReport(key, known.capacity, now - known.at)
            for key, known in self._capacity_by_key.items()
        ]

    def _remove_expired(self, now: float) -> None:
        self._capacity_by_key = {
            key: known
            for key, known in self._capacity_by_key.items()
            if now - known.at <= CAPACITY_EXPIRES_S
        }
