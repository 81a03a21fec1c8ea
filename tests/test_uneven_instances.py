"""Instances of unequal capacity: settings, reports, look-ups, limits and bounds."""

import itertools
import re
from pathlib import Path

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_overload_switch import SETTINGS

from plantainloft_core.outcomes import Invalid
from plantainloft_node.capacity.settings import UNKNOWN_CAPACITY, Capacity
from plantainloft_node.capacity.usage import CapacityUse, InstanceCapacity
from plantainloft_node.entry.settings import EntrySettings, parse_entry_settings
from plantainloft_node.fleet.capacity_codec import (
    CAPACITY_FORMAT_VERSION,
    MAX_CAPACITIES_PER_DATAGRAM,
    pack_capacities,
)
from plantainloft_node.fleet.datagrams import FORMAT_VERSION, MAX_DATAGRAM_BYTES, unpack_datagram
from plantainloft_node.fleet.report_codec import pack_report, unpack_report
from plantainloft_node.fleet.reports import (
    CapacityReport,
    FleetMember,
    Heartbeat,
    ZoneReport,
    member_key,
)
from plantainloft_standins.fleet_simulation import FleetModel, FleetShape

TEMPLATE = Path(__file__).parents[1] / 'deploy' / 'entry.ini.template'


def settings_with(section: str) -> EntrySettings | Invalid:
    return parse_entry_settings(f'{SETTINGS}[capacity]\n{section}')


def test_the_processor_capacity_is_share_times_speed() -> None:
    """An instance with half of a fast core counted as much as one with half of a slow core."""
    parsed = settings_with('cpu_share = 0.5\ncores = 1.5\nlink_mbps = 5\n')
    assert isinstance(parsed, EntrySettings)
    assert parsed.capacity.capacity == Capacity(0.75, None, None, 5.0)


def test_settings_without_capacities_are_valid() -> None:
    """A deployment that names no capacity did not start."""
    parsed = settings_with('')
    assert isinstance(parsed, EntrySettings)
    assert parsed.capacity.capacity == UNKNOWN_CAPACITY


@pytest.mark.parametrize('raw', ['0', '-1', 'nan', 'inf', 'many'])
def test_impossible_capacities_are_reported_at_the_start(raw: str) -> None:
    """A capacity that is not a number, or infinite, drew all callers to one instance."""
    parsed = settings_with(f'link_mbps = {raw}\n')
    assert isinstance(parsed, Invalid)
    assert '[capacity] link_mbps' in parsed.problems[0]


def test_the_template_names_only_known_capacity_options() -> None:
    """A misspelt option in the deploy template stopped every instance at its start."""
    section = TEMPLATE.read_text().partition('[capacity]\n')[2]
    named = re.findall(r'^(\w+) = \{\{\.\}\}$', section, re.MULTILINE)
    parsed = settings_with(''.join(f'{name} = 2\n' for name in named))
    assert isinstance(parsed, EntrySettings)
    assert None not in parsed.capacity


SMALL = Capacity(0.43, 200.0, 4100.0, 5.0)
LARGE = Capacity(2.15, 552.0, 10933.0, 100.0)
BUSY = CapacityUse(0.5, 0.25, 0.1, 0.05, 0.02)


def fleet_of(shape: FleetShape, capacities: tuple[InstanceCapacity | None, ...]) -> FleetModel:
    """Return a started fleet whose instances have ``capacities`` in turn."""
    model = FleetModel(shape=shape)
    model.start_all()
    model.run_for(1.0)
    for instance, capacity in zip(
        model.instance_by_name.values(), itertools.cycle(capacities), strict=False
    ):
        instance.capacity = capacity
    model.run_for(19.0)
    return model


@pytest.mark.parametrize('shape', [FleetShape(), FleetShape(zones=3, instances=22, loss=0.05)])
def test_every_instance_learns_the_capacities_of_all_others(shape: FleetShape) -> None:
    """Instances that are no relays knew their own capacity only, and named all alike."""
    reported = InstanceCapacity(SMALL, BUSY)
    model = fleet_of(shape, (reported,))
    for instance in model.instance_by_name.values():
        for peer in instance.members.peers():
            known = instance.members.capacities.get(member_key(peer), model.now)
            assert known is not None
            assert known.limits == SMALL
            if peer.zone == instance.members.local_member.zone:
                assert known == reported


def test_nothing_is_sent_while_overload_control_is_off() -> None:
    """Deployments without overload control got further datagrams."""
    datagrams: list[bytes] = []
    model = fleet_of(FleetShape(), (None,))
    for instance in model.instance_by_name.values():
        plan = instance.report_planner.plan_round(model.now, include_not_due=True)
        datagrams += [datagram.packed for datagram in plan]
    assert {msgpack.unpackb(packed)[0] for packed in datagrams} == {FORMAT_VERSION}


def test_a_report_is_the_same_with_and_without_a_capacity() -> None:
    """Builds without capacities rejected heartbeats with a further field."""
    heartbeat = Heartbeat(FleetMember('e1', 1, 'r', 'z', 'e1:80', 'e1:90'), True, False, {}, {})
    with_capacity = heartbeat._replace(capacity=InstanceCapacity(SMALL, BUSY))
    packed = [pack_report(ZoneReport(1, one, {}, (), ())) for one in (heartbeat, with_capacity)]
    assert packed[0] == packed[1]
    assert unpack_report(packed[1]).heartbeat == heartbeat


def test_as_many_capacities_as_fit_are_packed() -> None:
    """A datagram of a large zone was fragmented, and lost with any of its fragments."""
    reports = [
        CapacityReport(2**32 - 1 - number, InstanceCapacity(LARGE, BUSY), 1.5)
        for number in range(200)
    ]
    packed = pack_capacities('front-istanbul-a-17', reports)
    datagram = unpack_datagram(packed)
    assert len(packed) <= MAX_DATAGRAM_BYTES
    assert datagram is not None
    assert list(datagram.capacities) == reports[:MAX_CAPACITIES_PER_DATAGRAM]


@given(packed=st.binary(max_size=100))
def test_any_bytes_of_capacities_are_decoded_or_ignored(packed: bytes) -> None:
    """A malformed or implausible capacity ended the receiver, or drew all callers."""
    datagram = unpack_datagram(msgpack.packb([CAPACITY_FORMAT_VERSION, 'e1', packed]))
    for report in datagram.capacities if datagram else ():
        assert 0 < (report.capacity.limits.processor_cores or 1) <= 256
        assert 0 < (report.capacity.limits.link_mbps or 1) <= 400_000


@pytest.mark.parametrize('fields', [[7, b''], ['e1', 'text'], ['e1'], ['e1', b'', 0]])
def test_a_malformed_datagram_of_capacities_is_ignored(fields: list[object]) -> None:
    """A datagram of another shape was read as capacities."""
    assert unpack_datagram(msgpack.packb([CAPACITY_FORMAT_VERSION, *fields])) is None
