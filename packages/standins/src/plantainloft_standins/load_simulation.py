"""Discrete-event simulation of callers, entry instances and endpoints under load.

Runs the production placement code in simulated time. Endpoints have slots, a queue
and an LRU cache of the objects that they worked on; work on a cached object takes a
fraction of the time. Shows the effect of a placement or load-shedding policy on
callers before it is deployed.
"""

import heapq
import itertools
import random
from collections import Counter, OrderedDict, defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.routes import Route, ServiceLimits, WeightedService
from plantainloft_node.endpoint_signals.signals import EndpointSignals
from plantainloft_node.placement.demand import DemandMeter, DemandReport, demand_by_region
from plantainloft_node.placement.endpoints import EndpointRegistry, EndpointState
from plantainloft_node.placement.placement import (
    Placement,
    PlacementRequest,
    PlacementSettings,
    Selection,
)
from plantainloft_node.retry_budget.budget import RetryAllowance, RetryBudget
from plantainloft_standins.announcement_log import (
    NO_ANNOUNCEMENT,
    AnnouncementLog,
    EndpointArrival,
    ModelAnnouncement,
    RestPeriod,
)

__all__ = [
    'LoadModel',
    'Scenario',
    'Workload',
    'WorkloadStats',
    'earned_value_fraction',
    'largest_shift',
    'simulate',
]

SERVICE = 'modelled'
UPDATE_INTERVAL_S = 0.25
# Requests are counted in bins of this length to compare any two adjacent windows.
BIN_S = 0.5
MAX_ATTEMPTS = 2
RETRY_RATIO = 0.2
RETRY_EXTRA = 64.0
RETRY_WINDOW_S = 10.0
COLD_REQUESTS_PER_S = 11.0
CALLER_RETRY_DELAY_S = 0.3
# Service times and retry delays vary uniformly between these multiples.
SERVICE_TIME_SPREAD = (0.8, 1.2)
CALLER_RETRY_SPREAD = (0.5, 1.5)
INTRA_REGION_DELAY_S = 0.001
LATE_VALUE_FACTOR = 0.2
COLD_OVER = 1.5
COLD_SLACK = 5.0
WARMUP_S = 3.0
MAX_CONNECTIONS = 390


class Workload(NamedTuple):
    """One kind of request: total rate (1/s), service time when cold (s), objectives.

    Requests are spread over ``key_count`` keys per region. ``value`` is the value of an
    answer within the objective.
    """

    name: str
    per_s: float
    cold_service_s: float
    latency_objective_s: float
    timeout_s: float
    priority: int
    value: float
    key_count: int


class Scenario(NamedTuple):
    """Endpoints, callers, load and duration of a simulation.

    ``cache_size`` is the number of objects that an endpoint caches. Service times of
    cached objects are multiplied by ``warm_factor``. ``rate_factor`` multiplies the
    rate of all workloads as a function of time. ``slowdown`` multiplies the service
    time as a function of the endpoint's number and of time. ``announcement`` is what an
    endpoint announces, by its region, number and time. An endpoint whose queue is full
    asks for ``full_rest_s`` of rest. ``overload_control``: it is active at all instances, and
    endpoints report their slowdown.
    """

    endpoints_by_region: dict[str, int]
    instances_per_region: int
    slots: int
    queue: int
    cache_size: int
    warm_factor: float
    inter_region_delay_s: float
    duration_s: float
    workloads: tuple[Workload, ...]
    rate_factor: Callable[[float], float] = lambda now: 1.0
    slowdown: Callable[[int, float], float] = lambda number, now: 1.0
    announcement: Callable[[str, int, float], ModelAnnouncement] = lambda region, number, now: (
        NO_ANNOUNCEMENT
    )
    full_rest_s: float = 0.0
    overload_control: bool = False
    seed: int = 1


class WorkloadStats:
    """Counts of one workload's requests by how they ended."""

    def __init__(self) -> None:
        self.total = 0
        self.within_objective = 0
        self.late = 0
        self.refused = 0
        self.failed = 0

    @property
    def objective_fraction(self) -> float:
        """The fraction (0..1) of requests answered within the objective."""
        return self.within_objective / max(1, self.total)


class _Event(NamedTuple):
    at: float
    number: int
    callback: Callable[[], None]


class _Request:
    def __init__(self, *, workload: Workload, region: str, key: str, at: float) -> None:
        self.workload = workload
        self.region = region
        self.key = key
        self.first_asked_at = at
        self.asked_at = at
        self.retried_by_caller = False
        self.sent_at = at
        self.had_free_slot = False
        self.attempts = 0
        self.tried_endpoint_ids: set[str] = set()
        self.is_finished = False


class _Endpoint:
    """Slots, queue and cache of one simulated endpoint."""

    def __init__(self, *, model: 'LoadModel', region: str, number: int) -> None:
        self.id = f'{region}-{number}'
        self.region = region
        self._number = number
        self._model = model
        self.running: set[_Request] = set()
        self.waiting: deque[tuple[_Request, _Instance]] = deque()
        self._cache: OrderedDict[str, None] = OrderedDict()

    @property
    def busy(self) -> int:
        return len(self.running) + len(self.waiting)

    @property
    def work_factor(self) -> float | None:
        scenario = self._model.scenario
        if not scenario.overload_control:
            return None
        return scenario.slowdown(self._number, self._model.now)

    @property
    def announcement(self) -> ModelAnnouncement:
        return self._model.scenario.announcement(self.region, self._number, self._model.now)

    def arrive(self, request: _Request, sender: '_Instance') -> bool:
        """Run or queue a request; return false if the queue is full."""
        scenario = self._model.scenario
        if len(self.running) < scenario.slots:
            self._run(request, sender)
            return True
        if len(self.waiting) >= scenario.queue:
            return False
        self.waiting.append((request, sender))
        return True

    def cancel(self, request: _Request) -> None:
        """Drop a request that has timed out at its caller."""
        if request in self.running:
            self.running.discard(request)
            self._start_next()
        else:
            self.waiting = deque(entry for entry in self.waiting if entry[0] is not request)

    def _run(self, request: _Request, sender: '_Instance') -> None:
        self.running.add(request)
        scenario = self._model.scenario
        is_warm = request.key in self._cache
        spread = self._model.random.uniform(*SERVICE_TIME_SPREAD)
        slowdown = scenario.slowdown(self._number, self._model.now)
        service_time_s = request.workload.cold_service_s * spread * slowdown
        if is_warm:
            service_time_s *= scenario.warm_factor
        self._model.schedule(service_time_s, lambda: self._finish(request, sender))

    def _finish(self, request: _Request, sender: '_Instance') -> None:
        if request not in self.running:
            return
        self.running.discard(request)
        self._cache[request.key] = None
        self._cache.move_to_end(request.key)
        while len(self._cache) > self._model.scenario.cache_size:
            self._cache.popitem(last=False)
        signals = EndpointSignals(
            leaves=self.announcement.leaves,
            busy=self.busy,
            work_factor=self.work_factor,
            is_complete=True,
        )
        delay = self._model.one_way_delay_s(self.region, sender.region)
        self._model.schedule(delay, lambda: sender.on_answer(request, self, signals))
        self._start_next()

    def _start_next(self) -> None:
        if self.waiting and len(self.running) < self._model.scenario.slots:
            request, sender = self.waiting.popleft()
            self._run(request, sender)


class _Instance:
    """One entry instance with its own view of the endpoints and production placement."""

    def __init__(self, *, model: 'LoadModel', name: str, region: str) -> None:
        self.name = name
        self.region = region
        self._model = model
        self.meter = DemandMeter()
        self.endpoint_registry = EndpointRegistry(
            region_by_zone={name: name for name in model.regions}
        )
        settings = PlacementSettings(
            region=region, instance=name, cold_over=COLD_OVER, cold_slack=COLD_SLACK
        )
        self.placement = Placement(settings=settings, endpoint_registry=self.endpoint_registry)
        self.placement.overload_control = model.scenario.overload_control
        self._budget = RetryBudget(window_s=RETRY_WINDOW_S)
        self._state_by_request: dict[_Request, EndpointState] = {}
        for endpoint_id, endpoint in model.endpoint_by_id.items():
            self.endpoint_registry.add_or_update(
                _record(endpoint_id, endpoint.region, model.scenario.slots), 0.0
            )
            self.endpoint_registry.round_trips.record(
                endpoint.region, 2 * model.one_way_delay_s(region, endpoint.region)
            )

    def handle(self, request: _Request) -> None:
        """Place a request that has arrived and start its timeout."""
        model = self._model
        self.meter.record_request(SERVICE)
        self._budget.record_request(model.now, self._retry_allowance)
        model.schedule(
            request.workload.timeout_s, lambda: self._on_timeout(request, request.asked_at)
        )
        self._place_request(request)

    def on_answer(self, request: _Request, endpoint: _Endpoint, signals: EndpointSignals) -> None:
        """Process an endpoint's answer and what it reports."""
        state = self._state_by_request.pop(request, None)
        if state is None:
            return
        state.record_signals(signals, sent_at=request.sent_at, now=self._model.now)
        if signals.leaves:
            self._model.announcement_log.record_leaving(endpoint.id, self.name, self._model.now)
        state.in_flight -= 1
        state.health.record_success(self._model.now)
        state.record_response_time(self._model.now - request.sent_at, self._model.now)
        state.record_processing(
            request.key,
            self._model.now - request.sent_at,
            self._model.now,
            had_free_slot=request.had_free_slot,
            route=self._model.routes[request.workload.name].name,
        )
        state.record_load_report(busy=signals.busy or 0, now=self._model.now)
        self._model.record_end(request, served=True)

    @property
    def _retry_allowance(self) -> RetryAllowance:
        return RetryAllowance(RETRY_RATIO, RETRY_EXTRA, len(self._model.instances))

    def _place_request(self, request: _Request) -> None:
        model = self._model
        route = model.routes[request.workload.name]
        remaining_s = request.asked_at + route.timeout_s - model.now
        placement_request = PlacementRequest(
            route, SERVICE, request.key, frozenset(request.tried_endpoint_ids), remaining_s
        )
        choice = self.placement.select_endpoint(placement_request, model.service_limits, model.now)
        if not isinstance(choice, Selection):
            model.refuse(request, self)
            return
        state = choice.endpoint
        endpoint = model.endpoint_by_id[state.record.id]
        state.in_flight += 1
        self._state_by_request[request] = state
        request.sent_at = model.now
        request.had_free_slot = choice.load < state.record.slots
        request.tried_endpoint_ids.add(state.record.id)
        request.attempts += 1
        delay = model.one_way_delay_s(self.region, endpoint.region)
        model.schedule(delay, lambda: self._arrive(request, endpoint))

    def _arrive(self, request: _Request, endpoint: _Endpoint) -> None:
        if request.is_finished or request not in self._state_by_request:
            return
        model = self._model
        model.record_arrival(request.region, endpoint.region)
        model.announcement_log.arrivals.append(
            EndpointArrival(endpoint.id, self.name, request.asked_at, model.now)
        )
        rest_s = endpoint.announcement.rest_s
        if not rest_s:
            if endpoint.arrive(request, self):
                return
            rest_s = model.scenario.full_rest_s
            model.shed += 1
        if rest_s:
            model.announcement_log.rest_periods.append(
                RestPeriod(endpoint.id, self.name, model.now, rest_s)
            )
        busy = endpoint.busy
        delay = model.one_way_delay_s(self.region, endpoint.region)
        model.schedule(delay, lambda: self._on_shed(request, busy, rest_s))

    def _on_shed(self, request: _Request, busy: int, rest_s: float) -> None:
        state = self._state_by_request.pop(request, None)
        if state is None:
            return
        now = self._model.now
        state.in_flight -= 1
        signals = EndpointSignals(not_run=True, rest_s=rest_s)
        state.record_signals(signals, sent_at=request.sent_at, now=now)
        state.record_load_report(busy=busy, now=now)
        if request.attempts < MAX_ATTEMPTS and self._budget.try_acquire(
            now, self._retry_allowance, uptime_s=now
        ):
            self._place_request(request)
        else:
            self._model.refuse(request, self)

    def _on_timeout(self, request: _Request, asked_at: float) -> None:
        if request.is_finished or request.asked_at != asked_at:
            return
        state = self._state_by_request.pop(request, None)
        if state is not None:
            state.in_flight -= 1
            state.record_abandoned(self._model.now - request.sent_at, self._model.now)
            self._model.endpoint_by_id[state.record.id].cancel(request)
        self._model.record_end(request, served=False)


class LoadModel:
    """The event loop, the simulated instances and endpoints, and the results."""

    def __init__(self, *, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.now = 0.0
        self.shed = 0
        self.arrivals_by_bin: defaultdict[tuple[str, int], Counter[str]] = defaultdict(Counter)
        self.announcement_log = AnnouncementLog()
        self._events: list[_Event] = []
        self._event_numbers = itertools.count()
        self.regions = tuple(scenario.endpoints_by_region)
        self.endpoint_by_id = {
            f'{region}-{number}': _Endpoint(model=self, region=region, number=number)
            for region, count in scenario.endpoints_by_region.items()
            for number in range(count)
        }
        self.service_limits = ServiceLimits(
            SERVICE, '/health', MAX_CONNECTIONS, WARMUP_S, COLD_REQUESTS_PER_S
        )
        self.routes = {workload.name: _route(workload) for workload in scenario.workloads}
        self.stats_by_workload = {workload.name: WorkloadStats() for workload in scenario.workloads}
        self.instances = [
            _Instance(model=self, name=f'{region}-{number}', region=region)
            for region in self.regions
            for number in range(scenario.instances_per_region)
        ]

    def run(self) -> None:
        """Run the simulation to its end."""
        for workload in self.scenario.workloads:
            self._schedule_arrival(workload)
        self._tick()
        while self._events:
            event = heapq.heappop(self._events)
            if event.at > self.scenario.duration_s:
                return
            self.now = event.at
            event.callback()

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` after ``delay_s`` of simulated time."""
        heapq.heappush(
            self._events, _Event(self.now + delay_s, next(self._event_numbers), callback)
        )

    def one_way_delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay between two regions."""
        return INTRA_REGION_DELAY_S if one == other else self.scenario.inter_region_delay_s

    def record_arrival(self, caller_region: str, region: str) -> None:
        """Count a request from ``caller_region`` that arrives at an endpoint in ``region``."""
        self.arrivals_by_bin[(caller_region, int(self.now / BIN_S))][region] += 1

    def record_end(self, request: _Request, *, served: bool) -> None:
        """Count how a request ended."""
        request.is_finished = True
        stats = self.stats_by_workload[request.workload.name]
        elapsed_s = self.now - request.first_asked_at
        if served and elapsed_s <= request.workload.latency_objective_s:
            stats.within_objective += 1
        elif served:
            stats.late += 1
        else:
            stats.failed += 1

    def refuse(self, request: _Request, instance: _Instance) -> None:
        """Refuse a request; its caller retries once after a delay."""
        if request.retried_by_caller:
            request.is_finished = True
            self.stats_by_workload[request.workload.name].refused += 1
            return
        request.retried_by_caller = True
        request.attempts = 0
        request.tried_endpoint_ids = set()
        delay = CALLER_RETRY_DELAY_S * self.random.uniform(*CALLER_RETRY_SPREAD)
        self.schedule(delay, lambda: self._retry_from_caller(request, instance))

    def _retry_from_caller(self, request: _Request, instance: _Instance) -> None:
        request.asked_at = self.now
        instance.handle(request)

    def _schedule_arrival(self, workload: Workload) -> None:
        rate_per_s = workload.per_s * self.scenario.rate_factor(self.now)
        self.schedule(self.random.expovariate(rate_per_s), lambda: self._on_arrival(workload))

    def _on_arrival(self, workload: Workload) -> None:
        region = self.random.choice(self.regions)
        key = f'{workload.name}-{region}-{self.random.randrange(workload.key_count)}'
        request = _Request(workload=workload, region=region, key=key, at=self.now)
        self.stats_by_workload[workload.name].total += 1
        local_instances = [instance for instance in self.instances if instance.region == region]
        self.random.choice(local_instances).handle(request)
        self._schedule_arrival(workload)

    def _tick(self) -> None:
        demands = []
        for instance in self.instances:
            instance.meter.update(UPDATE_INTERVAL_S)
            demands.append(DemandReport(instance.region, instance.meter.rate_by_service))
        total = demand_by_region(demands)
        for instance in self.instances:
            instance.placement.update_region_shares(total)
        self.schedule(UPDATE_INTERVAL_S, self._tick)


def simulate(scenario: Scenario) -> LoadModel:
    """Simulate ``scenario`` and return the model with its results."""
    model = LoadModel(scenario=scenario)
    model.run()
    return model


def earned_value_fraction(model: LoadModel) -> float:
    """Return the value earned as a fraction (0..1) of the value of all requests.

    An answer outside the objective earns ``LATE_VALUE_FACTOR`` of its value.
    """
    earned_value = 0.0
    requested_value = 0.0
    for workload in model.scenario.workloads:
        stats = model.stats_by_workload[workload.name]
        earned_value += workload.value * (stats.within_objective + LATE_VALUE_FACTOR * stats.late)
        requested_value += workload.value * stats.total
    return earned_value / requested_value


def largest_shift(model: LoadModel, *, window_s: float) -> float:
    """Return the largest fraction (0..1) of a region's requests that changed region.

    Compares where requests run in each sliding window and in the window after it.
    """
    bins = int(window_s / BIN_S)
    bin_count = int(model.scenario.duration_s / BIN_S)
    shifts = [
        _moved_fraction(
            _sum_arrivals(model, region, at - bins, at), _sum_arrivals(model, region, at, at + bins)
        )
        for region in model.regions
        for at in range(bins, bin_count - bins + 1)
    ]
    return max(shifts, default=0.0)


def _sum_arrivals(model: LoadModel, region: str, start: int, end: int) -> Counter[str]:
    total: Counter[str] = Counter()
    for number in range(start, end):
        total.update(model.arrivals_by_bin[(region, number)])
    return total


def _moved_fraction(before: Counter[str], after: Counter[str]) -> float:
    if not before or not after:
        return 0.0
    regions = before.keys() | after.keys()
    return sum(
        max(0.0, after[name] / after.total() - before[name] / before.total()) for name in regions
    )


def _record(endpoint_id: str, region: str, slots: int) -> EndpointRecord:
    return EndpointRecord(
        id=endpoint_id,
        service=SERVICE,
        address='127.0.0.1:1',
        zone=region,
        slots=slots,
        draining=False,
        cold_s=0.0,
    )


def _route(workload: Workload) -> Route:
    return Route(
        name=workload.name,
        host='model',
        prefix='/',
        idempotent=True,
        timeout_s=workload.timeout_s,
        latency_objective_s=workload.latency_objective_s,
        max_attempts=MAX_ATTEMPTS,
        priority=workload.priority,
        shares=(WeightedService(SERVICE, 1.0),),
        sticky=True,
        regions=frozenset(),
    )
