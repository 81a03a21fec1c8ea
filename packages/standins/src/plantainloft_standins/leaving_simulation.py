"""Simulation of many instances that poll a failing store while endpoints leave.

Runs the production code that polls the store, shares changes between instances,
probes the store and decides which endpoints are usable, in virtual time. The
store, the datagrams and the calls between instances are simulated. The result
tells how long endpoints are used after their row was removed, and which running
endpoints were dropped because their row had expired during an outage.
"""

import random
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.entry.component_parameters import UPDATE_INTERVAL_S
from plantainloft_node.entry.fleet_tasks import ROW_CHANGE_DEBOUNCE_S
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.entry.row_replication import (
    MEMBERS_CALL,
    ROWS_CALL,
    SMALL_ROWS_CALL,
    RowReplication,
)
from plantainloft_node.entry.store_polling import PollingPolicy
from plantainloft_node.entry.store_probes import PROBE_CALL, StoreProbes
from plantainloft_node.fleet.heartbeats import HEARTBEAT_INTERVAL_S
from plantainloft_node.fleet.membership import FleetMember, FleetMembership, Heartbeat
from plantainloft_node.fleet.report_planner import OutgoingDatagram, ReportPlanner
from plantainloft_node.fleet.report_receiver import ReportReceiver
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.replica.store_rows import DECLARATIONS, ENDPOINTS
from plantainloft_node.streams.listener import FrameHandler
from plantainloft_standins.simulated_store import ModelStore, Outage, StoreClient
from plantainloft_standins.virtual_clock import run_in_virtual_time

__all__ = ['FalseDrop', 'LeavingResult', 'LeavingScenario', 'StaleUse', 'simulate_leaving']

CALL_TIMEOUT_S = 1.5
STORE_REGION = 'r0'
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


class _Network:
    """Latency and bandwidth between instances, and the handlers of their calls."""

    def __init__(self, *, scenario: LeavingScenario) -> None:
        self._scenario = scenario
        self.byte_s = scenario.byte_s
        self.handler_by_call: dict[tuple[str, str], FrameHandler] = {}
        self.uplink_lock_by_name: dict[str, anyio.Lock] = {}

    def one_way_s(self, sender: FleetMember, receiver: FleetMember) -> float:
        if sender.region == receiver.region:
            return self._scenario.intra_region_rtt_s / 2
        return self._scenario.inter_region_rtt_s / 2

    def transmission_s(self, answer: Any) -> float:
        """Return how long an answer occupies the link of the answering instance."""
        rows = answer['rows'] if isinstance(answer, dict) else ()
        return self._scenario.byte_s * sum(len(row[-1] or b'') for row in rows)

    def store_rtt_s(self, member: FleetMember) -> float:
        """Return the round-trip time to the store, which runs in ``STORE_REGION``."""
        at_store = member.region == STORE_REGION
        return self._scenario.intra_region_rtt_s if at_store else self._scenario.inter_region_rtt_s


class _ModelCalls(PeerCalls):
    """Calls of one instance over the simulated network."""

    def __init__(self, *, local_member: FleetMember, network: _Network) -> None:
        self._local_member = local_member
        self._network = network
        self._uplink_lock_by_name = network.uplink_lock_by_name

    async def call(self, member: FleetMember, kind: str, content: Any) -> Any | Unreachable:
        one_way_s = self._network.one_way_s(self._local_member, member)
        with anyio.move_on_after(CALL_TIMEOUT_S):
            await anyio.sleep(one_way_s)
            answer = await self._network.handler_by_call[(member.name, kind)](content)
            async with self._uplink_lock_by_name.setdefault(member.name, anyio.Lock()):
                await anyio.sleep(self._network.transmission_s(answer))
            await anyio.sleep(one_way_s)
            return answer
        return Unreachable(reason=f'{kind}: no answer')


class _Instance:
    """The part of an entry instance that observes the store and its peers."""

    def __init__(
        self, *, local_member: FleetMember, store: ModelStore, network: _Network, tasks: TaskGroup
    ) -> None:
        self.members = FleetMembership(local_member=local_member)
        self.store_client = StoreClient(
            store=store,
            instance=local_member.name,
            round_trip_s=network.store_rtt_s(local_member),
            clock=anyio.current_time,
            byte_s=network.byte_s,
        )
        polling_policy = PollingPolicy(members=self.members)
        self.replicated_state = ReplicatedState(
            store=self.store_client,
            region_by_zone={'a': STORE_REGION},
            long_poll_wait_s=lambda: polling_policy.long_poll_wait_s(anyio.current_time()),
            delegates_polling=lambda: polling_policy.delegates_polling(anyio.current_time()),
        )
        calls = _ModelCalls(local_member=local_member, network=network)
        self.row_replication = RowReplication(
            calls=calls, members=self.members, replicated_state=self.replicated_state, tasks=tasks
        )
        self.probes = StoreProbes(
            calls=calls, members=self.members, replicated_state=self.replicated_state
        )
        crash_registry = CrashRegistry()
        endpoint_limits = self.replicated_state.endpoint_registry.request_limits
        self._report_receiver = ReportReceiver(
            members=self.members, crash_registry=crash_registry, endpoint_limits=endpoint_limits
        )
        self.report_planner = ReportPlanner(
            members=self.members,
            report_receiver=self._report_receiver,
            own_heartbeat=self.heartbeat,
            seeds=(),
            rng=random.Random(local_member.name),
            crash_registry=crash_registry,
            endpoint_limits=endpoint_limits,
        )
        network.handler_by_call[(local_member.name, ROWS_CALL)] = (
            self.row_replication.answer_rows_call
        )
        network.handler_by_call[(local_member.name, SMALL_ROWS_CALL)] = (
            self.row_replication.answer_small_rows_call
        )
        network.handler_by_call[(local_member.name, MEMBERS_CALL)] = (
            self.row_replication.answer_members_call
        )
        network.handler_by_call[(local_member.name, PROBE_CALL)] = self.probes.answer_probe_call

    def start(self, tasks: TaskGroup) -> None:
        for poller in self.replicated_state.pollers.values():
            tasks.start_soon(poller.run)
        tasks.start_soon(self.probes.run)

    def heartbeat(self) -> Heartbeat:
        return Heartbeat(
            member=self.members.local_member,
            ready=True,
            draining=False,
            newest_version_by_table=dict(self.replicated_state.rows.newest_version_by_table),
            rate_by_service={},
            polls_store=self.replicated_state.polls_successfully(),
            store_available_for_s=self.replicated_state.store_available_for_s(anyio.current_time()),
        )

    def receive(self, packed: bytes, host: str) -> None:
        accepted = self._report_receiver.receive(packed, host, anyio.current_time())
        for hint in accepted.hints if accepted else ():
            self.row_replication.on_update_hint(hint)


class _Simulation:
    """One simulation of a scenario."""

    def __init__(self, *, scenario: LeavingScenario) -> None:
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._store = ModelStore(outages=scenario.outages)
        self._network = _Network(scenario=scenario)
        self._instance_by_name: dict[str, _Instance] = {}
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
        newest = max(row.version for row in self._store.rows(DECLARATIONS))
        return [
            name
            for name, one in self._instance_by_name.items()
            if one.replicated_state.rows.newest_version_by_table.get(DECLARATIONS, 0) < newest
        ]

    def _build(self, tasks: TaskGroup) -> None:
        for region in range(self._scenario.regions):
            for number in range(self._scenario.per_region):
                name = f'e{region}-{number}'
                local_member = FleetMember(
                    name, 1, f'r{region}', f'r{region}-a', f'{name}:80', f'{name}:90'
                )
                instance = _Instance(
                    local_member=local_member, store=self._store, network=self._network, tasks=tasks
                )
                self._instance_by_name[name] = instance
        all_members = [one.members.local_member for one in self._instance_by_name.values()]
        for instance in self._instance_by_name.values():
            for member in all_members:
                instance.members.add_member(member, 0.0)
            instance.start(tasks)
            tasks.start_soon(self._send_heartbeats, instance, tasks)
            tasks.start_soon(self._send_hints, instance, tasks)

    async def _send_heartbeats(self, sender: _Instance, tasks: TaskGroup) -> None:
        await anyio.sleep(self._random.random() * HEARTBEAT_INTERVAL_S)
        while True:
            self._send_datagrams(
                sender.report_planner.plan_round(anyio.current_time()), sender, tasks
            )
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_hints(self, sender: _Instance, tasks: TaskGroup) -> None:
        while True:
            await sender.replicated_state.rows.wait_for_change()
            self._send_datagrams(
                sender.report_planner.datagrams_for_subscribers(anyio.current_time()), sender, tasks
            )
            await anyio.sleep(ROW_CHANGE_DEBOUNCE_S)

    def _send_datagrams(
        self, datagrams: list[OutgoingDatagram], sender: _Instance, tasks: TaskGroup
    ) -> None:
        for datagram in datagrams:
            if self._random.random() >= self._scenario.loss_rate:
                tasks.start_soon(self._deliver, datagram, sender)

    async def _deliver(self, datagram: OutgoingDatagram, sender: _Instance) -> None:
        name = datagram.address.rpartition(':')[0]
        receiver = self._instance_by_name[name]
        sender_member = sender.members.local_member
        await anyio.sleep(self._network.one_way_s(sender_member, receiver.members.local_member))
        receiver.receive(datagram.packed, sender_member.name)

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
                instance.replicated_state.routing_state.expire_grace_periods(now)
                self._record_use(instance, now)

    def _record_use(self, instance: _Instance, now: float) -> None:
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
