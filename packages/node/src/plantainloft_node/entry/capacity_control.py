"""The capacity of this instance while overload control is active."""

from collections.abc import Callable

from plantainloft_core.routes import RouteTable
from plantainloft_node.capacity.usage import InstanceCapacity, UsageMeter
from plantainloft_node.entry.overload_switch import is_overload_control_active
from plantainloft_node.entry.settings import EntrySettings

__all__ = ['CapacityControl']


class CapacityControl:
    """Measures what this instance uses of its capacity, and what to do about it."""

    def __init__(self, *, settings: EntrySettings, route_table: Callable[[], RouteTable]) -> None:
        self._settings = settings
        self._route_table = route_table
        self.meter = UsageMeter(settings=settings.capacity)

    def apply_settings(self, settings: EntrySettings) -> None:
        """Use reloaded settings."""
        self._settings = settings
        self.meter.settings = settings.capacity

    def is_active(self) -> bool:
        """Return whether overload control is active."""
        return is_overload_control_active(self._settings, self._route_table())

    def reported(self) -> InstanceCapacity | None:
        """Return what to report to other instances; ``None`` while overload control is off."""
        return self.meter.capacity if self.is_active() else None
