"""The capacity of this instance while overload control is active."""

import logging
import time
from collections.abc import Callable

from plantainloft_core.routes import RouteTable
from plantainloft_node.capacity.guard import CapacityGuard
from plantainloft_node.capacity.held_bytes import CallerTraffic, EndpointBacklog
from plantainloft_node.capacity.usage import InstanceCapacity, Readings, UsageMeter
from plantainloft_node.entry.overload_switch import is_overload_control_active
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.fleet.membership import FleetMembership

__all__ = ['CapacityControl']

log = logging.getLogger(__name__)

# Descriptors of listeners, logs, the store and the event loop.
FIXED_FDS = 32


class CapacityControl:
    """Measures what this instance uses of its capacity, and applies its limits."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        members: FleetMembership,
        route_table: Callable[[], RouteTable],
    ) -> None:
        self._settings = settings
        self._members = members
        self._route_table = route_table
        self.meter = UsageMeter(settings=settings.capacity)
        self.guard = CapacityGuard()
        self.traffic = CallerTraffic()
        self.backlog = EndpointBacklog()

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

    def update(
        self, *, tunnel_bytes: int, endpoint_fds: int, loop_delay_s: float, now: float
    ) -> None:
        """Measure the present use and apply the limits.

        ``tunnel_bytes`` are those copied through tunnels since the start, ``endpoint_fds``
        the open connections to endpoints and of tunnels.
        """
        readings = Readings(
            processor_s=time.process_time(),
            link_bytes=self.traffic.link_bytes + tunnel_bytes,
            requests=self.guard.offered,
            held_bytes=self.traffic.held_bytes,
            open_fds=FIXED_FDS + self.traffic.open_connections + endpoint_fds,
            loop_delay_s=loop_delay_s,
        )
        self.meter.update(readings, now)
        applies = self.is_active() and self._members.capacities.differ_from(
            self.meter.settings.capacity, now
        )
        self.traffic.bounded = applies
        self.backlog.bounded = applies
        self._update_guard(applies=applies, now=now)

    def _update_guard(self, *, applies: bool, now: float) -> None:
        was_beyond_limit = self.guard.is_beyond_limit
        use = self.meter.use
        self.guard.update(use, active=applies)
        if self.guard.is_beyond_limit != was_beyond_limit:
            log.warning(
                'Capacity: refusals of new requests %s.',
                'end' if was_beyond_limit else 'start',
                extra={'kind': 'capacity', 'fields': use._asdict()},
            )
        if self.guard.is_beyond_limit and use.memory > 1:
            self._abort_stalled(now)

    def _abort_stalled(self, now: float) -> None:
        aborted = self.traffic.abort_stalled(now)
        if aborted:
            log.warning(
                'Capacity: %d connections closed whose callers read too slowly.',
                aborted,
                extra={'kind': 'capacity', 'fields': {'held_bytes': self.traffic.held_bytes}},
            )
