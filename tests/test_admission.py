"""Admission under scarcity: order, fair shares, refusals, and credit against the best possible."""

import heapq
import random
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

import anyio
import pytest
from entry_fixtures import (
    HEADER_NAMES,
    ConnectionScript,
    ScriptedConnection,
    get_request,
    make_route,
    make_route_table,
    running_forwarding_server,
    signed_ok_response,
)
from entry_fixtures import SERVICE as SERVER_SERVICE

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.routes import WeightedService
from plantainloft_ctl.scarcity import aggregate_scarcity, format_groups, format_scarcity_table
from plantainloft_node.engine.request_admission import RequestAdmission
from plantainloft_node.overload.admission import (
    Admit,
    Arrival,
    CallerRequest,
    Reject,
    RejectReason,
    ServiceState,
    decide_admission,
)
from plantainloft_node.overload.controller import AdmissionController, ServiceDemand
from plantainloft_node.overload.fair_shares import DECAY_S, FairShares, Standing, fair_level
from plantainloft_node.overload.returns import (
    Promise,
    ReturnOffer,
    ReturnPlanner,
    ReturnRequest,
    ServiceCapacity,
)
from plantainloft_node.overload.service_demand import estimate_demand
from plantainloft_node.placement.demand import DemandMeter
from plantainloft_node.placement.endpoints import EndpointRegistry

SERVICE = 'desk'
OBJECTIVE_S = 1.0
TIMEOUT_S = 2.5
WORK_S = 0.5
LATE_CREDIT = 0.25
SCARCE = ServiceState(is_scarce=True, standing=Standing.WITHIN_SHARE)


class FakePlanner(ReturnPlanner):
    """Promises a return in 0.7 s to whoever honours it."""

    def __init__(self) -> None:
        self.promises: dict[bytes, Promise] = {}
        self.outcomes: list[bool] = []
        self.requests: list[ReturnRequest] = []
        self.reserved = 0.0

    def offer(self, request: ReturnRequest, now: float) -> ReturnOffer:
        self.requests.append(request)
        if request.latest_s < 0.7:
            return ReturnOffer(0.7, None)
        promise = Promise(request.digest, request.service, now + 0.7)
        self.promises[request.digest] = promise
        return ReturnOffer(0.7, promise)

    def claim(self, digest: bytes, now: float) -> Promise | None:
        return self.promises.pop(digest, None)

    def record_outcome(self, promise: Promise, *, served: bool) -> None:
        self.outcomes.append(served)

    def reserved_rate(self, service: str, now: float) -> float:
        return self.reserved

    def update(self, capacity: Mapping[str, ServiceCapacity], now: float) -> None:
        pass


def make_arrival(
    *, priority: int = 0, wait_s: float = 0.0, objective_left_s: float = OBJECTIVE_S
) -> Arrival:
    return Arrival(
        priority=priority,
        objective_s=OBJECTIVE_S,
        objective_left_s=objective_left_s,
        remaining_s=TIMEOUT_S,
        expected_s=WORK_S + wait_s,
        wait_s=wait_s,
    )


class Request(NamedTuple):
    """A request of the model: when it arrives, from which zone, and for whom."""

    at: float
    zone: str
    organisation: str
    priority: int


class ModelEndpoint:
    """Four slots with one queue in the order of arrival, and the load as last reported."""

    def __init__(self) -> None:
        self.slot_free_at = [0.0] * 4
        self.unfinished: list[float] = []
        self.reported = 0

    def start(self, now: float) -> float:
        """Take a request; return when it is answered."""
        answered_at = max(now, self.slot_free_at[0]) + WORK_S
        heapq.heapreplace(self.slot_free_at, answered_at)
        self.unfinished.append(answered_at)
        return answered_at

    def report(self, now: float) -> int:
        self.unfinished = [at for at in self.unfinished if at > now]
        self.reported = len(self.unfinished)
        return self.reported


class ModelInstance:
    """An instance that sees reported loads, and what it has sent since."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.demand = DemandMeter()
        self.sent_since_report: Counter[int] = Counter()
        self.controller = AdmissionController(
            zone=zone, planner=FakePlanner(), digest_caller=lambda host, route, key: b''
        )


class Fleet:
    """Two instances in each of two zones, and four endpoints of one service."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.endpoints = [ModelEndpoint() for _ in range(4)]
        self.instances = [ModelInstance(zone) for zone in ('a', 'a', 'b', 'b')]

    def run(self, requests: list[Request]) -> dict[Request, float]:
        """Return the credit of each request that was answered."""
        credit, reports = {}, 0
        for request in requests:
            while request.at >= reports / 10:
                self.report(reports / 10)
                reports += 1
            took_s = self.serve(request)
            if took_s is not None and took_s <= TIMEOUT_S:
                credit[request] = 1.0 if took_s <= OBJECTIVE_S else LATE_CREDIT
        return credit

    def report(self, now: float) -> None:
        used = sum(endpoint.report(now) for endpoint in self.endpoints) / 16
        rate_by_zone = {'a': 0.0, 'b': 0.0}
        for instance in self.instances:
            instance.sent_since_report.clear()
            instance.demand.update(0.1)
            rate_by_zone[instance.zone] += instance.demand.rate_by_service.get(SERVICE, 0.0)
        for instance in self.instances:
            own_rate = instance.demand.rate_by_service.get(SERVICE, 0.0)
            own_share = own_rate / max(sum(rate_by_zone.values()), 1.0)
            capacity = ServiceCapacity(16 / WORK_S, own_rate, own_share)
            instance.controller.update({SERVICE: ServiceDemand(capacity, rate_by_zone, used)}, now)

    def serve(self, request: Request) -> float | None:
        """Return the seconds until the answer; ``None`` if the request is rejected."""
        instance = self.rng.choice([one for one in self.instances if one.zone == request.zone])
        instance.demand.record_request(SERVICE)
        sent = instance.sent_since_report
        load, chosen = min(
            (self.endpoints[index].reported + sent[index], index)
            for index in self.rng.sample(range(4), 2)
        )
        wait_s = max(0, load + 1 - 4) / 4 * WORK_S
        caller = CallerRequest(b'', SERVICE, request.priority, request.organisation, 0.0)
        instance.controller.begin(caller, request.at)
        arrival = make_arrival(priority=request.priority, wait_s=wait_s)
        if isinstance(instance.controller.decide(caller, arrival, request.at), Admit):
            sent[chosen] += 1
            return self.endpoints[chosen].start(request.at) - request.at
        return None


def make_requests(load: float, *, duration_s: float, seed: int) -> list[Request]:
    """Return arrivals at ``load`` times 32 a second, most of zone b and of one organisation."""
    rng = random.Random(seed)
    requests = []
    now = 0.0
    while now < duration_s:
        now += rng.expovariate(load * 32)
        (zone,) = rng.choices('ab', (0.3, 0.7))
        organisation_weights = (0.15, 0.15, load - 0.3)
        (organisation,) = rng.choices(('east', 'west', 'flood'), organisation_weights)
        (priority,) = rng.choices((0, 1, 2), (0.2, 0.5, 0.3))
        requests.append(Request(now, zone, organisation, priority))
    return requests


def best_credit(requests: list[Request]) -> float:
    """Return the credit of one queue that starts what will be on time: the best order here."""
    slot_free_at = [0.0] * 16
    credit = 0.0
    for request in requests:
        answered_at = max(request.at, slot_free_at[0]) + WORK_S
        if answered_at - request.at <= OBJECTIVE_S:
            heapq.heapreplace(slot_free_at, answered_at)
            credit += 1.0
    return credit


@pytest.mark.parametrize('load', [1.3, 2.0])
@pytest.mark.parametrize('seed', range(5))
def test_scarce_room_earns_nearly_the_best_credit_and_is_divided_fairly(
    load: float, seed: int
) -> None:
    """Failure: with too few slots, most answers were late or went to one organisation."""
    requests = make_requests(load, duration_s=60.0, seed=seed)
    credit = Fleet(seed).run(requests)
    best = best_credit(requests)
    assert sum(credit.values()) >= 0.9 * best
    room = 32 * 60.0
    for field in ('zone', 'organisation'):
        demand = Counter(getattr(request, field) for request in requests)
        served = Counter(getattr(request, field) for request in credit)
        level = fair_level(demand.values(), room)
        for name, count in demand.items():
            assert served[name] >= 0.8 * min(count, level), name
    demand_by_priority = Counter(request.priority for request in requests)
    served_by_priority = Counter(request.priority for request in credit)
    served_parts = []
    for priority in range(3):
        part = min(demand_by_priority[priority], room)
        assert served_by_priority[priority] >= 0.8 * part, priority
        room -= part
        served_parts.append(served_by_priority[priority] / demand_by_priority[priority])
    assert served_parts == sorted(served_parts, reverse=True)


def test_a_late_request_waits_for_room_only_while_room_is_scarce() -> None:
    """Failure: late requests filled the queues in which others could have been on time."""
    late = make_arrival(wait_s=0.7)
    assert decide_admission(late, SCARCE) is RejectReason.LATE
    assert decide_admission(late, SCARCE._replace(is_scarce=False)) is None
    late_anyhow = make_arrival(objective_left_s=0.3)
    assert decide_admission(late_anyhow, SCARCE) is None


def test_late_requests_may_queue_while_none_can_be_on_time() -> None:
    """Failure: at the start, when no object is cached, slots were idle and callers refused."""
    controller = make_controller(FakePlanner(), load=2.0)
    caller = CallerRequest(b'caller', SERVICE, 0, 'east', caller_deadline=3.0)
    late_anyhow = make_arrival(objective_left_s=0.3, wait_s=0.5)
    assert isinstance(controller.decide(caller, late_anyhow, 0.0), Admit)
    for _ in range(4):
        controller.decide(caller, make_arrival(), 0.0)
    assert isinstance(controller.decide(caller, late_anyhow, 0.0), Reject)


def test_a_request_that_no_endpoint_answers_in_time_is_rejected_at_once() -> None:
    """Failure: such requests were held, and answered 504, although there was no hope."""
    hopeless = make_arrival(wait_s=2.1)
    assert decide_admission(hopeless, SCARCE._replace(is_scarce=False)) is RejectReason.NOT_IN_TIME
    assert decide_admission(hopeless._replace(has_promise=True), SCARCE) is RejectReason.NOT_IN_TIME


def test_a_less_urgent_request_leaves_the_rest_of_the_queue_to_more_urgent_ones() -> None:
    """Failure: less urgent requests filled the queues and more urgent ones were refused."""
    for standing in Standing:
        service = SCARCE._replace(standing=standing)
        admitted_up_to = [
            max(wait for wait in range(51) if _is_admitted(priority, wait / 100, service))
            for priority in range(4)
        ]
        assert admitted_up_to == sorted(admitted_up_to, reverse=True)
        assert admitted_up_to[0] > admitted_up_to[2]


def _is_admitted(priority: int, wait_s: float, service: ServiceState) -> bool:
    arrival = make_arrival(priority=priority, wait_s=wait_s)
    return decide_admission(arrival, service) is None


def test_less_urgent_use_does_not_count_against_more_urgent_requests() -> None:
    """Failure: the less urgent requests of an organisation used up its share."""
    shares = FairShares()
    for _ in range(10):
        shares.record_demand('east', 0.0)
        shares.record_use('east', 4, 0.0)
    shares.update(5 / DECAY_S, 0.0)
    assert shares.standing('east', 4, 0.0) is Standing.BEYOND_SHARE
    assert shares.standing('east', 0, 0.0) is Standing.WITHIN_SHARE


def test_a_request_that_no_endpoint_ran_uses_nothing_of_its_share() -> None:
    """Failure: requests that endpoints turned away used up the share of their organisation."""
    shares = FairShares()
    for _ in range(10):
        shares.record_demand('east', 0.0)
        shares.record_use('east', 0, 0.0)
        shares.release('east', 0, 0.0)
    shares.update(5 / DECAY_S, 0.0)
    assert shares.standing('east', 0, 0.0) is Standing.WITHIN_SHARE


def test_what_a_group_does_not_ask_for_is_divided_among_the_others() -> None:
    """Failure: equal parts left slots idle while others were refused."""
    assert fair_level([1.0, 4.0, 9.0], 9.0) == 4.0
    assert fair_level([1.0, 4.0, 9.0], 6.0) == 2.5
    assert fair_level([1.0, 4.0], 5.0) == float('inf')


def make_controller(planner: FakePlanner, *, load: float) -> AdmissionController:
    controller = AdmissionController(
        zone='a', planner=planner, digest_caller=lambda host, route, key: b'caller'
    )
    capacity = ServiceCapacity(rate=32.0, demand_rate=32 * load, own_share=1.0)
    controller.update({SERVICE: ServiceDemand(capacity, {'a': 32 * load}, 1.0)}, 0.0)
    return controller


def test_a_caller_that_returns_on_a_promise_is_admitted_before_newcomers() -> None:
    """Failure: callers came back when they were told to, and were refused again."""
    planner = FakePlanner()
    controller = make_controller(planner, load=2.0)
    caller = CallerRequest(b'caller', SERVICE, 1, 'east', caller_deadline=3.0)
    late = make_arrival(priority=1, wait_s=0.7)
    assert controller.begin(caller, 0.0) is None
    assert controller.decide(caller, late, 0.0) == Reject(RejectReason.LATE, 0.7, is_promised=True)
    assert planner.requests[0].latest_s == pytest.approx(1.0)
    promise = controller.begin(caller, 0.7)
    assert promise is not None
    assert controller.decide(caller, late._replace(has_promise=True), 0.7) == Admit(rank=3)
    controller.record_outcome(promise, served=True)
    (entry,) = controller.listing()
    assert (entry['promised'], entry['returned'], entry['served_on_return']) == (1, 1, 1)
    assert entry['rejected'] == {'late': 1}
    assert entry['organisations'] == [{'name': 'east', 'admitted': 1, 'rejected': 1}]


def test_newcomers_leave_the_room_that_is_promised() -> None:
    """Failure: newcomers took the slots that were promised to returning callers."""
    planner = FakePlanner()
    caller = CallerRequest(b'caller', SERVICE, 1, 'east', caller_deadline=3.0)
    late = make_arrival(priority=1, wait_s=0.7)
    unreserved = make_controller(planner, load=0.8)
    assert isinstance(unreserved.decide(caller, late, 0.0), Admit)
    planner.reserved = 16.0
    reserved = make_controller(planner, load=0.8)
    assert isinstance(reserved.decide(caller, late, 0.0), Reject)
    assert reserved.listing()[0]['room'] == 16.0


def test_idle_endpoints_show_that_room_is_not_scarce() -> None:
    """Failure: processing times learned without cached objects made idle slots seem scarce."""
    controller = make_controller(FakePlanner(), load=2.0)
    caller = CallerRequest(b'caller', SERVICE, 2, 'east', caller_deadline=3.0)
    late = make_arrival(priority=2, wait_s=0.7)
    assert isinstance(controller.decide(caller, late, 0.0), Reject)
    capacity = ServiceCapacity(rate=32.0, demand_rate=64.0, own_share=1.0)
    controller.update({SERVICE: ServiceDemand(capacity, {'a': 64.0}, 0.5)}, 0.25)
    assert controller.decide(caller, late, 0.25) == Admit(rank=5)


async def refuse(connection: ScriptedConnection) -> None:
    while True:
        await connection.read_request()
        await connection.send(b'HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n')


async def serve(connection: ScriptedConnection) -> None:
    while True:
        await connection.read_request()
        await connection.send(signed_ok_response(b'ok'))


async def send_twice(
    controller: AdmissionController, script: ConnectionScript
) -> tuple[list[bytes], int]:
    """Return the answers to two requests, and how many requests reached the endpoint."""
    admission = RequestAdmission(names=HEADER_NAMES, controller=controller)
    async with running_forwarding_server(script, admission=admission) as (server, (endpoint,)):
        answers = [await server.send_request(get_request()) for _ in range(2)]
    return answers, len(endpoint.requests)


@pytest.mark.anyio
async def test_a_request_that_no_endpoint_ran_is_told_when_to_return_and_served_then() -> None:
    """Failure: callers were told a time at random and met the same full queues."""
    planner = FakePlanner()
    controller = make_controller(planner, load=2.0)
    controller.is_active = True
    answers, _ = await send_twice(controller, refuse)
    assert all(answer.startswith(b'HTTP/1.1 503') for answer in answers)
    assert all(b'retry-after: 0.70' in answer.lower() for answer in answers)
    assert planner.outcomes == [False]
    planner.outcomes.clear()
    answers, _ = await send_twice(controller, serve)
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    assert planner.outcomes == [True]


@pytest.mark.anyio
async def test_nothing_is_asked_of_admission_while_overload_control_is_off() -> None:
    """Failure: deployments without overload control were refused by its rules."""
    planner = FakePlanner()
    controller = make_controller(planner, load=2.0)
    answers, sent = await send_twice(controller, refuse)
    assert all(b'retry-after: 0.' in answer.lower() for answer in answers)
    assert not planner.requests
    assert not controller.listing()[0]['rejected']
    assert sent == 2


@pytest.mark.anyio
async def test_a_rejected_request_reaches_no_endpoint() -> None:
    """Failure: a request was told that it had not run, and it had been sent."""
    controller = make_controller(FakePlanner(), load=2.0)
    controller.is_active = True
    table = make_route_table(make_route(idempotent=True, prefix='/files/', timeout_s=0.05))
    admission = RequestAdmission(names=HEADER_NAMES, controller=controller)
    async with running_forwarding_server(serve, table=table, admission=admission) as (
        server,
        (endpoint,),
    ):
        answer = await server.send_request(get_request())
    assert answer.startswith(b'HTTP/1.1 503')
    assert not endpoint.requests
    assert controller.listing()[0]['rejected'] == {'not in time': 1}


@pytest.mark.anyio
async def test_a_returning_caller_goes_to_the_service_that_promised_it_room() -> None:
    """Failure: a route's split sent it to another service, ahead of the newcomers there."""
    planner = FakePlanner()
    planner.promises[b'caller'] = Promise(b'caller', SERVER_SERVICE, due_at=0.0)
    controller = make_controller(planner, load=2.0)
    controller.is_active = True
    shares = (WeightedService(SERVICE, 1.0), WeightedService(SERVER_SERVICE, 1.0))
    table = make_route_table(make_route(idempotent=True, prefix='/files/', shares=shares))
    limits = table.services_by_name[SERVER_SERVICE]
    table = table._replace(services_by_name={SERVICE: limits, SERVER_SERVICE: limits})
    admission = RequestAdmission(names=HEADER_NAMES, controller=controller)
    async with running_forwarding_server(serve, table=table, admission=admission) as (server, _):
        answer = await server.send_request(get_request())
    assert answer.startswith(b'HTTP/1.1 200')
    returned = {entry['service']: entry['returned'] for entry in controller.listing()}
    assert returned == {SERVICE: 0, SERVER_SERVICE: 1}


@pytest.mark.anyio
async def test_opening_a_connection_does_not_count_as_waiting_in_a_queue() -> None:
    """Failure: slots stayed free since a request beyond its share needed a new connection."""
    controller = make_controller(FakePlanner(), load=2.0)
    controller.is_active = True
    table = make_route_table(make_route(idempotent=True, prefix='/files/', priority=2))
    admission = RequestAdmission(names=HEADER_NAMES, controller=controller)
    async with running_forwarding_server(serve, table=table, admission=admission) as (server, _):
        server.placement.overload_control = True
        server.placement.connections = server.pool
        now = anyio.current_time()
        controller.begin(CallerRequest(b'caller', SERVER_SERVICE, 2, '', now + 3.0), now)
        no_room = ServiceDemand(ServiceCapacity(0.0, 0.0, 0.0), {}, used=2.0)
        controller.update({SERVER_SERVICE: no_room}, now)
        answer = await server.send_request(get_request())
    assert answer.startswith(b'HTTP/1.1 200')


def test_the_command_adds_up_what_instances_list() -> None:
    """Failure: operators saw only how many requests an instance refused, not whose or why."""
    controller = make_controller(FakePlanner(), load=2.0)
    for organisation in ('east', 'west'):
        caller = CallerRequest(b'caller', SERVICE, 1, organisation, caller_deadline=0.0)
        controller.decide(caller, make_arrival(priority=1), 0.0)
        controller.decide(caller, make_arrival(priority=1, wait_s=0.7), 0.0)
    rows = aggregate_scarcity([controller.listing(), controller.listing()])
    assert format_scarcity_table(rows)[1].split()[:8] == [
        *(SERVICE, '64.0/s', '2.00', '4', '4', '0', '0', '0')
    ]
    assert format_groups(rows)[1].split() == [SERVICE, 'organisation', 'east', '2', '2']


def test_capacity_and_own_part_are_those_of_usable_endpoints_and_reported_rates() -> None:
    """Failure: endpoints that leave counted as room, and each instance took all of it."""
    registry = EndpointRegistry(region_by_zone={'a': 'north'})
    for number, draining in enumerate((False, False, True)):
        record = EndpointRecord(
            id=f'i{number}',
            service=SERVICE,
            address='127.0.0.1:1',
            zone='a',
            slots=4,
            draining=draining,
            cold_s=0.0,
        )
        registry.add_or_update(record, 0.0)
    registry.processing_by_service[SERVICE].record(WORK_S, cached=False)
    rates = {'a': {SERVICE: 30.0}, 'b': {SERVICE: 10.0}}

    def estimate(rates: dict[str, dict[str, float]], *, reporting: int) -> ServiceDemand:
        estimated = estimate_demand(
            registry=registry,
            rates_by_zone=rates,
            own_rates={SERVICE: 10.0},
            reporting_count=reporting,
            running_count=8,
            now=0.0,
        )
        return estimated[SERVICE]

    estimated = estimate(rates, reporting=8)
    assert estimated.capacity == ServiceCapacity(8 / WORK_S, 10.0, 0.25)
    assert estimated.rate_by_zone == {'a': 30.0, 'b': 10.0}
    assert estimate(rates, reporting=4).capacity.own_share == 0.25 / 2
    assert estimate({}, reporting=8).capacity.own_share == 1 / 8
