"""How often instances of unequal capacity are named in answers to look-ups.

Callers pick an address of an answer at random, connect once for many requests and look up
again seconds later, so the load of an instance is set by how often it is named over
successive answers. Each instance answers by itself. Every answer is a systematic sample of
the candidates with probabilities in proportion to their weights; its position moves by the
golden ratio from answer to answer, which spreads even a few answers evenly.
"""

import math
from collections.abc import Sequence
from itertools import repeat

from plantainloft_node.capacity.guard import named_share
from plantainloft_node.capacity.settings import UNKNOWN_CAPACITY, Capacity
from plantainloft_node.capacity.usage import (
    BITS_PER_BYTE,
    BITS_PER_MBIT,
    NO_USE,
    InstanceCapacity,
    RequestCost,
    held_bytes_limit,
)
from plantainloft_node.placement.rendezvous import SCORE_RANGE, rendezvous_score

__all__ = ['MAX_NAMED', 'LookupPositions', 'request_rate', 'sample', 'weights_by_capacity']

# The most addresses in an answer, and the least instances it names.
MAX_NAMED = 64
MIN_NAMED = 2
# Successive multiples of it, modulo 1, are spread as evenly as those of any number.
GOLDEN_RATIO = 0.6180339887498949
# How long a request holds its bytes in memory: about the time of a download.
HELD_S = 1.0
# Weights that differ by less are equal: capacities are reported in hundredths.
EQUAL_WITHIN = 0.01


class LookupPositions:
    """The positions of successive answers of one instance, from 0.0 up to 1.0."""

    def __init__(self, *, instance: str) -> None:
        """``instance`` is its name; instances start at different positions."""
        self._position = rendezvous_score('look-ups', instance) / SCORE_RANGE

    def next_position(self) -> float:
        """Return the position of the next answer."""
        self._position = math.modf(self._position + GOLDEN_RATIO)[0]
        return self._position


def request_rate(capacity: Capacity, cost: RequestCost) -> float | None:
    """Return the requests per second that ``capacity`` allows; ``None`` if it is unknown.

    The smallest of processor, link and memory decides.
    """
    rates = []
    if capacity.processor_cores is not None:
        rates.append(capacity.processor_cores / cost.processor_s)
    if capacity.link_mbps is not None:
        rates.append(capacity.link_mbps * BITS_PER_MBIT / BITS_PER_BYTE / cost.link_bytes)
    held_limit = held_bytes_limit(capacity.memory_mb)
    if held_limit is not None:
        rates.append(held_limit / (cost.link_bytes * HELD_S))
    return min(rates, default=None)


def weights_by_capacity(
    capacities: Sequence[InstanceCapacity | None], cost: RequestCost
) -> list[float] | None:
    """Return the weight of each candidate; ``None`` if all are to be named alike.

    Candidates of unknown capacity count with the mean of the known ones. One near its
    limits is named less often or, unless fewer than two remain, left out.
    """
    known = {one.limits for one in capacities if one is not None} - {UNKNOWN_CAPACITY}
    if len(known) < MIN_NAMED:
        return None
    rates = [None if one is None else request_rate(one.limits, cost) for one in capacities]
    known_rates = [rate for rate in rates if rate is not None]
    if not known_rates:
        # Only descriptors are known, which allow no rate.
        return None
    mean = sum(known_rates) / len(known_rates)
    by_capacity = [mean if rate is None else rate for rate in rates]
    uses = [NO_USE if one is None else one.use for one in capacities]
    weights = [weight * named_share(use) for weight, use in zip(by_capacity, uses, strict=True)]
    if sum(weight > 0 for weight in weights) < MIN_NAMED:
        # All are near their limits, and callers must be sent somewhere.
        weights = by_capacity
    return None if max(weights) - min(weights) <= EQUAL_WITHIN * max(weights) else weights


def sample(weights: Sequence[float], position: float) -> list[int]:
    """Return the indexes of the candidates to name, each as often as it is to be named.

    Over all positions, each candidate is named in proportion to its weight. One with more
    than half of the total weight is named more than once in an answer: an answer names at
    least two instances, and callers pick an address at random.
    """
    others = sum(weights) - max(weights)
    # Leaves one of the addresses in an answer to the others.
    weights = [min(weight, others * (MAX_NAMED - 1)) for weight in weights]
    count = _count_to_name(weights)
    step = sum(weights) / count
    named: list[int] = []
    reached = 0.0
    for index, weight in enumerate(weights):
        reached += weight
        # The points (n + position) * step that lie below ``reached`` and are not yet taken.
        points = max(0, math.ceil(reached / step - position)) - len(named)
        named += repeat(index, points)
    return named[:MAX_NAMED]


def _count_to_name(weights: Sequence[float]) -> int:
    total, largest = sum(weights), max(weights)
    count = int(total / largest)
    if count < MIN_NAMED:
        # With so many addresses, the largest does not take all of them.
        count = math.ceil(total / (total - largest))
    return min(MAX_NAMED, max(MIN_NAMED, count))
