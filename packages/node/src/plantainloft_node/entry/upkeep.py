"""Periodic updates of state that changes with time, not only with row changes."""

import anyio

from plantainloft_node.entry.observing import Observation
from plantainloft_node.entry.serving import RequestPipeline
from plantainloft_node.entry.terms import UPDATE_INTERVAL_S
from plantainloft_node.fleet.demand import (
    demand_of_zones,
    fleet_size,
    has_fresh_uses,
    uses_of_fleet,
)
from plantainloft_node.fleet.members import MemberBook
from plantainloft_node.placing.demand import RegionDemand, demand_by_region

__all__ = ['PeriodicUpdates']


class PeriodicUpdates:
    """Updates shares, ejections, limits and the list of instances at a fixed interval."""

    def __init__(
        self,
        *,
        observation: Observation,
        members: MemberBook,
        pipeline: RequestPipeline,
    ) -> None:
        self._observation = observation
        self._members = members
        self._placement = pipeline.placement
        self._demand = pipeline.dispatcher.demand
        self._pool = pipeline.pool
        self._crashes = pipeline.dispatcher.crashes
        self._limiter = pipeline.limiter

    async def run(self) -> None:
        """Update until cancelled."""
        while True:
            self.update(anyio.current_time())
            await self._pool.keep_only(self._observation.book.incarnations())
            await anyio.sleep(UPDATE_INTERVAL_S)

    def update(self, now: float) -> None:
        """Update everything that depends on the current time."""
        self._observation.beliefs.tick(now)
        self._placement.update_instances(self._members.sharing(now))
        self._placement.update_ejections(now)
        self._demand.tick(UPDATE_INTERVAL_S)
        self._crashes.forget_old(now)
        zones = demand_of_zones(self._members, self._demand.rate_by_service, now)
        demand = [RegionDemand(zone.region, zone.rate_by_service) for zone in zones]
        self._placement.update_regions(demand_by_region(demand))
        self._update_limits(now)

    def _update_limits(self, now: float) -> None:
        organisations = self._observation.beliefs.table.organisations
        if not organisations.by_name:
            return
        self._limiter.keep_only(organisations)
        uses = uses_of_fleet(self._members, self._limiter.uses(now), now)
        size = fleet_size(self._members, now)
        self._limiter.update(uses, size, now, is_fresh=has_fresh_uses(self._members, now))
