"""What an instance uses of its capacity, and what a request costs it."""

from typing import NamedTuple

from plantainloft_node.capacity.settings import Capacity, CapacitySettings

__all__ = [
    'BITS_PER_BYTE',
    'BITS_PER_MBIT',
    'NO_USE',
    'CapacityUse',
    'InstanceCapacity',
    'Readings',
    'RequestCost',
    'UsageMeter',
    'held_bytes_limit',
]

BYTES_PER_MB = 1_000_000
BITS_PER_MBIT = 1_000_000
BITS_PER_BYTE = 8
# Of the memory, what responses and requests that wait for slow peers may take. The
# process with its routing state takes less than half of the smallest memory (200 MB).
HELD_MEMORY_SHARE = 0.4
# Use is averaged over about a second: heartbeats report it twice a second.
USE_AVERAGED_S = 1.0
# Costs are averaged over many requests, since downloads differ by a factor of a thousand.
COST_HALF_LIFE_S = 30.0
# Before anything is measured, and with this weight in requests until enough is.
ASSUMED_REQUESTS = 50.0


class CapacityUse(NamedTuple):
    """Present use: fractions of the capacity, and the delay of the event loop in seconds.

    Fractions may exceed 1.0 and are 0.0 where the capacity is unknown.
    """

    processor: float = 0.0
    link: float = 0.0
    memory: float = 0.0
    fds: float = 0.0
    loop_delay_s: float = 0.0


NO_USE = CapacityUse()


class InstanceCapacity(NamedTuple):
    """What an instance has, and what it uses of it."""

    limits: Capacity
    use: CapacityUse = NO_USE


class Readings(NamedTuple):
    """Readings at one time.

    ``processor_s``, ``link_bytes`` and ``requests`` are totals since the start of the
    process, ``held_bytes`` and ``open_fds`` present numbers, ``loop_delay_s`` is the
    present delay of the event loop in seconds.
    """

    processor_s: float
    link_bytes: int
    requests: int
    held_bytes: int
    open_fds: int
    loop_delay_s: float


class RequestCost(NamedTuple):
    """What a request takes on average: seconds on a core of speed 1, and bytes each way."""

    processor_s: float
    link_bytes: float


# 1.6 ms were measured on calm days (docs/design/platform.md); most requests and answers
# have a few kilobytes.
ASSUMED_PROCESSOR_S = 0.0016
ASSUMED_BYTES = 8000.0
ASSUMED_COST = RequestCost(ASSUMED_PROCESSOR_S, ASSUMED_BYTES)


class UsageMeter:
    """Averages use and costs from successive readings."""

    def __init__(self, *, settings: CapacitySettings) -> None:
        self.settings = settings
        self.use = NO_USE
        self._last: Readings | None = None
        self._last_at = 0.0
        self._requests = ASSUMED_REQUESTS
        self._processor_s = ASSUMED_REQUESTS * ASSUMED_COST.processor_s
        self._link_bytes = ASSUMED_REQUESTS * ASSUMED_COST.link_bytes

    @property
    def capacity(self) -> InstanceCapacity:
        """What the instance has, and what it uses of it."""
        return InstanceCapacity(self.settings.capacity, self.use)

    @property
    def request_cost(self) -> RequestCost:
        """What a request takes on average."""
        return RequestCost(self._processor_s / self._requests, self._link_bytes / self._requests)

    def update(self, readings: Readings, now: float) -> None:
        """Add ``readings`` taken at ``now`` (monotonic, in seconds)."""
        last = self._last
        elapsed_s = now - self._last_at
        self._last = readings
        self._last_at = now
        if last is None or elapsed_s <= 0:
            return
        processor_s = readings.processor_s - last.processor_s
        link_bytes = readings.link_bytes - last.link_bytes
        self._update_costs(readings.requests - last.requests, processor_s, link_bytes, elapsed_s)
        settings = self.settings
        newest_weight = min(1.0, elapsed_s / USE_AVERAGED_S)
        link_bps = link_bytes * BITS_PER_BYTE / elapsed_s
        self.use = CapacityUse(
            processor=_averaged(
                self.use.processor,
                _fraction(processor_s / elapsed_s, settings.cpu_share),
                newest_weight,
            ),
            link=_averaged(
                self.use.link,
                _fraction(link_bps, _in_units(settings.link_mbps, BITS_PER_MBIT)),
                newest_weight,
            ),
            memory=_fraction(readings.held_bytes, held_bytes_limit(settings.memory_mb)),
            fds=_fraction(readings.open_fds, settings.max_fds),
            loop_delay_s=readings.loop_delay_s,
        )

    def _update_costs(
        self, requests: int, processor_s: float, link_bytes: int, elapsed_s: float
    ) -> None:
        # Without requests, what the process does is not the cost of any.
        if not requests:
            return
        kept = 0.5 ** (elapsed_s / COST_HALF_LIFE_S)
        self._requests = self._requests * kept + requests
        self._processor_s = self._processor_s * kept + processor_s * self.settings.core_speed
        self._link_bytes = self._link_bytes * kept + link_bytes


def held_bytes_limit(memory_mb: float | None) -> float | None:
    """Return the most bytes that may be held for slow peers; ``None`` if it is unknown."""
    return _in_units(memory_mb, HELD_MEMORY_SHARE * BYTES_PER_MB)


def _in_units(number: float | None, unit: float) -> float | None:
    return None if number is None else number * unit


def _fraction(used: float, limit: float | None) -> float:
    return used / limit if limit else 0.0


def _averaged(mean: float, newest: float, newest_weight: float) -> float:
    return mean + newest_weight * (newest - mean)
