"""Simulation of the retries of many instances to one service whose endpoints fail.

Runs the production retry budgets of each instance in virtual time. Requests arrive at
random times at random instances; endpoints turn some away and lose the answers of others.
Processes restart, freeze, lose their links to the endpoints, and learn late, or only in
part, how many instances there are.
"""

import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from plantainloft_node.entry.component_parameters import UPDATE_INTERVAL_S
from plantainloft_node.retry_budget.registry import RetryBudgets, RetryLimits
from plantainloft_standins.event_queue import EventQueue
from plantainloft_standins.retry_ledger import RetryLedger

__all__ = [
    'Failures',
    'InstanceLists',
    'LinkCut',
    'Outage',
    'RetryResult',
    'RetryScenario',
    'Traffic',
    'simulate_retries',
]

SERVICE = 'service'
MAX_ATTEMPTS = 3
ONE_WAY_DELAY_S = 0.03
RUN_TIME_S = 0.3
REQUEST_TIMEOUT_S = 2.5
# A connection is dropped with the bytes that were not acknowledged for this long, whether
# or not its process lives (``TCP_USER_TIMEOUT``).
MAX_UNACKNOWLEDGED_S = 3.0

InstanceLists = tuple[tuple[float, int], ...]


class Traffic(NamedTuple):
    """Requests of callers: ``per_s`` in total, spread over ``instances`` (all if empty)."""

    per_s: float
    begins_s: float = 0.0
    ends_s: float = float('inf')
    instances: tuple[int, ...] = ()


class Failures(NamedTuple):
    """What endpoints do with the share (0..1) of the requests that arrive in a period."""

    begins_s: float
    ends_s: float
    turned_away: float = 0.0
    lost: float = 0.0


class Outage(NamedTuple):
    """A period in which ``instances`` are killed or frozen."""

    begins_s: float
    ends_s: float
    instances: frozenset[int]


class LinkCut(NamedTuple):
    """A period in which ``instances`` don't reach a ``share`` (0..1) of the endpoints.

    What was sent there shortly before the links heal arrives then.
    """

    begins_s: float
    ends_s: float
    instances: frozenset[int]
    share: float = 1.0


class RetryScenario(NamedTuple):
    """A fleet, its callers and what happens to it.

    ``instance_lists`` are pairs of an uptime in seconds and the number of instances that a
    process knows from then on; before the first it knows none. If it is empty, processes
    know all instances from the start.
    """

    seed: int
    instances: int
    limits: RetryLimits
    traffic: tuple[Traffic, ...]
    failures: tuple[Failures, ...]
    kills: tuple[Outage, ...] = ()
    freezes: tuple[Outage, ...] = ()
    cuts: tuple[LinkCut, ...] = ()
    instance_lists: InstanceLists = ()
    duration_s: float = 40.0


class RetryResult(NamedTuple):
    """What arrived at the endpoints, and how callers' requests ended, in order."""

    ledger: RetryLedger
    requests: int
    served: int


def simulate_retries(scenario: RetryScenario) -> RetryResult:
    """Play ``scenario`` and return what was seen."""
    return _Simulation(scenario=scenario).run()


class _Request:
    """A request of a caller at one instance; ``incarnation`` is that of its process."""

    def __init__(self, *, number: int, instance: int, incarnation: int, at: float) -> None:
        self.id = f'r{number}'
        self.instance = instance
        self.incarnation = incarnation
        self.deadline = at + REQUEST_TIMEOUT_S
        self.attempts = 0


class _Process:
    """One process of an instance, with the production budgets."""

    def __init__(self, *, limits: RetryLimits, started_at: float, incarnation: int) -> None:
        self.budgets = RetryBudgets(limits=limits)
        self.started_at = started_at
        self.incarnation = incarnation


class _Outages:
    """Which instances are cut off from endpoints, or frozen, at a time."""

    def __init__(self, *, scenario: RetryScenario, rng: random.Random) -> None:
        self._scenario = scenario
        self._rng = rng

    def thawed_at(self, instance: int, now: float) -> float:
        """Return when a frozen instance goes on; 0 if it is not frozen."""
        return max(
            (
                freeze.ends_s
                for freeze in self._scenario.freezes
                if instance in freeze.instances and freeze.begins_s <= now < freeze.ends_s
            ),
            default=0.0,
        )

    def healed_at(self, instance: int, now: float) -> float:
        """Return when a link that was drawn at random heals; 0 if it works."""
        return max(
            (
                cut.ends_s
                for cut in self._scenario.cuts
                if instance in cut.instances
                and cut.begins_s <= now < cut.ends_s
                and self._rng.random() < cut.share
            ),
            default=0.0,
        )


class _Simulation(EventQueue):
    """The instances, their callers and the endpoints."""

    def __init__(self, *, scenario: RetryScenario) -> None:
        super().__init__()
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._outages = _Outages(scenario=scenario, rng=self._rng)
        self._process_by_instance: dict[int, _Process] = {}
        self._ledger = RetryLedger(limits=scenario.limits)
        self._requests = 0
        self._served = 0

    def run(self) -> RetryResult:
        """Play all events in order."""
        scenario = self._scenario
        for instance in range(scenario.instances):
            self._start(instance)
        for kill in scenario.kills:
            self.after(kill.begins_s, partial(self._kill, kill))
            self.after(kill.ends_s, partial(self._restart, kill))
        for traffic in scenario.traffic:
            self.after(traffic.begins_s, partial(self._arrive, traffic))
        self._update_all()
        self.run_for(scenario.duration_s)
        return RetryResult(self._ledger, self._requests, self._served)

    def _start(self, instance: int) -> None:
        self._process_by_instance[instance] = _Process(
            limits=self._scenario.limits, started_at=self.now, incarnation=self.next_number()
        )
        self._update(instance)

    def _kill(self, kill: Outage) -> None:
        for instance in kill.instances:
            self._process_by_instance.pop(instance, None)

    def _restart(self, kill: Outage) -> None:
        for instance in kill.instances:
            if instance not in self._process_by_instance:
                self._start(instance)

    def _update_all(self) -> None:
        for instance in self._process_by_instance:
            if not self._outages.thawed_at(instance, self.now):
                self._update(instance)
        self.after(UPDATE_INTERVAL_S, self._update_all)

    def _update(self, instance: int) -> None:
        process = self._process_by_instance[instance]
        uptime_s = self.now - process.started_at
        known = 0 if self._scenario.instance_lists else self._scenario.instances
        for since_s, count in self._scenario.instance_lists:
            if uptime_s >= since_s:
                known = count
        process.budgets.update(instance_count=known, now=self.now)

    def _arrive(self, traffic: Traffic) -> None:
        if self.now >= traffic.ends_s:
            return
        self.after(self._rng.expovariate(traffic.per_s), partial(self._arrive, traffic))
        instance = self._rng.choice(traffic.instances or range(self._scenario.instances))
        self._ledger.record_request(self.now)
        self._requests += 1
        process = self._process_by_instance.get(instance)
        if process is None:
            return
        request = _Request(
            number=self._requests,
            instance=instance,
            incarnation=process.incarnation,
            at=self.now,
        )
        self._when_awake(request, partial(self._accept, request))

    def _accept(self, request: _Request) -> None:
        process = self._process_of(request)
        if process is not None and self.now < request.deadline:
            process.budgets.record_request(SERVICE, self.now)
            self._send(request)

    def _send(self, request: _Request) -> None:
        request.attempts += 1
        healed_at = self._outages.healed_at(request.instance, self.now)
        held_s = max(0.0, healed_at - self.now)
        if held_s < MAX_UNACKNOWLEDGED_S:
            self.after(held_s + ONE_WAY_DELAY_S, partial(self._run, request))

    def _run(self, request: _Request) -> None:
        self._ledger.record_arrival(request.id, self.now)
        chance = self._rng.random()
        turned_away, lost = self._failure_shares()
        if chance < turned_away:
            self.after(ONE_WAY_DELAY_S, partial(self._on_failure, request))
        elif chance < turned_away + lost:
            self.after(RUN_TIME_S + ONE_WAY_DELAY_S, partial(self._on_failure, request))
        else:
            self.after(RUN_TIME_S + ONE_WAY_DELAY_S, partial(self._on_answer, request))

    def _on_answer(self, request: _Request) -> None:
        if self._process_of(request) is not None and self.now < request.deadline:
            self._served += 1

    def _on_failure(self, request: _Request) -> None:
        self._when_awake(request, partial(self._retry, request))

    def _retry(self, request: _Request) -> None:
        process = self._process_of(request)
        if process is None or self.now >= request.deadline or request.attempts >= MAX_ATTEMPTS:
            return
        if process.budgets.try_acquire(SERVICE, self.now):
            self._send(request)

    def _when_awake(self, request: _Request, action: Callable[[], None]) -> None:
        thawed_at = self._outages.thawed_at(request.instance, self.now)
        if thawed_at:
            self.after(thawed_at - self.now, action)
        else:
            action()

    def _process_of(self, request: _Request) -> _Process | None:
        process = self._process_by_instance.get(request.instance)
        is_same = process is not None and process.incarnation == request.incarnation
        return process if is_same else None

    def _failure_shares(self) -> tuple[float, float]:
        for failures in self._scenario.failures:
            if failures.begins_s <= self.now < failures.ends_s:
                return failures.turned_away, failures.lost
        return 0.0, 0.0
