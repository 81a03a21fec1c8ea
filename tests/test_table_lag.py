"""What logs, metrics and the command line show of an instance that lacks announced rows."""

import pytest

from plantainloft_core.store_position import StorePosition
from plantainloft_ctl.instance_status import format_status_table, parse_status
from plantainloft_node.replica.store_rows import DECLARATIONS
from plantainloft_node.replica.table_lag import TableLag


def test_the_lag_counts_from_the_first_announcement_that_is_still_missing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a lag that restarts with each newer version, as changes follow quickly."""
    caplog.set_level('INFO')
    positions = {DECLARATIONS: StorePosition(1, 4)}
    lag = TableLag(position_by_table=positions)
    lag.record_announcement(DECLARATIONS, StorePosition(1, 5), peer='e2', now=10.0)
    lag.record_announcement(DECLARATIONS, StorePosition(1, 6), peer='e3', now=12.0)
    assert lag.behind_s(DECLARATIONS, 13.0) == 3.0
    lag.record_applied(DECLARATIONS, 13.0, source='store')
    assert lag.behind_s(DECLARATIONS, 13.0) == 3.0
    positions[DECLARATIONS] = StorePosition(1, 6)
    lag.record_applied(DECLARATIONS, 14.0, source='e3')
    assert lag.behind_s(DECLARATIONS, 14.0) == 0.0
    record = next(one for one in caplog.records if getattr(one, 'kind', '') == 'caught_up')
    assert record.fields == {
        'table': DECLARATIONS,
        'source': 'e3',
        'row_version': 5,
        'announced_by': 'e2',
        'behind_s': 4.0,
    }


def test_rows_that_came_without_a_change_end_the_lag() -> None:
    """Guards against an instance that seems behind for ever after a listing of what it has."""
    positions = {DECLARATIONS: StorePosition(1, 4)}
    lag = TableLag(position_by_table=positions)
    lag.record_announcement(DECLARATIONS, StorePosition(1, 5), peer='e2', now=10.0)
    positions[DECLARATIONS] = StorePosition(1, 5)
    assert lag.behind_s(DECLARATIONS, 20.0) == 0.0
    lag.record_announcement(DECLARATIONS, StorePosition(1, 6), peer='e2', now=30.0)
    assert lag.behind_s(DECLARATIONS, 31.0) == 1.0


def test_the_status_names_the_slowest_instance() -> None:
    text = 'plantainloft_configuration_version 4\n'
    behind = f'{text}plantainloft_table_behind_seconds{{table="declarations"}} 2.5\n'
    lines = format_status_table([parse_status('e1:1', text), parse_status('e2:1', behind)])
    assert lines[-1] == 'slowest: e2:1, 2.5 s behind its peers'
    assert '2.5 s behind' in lines[2]
