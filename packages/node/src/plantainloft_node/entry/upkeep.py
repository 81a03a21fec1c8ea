"""Beliefs that change with time rather than with news."""

import anyio

from plantainloft_node.entry.observing import Observation
from plantainloft_node.entry.serving import Serving
from plantainloft_node.entry.terms import TICK_S
from plantainloft_node.fleet.demand import demand_of_zones
from plantainloft_node.fleet.members import MemberBook
from plantainloft_node.placing.demand import RegionDemand, demand_by_region

__all__ = ['Upkeep']


class Upkeep:
    """Renews shares, ejections and the list of instances at each tick."""

    def __init__(
        self,
        *,
        observation: Observation,
        members: MemberBook,
        serving: Serving,
    ) -> None:
        self._observation = observation
        self._members = members
        self._placement = serving.placement
        self._demand = serving.dispatcher.demand
        self._pool = serving.pool
        self._crashes = serving.dispatcher.crashes

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick(anyio.current_time())
            await self._pool.keep_only(self._observation.book.incarnations())
            await anyio.sleep(TICK_S)

    def tick(self, now: float) -> None:
        """Renew what time has changed by ``now``."""
        self._observation.beliefs.tick(now)
        self._placement.update_instances(self._members.sharing(now))
        self._placement.update_ejections(now)
        self._demand.tick(TICK_S)
        self._crashes.forget_old(now)
        zones = demand_of_zones(self._members, self._demand.rate_by_service, now)
        demand = [RegionDemand(zone.region, zone.rate_by_service) for zone in zones]
        self._placement.update_regions(demand_by_region(demand))
