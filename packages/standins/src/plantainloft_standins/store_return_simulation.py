"""Simulation of many instances whose store returns from older copies.

The result has every moment at which an instance went back behind what it had acted on,
or did not follow a change that binds, and the calls of the store that returns cost.
"""

import random
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from plantainloft_node.entry.component_parameters import UPDATE_INTERVAL_S
from plantainloft_standins.replicating_instance import (
    Cut,
    NetworkShape,
    ReplicatingInstance,
    SimulatedNetwork,
    fleet_members,
)
from plantainloft_standins.return_observer import Breach, ReturnObserver, StoreReturnBounds
from plantainloft_standins.simulated_store import ModelStore, Outage
from plantainloft_standins.simulated_writers import SimulatedWriters
from plantainloft_standins.virtual_clock import run_in_virtual_time

__all__ = ['Restart', 'StoreReturnResult', 'StoreReturnScenario', 'simulate_store_returns']

CALLS_COUNTED_S = 5.0
MS_PER_S = 1000
DEFAULT_NETWORK = NetworkShape()
DEFAULT_BOUNDS = StoreReturnBounds()


class Restart(NamedTuple):
    """An instance that ends at ``at`` and starts again ``after_s`` later."""

    instance: str
    at: float
    after_s: float


class StoreReturnScenario(NamedTuple):
    """Size of the fleet and events of a simulation.

    ``outages`` with a copy's age end with a return. An endpoint announces its leaving at
    each of ``leaves_at``. The zone of all endpoints is evacuated and taken back at the
    times of each pair of ``evacuations``. The store drops its history at each of
    ``compactions_at``.
    """

    seed: int
    outages: tuple[Outage, ...]
    leaves_at: tuple[float, ...] = ()
    evacuations: tuple[tuple[float, float], ...] = ()
    cuts: tuple[Cut, ...] = ()
    restarts: tuple[Restart, ...] = ()
    compactions_at: tuple[float, ...] = ()
    regions: int = 3
    per_region: int = 4
    network: NetworkShape = DEFAULT_NETWORK
    config_interval_s: float = 1.3
    config_bytes: int = 1
    duration_s: float = 40.0
    bounds: StoreReturnBounds = DEFAULT_BOUNDS


class StoreReturnResult(NamedTuple):
    """Result of a simulation.

    ``calls_after_outages`` counts the calls of all instances in the ``CALLS_COUNTED_S``
    after each outage of the whole store. ``given_up`` counts the held rows that were not
    written again in time, ``held_at_end`` those still held.
    """

    breaches: list[Breach]
    calls_after_outages: list[int]
    given_up: int
    held_at_end: int


class _Simulation:
    """One simulation of a scenario."""

    def __init__(self, *, scenario: StoreReturnScenario) -> None:
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._store = ModelStore(outages=scenario.outages)
        self._network = SimulatedNetwork(
            shape=scenario.network, rng=self._random, cuts=scenario.cuts
        )
        self._members = fleet_members(regions=scenario.regions, per_region=scenario.per_region)
        self._scope_by_name: dict[str, anyio.CancelScope] = {}
        self._started_at_by_name: dict[str, float] = {}
        self._calls_after_outages: list[int] = []
        self._calls_of_ended = 0
        self._writers = SimulatedWriters(
            store=self._store, rng=self._random, config_bytes=scenario.config_bytes
        )
        self._observer = ReturnObserver(
            writers=self._writers,
            bounds=scenario.bounds,
            undisturbed_since=self._undisturbed_since,
        )

    async def run(self) -> StoreReturnResult:
        self._writers.write_all()
        async with anyio.create_task_group() as tasks:
            self._store.on_return = partial(self._start_recovery, tasks)
            for member in self._members:
                tasks.start_soon(self._run_instance, member.name)
            self._start_events(tasks)
            await anyio.sleep(self._scenario.duration_s)
            tasks.cancel_scope.cancel()
        instances = self._network.instance_by_name.values()
        held = [one.replicated_state.updates.held_rows for one in instances]
        return StoreReturnResult(
            breaches=self._observer.breaches(),
            calls_after_outages=self._calls_after_outages,
            given_up=sum(rows.given_up_count for rows in held),
            held_at_end=sum(len(rows) for rows in held),
        )

    def _start_events(self, tasks: TaskGroup) -> None:
        scenario, writers = self._scenario, self._writers
        for task in (self._store.watch_outages, writers.write_heartbeats, self._tick):
            tasks.start_soon(task)
        tasks.start_soon(writers.declare_every, scenario.config_interval_s)
        tasks.start_soon(self._compact)
        for endpoint, at in zip(writers.endpoints, scenario.leaves_at, strict=False):
            tasks.start_soon(writers.leave, endpoint, at)
        for start_s, end_s in scenario.evacuations:
            tasks.start_soon(writers.set_evacuated, start_s, True)
            tasks.start_soon(writers.set_evacuated, end_s, False)
        for outage in scenario.outages:
            if not outage.instances:
                tasks.start_soon(self._count_calls, outage.end_s)
        for restart in scenario.restarts:
            tasks.start_soon(self._restart, restart, tasks)

    def _undisturbed_since(self, name: str, now: float) -> float:
        scenario = self._scenario
        spans = [(cut.start_s, cut.end_s) for cut in scenario.cuts if cut.instance == name]
        spans += [
            (outage.start_s, outage.end_s)
            for outage in scenario.outages
            if not outage.instances or name in outage.instances
        ]
        ends = [min(end_s, now) for start_s, end_s in spans if start_s <= now]
        return max([self._started_at_by_name.get(name, now), *ends])

    async def _run_instance(self, name: str) -> None:
        member = next(one for one in self._members if one.name == name)
        with anyio.CancelScope() as scope:
            self._scope_by_name[name] = scope
            async with anyio.create_task_group() as tasks:
                now = anyio.current_time()
                instance = ReplicatingInstance(
                    local_member=member._replace(incarnation=1 + int(now * MS_PER_S)),
                    store=self._store,
                    network=self._network,
                    tasks=tasks,
                    rng=self._random,
                )
                self._network.instance_by_name[name] = instance
                self._network.ended.discard(name)
                self._started_at_by_name[name] = now
                for other in self._members:
                    instance.members.add_member(other, now)
                instance.start(tasks)
                await anyio.sleep_forever()

    async def _restart(self, restart: Restart, tasks: TaskGroup) -> None:
        await anyio.sleep_until(restart.at)
        name = restart.instance
        self._scope_by_name[name].cancel()
        self._network.ended.add(name)
        ended = self._network.instance_by_name[name]
        self._calls_of_ended += ended.store_client.calls
        ended.store_client.calls = 0
        self._observer.forget(name)
        self._started_at_by_name.pop(name)
        await anyio.sleep(restart.after_s)
        tasks.start_soon(self._run_instance, name)

    def _start_recovery(self, tasks: TaskGroup) -> None:
        self._writers.start_rewriting(tasks)

    async def _count_calls(self, since: float) -> None:
        await anyio.sleep_until(since)
        calls_before = self._call_count()
        await anyio.sleep(CALLS_COUNTED_S)
        self._calls_after_outages.append(self._call_count() - calls_before)

    async def _compact(self) -> None:
        for at in self._scenario.compactions_at:
            await anyio.sleep_until(at)
            self._store.oldest_history_version = self._store.version

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(UPDATE_INTERVAL_S)
            now = anyio.current_time()
            for name in self._started_at_by_name:
                instance = self._network.instance_by_name[name]
                instance.replicated_state.update(now)
                self._observer.observe(name, instance, now)

    def _call_count(self) -> int:
        running = self._network.instance_by_name.values()
        return self._calls_of_ended + sum(one.store_client.calls for one in running)


def simulate_store_returns(scenario: StoreReturnScenario) -> StoreReturnResult:
    """Simulate ``scenario``; the same seed gives the same result."""
    state = random.getstate()
    random.seed(scenario.seed)
    try:
        return run_in_virtual_time(_Simulation(scenario=scenario).run)
    finally:
        random.setstate(state)
