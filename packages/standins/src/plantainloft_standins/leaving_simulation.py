"""Simulation of many instances that poll a failing store while endpoints leave.

Runs the production code that polls the store, shares changes between instances,
probes the store and decides which endpoints are usable, in virtual time. The
store, the datagrams and the calls between instances are simulated. The result
tells how long endpoints are used after their row was removed, and which running
endpoints were dropped because their row had expired during an outage.
"""

import random
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from plantainloft_core.store_position import latest_position
from plantainloft_node.entry.component_parameters import UPDATE_INTERVAL_S
from plantainloft_node.replica.store_rows import DECLARATIONS, ENDPOINTS
from plantainloft_standins.replicating_instance import (
    NetworkShape,
    ReplicatingInstance,
    SimulatedNetwork,
    fleet_members,
)
from plantainloft_standins.simulated_store import ModelStore, Outage
from plantainloft_standins.virtual_clock import run_in_virtual_time

__all__ = ['FalseDrop', 'LeavingResult', 'LeavingScenario', 'StaleUse', 'simulate_leaving']

ENDPOINT_COUNT = 24
# Range of delays after which an expired row is written again when the store is back.
REREGISTRATION_S = (0.2, 2.0)


class LeavingScenario(NamedTuple):
    """Size of the fleet, network and events of a simulation.

    A configuration of ``config_bytes`` is written every ``config_interval_s``
    seconds, which ends the long polls of all instances at the same time. A byte
    takes ``byte_s`` seconds over an instance's link, which sends one answer after
    the other.

    An endpoint leaves at each of the times ``leaves_at``. ``loss_rate`` is the fraction
    of datagrams lost. ``rows_expire`` says for each outage, in order, whether endpoint
    rows expire in it.
    """

    seed: int
    outages: tuple[Outage, ...]
    leaves_at: tuple[float, ...] = ()
    rows_expire: tuple[bool, ...] = ()
    regions: int = 3
    per_region: int = 4
    intra_region_rtt_s: float = 0.003
    inter_region_rtt_s: float = 0.11
    loss_rate: float = 0.01
    config_interval_s: float = 2.0
    config_bytes: int = 1
    byte_s: float = 0.0
    duration_s: float = 40.0


class StaleUse(NamedTuple):
    """For how long ``instance`` used an endpoint after its row was removed."""

    instance: str
    removed_at: float
    stale_s: float


class FalseDrop(NamedTuple):
    """A running endpoint that ``instance`` stopped using."""

    instance: str
    endpoint_id: str
    at: float


class LeavingResult(NamedTuple):
    """Result of a simulation.

    ``calls`` counts the store calls of all instances. ``outdated_at_end`` names the
    instances without the newest configuration.
    """

    stale_uses: list[StaleUse]
    false_drops: list[FalseDrop]
    calls: int
    outdated_at_end: list[str]


class _Simulation:
    """One simulation of a scenario."""

    def __init__(self, *, scenario: LeavingScenario) -> None:
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._store = ModelStore(outages=scenario.outages)
        shape = NetworkShape(
            scenario.intra_region_rtt_s,
            scenario.inter_region_rtt_s,
            scenario.byte_s,
            scenario.loss_rate,
        )
        self._network = SimulatedNetwork(shape=shape, rng=self._random)
        self._instance_by_name = self._network.instance_by_name
        self._removed_at_by_id: dict[str, float] = {}
        self._last_used_at: dict[tuple[str, str], float] = {}
        self._false_drops: dict[tuple[str, str], FalseDrop] = {}

    async def run(self) -> LeavingResult:
        for number in range(ENDPOINT_COUNT):
            self._store.put(ENDPOINTS, f'i{number}')
        self._store.put(DECLARATIONS, 'config')
        async with anyio.create_task_group() as tasks:
            self._build(tasks)
            for task in (self._store.watch_outages, self._write_configurations, self._tick):
                tasks.start_soon(task)
            for number, at in enumerate(self._scenario.leaves_at):
                tasks.start_soon(self._remove_endpoint, f'i{number}', at)
            for outage, rows_expire in zip(
                self._scenario.outages, self._scenario.rows_expire, strict=False
            ):
                if rows_expire:
                    tasks.start_soon(self._expire_rows, outage)
            await anyio.sleep(self._scenario.duration_s)
            tasks.cancel_scope.cancel()
        return LeavingResult(
            stale_uses=[
                StaleUse(
                    name, self._removed_at_by_id[left_id], used_at - self._removed_at_by_id[left_id]
                )
                for (name, left_id), used_at in self._last_used_at.items()
            ],
            false_drops=list(self._false_drops.values()),
            calls=sum(one.store_client.calls for one in self._instance_by_name.values()),
            outdated_at_end=self._outdated_instances(),
        )

    def _outdated_instances(self) -> list[str]:
        newest = latest_position(row.position for row in self._store.rows(DECLARATIONS))
        return [
            name
            for name, one in self._instance_by_name.items()
            if one.replicated_state.rows.position_by_table.get(DECLARATIONS) != newest
        ]

    def _build(self, tasks: TaskGroup) -> None:
        all_members = fleet_members(
            regions=self._scenario.regions, per_region=self._scenario.per_region
        )
        for member in all_members:
            self._instance_by_name[member.name] = ReplicatingInstance(
                local_member=member,
                store=self._store,
                network=self._network,
                tasks=tasks,
                rng=self._random,
            )
        for instance in self._instance_by_name.values():
            for member in all_members:
                instance.members.add_member(member, 0.0)
            instance.start(tasks)

    async def _write_configurations(self) -> None:
        # The operator can't write while the store is down for all instances.
        while True:
            await anyio.sleep(self._scenario.config_interval_s)
            if self._store.outage_for('', anyio.current_time()) is None:
                self._store.put(DECLARATIONS, 'config', size=self._scenario.config_bytes)

    async def _remove_endpoint(self, endpoint_id: str, at: float) -> None:
        await anyio.sleep_until(at)
        self._removed_at_by_id[endpoint_id] = at
        self._store.remove(ENDPOINTS, endpoint_id)

    async def _expire_rows(self, outage: Outage) -> None:
        """Remove the rows of the endpoints that stay; write them again after the outage."""
        remaining = range(len(self._scenario.leaves_at), ENDPOINT_COUNT)
        await anyio.sleep_until(self._random.uniform(outage.start_s, outage.end_s))
        for number in remaining:
            self._store.remove(ENDPOINTS, f'i{number}')
        await anyio.sleep_until(outage.end_s)
        rewritten = sorted(
            (self._random.uniform(*REREGISTRATION_S), number) for number in remaining
        )
        for after_s, number in rewritten:
            await anyio.sleep_until(outage.end_s + after_s)
            self._store.put(ENDPOINTS, f'i{number}')

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(UPDATE_INTERVAL_S)
            now = anyio.current_time()
            for instance in self._instance_by_name.values():
                instance.replicated_state.update(now)
                self._record_use(instance, now)

    def _record_use(self, instance: ReplicatingInstance, now: float) -> None:
        used = instance.replicated_state.endpoint_registry.by_id
        name = instance.members.local_member.name
        for number in range(ENDPOINT_COUNT):
            endpoint_id = f'i{number}'
            if endpoint_id in self._removed_at_by_id:
                if endpoint_id in used:
                    self._last_used_at[(name, endpoint_id)] = now
            elif endpoint_id not in used and now > self._scenario.intra_region_rtt_s + 2:
                self._false_drops.setdefault((name, endpoint_id), FalseDrop(name, endpoint_id, now))


def simulate_leaving(scenario: LeavingScenario) -> LeavingResult:
    """Simulate ``scenario``; the same seed gives the same result."""
    state = random.getstate()
    random.seed(scenario.seed)
    try:
        return run_in_virtual_time(_Simulation(scenario=scenario).run)
    finally:
        random.setstate(state)
