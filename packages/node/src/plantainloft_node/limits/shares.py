"""Share of an organisation's limit that one instance may use.

Shares are computed for each request from the last reports of all instances, by
pure functions. They must hold the limit of an organisation that sends more
requests than it allows, through any number of instances, some of which may be
partitioned from the others.
"""

import math
from abc import ABC, abstractmethod
from typing import NamedTuple

from plantainloft_node.limits.organisation_usage import OrganisationUsage

__all__ = [
    'DemandProportionalShares',
    'EqualShares',
    'FleetSize',
    'LimitState',
    'ShareRule',
    'random_deviation',
    'share_after_start',
]

# This fraction of an allowance is added to the demand, in equal parts for all
# instances, so that an instance without demand gets a share as well.
EQUAL_FRACTION = 0.6
# An instance may use its whole headroom while at least this fraction of the
# allowance is not requested.
SPARE_FRACTION = 0.5
# Requests per window that an instance may admit beyond its share. If an
# organisation sends a few requests through each of many instances, shares in
# proportion to demand would be less than one request.
MAX_HEADROOM = 1.0
# Standard deviations by which the demand at an instance may exceed the usual one
# after a start.
START_DEVIATIONS = 1.5
# Assumed number of instances until it is known.
ASSUMED_FLEET_SIZE = 200


class FleetSize(NamedTuple):
    """Numbers of instances, including this one.

    ``known`` is the number of all that may be running, or zero while it is
    unknown. ``reporting`` is the number of those whose reports arrive.
    """

    known: int
    reporting: int


class LimitState(NamedTuple):
    """An organisation's allowance and demand in one window, as known to an instance.

    ``allowance`` is the number of requests that all instances together may admit,
    ``wanted`` the demand at this instance by those of its reports that should have
    reached all others, ``fleet`` the sum of all reports.
    """

    allowance: float
    wanted: float
    fleet: OrganisationUsage


class ShareRule(ABC):
    """Divides an allowance among instances."""

    @abstractmethod
    def share(self, state: LimitState, size: FleetSize) -> float:
        """Return the number of requests per window that this instance may admit."""


class EqualShares(ShareRule):
    """Equal shares: need no reports, but what an instance does not use is lost."""

    def share(self, state: LimitState, size: FleetSize) -> float:
        """Return the allowance divided by the number of instances."""
        return state.allowance / size.known if size.known else 0.0


class DemandProportionalShares(ShareRule):
    """Shares by the demand at each instance, or equal shares if it is unknown.

    An instance that gets reports from at most half of the instances, counting itself,
    may be in the smaller part of a network partition and takes an equal share.
    Instances in the larger part divide only what is left after the equal shares of the
    unreachable ones.
    """

    def share(self, state: LimitState, size: FleetSize) -> float:
        """Return the share by demand, plus headroom while the allowance is not used up."""
        if not size.known:
            return min(state.allowance, max(1.0, state.allowance / ASSUMED_FLEET_SIZE))
        equal = state.allowance / size.known
        if size.reporting * 2 <= size.known:
            return equal
        divided = state.allowance * min(1.0, size.reporting / size.known)
        equal_part = EQUAL_FRACTION * state.allowance
        total_wanted = max(state.fleet.wanted, state.wanted)
        fraction = (state.wanted + equal_part / size.known) / (total_wanted + equal_part)
        share = divided * fraction * _correction(state) + _headroom(state, equal)
        return min(share, state.allowance)


def _correction(state: LimitState) -> float:
    """Return the factor (0..1) that offsets requests admitted beyond the allowance."""
    if state.fleet.used <= state.allowance:
        return 1.0
    return state.allowance / state.fleet.used


def share_after_start(share: float, fraction: float, state: LimitState) -> float:
    """Return the part of ``share`` that may be admitted this soon after a start.

    ``fraction`` (0..1) is the fraction of a window that has passed since then.
    Requests admitted before a restart still count in the window although this
    instance has forgotten them, and most of them may have been admitted just before
    it. The usual demand is well below that, but varies between instances.
    """
    deviation = _spare_fraction(state) * random_deviation(
        share * fraction, deviations=START_DEVIATIONS
    )
    return min(share, share * fraction**2 + deviation)


def random_deviation(count: float, *, deviations: float) -> float:
    """Return ``deviations`` standard deviations of a Poisson-distributed ``count``."""
    return deviations * math.sqrt(count)


def _headroom(state: LimitState, equal: float) -> float:
    return _spare_fraction(state) * min(MAX_HEADROOM, equal)


def _spare_fraction(state: LimitState) -> float:
    """Return how much of the allowance is not requested, relative to SPARE_FRACTION.

    The result is limited to 0..1.
    """
    spare = state.allowance - state.fleet.wanted
    return min(1.0, max(0.0, spare / (SPARE_FRACTION * state.allowance)))
