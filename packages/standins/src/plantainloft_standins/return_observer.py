"""Compares what instances go by with what was confirmed, while the store returns from copies."""

from collections.abc import Callable
from typing import NamedTuple

from plantainloft_standins.replicating_instance import ReplicatingInstance
from plantainloft_standins.simulated_writers import (
    EVACUATED_ZONE,
    SimulatedEndpoint,
    SimulatedWriters,
)

__all__ = ['Breach', 'ReturnObserver', 'StoreReturnBounds']


class StoreReturnBounds(NamedTuple):
    """When changes bind, in seconds.

    A change is in force ``in_force_s`` (an evacuation: ``evacuated_s``) after its
    confirmation, at instances that were not disturbed for ``contact_s`` and if the store
    was not either.
    """

    in_force_s: float = 2.5
    evacuated_s: float = 5.0
    contact_s: float = 4.0


class Breach(NamedTuple):
    """What an instance did against the bounds, first at ``at``."""

    instance: str
    kind: str
    subject: str
    at: float


class ReturnObserver:
    """Records the breaches of all instances."""

    def __init__(
        self,
        *,
        writers: SimulatedWriters,
        bounds: StoreReturnBounds,
        undisturbed_since: Callable[[str, float], float],
    ) -> None:
        """``undisturbed_since`` returns since when neither an instance nor the store was."""
        self._writers = writers
        self._bounds = bounds
        self._undisturbed_since = undisturbed_since
        self._breach_by_subject: dict[tuple[str, str, str], Breach] = {}
        self._version_by_name: dict[str, int] = {}
        # Endpoints that an instance has used, and those of them that it has dropped.
        self._used: set[tuple[str, str]] = set()
        self._dropped: set[tuple[str, str]] = set()
        self._evacuated: set[tuple[str, float]] = set()

    def breaches(self) -> list[Breach]:
        """Return all breaches, each once."""
        return list(self._breach_by_subject.values())

    def forget(self, name: str) -> None:
        """Forget what a process that has ended acted on."""
        self._version_by_name.pop(name, None)
        self._used = {entry for entry in self._used if entry[0] != name}
        self._dropped = {entry for entry in self._dropped if entry[0] != name}
        self._evacuated = {entry for entry in self._evacuated if entry[0] != name}

    def observe(self, name: str, instance: ReplicatingInstance, now: float) -> None:
        """Record the breaches of an instance at ``now``."""
        self._observe_config(name, instance, now)
        self._observe_endpoints(name, instance, now)
        self._observe_evacuation(name, instance, now)

    def _observe_config(self, name: str, instance: ReplicatingInstance, now: float) -> None:
        version = instance.replicated_state.routing_state.route_table.version
        if version < self._version_by_name.get(name, 0):
            self._record(name, 'configuration went back', str(version), now)
        self._version_by_name[name] = version
        newest_first = reversed(self._writers.configurations)
        binding = (
            int(confirmed.content or 0)
            for confirmed in newest_first
            if self._binds(name, confirmed.at, now, self._bounds.in_force_s)
        )
        bound_version = next(binding, 0)
        if version < bound_version:
            self._record(name, 'configuration not in force', str(bound_version), now)

    def _observe_endpoints(self, name: str, instance: ReplicatingInstance, now: float) -> None:
        state_by_id = instance.replicated_state.endpoint_registry.by_id
        for endpoint in self._writers.endpoints:
            state = state_by_id.get(endpoint.id)
            is_used = state is not None and state.accepts_requests(now)
            if is_used:
                self._used.add((name, endpoint.id))
            if endpoint.left_at is None:
                self._observe_live(name, endpoint.id, now, is_used=is_used)
            elif is_used:
                self._observe_left(name, endpoint, now)
            elif (name, endpoint.id) in self._used:
                self._dropped.add((name, endpoint.id))

    def _observe_live(self, name: str, endpoint_id: str, now: float, *, is_used: bool) -> None:
        # Absences of the store are no reason to drop an endpoint; those of the instance are.
        if not is_used and self._binds(name, 0.0, now, self._bounds.contact_s):
            self._record(name, 'endpoint dropped', endpoint_id, now)

    def _observe_left(self, name: str, endpoint: SimulatedEndpoint, now: float) -> None:
        if (name, endpoint.id) in self._dropped:
            self._record(name, 'endpoint used again', endpoint.id, now)
        if self._binds(name, endpoint.left_at or 0.0, now, self._bounds.in_force_s):
            self._record(name, 'endpoint used after it left', endpoint.id, now)

    def _observe_evacuation(self, name: str, instance: ReplicatingInstance, now: float) -> None:
        if not self._writers.evacuations or self._writers.evacuations[-1].content is None:
            return
        confirmed_at = self._writers.evacuations[-1].at
        registry = instance.replicated_state.endpoint_registry
        if EVACUATED_ZONE in registry.evacuated_zones:
            self._evacuated.add((name, confirmed_at))
        elif (name, confirmed_at) in self._evacuated:
            self._record(name, 'evacuation went back', str(confirmed_at), now)
        elif self._binds(name, confirmed_at, now, self._bounds.evacuated_s):
            self._record(name, 'zone not evacuated', str(confirmed_at), now)

    def _binds(self, name: str, confirmed_at: float, now: float, within_s: float) -> bool:
        in_touch_at = self._undisturbed_since(name, now) + self._bounds.contact_s
        return now >= max(confirmed_at + within_s, in_touch_at)

    def _record(self, name: str, kind: str, subject: str, now: float) -> None:
        key = (name, kind, subject)
        self._breach_by_subject.setdefault(key, Breach(name, kind, subject, round(now, 2)))
