"""Heartbeats and calls for rows between instances, also of builds that know no eras."""

from typing import Any

import hypothesis
import msgpack
from hypothesis import given
from hypothesis import strategies as st

from plantainloft_core.store_eras import StoreReturn
from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition
from plantainloft_node.entry.row_exchange import (
    RowsAnswer,
    pack_answer,
    pack_request,
    unpack_answer,
    unpack_request,
)
from plantainloft_node.fleet.report_codec import pack_report, unpack_report
from plantainloft_node.fleet.reports import FleetMember, Heartbeat, ZoneReport
from plantainloft_node.replica.store_rows import DECLARATIONS, ENDPOINTS, RowBatch, StoreRow

NOW = 1000.0
MEMBER = FleetMember('e1', 7, 'ankara', 'ank-a', 'e1:80', 'e1:90')
ERAS = st.integers(0, 1000)
VERSIONS = st.integers(0, 2**40)
TABLES = st.sampled_from([DECLARATIONS, ENDPOINTS])
CONTENTS = st.one_of(st.none(), st.binary(max_size=8))


def report(
    *, sequence: int, era: int, versions: dict[str, int], holds_rows: bool = False
) -> ZoneReport:
    positions = {table: StorePosition(era, version) for table, version in versions.items()}
    heartbeat = Heartbeat(MEMBER, True, False, positions, {}, era=era, holds_rows=holds_rows)
    return ZoneReport(sequence, heartbeat, {}, (), ())


@given(st.integers(1, 2**40), ERAS, st.dictionaries(TABLES, VERSIONS), st.booleans())
def test_reports_keep_era_positions_and_sequence(
    sequence: int, era: int, versions: dict[str, int], holds_rows: bool
) -> None:
    sent = report(sequence=sequence, era=era, versions=versions, holds_rows=holds_rows)
    assert unpack_report(pack_report(sent)) == sent


@given(st.integers(1, 2**40), ERAS, ERAS, st.booleans())
def test_builds_without_eras_read_reports_in_their_order(
    sequence: int, era: int, next_era: int, holds_rows: bool
) -> None:
    """Failure: during a rolling upgrade, instances of both builds count as down."""
    first = msgpack.unpackb(pack_report(report(sequence=sequence, era=era, versions={})))
    second = msgpack.unpackb(
        pack_report(
            report(
                sequence=sequence + 1,
                era=max(era, next_era),
                versions={ENDPOINTS: 5},
                holds_rows=holds_rows,
            )
        )
    )
    assert isinstance(first[0], int) and first[0] < second[0] < 2**63
    # The shape that those builds require: four fields, six of them in the heartbeat.
    assert len(second) == 4 and len(second[1]) == 6
    assert second[1][2] == {ENDPOINTS: 5}


def test_reports_of_builds_without_eras_have_positions_of_no_era() -> None:
    fields = msgpack.unpackb(pack_report(report(sequence=3, era=2, versions={ENDPOINTS: 5})))
    received = unpack_report(msgpack.packb([3, *fields[1:]])).heartbeat
    assert received.era == UNKNOWN_ERA and not received.holds_rows
    assert received.position_by_table == {ENDPOINTS: StorePosition(UNKNOWN_ERA, 5)}


@given(ERAS, st.lists(st.tuples(TABLES, st.text(max_size=4), VERSIONS, CONTENTS)), VERSIONS)
def test_answers_keep_rows_held_rows_and_the_return(
    era: int, raw_rows: list[tuple[str, str, int, bytes | None]], listed_at: int
) -> None:
    rows = [
        StoreRow(table, key, StorePosition(era, version), content)
        for table, key, version, content in raw_rows
    ]
    listed = RowBatch(
        tuple(row for row in rows if row.table == ENDPOINTS), StorePosition(era, listed_at)
    )
    answer = RowsAnswer(
        era=era,
        changed=[row for row in rows if row.table == DECLARATIONS],
        listing_by_table={ENDPOINTS: listed},
        left_out=(),
        store_available_for_s=1.5,
        held=[row._replace(position=StorePosition(era + 3, 1)) for row in rows],
        last_return=StoreReturn(era, NOW - 2.0, listed_at),
    )
    packed = msgpack.unpackb(msgpack.packb(pack_answer(answer, NOW)))
    assert unpack_answer(packed, NOW, default_era=UNKNOWN_ERA) == answer._replace(
        changed=list(answer.changed), held=list(answer.held)
    )


def test_a_request_names_positions_of_the_current_era_only() -> None:
    positions = {DECLARATIONS: StorePosition(2, 7), ENDPOINTS: StorePosition(1, 90)}
    request = unpack_request(pack_request(positions, era=2), current_era=0)
    assert request.era == 2
    assert request.position_by_table == {DECLARATIONS: StorePosition(2, 7)}


def test_a_request_of_a_build_without_eras_is_of_the_current_era() -> None:
    request = unpack_request({ENDPOINTS: 5}, current_era=4)
    assert request.position_by_table == {ENDPOINTS: StorePosition(4, 5)}


SCALARS = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=3), st.binary(max_size=3)
)
RAW_ROWS = st.lists(st.one_of(SCALARS, st.lists(SCALARS, max_size=6)), max_size=3)
RAW_ANSWERS = st.fixed_dictionaries(
    {'rows': st.one_of(RAW_ROWS, SCALARS)},
    optional={
        'era': SCALARS,
        'whole': st.one_of(st.dictionaries(st.text(max_size=3), SCALARS), SCALARS),
        'left_out': st.one_of(st.lists(SCALARS), SCALARS),
        'held': st.one_of(RAW_ROWS, SCALARS),
        'returned': st.one_of(st.lists(SCALARS, max_size=4), SCALARS),
    },
)


@hypothesis.settings(max_examples=1000)
@given(RAW_ANSWERS)
def test_malformed_answers_raise_only_what_callers_expect(raw: dict[str, Any]) -> None:
    """Failure: another exception leaves its task and ends the process."""
    try:
        answer = unpack_answer(raw, NOW, default_era=1)
    except (KeyError, TypeError, ValueError, AttributeError):
        return
    assert all(isinstance(row.content, bytes | None) for row in (*answer.changed, *answer.held))
