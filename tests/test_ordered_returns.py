"""Ordered returns: refused callers are told a moment at which there is room for them."""

import math
import random
from collections import Counter, defaultdict
from typing import NamedTuple

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainloft_node.endpoint_limits.registry import EndpointLimitRegistry
from plantainloft_node.entry.return_planning import fleet_reports
from plantainloft_node.fleet.datagrams import unpack_datagram
from plantainloft_node.fleet.membership import FleetMember, FleetMembership
from plantainloft_node.fleet.report_receiver import ReportReceiver
from plantainloft_node.overload.promise_codec import PromiseReport, pack_promises
from plantainloft_node.overload.promise_exchange import MAX_PENDING, PromiseExchange
from plantainloft_node.overload.promises import (
    MAX_PROMISES_PER_DIGEST,
    BookedPromise,
    PromiseBook,
    caller_digest,
)
from plantainloft_node.overload.return_planner import ScheduledReturns
from plantainloft_node.overload.return_schedule import BUCKET_S, HORIZON_S, ReturnSchedule
from plantainloft_node.overload.return_shares import FleetReports, ReturnShares
from plantainloft_node.overload.returns import Promise, ReturnRequest, ServiceCapacity
from plantainloft_node.placement.demand import DemandMeter
from plantainloft_node.quarantine.crash_registry import CrashRegistry

SERVICE = 'tiles'
DIGEST = caller_digest('10.0.0.1', 'read', 'a')
AFTER_HOLD_S = 100.0


def schedule(rate: float = 40.0, demand_rate: float = 100.0) -> ReturnSchedule:
    """The schedule of a single instance that has run for long."""
    returns = ReturnSchedule(started_at=0.0, clock_offset_s=0.0)
    returns.update(ServiceCapacity(rate, demand_rate, 1.0), share_start=0.0, now=AFTER_HOLD_S)
    return returns


def reserve_all(returns: ReturnSchedule, priority: int = 0) -> list[float]:
    """Reserve until there is no room within 2 s."""
    delays = []
    while (delay_s := returns.reserve(AFTER_HOLD_S, 0.15, 2.0, priority)) is not None:
        delays.append(delay_s)
    return delays


def exchange(name: str = 'e1', first_number: int = 1) -> PromiseExchange:
    return PromiseExchange(sender=name, first_number=first_number, is_active=lambda: True)


def test_a_bucket_is_promised_to_no_more_than_it_holds() -> None:
    """Failure: more callers are told a moment than the service can take."""
    delays = reserve_all(schedule())
    counts = Counter(math.floor((AFTER_HOLD_S + delay_s) / BUCKET_S) for delay_s in delays)
    assert max(counts.values()) <= 4
    assert min(delays) >= 0.15 and max(delays) <= 2.0


@pytest.mark.parametrize('rate', [1e15, math.inf])
def test_processing_times_near_zero_neither_block_nor_end_an_update(rate: float) -> None:
    """Failure: the room of a service that answers at once was dealt out without end."""
    assert schedule(rate=rate).reserve(AFTER_HOLD_S, 0.15, 2.0, 0) is not None


def test_an_update_after_a_long_pause_takes_no_longer_than_others() -> None:
    """Failure: every bucket of the days without overload control was visited when it began."""
    returns = schedule()
    after_years_s = 1e10
    returns.update(ServiceCapacity(40.0, 100.0, 1.0), share_start=0.0, now=after_years_s)
    assert returns.reserve(after_years_s, 0.15, 2.0, 0) is not None


def test_newcomers_keep_their_part_and_only_if_there_are_any() -> None:
    """Failure: returning callers take the whole service, or leave room that nobody uses."""
    assert len(reserve_all(schedule())) <= 0.75 * 40 * 1.9
    assert len(reserve_all(schedule(demand_rate=0.0))) >= 40 * 1.75


def test_a_started_process_promises_nothing_its_predecessor_may_have_promised() -> None:
    """Failure: an instance that restarts promises the same room twice."""
    returns = ReturnSchedule(started_at=AFTER_HOLD_S, clock_offset_s=0.0)
    capacity = ServiceCapacity(40.0, 100.0, 1.0)
    returns.update(capacity, share_start=0.0, now=AFTER_HOLD_S)
    assert returns.reserve(AFTER_HOLD_S, 0.15, HORIZON_S, 0) is None
    later = AFTER_HOLD_S + 2.0
    returns.update(capacity, share_start=0.0, now=later)
    delay_s = returns.reserve(later, 0.15, HORIZON_S, 0)
    assert delay_s is not None and later + delay_s > AFTER_HOLD_S + HORIZON_S


def test_less_urgent_callers_leave_room_for_more_urgent_ones() -> None:
    """Failure: less urgent callers, refused earlier, take all the room of urgent ones."""
    returns = schedule()
    assert returns.reserve(AFTER_HOLD_S, 0.15, 2.0, 0) is not None
    less_urgent = len(reserve_all(returns, priority=1))
    assert less_urgent > 0
    assert len(reserve_all(returns, priority=0)) >= less_urgent // 5


def test_promised_requests_of_the_next_second_are_reserved() -> None:
    """Failure: newcomers are admitted into the room that was promised."""
    returns = schedule()
    delays = reserve_all(returns)
    due = sum(delay_s < 1.0 for delay_s in delays)
    assert returns.reserved_rate(AFTER_HOLD_S) == due


def test_a_service_without_capacity_gets_no_promise_and_at_least_the_least_delay() -> None:
    """Failure: callers without a promise are told to return at once, or all together."""
    planner = ScheduledReturns(exchange=exchange(), clock_offset_s=0.0)
    delays = set()
    for number in range(20):
        digest = caller_digest(f'10.0.0.{number}', 'read', 'a')
        offer = planner.offer(ReturnRequest(digest, SERVICE, 0, 0.0, 2.0), AFTER_HOLD_S)
        assert offer.promise is None and offer.retry_after_s >= 0.15
        delays.add(offer.retry_after_s)
    assert len(delays) > 10
    assert planner.counts_by_service[SERVICE].unpromised == 20


@pytest.mark.parametrize(
    ('since_due_s', 'is_claimed'), [(-0.2, False), (-0.05, True), (0.9, True), (1.1, False)]
)
def test_a_promise_is_claimed_once_within_its_window(since_due_s: float, is_claimed: bool) -> None:
    """Failure: one promise admits its caller twice, or at any time."""
    book = PromiseBook()
    book.merge(BookedPromise(Promise(DIGEST, SERVICE, 10.0), 1))
    assert (book.claim(DIGEST, 10.0 + since_due_s) is not None) == is_claimed
    assert book.claim(DIGEST, 20.0) is None
    assert len(book.remove_expired(11.5)) == 1
    assert not len(book)


def test_a_claim_that_overtakes_its_promise_counts() -> None:
    """Failure: a promise is claimed a second time because datagrams were reordered."""
    book = PromiseBook()
    booked = BookedPromise(Promise(DIGEST, SERVICE, 10.0), 1)
    book.merge(booked._replace(claimed=True))
    book.merge(booked)
    assert book.claim(DIGEST, 10.0) is None


def test_memory_for_promises_is_bounded() -> None:
    """Failure: callers that share an address and a key fill the memory."""
    book = PromiseBook()
    booked = [BookedPromise(Promise(DIGEST, SERVICE, 10.0), number) for number in range(100)]
    assert sum(book.merge(one) for one in booked) == MAX_PROMISES_PER_DIGEST
    sending = exchange()
    for number in range(2 * MAX_PENDING):
        sending.promise(Promise(number.to_bytes(8), SERVICE, 10.0))
    assert sending.dropped == MAX_PENDING


def test_announcements_are_sent_twice_and_nothing_without_any() -> None:
    """Failure: one lost datagram loses promises, or an idle instance sends datagrams."""
    sending = exchange()
    assert sending.take_batch(0.0) == []
    sending.promise(Promise(DIGEST, SERVICE, 1.0))
    assert len(sending.take_batch(0.0)) == len(sending.take_batch(0.05)) == 1
    assert sending.take_batch(0.1) == []


def test_promises_are_ignored_while_overload_control_is_off() -> None:
    """Failure: an instance with overload control off books what its peers announce."""
    receiving = PromiseExchange(sender='e2', first_number=2, is_active=lambda: False)
    receiving.receive((PromiseReport(DIGEST, SERVICE, 1, 1.0, False),), 0.0)
    assert not len(receiving.book)


def test_shares_of_silent_instances_remain_theirs() -> None:
    """Failure: both sides of a partition promise the whole capacity."""
    both = {'a': {SERVICE: 10.0}, 'b': {SERVICE: 30.0}}
    count_by_zone = {'a': 2, 'b': 2}
    reports = FleetReports('a', {SERVICE: 5.0}, both, count_by_zone, count_by_zone, 0)
    shares = ReturnShares()
    assert shares.update(reports, 0.0)[SERVICE].size == pytest.approx(0.125)
    cut_off = reports._replace(rates_by_zone={'a': both['a']}, reporting_by_zone={'a': 2})
    assert shares.update(cut_off, 1.0)[SERVICE].size == pytest.approx(0.125)
    assert ReturnShares().update(cut_off, 1.0)[SERVICE].size == pytest.approx(0.25)
    unreported = reports._replace(rates_by_zone={})
    assert ReturnShares().update(unreported, 0.0)[SERVICE].size == pytest.approx(0.25)
    assert ReturnShares().update(reports._replace(instances_by_zone={}), 0.0) == {}


def test_a_rise_in_demand_does_not_enlarge_shares_before_it_is_reported() -> None:
    """Failure: at the start of a burst, all shares together exceed the capacity."""
    shares = ReturnShares()
    reports = FleetReports('a', {SERVICE: 5.0}, {'a': {SERVICE: 10.0}}, {'a': 2}, {'a': 2}, 0)
    shares.update(reports, 0.0)
    assert shares.update(reports._replace(own_rates={SERVICE: 9.0}), 1.0)[SERVICE].size == 0.5


def fleet_member(name: str, zone: str = 'a') -> FleetMember:
    return FleetMember(name, 1, 'ankara', zone, f'{name}:80', f'{name}:90')


def test_promises_of_unknown_senders_are_ignored() -> None:
    """Failure: a datagram from anywhere admits its sender before others."""
    members = FleetMembership(local_member=fleet_member('e1'))
    members.add_member(fleet_member('e2'), 0.0)
    receiving = exchange()
    receiver = ReportReceiver(
        members=members,
        crash_registry=CrashRegistry(),
        endpoint_limits=EndpointLimitRegistry(),
        on_promises=receiving.receive,
    )
    packed = pack_promises('e2', [PromiseReport(DIGEST, SERVICE, 1, 1.0, False)])[0]
    assert receiver.receive(packed, 'elsewhere', 0.0) is not None
    assert not len(receiving.book)
    receiver.receive(packed, 'e2', 0.0)
    assert len(receiving.book) == 1


def test_silent_instances_are_counted_as_running() -> None:
    """Failure: an instance that hears of no peer promises the whole capacity."""
    members = FleetMembership(local_member=fleet_member('e2'))
    for name, zone in (('e1', 'a'), ('e3', 'b'), ('e4', 'b')):
        members.add_member(fleet_member(name, zone), 0.0)
    assert not fleet_reports(members, {SERVICE: 5.0}, 1.0).instances_by_zone
    members.has_member_list = True
    reports = fleet_reports(members, {SERVICE: 5.0}, 1.0)
    assert reports.zone_position == 1
    assert ReturnShares().update(reports, 1.0)[SERVICE].size <= 0.25


promise_reports = st.builds(
    PromiseReport,
    st.binary(min_size=8, max_size=8),
    st.text(st.characters(codec='utf-8'), max_size=40),
    st.integers(0, 2**32 - 1),
    st.integers(-1000, 4100).map(lambda ms: ms / 1000),
    st.booleans(),
)


@given(st.lists(promise_reports, max_size=200))
def test_valid_promises_survive_encoding(reports: list[PromiseReport]) -> None:
    """Failure: a promise is lost or changed on its way, or its datagram is fragmented."""
    packed = pack_promises('e1', reports)
    datagrams = [unpack_datagram(one) for one in packed]
    assert [report for one in datagrams if one for report in one.promises] == reports
    assert all(len(one) <= 1200 for one in packed)


arbitrary = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**31), 2**31) | st.binary() | st.text(),
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(), inner, max_size=3),
)
headed = st.tuples(st.sampled_from([4, 5, 6]), st.text(), arbitrary, arbitrary).map(list)


@given(arbitrary | headed | st.lists(arbitrary).map(lambda rest: [6, *rest]))
def test_malformed_datagrams_are_ignored(raw: object) -> None:
    """Failure: a datagram of unexpected structure ends the process that receives it."""
    datagram = unpack_datagram(msgpack.packb(raw))
    assert datagram is None or isinstance(datagram.sender, str)


@given(st.lists(promise_reports, min_size=1, max_size=5), st.integers(0), st.binary(min_size=1))
def test_damaged_promises_are_ignored(
    reports: list[PromiseReport], position: int, damage: bytes
) -> None:
    """Failure: a damaged datagram raises, or promises a moment far away."""
    packed = pack_promises('e1', reports)[0]
    at = position % len(packed)
    datagram = unpack_datagram(packed[:at] + damage + packed[at + len(damage) :])
    promises = datagram.promises if datagram else ()
    assert all(-1.0 <= promise.due_in_s <= HORIZON_S + BUCKET_S for promise in promises)


STEP_S = 0.02
UPDATE_STEPS = 12
BATCH_STEPS = 2
REPORT_DELAY_UPDATES = 4
BURST_AT_S = 5.0
RESTARTS_AT_S = 8.0
PARTITION_S = (10.0, 13.0)
END_S = 17.0


class Arrival(NamedTuple):
    """A caller's request; ``was_told`` if it returns on a promise."""

    caller: int
    zone: int
    returns: bool = False
    was_told: bool = False


class Node:
    """One instance of the test loop."""

    def __init__(self, name: str, zone: int, first_number: int) -> None:
        self.zone = zone
        self.exchange = exchange(name, first_number)
        self.planner = ScheduledReturns(exchange=self.exchange, clock_offset_s=0.0)
        self.shares = ReturnShares()
        self.demand = DemandMeter()
        self.own_share = 0.0
        self.room = 0.0
        self.room_at = 0.0


class Fleet:
    """Instances, callers and a service that starts ``rate`` requests a second."""

    def __init__(self, size: int, rate: float, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.rate = rate
        self.now = 0.0
        self.zone_count = 6 if size > 8 else 2
        self.nodes = [
            Node(f'e{number}', number % self.zone_count, number) for number in range(size)
        ]
        self.count_by_zone = Counter(str(node.zone) for node in self.nodes)
        self.reported: list[dict[str, dict[str, float]]] = []
        self.in_transit: dict[int, list[tuple[int, bytes]]] = defaultdict(list)
        self.arrivals: dict[int, list[Arrival]] = defaultdict(list)
        self.backlog = 0.0
        self.told_by_bucket: Counter[int] = Counter()
        self.counts: Counter[str] = Counter()
        self.largest_sum_of_shares = 0.0

    def run(self) -> None:
        for step in range(round(END_S / STEP_S)):
            self.now = step * STEP_S
            if step == round(RESTARTS_AT_S / STEP_S):
                self._restart()
            if step % UPDATE_STEPS == 0:
                self._update()
            for target, packed in self.in_transit.pop(step, ()):
                datagram = unpack_datagram(packed)
                assert datagram is not None
                self.nodes[target].exchange.receive(datagram.promises, self.now)
            self.backlog = max(0.0, self.backlog - self.rate * STEP_S)
            self._add_newcomers(step)
            for arrival in self.arrivals.pop(step, ()):
                self._arrive(arrival, step)
            if step % BATCH_STEPS == 0:
                self._send(step)

    def _restart(self) -> None:
        for number in range(0, len(self.nodes), 8):
            self.nodes[number] = Node(f'e{number}', self.nodes[number].zone, 10**6 + number)

    def _update(self) -> None:
        by_zone: dict[str, dict[str, float]] = {
            str(zone): {
                SERVICE: sum(
                    node.demand.rate_by_service.get(SERVICE, 0.0)
                    for node in self.nodes
                    if node.zone == zone
                )
            }
            for zone in range(self.zone_count)
        }
        self.reported.append(by_zone)
        for position, node in enumerate(self.nodes):
            node.demand.update(UPDATE_STEPS * STEP_S)
            share = node.shares.update(self._reports(position), self.now).get(SERVICE)
            if share is not None:
                node.planner.update_share_starts({SERVICE: share.start})
                node.own_share = share.size
            # Views of the capacity differ by a few percent.
            rate = self.rate * self.rng.uniform(0.97, 1.0)
            own_demand = node.demand.rate_by_service.get(SERVICE, 0.0)
            capacity = ServiceCapacity(rate, own_demand, node.own_share)
            node.planner.update({SERVICE: capacity}, self.now)
        if self.now > HORIZON_S:
            shares = sum(node.own_share for node in self.nodes)
            self.largest_sum_of_shares = max(self.largest_sum_of_shares, shares)

    def _reports(self, position: int) -> FleetReports:
        node = self.nodes[position]
        rates = self.reported[max(0, len(self.reported) - 1 - REPORT_DELAY_UPDATES)]
        if PARTITION_S[0] <= self.now < PARTITION_S[1]:
            is_cut_off = node.zone == 0
            rates = {zone: one for zone, one in rates.items() if (zone == '0') == is_cut_off}
        return FleetReports(
            own_zone=str(node.zone),
            own_rates=node.demand.rate_by_service,
            rates_by_zone=rates,
            instances_by_zone=self.count_by_zone,
            reporting_by_zone={zone: self.count_by_zone[zone] for zone in rates},
            zone_position=position // self.zone_count,
        )

    def _add_newcomers(self, step: int) -> None:
        factor = 0.7 if self.now < BURST_AT_S else 1.5
        expected = factor * self.rate * STEP_S
        count = int(expected) + (self.rng.random() < expected % 1.0)
        for _ in range(count):
            self.counts['callers'] += 1
            # Zones differ in demand by up to a factor of two.
            weights = [1.0 + zone / self.zone_count for zone in range(self.zone_count)]
            zone = self.rng.choices(range(self.zone_count), weights)[0]
            self.arrivals[step].append(Arrival(self.counts['callers'], zone))

    def _arrive(self, arrival: Arrival, step: int) -> None:
        node = self.rng.choice([one for one in self.nodes if one.zone == arrival.zone])
        node.demand.record_request(SERVICE)
        digest = caller_digest(f'10.0.0.{arrival.caller % 50}', 'read', str(arrival.caller))
        promise = node.planner.claim(digest, self.now)
        if arrival.was_told:
            self.counts['due'] += 1
        if promise is not None:
            served = self.backlog < self.rate * 0.5
            self.backlog += served
            node.planner.record_outcome(promise, served=served)
            self.counts['kept'] += served
        elif self._admits_newcomer(node):
            self.backlog += 1
        elif not arrival.returns:
            self._refuse(node, digest, arrival, step)

    def _admits_newcomer(self, node: Node) -> bool:
        """Return whether there is room besides what is promised; at most for a second."""
        reserved_rate = node.planner.reserved_rate(SERVICE, self.now)
        own_rate = self.rate * node.own_share
        node.room += max(0.0, own_rate - reserved_rate) * (self.now - node.room_at)
        node.room = min(node.room, max(1.0, own_rate))
        node.room_at = self.now
        is_admitted = node.room >= 1
        node.room -= is_admitted
        return is_admitted

    def _refuse(self, node: Node, digest: bytes, arrival: Arrival, step: int) -> None:
        latest_s = self.rng.uniform(1.5, HORIZON_S)
        request = ReturnRequest(digest, SERVICE, arrival.caller % 3, 0.0, latest_s)
        offer = node.planner.offer(request, self.now)
        if offer.promise is not None:
            self.told_by_bucket[math.floor(offer.promise.due_at / BUCKET_S)] += 1
        self.counts['told' if offer.promise else 'unpromised'] += 1
        delay_s = offer.retry_after_s + self.rng.uniform(0.0, 0.15)
        returning = arrival._replace(returns=True, was_told=offer.promise is not None)
        self.arrivals[step + math.ceil(delay_s / STEP_S)].append(returning)

    def _send(self, step: int) -> None:
        for position, node in enumerate(self.nodes):
            for packed in node.exchange.take_batch(self.now):
                for target in range(node.zone, len(self.nodes), self.zone_count):
                    if target != position and self.rng.random() >= 0.05:
                        self.in_transit[step + 1].append((target, packed))


@pytest.mark.parametrize(('size', 'rate'), [(8, 54.0), (72, 250.0), (195, 54.0), (195, 500.0)])
def test_no_moment_is_told_to_too_many_and_those_told_are_admitted(size: int, rate: float) -> None:
    """Failure: callers return to full queues, through loss, restarts and a partition."""
    fleet = Fleet(size, rate, seed=size)
    fleet.run()
    assert fleet.counts['told'] > 0.1 * rate * (END_S - BURST_AT_S)
    assert max(fleet.told_by_bucket.values()) <= math.ceil(rate * BUCKET_S)
    assert fleet.counts['kept'] >= 0.9 * fleet.counts['due']
    assert fleet.largest_sum_of_shares <= 1.0
