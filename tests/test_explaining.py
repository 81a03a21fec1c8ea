"""From a request's id to its story; instances side by side."""

import json

from plantainloft_ctl.explaining import read_lines, story_of
from plantainloft_ctl.gauges import status_of, status_table


def line(at: float, instance: str, kind: str, message: str, **fields: object) -> str:
    return json.dumps({'t': at, 'instance': instance, 'kind': kind, 'message': message, **fields})


def test_the_story_joins_instances_and_what_they_believed() -> None:
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
    story = story_of('r1', read_lines([second, first]))
    assert len(story) == 3
    assert 'not followed' in story[0] and story[0].startswith(' ')
    assert 'reason=full' in story[1] and story[1].startswith('*')
    assert 'e2' in story[2]


def test_no_line_no_story() -> None:
    assert story_of('r9', read_lines([line(1.0, 'e1', 'answered', 'x', request='r1')])) == []


METRICS = """plantainloft_configuration_version 3
plantainloft_configuration_age_seconds 12.5
plantainloft_members_up 2
plantainloft_endpoints{service="a",state="listed"} 4
plantainloft_endpoints{service="b",state="listed"} 2
plantainloft_store_followed{table="declarations"} 0
"""


def test_an_instance_that_lags_stands_out() -> None:
    old = status_of('e1:9464', METRICS)
    assert old.endpoints_by_state == {'listed': 6}
    new = status_of('e2:9464', METRICS.replace('version 3', 'version 4').replace(' 0\n', ' 1\n'))
    table = status_table([old, new])
    assert '(old)' in table[1] and 'lost: declarations' in table[1]
    assert 'followed' in table[2] and '(old)' not in table[2]
