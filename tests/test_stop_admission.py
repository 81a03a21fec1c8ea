"""Which requests an instance that stops still passes on, decided without a network."""

import pytest

from plantainloft_node.engine.attempts import Attempts, Failed, Refusal, RequestContext
from plantainloft_node.engine.stop_admission import StopAdmission

STARTED_AT = 1000.0
ENDS_AT = 1005.0
ESTIMATES_UNTIL = 1003.0


def stopping(*durations_s: float) -> StopAdmission:
    """Return the decision of an instance that stops after requests of ``durations_s``."""
    admission = StopAdmission()
    for duration_s in (*durations_s, *[0.01] * 20):
        admission.durations.record('files', duration_s, STARTED_AT)
    admission.start(ends_at=ENDS_AT, estimates_until=ESTIMATES_UNTIL)
    return admission


def test_an_instance_that_does_not_stop_admits_everything() -> None:
    assert StopAdmission().admits('files', deadline=1e9, now=STARTED_AT)


@pytest.mark.parametrize('now', [STARTED_AT, STARTED_AT + 2.0, STARTED_AT + 4.5])
def test_a_request_whose_deadline_comes_before_the_end_is_admitted(now: float) -> None:
    assert stopping(0.3).admits('files', deadline=ENDS_AT - 0.2, now=now)


def test_a_response_that_may_outlast_its_deadline_is_not_admitted_for_its_deadline() -> None:
    """Guards against a response that starts in time and is cut while it is sent."""
    admission = stopping(3.0)
    assert admission.admits('files', deadline=STARTED_AT + 1.5, now=STARTED_AT + 0.5)
    assert not admission.admits('files', deadline=STARTED_AT + 2.5, now=STARTED_AT + 1.5)


@pytest.mark.parametrize('count', [0, 1, 19])
def test_a_request_of_a_route_with_few_recent_requests_may_take_until_its_deadline(
    count: int,
) -> None:
    """Guards against taking an unknown duration for a short one."""
    admission = stopping(0.1)
    for _ in range(count):
        admission.durations.record('notices', 0.1, STARTED_AT)
    assert not admission.admits('notices', deadline=ENDS_AT + 1.0, now=STARTED_AT)


def test_a_request_that_comes_late_must_be_certain_to_be_finished() -> None:
    """Guards against a late request that takes longer than the recent ones."""
    admission = stopping(0.1)
    assert admission.admits('files', deadline=1e9, now=ESTIMATES_UNTIL - 0.1)
    assert not admission.admits('files', deadline=1e9, now=ESTIMATES_UNTIL)
    assert admission.admits('files', deadline=ENDS_AT - 0.2, now=ESTIMATES_UNTIL)


@pytest.mark.parametrize(('now', 'is_admitted'), [(STARTED_AT, True), (STARTED_AT + 2.95, False)])
def test_a_request_that_may_outlast_the_process_is_not_admitted(
    now: float, is_admitted: bool
) -> None:
    """Guards against passing on what is cut at the end of the grace period."""
    assert stopping(0.2, 1.0, 0.3).admits('files', deadline=1e9, now=now) is is_admitted


def test_durations_of_long_ago_do_not_count() -> None:
    admission = stopping(4.0)
    for _ in range(20):
        admission.durations.record('files', 0.1, STARTED_AT + 70.0)
    assert admission.durations.longest_s('files', STARTED_AT + 70.0) == 0.1


def test_a_request_that_may_have_run_is_not_refused_with_a_promise() -> None:
    """Guards against a false promise that a request did not run."""
    attempts = Attempts(context=RequestContext('key', 1))
    assert stopping().refuse(attempts) == Refusal(reason='the instance stops', retry_after_s=0.0)
    attempts.record_send()
    assert stopping().refuse(attempts) == Failed(reason='the instance stops')


def test_a_route_that_has_just_become_slow_is_not_taken_for_a_quick_one() -> None:
    """Guards against durations of requests that have ended, while the slow ones are still open."""
    admission = stopping(0.1)
    now = STARTED_AT + 2.0
    durations = admission.durations
    with (
        durations.open_request('files', now, is_sent=lambda: True),
        durations.open_request('files', STARTED_AT - 2.0, is_sent=lambda: True),
    ):
        assert not admission.admits('files', deadline=1e9, now=now)
    assert admission.admits('files', deadline=1e9, now=now)


def test_an_upload_that_was_not_sent_yet_is_no_slow_request() -> None:
    """Guards against refusing the requests of a route since a caller of it sends slowly."""
    admission = stopping(0.1)
    now = STARTED_AT + 2.0
    with admission.durations.open_request('files', STARTED_AT - 2.0, is_sent=lambda: False):
        assert admission.admits('files', deadline=1e9, now=now)
