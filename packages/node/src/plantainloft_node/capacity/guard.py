"""Keeps an instance below its limits: fewer look-ups name it, and it refuses newcomers.

Near a limit, look-up answers name the instance less often, and beyond it not at all.
Callers keep answers for seconds and keep their connections, so an instance beyond a limit
also refuses new requests, those of the least urgent priority first.
"""

from collections import Counter

from plantainloft_node.capacity.usage import CapacityUse

__all__ = ['CapacityGuard', 'named_share', 'pressure']

# The fractions of capacity up to which an instance is to be used: beyond 0.85 of a link or
# of the memory, bursts of a second exceed it; descriptors do not come in bursts.
MAX_LINK_USE = 0.85
MAX_MEMORY_USE = 0.85
MAX_FD_USE = 0.9
# Callers with an objective of 0.7 s lose a seventh of it at each turn of the event loop.
MAX_LOOP_DELAY_S = 0.1
# The pressure at a limit.
AT_LIMIT = 1.0
# The delay of the event loop rises steeply once the processor is full. Above its limit it
# counts so much less that 0.2 s is as far beyond it as a link of 0.935.
LOOP_EXCESS_WEIGHT = 0.1
# From this pressure on, look-ups name the instance less often: reports and cached answers
# are up to 4 s old, in which demand grows by about a fifth.
NEAR_LIMIT = 0.8

# Beyond a limit, the pressure over which refusals of one priority grow from none to all.
# With four bands, everything is refused at 0.97 of a link or of the memory.
REFUSAL_BAND = 0.035
# Priorities from this one on are refused first, and alike.
LEAST_URGENT = 3


def pressure(use: CapacityUse) -> float:
    """Return how near to its limits an instance is; 1.0 is at the limit."""
    loop_pressure = use.loop_delay_s / MAX_LOOP_DELAY_S
    if loop_pressure > AT_LIMIT:
        loop_pressure = AT_LIMIT + (loop_pressure - AT_LIMIT) * LOOP_EXCESS_WEIGHT
    return max(
        use.link / MAX_LINK_USE, use.memory / MAX_MEMORY_USE, use.fds / MAX_FD_USE, loop_pressure
    )


def named_share(use: CapacityUse) -> float:
    """Return how often look-ups name an instance, as a share of what its capacity allows."""
    return min(1.0, max(0.0, (AT_LIMIT - pressure(use)) / (AT_LIMIT - NEAR_LIMIT)))


class CapacityGuard:
    """Admits requests by priority while the instance is beyond a limit.

    The refused share of a priority grows from none to all over ``REFUSAL_BAND`` of
    pressure; the band of a more urgent priority begins where that of the next one ends.
    Shares are dealt out evenly, without randomness.
    """

    def __init__(self) -> None:
        self.active = False
        self.offered = 0
        self.refused_by_priority: Counter[int] = Counter()
        self._pressure = 0.0
        self._due_by_priority: dict[int, float] = {}

    @property
    def is_beyond_limit(self) -> bool:
        """Whether requests of the least urgent priority are refused."""
        return self.active and self._pressure > AT_LIMIT

    def update(self, use: CapacityUse, *, active: bool) -> None:
        """Use the present ``use``; while not ``active``, every request is admitted."""
        self.active = active
        self._pressure = pressure(use)

    def admits(self, priority: int) -> bool:
        """Return whether a new request of ``priority`` (0 is the highest) is admitted."""
        self.offered += 1
        if not self.is_beyond_limit:
            return True
        urgency = LEAST_URGENT - min(priority, LEAST_URGENT)
        excess = self._pressure - AT_LIMIT - urgency * REFUSAL_BAND
        refused_share = min(1.0, max(0.0, excess / REFUSAL_BAND))
        due = self._due_by_priority.get(urgency, 0.0) + refused_share
        is_refused = due >= 1
        self._due_by_priority[urgency] = due - is_refused
        if is_refused:
            self.refused_by_priority[priority] += 1
        return not is_refused
