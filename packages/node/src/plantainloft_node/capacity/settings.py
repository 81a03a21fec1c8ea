"""What an instance has of processor, memory, descriptors and link, from its settings."""

import math
from typing import NamedTuple

__all__ = ['UNKNOWN_CAPACITY', 'Capacity', 'CapacitySettings', 'positive_finite_float']


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
        return Capacity(
            processor_cores=processor_cores if is_processor_known else None,
            memory_mb=self.memory_mb,
            max_fds=self.max_fds,
            link_mbps=self.link_mbps,
        )


def positive_finite_float(raw: str) -> float:
    """Convert to a finite number greater than zero."""
    number = float(raw)
    if not math.isfinite(number) or number <= 0:
        raise ValueError('must be a finite number greater than zero')
    return number
