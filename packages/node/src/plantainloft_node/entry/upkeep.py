"""Beliefs that change with time rather than with news."""

import anyio

from plantainloft_node.engine.front import Front
from plantainloft_node.engine.pool import LinkPool
from plantainloft_node.entry.observing import Observation
from plantainloft_node.entry.terms import TICK_S
from plantainloft_node.fleet.members import MemberBook
from plantainloft_node.placing.demand import RegionDemand, demand_by_region
from plantainloft_node.placing.placement import Placement

__all__ = ['Upkeep']


class Upkeep:
    """Renews shares, ejections and the list of instances at each tick."""

    def __init__(
        self,
        *,
        observation: Observation,
        members: MemberBook,
        placement: Placement,
        front: Front,
        pool: LinkPool,
    ) -> None:
        self._observation = observation
        self._members = members
        self._placement = placement
        self._front = front
        self._pool = pool

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
        meter = self._front.demand
        meter.tick(TICK_S)
        mine = RegionDemand(self._members.me.region, meter.rate_by_service)
        others = [
            RegionDemand(beat.member.region, beat.rate_by_service)
            for beat in self._members.beats(now)
        ]
        self._placement.update_regions(demand_by_region([mine, *others]))
