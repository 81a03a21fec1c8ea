"""What an instance has of processor, memory, descriptors and link, from its settings."""

import math
from typing import NamedTuple

__all__ = [
    'MAX_CAPACITY',
    'UNKNOWN_CAPACITY',
    'Capacity',
    'CapacitySettings',
    'positive_finite_float',
]


class Capacity(NamedTuple):
    """What an instance has; ``None`` where it is unknown.

    ``processor_cores`` is in cores of speed 1, ``memory_mb`` in megabytes and
    ``link_mbps`` in megabits per second. ``max_fds`` is a number of descriptors.
    """

    processor_cores: float | None = None
    memory_mb: float | None = None
    max_fds: float | None = None
    link_mbps: float | None = None


UNKNOWN_CAPACITY = Capacity()
# The largest capacities that are believed: a larger one would draw all callers to one
# instance. Some systems name a billion descriptors where they are not limited.
MAX_PROCESSOR_CORES = 256.0
MAX_MEMORY_MB = 4_000_000.0
MAX_FDS = 16_000_000.0
MAX_LINK_MBPS = 400_000.0
MAX_CAPACITY = Capacity(MAX_PROCESSOR_CORES, MAX_MEMORY_MB, MAX_FDS, MAX_LINK_MBPS)
# Reports have hundredths of a core, whole megabytes and descriptors, and kbit/s. The own
# capacity is rounded alike, or that of an equal instance would seem to differ.
_DECIMALS = (2, 0, 0, 3)


class CapacitySettings(NamedTuple):
    """The ``[capacity]`` section; ``None`` where an option is missing.

    ``cpu_share`` is the fraction of a core that the process may use, ``cores`` the speed
    of that core.
    """

    cpu_share: float | None = None
    cores: float | None = None
    memory_mb: float | None = None
    max_fds: float | None = None
    link_mbps: float | None = None

    @property
    def core_speed(self) -> float:
        """The speed of the core; 1.0 if it is unknown."""
        return self.cores or 1.0

    @property
    def capacity(self) -> Capacity:
        """The capacity that these settings describe."""
        is_processor_known = self.cpu_share is not None or self.cores is not None
        processor_cores = (self.cpu_share or 1.0) * self.core_speed
        configured = (
            processor_cores if is_processor_known else None,
            self.memory_mb,
            self.max_fds,
            self.link_mbps,
        )
        return Capacity(*map(_rounded, configured, _DECIMALS, MAX_CAPACITY))


def positive_finite_float(raw: str) -> float:
    """Convert to a finite number greater than zero."""
    number = float(raw)
    if not math.isfinite(number) or number <= 0:
        raise ValueError('must be a finite number greater than zero')
    return number


def _rounded(number: float | None, decimals: int, maximum: float | None) -> float | None:
    if number is None or maximum is None:
        return None
    smallest = 1 / math.pow(10, decimals)
    return min(maximum, max(smallest, round(number, decimals)))
