"""Which instances have requests for a group of endpoints, and so claim shares of limits.

A group is the endpoints of one service in one region. Instances report the claims that
they know of, their own among them, so that all learn which instances divide the limits
of the group's endpoints.
"""

import functools
from collections.abc import Iterable
from typing import NamedTuple

from plantainloft_node.placement.rendezvous import rendezvous_score

__all__ = [
    'MAX_CLAIMS_PER_GROUP',
    'Claim',
    'ClaimTable',
    'GroupClaims',
    'group_number',
    'instance_number',
]

# A limit is below what the endpoint usually takes, so a few instances can use it up.
# With more claims, reports would grow with the fleet.
MAX_CLAIMS_PER_GROUP = 32
# A claim ends this long after the last request. Longer than it takes to notice an
# instance that is down, whose part of a limit is left unused.
CLAIM_TTL_S = 8.0
# Bounds the memory that reports can take.
MAX_GROUPS = 256
NUMBER_CACHE_SIZE = 4096


class Claim(NamedTuple):
    """An instance, by its number, and the seconds since its last request for the group."""

    instance_number: int
    age_s: float


class GroupClaims(NamedTuple):
    """The known claims of one group."""

    group: int
    claims: tuple[Claim, ...]


@functools.lru_cache(maxsize=NUMBER_CACHE_SIZE)
def group_number(service: str, region: str) -> int:
    """Return the 32-bit hash that identifies a group of endpoints in reports."""
    return rendezvous_score(service, region)


@functools.lru_cache(maxsize=NUMBER_CACHE_SIZE)
def instance_number(name: str) -> int:
    """Return the 32-bit hash that identifies an instance in claims."""
    return rendezvous_score('instance', name)


class ClaimTable:
    """The newest claim of each instance, by group."""

    def __init__(self) -> None:
        self._claimed_at_by_group: dict[int, dict[int, float]] = {}

    def record(self, group: int, number: int, claimed_at: float) -> None:
        """Record a claim; an older one never replaces a newer one."""
        if group not in self._claimed_at_by_group and len(self) >= MAX_GROUPS:
            return
        claimed_at_by_instance = self._claimed_at_by_group.setdefault(group, {})
        known_at = claimed_at_by_instance.get(number, claimed_at)
        claimed_at_by_instance[number] = max(known_at, claimed_at)

    def merge(self, reported: Iterable[GroupClaims], now: float) -> None:
        """Record the claims of a report received at ``now``."""
        for group_claims in reported:
            for claim in group_claims.claims:
                self.record(group_claims.group, claim.instance_number, now - claim.age_s)

    def current(self, group: int, now: float) -> list[Claim]:
        """Return the claims of ``group``, highest ranked first, at most the maximum."""
        self._expire(group, now)
        claimed_at_by_instance = self._claimed_at_by_group.get(group, {})
        ranked = sorted(claimed_at_by_instance, key=lambda number: _rank(group, number))
        return [
            Claim(number, max(0.0, now - claimed_at_by_instance[number]))
            for number in ranked[:MAX_CLAIMS_PER_GROUP]
        ]

    def reports(self, now: float) -> list[GroupClaims]:
        """Return the current claims of all groups that have any."""
        current = ((group, self.current(group, now)) for group in list(self._claimed_at_by_group))
        return [GroupClaims(group, tuple(claims)) for group, claims in current if claims]

    def __len__(self) -> int:
        """Return the number of groups with claims."""
        return len(self._claimed_at_by_group)

    def _expire(self, group: int, now: float) -> None:
        claimed_at_by_instance = self._claimed_at_by_group.get(group, {})
        unexpired = {
            number: at for number, at in claimed_at_by_instance.items() if now - at < CLAIM_TTL_S
        }
        if unexpired:
            self._claimed_at_by_group[group] = unexpired
        else:
            self._claimed_at_by_group.pop(group, None)


def _rank(group: int, number: int) -> int:
    return -rendezvous_score(str(group), str(number))
