"""The timeline of a request from logs, and the comparison of instances."""

import json

from plantainloft_ctl.instance_status import format_status_table, parse_status
from plantainloft_ctl.request_timeline import explain_request, parse_log_lines


def line(at: float, instance: str, kind: str, message: str, **fields: object) -> str:
    return json.dumps({'t': at, 'instance': instance, 'kind': kind, 'message': message, **fields})


def test_the_timeline_merges_instances_and_their_context() -> None:
    first = '\n'.join(
        (
            line(100.0, 'e1', 'store_lost', 'Store: declarations not followed.'),
            'Traceback (most recent call last):',
            line(104.0, 'e1', 'refused', 'Front: request refused.', request='r1', reason='full'),
        )
    )
    second = '\n'.join(
        (
            line(50.0, 'e2', 'belief', 'Replica: RoutesDeclared.', version=1),
            line(104.2, 'e3', 'belief', 'Replica: EndpointGone.'),
            line(104.5, 'e2', 'answered', 'Front: request answered.', request='r1'),
            line(104.6, 'e2', 'answered', 'Front: request answered.', request='r2'),
        )
    )
    timeline = explain_request('r1', parse_log_lines([second, first]))
    assert len(timeline) == 3
    assert 'not followed' in timeline[0] and timeline[0].startswith(' ')
    assert 'reason=full' in timeline[1] and timeline[1].startswith('*')
    assert 'e2' in timeline[2]


def test_a_request_without_log_lines_has_an_empty_timeline() -> None:
    assert (
        explain_request('r9', parse_log_lines([line(1.0, 'e1', 'answered', 'x', request='r1')]))
        == []
    )


METRICS = """plantainloft_configuration_version 3
plantainloft_configuration_age_seconds 12.5
plantainloft_members_up 2
plantainloft_endpoints{service="a",state="listed"} 4
plantainloft_endpoints{service="b",state="listed"} 2
plantainloft_store_followed{table="declarations"} 0
"""


def test_an_instance_with_an_old_version_is_marked() -> None:
    old = parse_status('e1:9464', METRICS)
    assert old.endpoints_by_state == {'listed': 6}
    new = parse_status('e2:9464', METRICS.replace('version 3', 'version 4').replace(' 0\n', ' 1\n'))
    table = format_status_table([old, new])
    assert '(old)' in table[1] and 'lost: declarations' in table[1]
    assert 'followed' in table[2] and '(old)' not in table[2]
