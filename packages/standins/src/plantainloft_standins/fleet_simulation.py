"""Simulation of the datagrams between many entry instances, in virtual time.

Runs the production membership, receiving and report planning code of each instance. The
network between them is simulated: it loses and delays datagrams, and a test can
block them. An instance that gets a hint with unknown members asks its sender, which
answers with its full list of instances, as a real peer does.
"""

import itertools
import random
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import NamedTuple

from plantainloft_node.capacity.usage import InstanceCapacity
from plantainloft_node.endpoint_limits.registry import EndpointLimitRegistry
from plantainloft_node.fleet.heartbeats import HEARTBEAT_INTERVAL_S, URGENT_ROUND_DELAY_S
from plantainloft_node.fleet.membership import FleetMember, FleetMembership, Heartbeat
from plantainloft_node.fleet.report_planner import OutgoingDatagram, ReportPlanner
from plantainloft_node.fleet.report_receiver import ReportReceiver, UpdateHint
from plantainloft_node.fleet.report_timings import ReportTimings, report_timings
from plantainloft_node.limits.limiter import DEFAULT_LIMIT_SETTINGS, LimitSettings, RequestLimiter
from plantainloft_node.limits.shares import DemandProportionalShares, ShareRule
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_standins.event_queue import EventQueue

__all__ = ['SETTLING_S', 'FleetModel', 'FleetShape', 'ModelInstance', 'Traffic']

DeliveryFilter = Callable[[FleetMember, FleetMember], bool]

SEED_COUNT = 3
# That of the deployments whose bounds the simulations check.
SETTLING_S = 4.0

INTRA_REGION_DELAY_S = 0.002
INTER_REGION_DELAY_S = 0.055
MEMBER_QUERY_DELAY_S = 0.35
# All instances start within START_SPREAD_S. A round is up to MAX_ROUND_DELAY_S late.
START_SPREAD_S = 0.3
MAX_ROUND_DELAY_S = 0.05


class FleetShape(NamedTuple):
    """Regions, zones per region, instances per zone, fraction of datagrams lost, settling time."""

    regions: int = 3
    zones: int = 2
    instances: int = 2
    loss: float = 0.01
    seed: int = 0
    settling_s: float = SETTLING_S


class Traffic(NamedTuple):
    """Datagrams and bytes that one instance has sent and received."""

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    bytes_between_zones: int = 0

    def with_sent(self, size: int, *, between_zones: bool) -> 'Traffic':
        """Return these counts plus one datagram of ``size`` bytes sent."""
        return self._replace(
            sent=self.sent + 1,
            sent_bytes=self.sent_bytes + size,
            bytes_between_zones=self.bytes_between_zones + size * between_zones,
        )

    def with_received(self) -> 'Traffic':
        """Return these counts plus one datagram received."""
        return self._replace(received=self.received + 1)


class ModelInstance:
    """The parts of an entry instance that exchange datagrams with its peers."""

    capacity: InstanceCapacity | None = None

    def __init__(
        self,
        *,
        local_member: FleetMember,
        seeds: tuple[str, ...],
        seed: int,
        limiter: RequestLimiter,
        clock: Callable[[], float],
        timings: ReportTimings,
    ) -> None:
        self.members = FleetMembership(local_member=local_member, timings=timings)
        self.limiter = limiter
        self._clock = clock
        self.crash_registry = CrashRegistry()
        self.endpoint_limits = EndpointLimitRegistry()
        self.report_receiver = ReportReceiver(
            members=self.members,
            crash_registry=self.crash_registry,
            endpoint_limits=self.endpoint_limits,
        )
        self.draining = False
        self.rate_by_service: dict[str, float] = {'desk': 1.0}
        self.traffic = Traffic()
        self.urgent_round_pending = False
        self.query_pending = False
        # False once the process is stopped or replaced; its pending events are ignored.
        self.runs = True
        self.report_planner = ReportPlanner(
            members=self.members,
            report_receiver=self.report_receiver,
            own_heartbeat=self._heartbeat,
            seeds=seeds,
            rng=random.Random(seed),
            crash_registry=self.crash_registry,
            endpoint_limits=self.endpoint_limits,
        )

    def _heartbeat(self) -> Heartbeat:
        usage = self.limiter.usage_report(self._clock())
        heartbeat = Heartbeat(
            self.members.local_member, True, self.draining, {}, self.rate_by_service
        )
        return heartbeat._replace(usage_by_organisation=usage, capacity=self.capacity)


class FleetModel(EventQueue):
    """Simulates a fleet; ``can_deliver`` tells whether datagrams get from sender to receiver."""

    def __init__(
        self,
        *,
        shape: FleetShape,
        listed: bool = True,
        limit_parameters: LimitSettings = DEFAULT_LIMIT_SETTINGS,
        share_rule: Callable[[], ShareRule] = DemandProportionalShares,
    ) -> None:
        """``listed``: whether an instance reads the list of instances when it starts."""
        self._limit_parameters = limit_parameters
        self._share_rule = share_rule
        super().__init__()
        self.can_deliver: DeliveryFilter = _allow_all
        self.instance_by_name: dict[str, ModelInstance] = {}
        self.shape = shape
        self._listed = listed
        self._rng = random.Random(shape.seed)
        self._member_by_name = {member.name: member for member in _generate_members(shape)}

    def start_all(self) -> None:
        """Start every instance, at random times within ``START_SPREAD_S``."""
        for name in self._member_by_name:
            self.after(self._rng.random() * START_SPREAD_S, partial(self.start, name))

    def start(self, name: str) -> None:
        """Start an instance, or restart it as a new incarnation."""
        previous = self.instance_by_name.get(name)
        local_member = self._member_by_name[name]
        if previous is not None:
            previous.runs = False
            local_member = local_member._replace(
                incarnation=previous.members.local_member.incarnation + 1
            )
        instance = ModelInstance(
            local_member=local_member,
            seeds=_select_seeds(list(self._member_by_name.values())),
            seed=self.next_number(),
            limiter=RequestLimiter(
                instance=name, settings=self._limit_parameters, share_rule=self._share_rule()
            ),
            clock=lambda: self.now,
            timings=report_timings(self.shape.settling_s),
        )
        if self._listed:
            _learn_members(instance, self.instance_by_name.values(), self.now)
        self.instance_by_name[name] = instance
        self._run_round(instance, include_not_due=True)

    def resume(self, name: str) -> None:
        """Resume a stopped process, like SIGCONT."""
        instance = self.instance_by_name[name]
        instance.runs = True
        self._run_round(instance)

    def leave(self, name: str) -> None:
        """Make an instance announce that it is leaving."""
        instance = self.instance_by_name[name]
        instance.draining = True
        self.send_round(instance, include_not_due=True)

    def schedule_urgent_round(self, instance: ModelInstance) -> None:
        """Schedule an urgent round to all other instances, unless one is pending."""
        if not instance.urgent_round_pending:
            instance.urgent_round_pending = True
            self.after(URGENT_ROUND_DELAY_S, partial(_send_urgent_round, self, instance))

    def send_round(self, instance: ModelInstance, *, include_not_due: bool) -> None:
        """Send a round of datagrams from an instance now."""
        for datagram in instance.report_planner.plan_round(
            self.now, include_not_due=include_not_due
        ):
            self._send(instance, datagram)

    def up_at(self, name: str) -> set[str]:
        """Return the instances that ``name`` considers up, including itself."""
        members = self.instance_by_name[name].members
        return {name, *(one.name for one in members.peers_up(self.now))}

    def running(self) -> list[str]:
        """Return the names of the instances that run."""
        return [name for name, one in self.instance_by_name.items() if one.runs]

    def disagreeing(self, names: Iterable[str] | None = None) -> dict[str, set[str]]:
        """Return, by name, the instances about whose state each instance is wrong."""
        running = set(self.running())
        wrong_by_name = {name: self.up_at(name) ^ running for name in names or running}
        return {name: wrong for name, wrong in wrong_by_name.items() if wrong}

    def _run_round(self, instance: ModelInstance, *, include_not_due: bool = False) -> None:
        if instance.runs:
            self.send_round(instance, include_not_due=include_not_due)
            round_delay_s = self._rng.random() * MAX_ROUND_DELAY_S
            self.after(HEARTBEAT_INTERVAL_S + round_delay_s, partial(self._run_round, instance))

    def _send(self, sender: ModelInstance, datagram: OutgoingDatagram) -> None:
        sender_member = sender.members.local_member
        to = self._member_by_name[datagram.address.rpartition(':')[0]]
        sender.traffic = sender.traffic.with_sent(
            len(datagram.packed), between_zones=to.zone != sender_member.zone
        )
        if self.can_deliver(sender_member, to) and self._rng.random() >= self.shape.loss:
            delay_s = (
                INTRA_REGION_DELAY_S if to.region == sender_member.region else INTER_REGION_DELAY_S
            )
            self.after(
                delay_s, partial(self._deliver, datagram.packed, sender_member.name, to.name)
            )

    def _deliver(self, packed: bytes, host: str, name: str) -> None:
        receiver = self.instance_by_name.get(name)
        if receiver is None or not receiver.runs:
            return
        receiver.traffic = receiver.traffic.with_received()
        accepted = receiver.report_receiver.receive(packed, host, self.now)
        if accepted is None:
            raise ValueError(f'datagram from {host} to {name} cannot be decoded')
        if accepted.is_urgent:
            self.schedule_urgent_round(receiver)
        for hint in accepted.hints:
            self._on_update_hint(receiver, hint)

    def _on_update_hint(self, receiver: ModelInstance, hint: UpdateHint) -> None:
        if not receiver.query_pending and _has_unknown_members(receiver, hint):
            receiver.query_pending = True
            self.after(MEMBER_QUERY_DELAY_S, partial(self._query_members, receiver, hint))

    def _query_members(self, receiver: ModelInstance, hint: UpdateHint) -> None:
        receiver.query_pending = False
        asked = self.instance_by_name[hint.member.name]
        reached = asked.runs and self.can_deliver(receiver.members.local_member, hint.member)
        if receiver.runs and reached and _has_unknown_members(receiver, hint):
            for member in (
                *asked.members.peers_sharing_limits(self.now),
                asked.members.local_member,
            ):
                receiver.members.add_member(member, self.now)
            receiver.members.has_member_list = True


def _generate_members(shape: FleetShape) -> Iterator[FleetMember]:
    positions = itertools.product(range(shape.regions), range(shape.zones), range(shape.instances))
    for region, zone, number in positions:
        name = f'r{region}-z{zone}-{number}'
        yield FleetMember(name, 1, f'r{region}', f'r{region}-z{zone}', f'{name}:80', f'{name}:90')


def _select_seeds(members: list[FleetMember]) -> tuple[str, ...]:
    return tuple(
        member.heartbeat_address for member in members[:: max(1, len(members) // SEED_COUNT)]
    )


def _learn_members(instance: ModelInstance, others: Iterable[ModelInstance], now: float) -> None:
    for other in others:
        instance.members.add_member(other.members.local_member, now)
    instance.members.has_member_list = True


def _has_unknown_members(receiver: ModelInstance, hint: UpdateHint) -> bool:
    registry = receiver.members.registry
    return any(registry.name_of(key) is None for key in hint.member_keys)


def _allow_all(sender: FleetMember, receiver: FleetMember) -> bool:
    return True


def _send_urgent_round(model: FleetModel, instance: ModelInstance) -> None:
    instance.urgent_round_pending = False
    if instance.runs:
        model.send_round(instance, include_not_due=True)
