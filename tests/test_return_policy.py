"""What a return of the store from a copy means for each kind of row."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.outcomes import Invalid
from plantainloft_core.routes import CallerLimits, build_route_table
from plantainloft_core.store_eras import StoreEras, StoreReturn
from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition, latest_position
from plantainloft_node.replica.return_policy import (
    CONFIG_REWRITE_S,
    ENDPOINT_REWRITE_S,
    EVACUATION_DELAY_S,
    EVACUATION_REWRITE_S,
    Believe,
    Content,
    Hold,
    decide_after_return,
)
from plantainloft_node.replica.store_rows import (
    EndpointGone,
    EndpointListed,
    EndpointUnreadable,
    RoutesDeclared,
    ZoneEvacuation,
)


def routes(version: int) -> RoutesDeclared:
    table = build_route_table(version=version, routes=(), services=(), limits=CallerLimits())
    return RoutesDeclared(table=table)


def listed(seq: int, *, draining: bool = False, born_ms: int = 1) -> EndpointListed:
    record = EndpointRecord('i1', 'desk', 'h:1', 'a', 4, draining, 0.0, born_ms, seq)
    return EndpointListed(record=record)


GONE = EndpointGone(endpoint_id='i1')
UNREADABLE = EndpointUnreadable(endpoint_id='i1', problem='no JSON')
INVALID = Invalid(problems=('newer format',))
EVACUATED = ZoneEvacuation(zone='a', evacuated=True)
IN_USE = ZoneEvacuation(zone='a', evacuated=False)
BELIEVED = 'believed'
UNTIL_WRITTEN = None

# The content in effect, the one of the returned store, and for how long the former stays
# in effect if the latter may come from the copy and if it was written after the return.
TABLE = [
    (routes(55), routes(55), BELIEVED, BELIEVED),
    (routes(55), routes(58), BELIEVED, BELIEVED),
    (routes(55), routes(48), UNTIL_WRITTEN, CONFIG_REWRITE_S),
    (routes(55), None, UNTIL_WRITTEN, UNTIL_WRITTEN),
    (routes(55), INVALID, UNTIL_WRITTEN, UNTIL_WRITTEN),
    (None, routes(48), BELIEVED, BELIEVED),
    (INVALID, routes(48), BELIEVED, BELIEVED),
    (EVACUATED, EVACUATED, BELIEVED, BELIEVED),
    (EVACUATED, IN_USE, EVACUATION_REWRITE_S, BELIEVED),
    (IN_USE, EVACUATED, EVACUATION_DELAY_S, BELIEVED),
    (IN_USE, IN_USE, BELIEVED, BELIEVED),
    (listed(7), listed(7), BELIEVED, BELIEVED),
    (listed(7), listed(9), BELIEVED, BELIEVED),
    (listed(7), listed(5), ENDPOINT_REWRITE_S, ENDPOINT_REWRITE_S),
    (listed(7), listed(5, draining=True), BELIEVED, BELIEVED),
    (listed(7), listed(1, born_ms=2), ENDPOINT_REWRITE_S, BELIEVED),
    (listed(7, draining=True), listed(5), ENDPOINT_REWRITE_S, ENDPOINT_REWRITE_S),
    (listed(7, draining=True), listed(9), ENDPOINT_REWRITE_S, BELIEVED),
    (listed(7, draining=True), listed(5, draining=True), BELIEVED, BELIEVED),
    (listed(7), GONE, BELIEVED, BELIEVED),
    (listed(7, draining=True), GONE, BELIEVED, BELIEVED),
    (listed(7), UNREADABLE, BELIEVED, BELIEVED),
    (GONE, listed(5), ENDPOINT_REWRITE_S, BELIEVED),
    (GONE, listed(5, draining=True), ENDPOINT_REWRITE_S, BELIEVED),
    (GONE, GONE, BELIEVED, BELIEVED),
    (UNREADABLE, listed(5), ENDPOINT_REWRITE_S, BELIEVED),
]


@pytest.mark.parametrize(('held', 'stored', 'from_copy', 'written_after'), TABLE)
def test_each_kind_of_row_after_a_return(
    held: Content, stored: Content, from_copy: object, written_after: object
) -> None:
    for is_new, expected in ((False, from_copy), (True, written_after)):
        decision = decide_after_return(held, stored, written_after_return=is_new)
        if expected == BELIEVED:
            assert decision == Believe()
        else:
            assert isinstance(decision, Hold) and decision.for_s == expected


def test_an_evacuation_right_after_a_return_is_in_force_in_time() -> None:
    """Failure: one that is written before the first answer looks like one of the copy."""
    assert EVACUATION_DELAY_S < 5.0


POSITIONS = st.builds(StorePosition, st.integers(UNKNOWN_ERA, 4), st.integers(0, 6))


@given(POSITIONS, POSITIONS, POSITIONS)
def test_positions_supersede_each_other_in_one_order(
    first: StorePosition, second: StorePosition, third: StorePosition
) -> None:
    """Failure: a version of an earlier era displaced one that was given out again."""
    assert first.supersedes(None)
    assert [first.supersedes(second), first == second, second.supersedes(first)].count(True) == 1
    if first.supersedes(second) and second.supersedes(third):
        assert first.supersedes(third)
    if first.era < second.era:
        assert second.supersedes(first)
    for order in itertools.permutations((first, second, third)):
        assert latest_position(order) == latest_position((first, second, third))


@given(POSITIONS, POSITIONS)
def test_positions_have_no_order_of_tuples(first: StorePosition, second: StorePosition) -> None:
    """Failure: sorted or compared as tuples, versions of different eras get an order."""
    for compare in (lambda: first < second, lambda: first >= second, lambda: max(first, second)):
        with pytest.raises(TypeError):
            compare()


REPORTS = st.one_of(
    st.tuples(st.integers(0, 4), st.one_of(st.none(), st.integers(0, 30))),
    st.builds(
        StoreReturn,
        st.integers(0, 4),
        st.floats(0, 100),
        st.one_of(st.none(), st.integers(0, 30)),
    ),
)


@given(st.lists(REPORTS, max_size=12))
def test_eras_never_go_back_and_rows_of_a_copy_never_count_as_new(
    reports: list[tuple[int, int | None] | StoreReturn],
) -> None:
    """Failure: a row of the copy that counts as written after the return displaces newer ones."""
    eras = StoreEras()
    lowest_by_era: dict[int, int] = {}
    for now, report in enumerate(reports):
        before = eras.current
        era, version = report[0], report[-1]
        if isinstance(report, StoreReturn):
            eras.record_peer_report(report)
        else:
            eras.record_answer(era, report[1], float(now))
        if version is not None:
            lowest_by_era[era] = min(version, lowest_by_era.get(era, version))
        assert eras.current == max(before, era)
        assert eras.last_return is None or eras.last_return.era == eras.current
        copied = StorePosition(eras.current, lowest_by_era.get(eras.current, 0))
        assert not eras.is_written_after_return(copied)
