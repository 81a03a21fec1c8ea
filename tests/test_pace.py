"""Silence is told from work by how long the service's answers take."""

import pytest
from entry_fixtures import SERVICE, route, table_of

from plantainloft_core.outcomes import Invalid
from plantainloft_node.placing.endpoints import EndpointBook
from plantainloft_node.placing.health import EndpointHealth
from plantainloft_node.placing.pace import ServicePace, longest_wait_by_service
from plantainloft_node.replica.beliefs import Beliefs
from plantainloft_node.replica.news import EndpointListed, NewsRow, RoutesDeclared

NOW = 1000.0


def pace_of(*answers: float, longest_wait_s: float = 4.0) -> ServicePace:
    pace = ServicePace()
    pace.longest_wait_s = longest_wait_s
    for took_s in answers:
        pace.note_answer(took_s)
    return pace


def test_one_long_request_does_not_make_an_endpoint_silent() -> None:
    """Symptom: healthy endpoints of a slow service get no requests.

    One request is at work there for longer than 0.9 s, which is usual for
    the service. The bound was fixed at 0.9 s, and the endpoint was left
    out and its connections were dropped until the answer came.
    """
    health = EndpointHealth(pace=pace_of(1.4, 1.7, 1.2, 1.9, 1.5))
    health.note_sent(1, NOW)
    assert health.usable(NOW + 1.8)
    assert not health.usable(NOW + 3.1)


def test_a_quick_service_is_judged_by_the_least_bound() -> None:
    health = EndpointHealth(pace=pace_of(*([0.05] * 200)))
    health.note_sent(1, NOW)
    assert health.usable(NOW + 0.8)
    assert not health.usable(NOW + 1.0)


def test_an_overload_does_not_hide_silence_beyond_the_routes_timeout() -> None:
    """Under overload answers take long and unevenly; a bound that follows
    them without end would leave no time to try an endpoint that answers.
    """
    pace = pace_of(*([0.2, 1.2] * 100), longest_wait_s=1.2)
    assert pace.silent_after_s == pytest.approx(0.9)


def test_without_answers_the_routes_decide() -> None:
    assert pace_of(longest_wait_s=4.0).silent_after_s == pytest.approx(3.0)
    assert pace_of(longest_wait_s=0.4).silent_after_s == pytest.approx(0.9)


def test_the_longest_route_of_a_service_counts() -> None:
    table = table_of(
        route(idempotent=True, prefix='/a/', timeout_s=1.5),
        route(idempotent=False, prefix='/b/', timeout_s=2.5),
    )
    assert longest_wait_by_service(table) == {SERVICE: 2.5}


def test_a_declared_timeout_reaches_the_endpoints_health() -> None:
    book = EndpointBook(region_by_zone={})
    table = table_of(route(idempotent=True, prefix='/a/', timeout_s=4.0))

    def decode(row: NewsRow) -> RoutesDeclared | EndpointListed | Invalid | None:
        return RoutesDeclared(table=table)

    Beliefs(book=book, decode=decode).take([NewsRow('t', 'k', 1, b'')], NOW, source='store')
    assert book.pace_of(SERVICE).silent_after_s == pytest.approx(3.0)
