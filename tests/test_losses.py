"""Where callers lost, as the logs tell it."""

import json
from pathlib import Path

import cappa
import pytest

from plantainloft_ctl.explaining import LogLine, read_lines
from plantainloft_ctl.losses import left_out_by_kind, losses_of, table_of
from plantainloft_ctl.main import Plantainctl

PLACED = {
    'endpoint_zone': 'ank-b',
    'endpoint_region': 'ankara',
    'slots': 4,
    'load': 1.0,
    'rank': 0,
    'cold': False,
    'remembered': True,
    'placed_ms': 1,
    'tries': [],
}


def line(at: float, kind: str, **fields: object) -> str:
    known = {'t': at, 'instance': 'e1', 'kind': kind, 'message': '', 'route': 'files', 'ms': 700}
    return json.dumps({**known, **fields})


def late(at: float = 101.0, **fields: object) -> str:
    return line(at, 'late', **{**PLACED, **fields})


@pytest.fixture
def started() -> str:
    return line(100.0, 'start', zone='ank-a', region='ankara')


def reason_of(started: str, text: str) -> str:
    (loss,) = losses_of(read_lines([started, text]))
    return loss.reason


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({}, 'late: slow answer'),
        ({'endpoint_region': 'izmir'}, 'late: endpoint in another region'),
        ({'remembered': False, 'endpoint_region': 'izmir'}, 'late: object new to its endpoint'),
        ({'load': 4.2, 'remembered': False}, 'late: queued at its endpoint'),
        ({'cold': True, 'load': 4.2}, 'late: cold endpoint'),
        ({'placed_ms': 400, 'cold': True}, 'late: held before it was sent'),
        ({'tries': ['i-1: reset'], 'placed_ms': 400}, 'late: after a failed try'),
    ],
)
def test_the_first_thing_that_went_wrong_is_the_reason(
    started: str, fields: dict[str, object], reason: str
) -> None:
    assert reason_of(started, late(**fields)) == reason


def test_refusals_and_failures_keep_their_own_reason(started: str) -> None:
    refused = line(101.0, 'refused', reason='every endpoint is full')
    assert reason_of(started, refused) == 'refused: every endpoint is full'
    failed = line(101.0, 'failed', reason='sending: OSError')
    assert reason_of(started, failed) == 'failed: sending'
    assert reason_of(started, line(101.0, 'caller_left')) == 'caller_left'


def test_what_was_answered_in_time_is_no_loss(started: str) -> None:
    assert not losses_of(read_lines([started, line(101.0, 'answered')]))


def test_losses_are_counted_in_groups_by_reason(started: str) -> None:
    texts = [started, late(), late(101.5), late(104.0, cold=True, route='notices')]
    table = table_of(losses_of(read_lines(texts)), lambda loss: loss.route)
    assert [(group.name, group.total) for group in table.groups] == [('files', 2), ('notices', 1)]
    assert table.reasons == ('late: slow answer', 'late: cold endpoint')


def test_what_the_logs_left_out_is_told() -> None:
    lines: list[LogLine] = read_lines([late(left_out=7), line(101.0, 'answered', left_out=90)])
    assert left_out_by_kind(lines) == {'late': 7}


def test_the_command_prints_a_table_and_draws_a_plot(
    started: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    logs = tmp_path / 'e1.log'
    logs.write_text('\n'.join((started, late(), late(103.5, left_out=3))), encoding='utf-8')
    plot = tmp_path / 'losses.png'
    arguments = ['losses', '--logs', str(logs), '--by', 'moment', '--plot', str(plot)]
    cappa.invoke(Plantainctl, argv=arguments)
    printed = capsys.readouterr().out
    assert '(0) late: slow answer: 2' in printed
    assert '2.0 s' in printed and '3 more of kind late' in printed
    assert plot.read_bytes().startswith(b'\x89PNG')
