"""An instance that replicates rows, over a simulated store and network.

Runs the production code that polls the store, shares changes between instances, probes
the store and decides which rows take effect, in virtual time.
"""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from plantainloft_core.outcomes import Unreachable
from plantainloft_node.entry.fleet_tasks import ROW_CHANGE_DEBOUNCE_S, follow_store_returns
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.entry.row_answers import RowAnswers
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
from plantainloft_node.fleet.report_timings import report_timings
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.streams import FrameHandler, ignore_progress
from plantainloft_standins.fleet_simulation import SETTLING_S
from plantainloft_standins.simulated_store import ModelStore, StoreClient

__all__ = ['Cut', 'NetworkShape', 'ReplicatingInstance', 'SimulatedNetwork', 'fleet_members']

CALL_TIMEOUT_S = 1.5
# How often the transfer of a large answer reports its progress.
PROGRESS_INTERVAL_S = 0.1
STORE_REGION = 'r0'


class NetworkShape(NamedTuple):
    """Round-trip times, the time of a byte on an instance's link, and datagram loss (0..1)."""

    intra_region_rtt_s: float = 0.003
    inter_region_rtt_s: float = 0.11
    byte_s: float = 0.0
    loss_rate: float = 0.01


class Cut(NamedTuple):
    """A time span in which an instance reaches neither its peers nor the store."""

    instance: str
    start_s: float
    end_s: float


def fleet_members(*, regions: int, per_region: int) -> list[FleetMember]:
    """Return the members of a fleet with one availability zone in each region."""
    names = [
        (region, f'e{region}-{number}') for region in range(regions) for number in range(per_region)
    ]
    return [
        FleetMember(name, 1, f'r{region}', f'r{region}-a', f'{name}:80', f'{name}:90')
        for region, name in names
    ]


class SimulatedNetwork:
    """Latency and bandwidth between instances, and the handlers of their calls."""

    def __init__(
        self, *, shape: NetworkShape, rng: random.Random, cuts: tuple[Cut, ...] = ()
    ) -> None:
        self.shape = shape
        self.byte_s = shape.byte_s
        self.handler_by_call: dict[tuple[str, str], FrameHandler] = {}
        self.uplink_lock_by_name: dict[str, anyio.Lock] = {}
        self.instance_by_name: dict[str, ReplicatingInstance] = {}
        # Names of the instances that have ended and not started again.
        self.ended: set[str] = set()
        self._rng = rng
        self._cuts = cuts

    def is_cut(self, name: str) -> bool:
        """Return whether ``name`` is cut off at present, or has ended."""
        if name in self.ended:
            return True
        now = anyio.current_time()
        return any(cut.instance == name and cut.start_s <= now < cut.end_s for cut in self._cuts)

    def one_way_s(self, sender: FleetMember, receiver: FleetMember) -> float:
        """Return the latency between two instances."""
        if sender.region == receiver.region:
            return self.shape.intra_region_rtt_s / 2
        return self.shape.inter_region_rtt_s / 2

    def transmission_s(self, answer: Any) -> float:
        """Return how long an answer occupies the link of the answering instance."""
        rows = answer['rows'] if isinstance(answer, dict) else ()
        return self.byte_s * sum(_sent_bytes(row[-1]) for row in rows)

    def store_rtt_s(self, member: FleetMember) -> float:
        """Return the round-trip time to the store, which runs in ``STORE_REGION``."""
        at_store = member.region == STORE_REGION
        return self.shape.intra_region_rtt_s if at_store else self.shape.inter_region_rtt_s

    def send_datagrams(
        self, datagrams: list[OutgoingDatagram], sender: FleetMember, tasks: TaskGroup
    ) -> None:
        """Deliver ``datagrams``, except those that are lost."""
        for datagram in datagrams:
            if self._rng.random() >= self.shape.loss_rate:
                tasks.start_soon(self._deliver, datagram, sender)

    async def _deliver(self, datagram: OutgoingDatagram, sender: FleetMember) -> None:
        name = datagram.address.rpartition(':')[0]
        if self.is_cut(sender.name):
            return
        receiver = self.instance_by_name[name].members.local_member
        await anyio.sleep(self.one_way_s(sender, receiver))
        if not self.is_cut(name):
            self.instance_by_name[name].receive(datagram.packed, sender.name)


def _sent_bytes(content: Any) -> int:
    return len(content[-1] if isinstance(content, tuple) else content or b'')


class _SimulatedCalls(PeerCalls):
    """Calls of one instance over the simulated network."""

    def __init__(self, *, local_member: FleetMember, network: SimulatedNetwork) -> None:
        self._local_member = local_member
        self._network = network
        self._uplink_lock_by_name = network.uplink_lock_by_name

    async def call(
        self,
        member: FleetMember,
        kind: str,
        content: Any,
        *,
        on_progress: Callable[[], None] = ignore_progress,
    ) -> Any | Unreachable:
        one_way_s = self._network.one_way_s(self._local_member, member)
        with anyio.move_on_after(CALL_TIMEOUT_S):
            await anyio.sleep(one_way_s)
            if self._network.is_cut(member.name) or self._network.is_cut(self._local_member.name):
                await anyio.sleep_forever()
            answer = await self._network.handler_by_call[(member.name, kind)](content)
            await anyio.sleep(one_way_s)
            return await self._transfer(member, answer, on_progress)
        return Unreachable(reason=f'{kind}: no answer')

    async def _transfer(
        self, member: FleetMember, answer: Any, on_progress: Callable[[], None]
    ) -> Any:
        """Return ``answer`` once its last byte has arrived.

        The time limit of a call counts from the last progress of its answer.
        """
        with anyio.CancelScope(shield=True):
            async with self._uplink_lock_by_name.setdefault(member.name, anyio.Lock()):
                left_s = self._network.transmission_s(answer)
                while left_s > 0:
                    await anyio.sleep(min(left_s, PROGRESS_INTERVAL_S))
                    left_s -= PROGRESS_INTERVAL_S
                    on_progress()
        return answer


class ReplicatingInstance:
    """The part of an entry instance that observes the store and its peers."""

    def __init__(
        self,
        *,
        local_member: FleetMember,
        store: ModelStore,
        network: SimulatedNetwork,
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        self.members = FleetMembership(
            local_member=local_member, timings=report_timings(SETTLING_S)
        )
        self._network = network
        self._rng = rng
        self._round_requested = anyio.Event()
        self.store_client = StoreClient(
            store=store,
            instance=local_member.name,
            round_trip_s=network.store_rtt_s(local_member),
            clock=anyio.current_time,
            byte_s=network.byte_s,
            is_cut=lambda: network.is_cut(local_member.name),
        )
        polling_policy = PollingPolicy(members=self.members)
        self.replicated_state = ReplicatedState(
            store=self.store_client,
            region_by_zone={'a': STORE_REGION},
            long_poll_wait_s=lambda: polling_policy.long_poll_wait_s(anyio.current_time()),
            declarations_wait_s=lambda: polling_policy.declarations_wait_s(anyio.current_time()),
            delegates_polling=lambda: polling_policy.delegates_polling(anyio.current_time()),
            relisting_delay_s=lambda: polling_policy.relisting_delay_s(anyio.current_time()),
        )
        calls = _SimulatedCalls(local_member=local_member, network=network)
        self.row_replication = RowReplication(
            calls=calls, members=self.members, replicated_state=self.replicated_state, tasks=tasks
        )
        self.probes = StoreProbes(
            calls=calls, members=self.members, replicated_state=self.replicated_state
        )
        answers = RowAnswers(members=self.members, replicated_state=self.replicated_state)
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
        network.handler_by_call[(local_member.name, ROWS_CALL)] = answers.answer_rows_call
        network.handler_by_call[(local_member.name, SMALL_ROWS_CALL)] = (
            answers.answer_small_rows_call
        )
        network.handler_by_call[(local_member.name, MEMBERS_CALL)] = answers.answer_members_call
        network.handler_by_call[(local_member.name, PROBE_CALL)] = self.probes.answer_probe_call

    def start(self, tasks: TaskGroup) -> None:
        """Start polling the store and exchanging heartbeats."""
        for poller in self.replicated_state.pollers.values():
            tasks.start_soon(poller.run)
        tasks.start_soon(self.probes.run)
        tasks.start_soon(follow_store_returns, self.replicated_state, (self._round_requested_now,))
        tasks.start_soon(self._send_heartbeats, tasks)
        tasks.start_soon(self._send_hints, tasks)

    def heartbeat(self) -> Heartbeat:
        """Return the current heartbeat."""
        return Heartbeat(
            member=self.members.local_member,
            ready=True,
            draining=False,
            position_by_table=self.replicated_state.current_positions(),
            era=self.replicated_state.store.eras.current,
            holds_rows=bool(self.replicated_state.updates.held_rows),
            rate_by_service={},
            polls_store=self.replicated_state.polls_successfully(),
            store_available_for_s=self.replicated_state.store_available_for_s(anyio.current_time()),
        )

    def receive(self, packed: bytes, host: str) -> None:
        """Receive a datagram from ``host``."""
        accepted = self._report_receiver.receive(packed, host, anyio.current_time())
        for hint in accepted.hints if accepted else ():
            self.row_replication.on_update_hint(hint)

    def _round_requested_now(self) -> None:
        self._round_requested.set()

    async def _send_heartbeats(self, tasks: TaskGroup) -> None:
        await anyio.sleep(self._rng.random() * HEARTBEAT_INTERVAL_S)
        while True:
            self._send(self.report_planner.plan_round(anyio.current_time()), tasks)
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                await self._round_requested.wait()
            self._round_requested = anyio.Event()

    async def _send_hints(self, tasks: TaskGroup) -> None:
        while True:
            await self.replicated_state.rows.wait_for_change()
            now = anyio.current_time()
            self._send(self.report_planner.datagrams_for_subscribers(now), tasks)
            await anyio.sleep(ROW_CHANGE_DEBOUNCE_S)

    def _send(self, datagrams: list[OutgoingDatagram], tasks: TaskGroup) -> None:
        self._network.send_datagrams(datagrams, self.members.local_member, tasks)
