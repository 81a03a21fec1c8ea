"""Whether overload control is active, by the settings and the configuration in force."""

from plantainloft_core.routes import RouteTable
from plantainloft_node.entry.settings import AUTO, ON, EntrySettings

__all__ = ['is_overload_control_active']


def is_overload_control_active(settings: EntrySettings, route_table: RouteTable) -> bool:
    """Return whether overload control is active.

    Unless the settings decide, it is active while the configuration has routes with large
    responses, which occupy the links and the memory of instances.
    """
    if settings.overload_control == AUTO:
        return route_table.has_downloads
    return settings.overload_control == ON
