"""Choose the endpoint of one request: by affinity, within bounded load.

A pure stage: no clock of its own, no network. The endpoints of a service
are ranked by the request's key; the first in rank with room gets it, in
the instance's own region before others. What no endpoint has room for is
refused at once.
"""

from dataclasses import dataclass
from typing import NamedTuple

from plantainloft_core.routes import Route, ServiceSpec
from plantainloft_node.placing.affinity import score
from plantainloft_node.placing.cold import cold_share
from plantainloft_node.placing.endpoints import EndpointBook, EndpointState

__all__ = ['Chosen', 'NoRoom', 'Placement', 'PlacementTerms', 'Wanted']

# Requests that may wait at an endpoint beyond its slots, as a share of
# them, by priority (0 first). Less urgent ones are turned away earlier, so
# that what is left of the queue serves the urgent ones; a whole queue
# length more would wait past the latency objective.
QUEUE_BY_PRIORITY = (1.0, 0.6, 0.25)
MAX_RANKINGS = 4096


class PlacementTerms(NamedTuple):
    """Bounds of the deployment that placement keeps.

    ``cold_over`` and ``cold_slack`` bound what a cold endpoint may get in
    a second, over all instances: rate times ``cold_over`` plus slack.
    """

    region: str
    instance: str
    cold_over: float
    cold_slack: float


class Wanted(NamedTuple):
    """What is asked of placement for one request or one more try."""

    route: Route
    service: str
    key: str
    tried: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Chosen:
    """The endpoint to send to, and the load that was believed there."""

    endpoint: EndpointState
    load: float
    rank: int


@dataclass(frozen=True, slots=True, kw_only=True)
class NoRoom:
    """No endpoint may take the request now.

    ``retry_after_s`` is when room is likely; ``usable`` counts the
    endpoints that could be used at all.
    """

    reason: str
    usable: int


class Placement:
    """Ranks endpoints by key and bounds the load of each."""

    def __init__(self, *, terms: PlacementTerms, book: EndpointBook) -> None:
        self._terms = terms
        self._book = book
        self.instances: tuple[str, ...] = ()
        self._ranking_by_key: dict[tuple[str, str], list[str]] = {}
        self._ranked_generation = -1

    def choose(self, wanted: Wanted, spec: ServiceSpec, now: float) -> Chosen | NoRoom:
        """Return the endpoint for ``wanted``, or that none has room."""
        usable = self._usable(wanted, spec, now)
        if not usable:
            return NoRoom(reason='no endpoint is usable', usable=0)
        local = [state for state in usable if state.region == self._terms.region]
        for group in (local, usable):
            chosen = self._first_with_room(group, now)
            if chosen is not None:
                return chosen
        return self._least_queued(usable, wanted.route.priority, now)

    def note_sent(self, state: EndpointState, now: float) -> None:
        """Count a request as sent to ``state``."""
        if state.is_cold(now):
            state.cold_gate.note_sent(now)

    def _usable(self, wanted: Wanted, spec: ServiceSpec, now: float) -> list[EndpointState]:
        by_id = self._book.by_id
        ranked = [by_id[name] for name in self._ranking(wanted) if name not in wanted.tried]
        return [state for state in ranked if self._may_use(state, wanted.route, spec, now)]

    def _may_use(self, state: EndpointState, route: Route, spec: ServiceSpec, now: float) -> bool:
        record = state.record
        if record.draining or record.zone in self._book.evacuated_zones:
            return False
        if route.regions and state.region not in route.regions:
            return False
        if not state.health.usable(now):
            return False
        return not state.is_cold(now) or state.cold_gate.open(now, share=self._share(state, spec))

    def _share(self, state: EndpointState, spec: ServiceSpec) -> int:
        terms = self._terms
        return cold_share(
            bound=spec.cold_rate * terms.cold_over + terms.cold_slack,
            me=terms.instance,
            instances=self.instances,
            endpoint_id=state.record.id,
        )

    def _ranking(self, wanted: Wanted) -> list[str]:
        if self._ranked_generation != self._book.generation:
            self._ranking_by_key.clear()
            self._ranked_generation = self._book.generation
        cache_key = (wanted.service, wanted.key)
        ranking = self._ranking_by_key.get(cache_key)
        if ranking is None:
            if len(self._ranking_by_key) >= MAX_RANKINGS:
                self._ranking_by_key.clear()
            ids = self._book.ids_by_service.get(wanted.service, ())
            ranking = sorted(ids, key=lambda name: -score(wanted.key, name))
            self._ranking_by_key[cache_key] = ranking
        return ranking

    def _first_with_room(self, group: list[EndpointState], now: float) -> Chosen | None:
        for rank, state in enumerate(group):
            load = state.load(now)
            if load < state.record.slots:
                return Chosen(endpoint=state, load=load, rank=rank)
        return None

    def _least_queued(
        self, group: list[EndpointState], priority: int, now: float
    ) -> Chosen | NoRoom:
        allowed = QUEUE_BY_PRIORITY[min(priority, len(QUEUE_BY_PRIORITY) - 1)]
        best = min(group, key=lambda state: state.load(now) / state.record.slots)
        load = best.load(now)
        if load < best.record.slots * (1 + allowed):
            return Chosen(endpoint=best, load=load, rank=group.index(best))
        return NoRoom(reason='every endpoint is full', usable=len(group))
