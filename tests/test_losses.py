"""Requests that missed their objective, found in the logs and classified."""

import json
from pathlib import Path

import cappa
import pytest

from plantainloft_ctl.losses import count_by_group, count_unlogged_losses, find_losses
from plantainloft_ctl.main import Plantainctl
from plantainloft_ctl.request_timeline import LogLine, parse_log_lines

PLACEMENT_FIELDS = {
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


def log_line(at: float, kind: str, **fields: object) -> str:
    defaults = {'t': at, 'instance': 'e1', 'kind': kind, 'message': '', 'route': 'files', 'ms': 700}
    return json.dumps({**defaults, **fields})


def late_line(at: float = 101.0, **fields: object) -> str:
    return log_line(at, 'late', **{**PLACEMENT_FIELDS, **fields})


@pytest.fixture
def start_line() -> str:
    return log_line(100.0, 'start', zone='ank-a', region='ankara')


def reason_of(start_line: str, text: str) -> str:
    (loss,) = find_losses(parse_log_lines([start_line, text]))
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
def test_the_earliest_cause_is_the_reason(
    start_line: str, fields: dict[str, object], reason: str
) -> None:
    assert reason_of(start_line, late_line(**fields)) == reason


def test_refused_and_failed_requests_keep_their_logged_reason(start_line: str) -> None:
    refused = log_line(101.0, 'refused', reason='every endpoint is full')
    assert reason_of(start_line, refused) == 'refused: every endpoint is full'
    failed = log_line(101.0, 'failed', reason='sending: OSError')
    assert reason_of(start_line, failed) == 'failed: sending'
    assert reason_of(start_line, log_line(101.0, 'caller_left')) == 'caller_left'


def test_a_request_answered_in_time_is_not_a_loss(start_line: str) -> None:
    assert not find_losses(parse_log_lines([start_line, log_line(101.0, 'answered')]))


def test_losses_are_counted_in_groups_by_reason(start_line: str) -> None:
    texts = [
        start_line,
        late_line(),
        late_line(101.5),
        late_line(104.0, cold=True, route='notices'),
    ]
    table = count_by_group(find_losses(parse_log_lines(texts)), lambda loss: loss.route)
    assert [(group.name, group.total) for group in table.groups] == [('files', 2), ('notices', 1)]
    assert table.reasons == ('late: slow answer', 'late: cold endpoint')


def test_losses_missing_from_the_logs_are_counted() -> None:
    lines: list[LogLine] = parse_log_lines(
        [late_line(left_out=7), log_line(101.0, 'answered', left_out=90)]
    )
    assert count_unlogged_losses(lines) == {'late': 7}


def test_the_command_prints_a_table_and_writes_a_plot(
    start_line: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    logs = tmp_path / 'e1.log'
    logs.write_text(
        '\n'.join((start_line, late_line(), late_line(103.5, left_out=3))), encoding='utf-8'
    )
    plot = tmp_path / 'losses.png'
    arguments = ['losses', '--logs', str(logs), '--by', 'moment', '--plot', str(plot)]
    cappa.invoke(Plantainctl, argv=arguments)
    printed = capsys.readouterr().out
    assert '(0) late: slow answer: 2' in printed
    assert '2.0 s' in printed and '3 more of kind late' in printed
    assert plot.read_bytes().startswith(b'\x89PNG')
