"""Tests links to endpoints that may be lost, and those that are, until they are back."""

import random

import anyio

from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.links.schedule import LinkTestSchedule
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState
from plantainloft_node.tunnels.connector import FallbackConnector

__all__ = ['LinkProber']

CHECK_INTERVAL_S = 0.1
# Two in one zone: one alone may be down.
ENDPOINTS_PER_TEST = 2
MAX_CONCURRENT_TESTS = 24


class LinkProber:
    """Opens connections to endpoints of the zones that are due for a test."""

    def __init__(
        self,
        *,
        links: LinkMonitor,
        connector: FallbackConnector,
        endpoint_registry: EndpointRegistry,
    ) -> None:
        self._links = links
        self._schedule = LinkTestSchedule(monitor=links)
        self._connector = connector
        self._endpoint_registry = endpoint_registry
        self._slots = anyio.CapacityLimiter(MAX_CONCURRENT_TESTS)

    async def run(self) -> None:
        """Test links until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(CHECK_INTERVAL_S)
                now = anyio.current_time()
                states = [
                    state
                    for zone in self._schedule.zones_due(now)
                    for state in self._endpoints_to_test(zone, now)
                ]
                for state in states:
                    tasks.start_soon(self._test, state)
                self._links.abandon_silent(now)

    async def _test(self, state: EndpointState) -> None:
        async with self._slots:
            await self._connector.test_links(state)

    def _endpoints_to_test(self, zone: str, now: float) -> list[EndpointState]:
        if zone in self._endpoint_registry.evacuated_zones:
            return []
        willing = [
            state
            for state in self._endpoint_registry.endpoints_in_zone(zone)
            if state.accepts_requests(now)
        ]
        # A cold endpoint has enough to do, but after a power failure all are cold.
        candidates = [state for state in willing if not state.is_cold(now)] or willing
        return random.sample(candidates, min(ENDPOINTS_PER_TEST, len(candidates)))
