"""Polls of the store that a silent store has swallowed."""

from plantainloft_node.entry.observing import PAUSE_BY_TABLE
from plantainloft_node.entry.polling import LONG_WAIT_S, PROMPT_WAIT_S, poll_wait_s
from plantainloft_node.fleet.members import Beat, FleetMember, MemberBook
from plantainloft_node.replica.follower import BACKOFF_MIN_S
from plantainloft_node.replica.news import ENDPOINTS
from plantainloft_platform.store import CALL_S

NOW = 1000.0
# From this long after an outage on, a leaving endpoint is to be left this
# long after it was acknowledged.
CALM_AFTER_S = 4.0
DRAIN_S = 2.5


def member(number: int) -> FleetMember:
    return FleetMember(f'e{number}', 1, 'ankara', 'a', f'e{number}:80', f'e{number}:90')


def waits(count: int) -> list[float]:
    """Return the wait at each of ``count`` instances that all hear each other."""
    found = []
    for number in range(count):
        book = MemberBook(me=member(number))
        for other in range(count):
            book.hear(Beat(member(other), True, False, {}, {}), NOW)
        found.append(poll_wait_s(book, NOW))
    return found


def test_a_swallowed_poll_ends_in_time_to_hear_of_a_leaving_endpoint() -> None:
    """Symptom: all instances send requests to an endpoint that left 2.5 s ago.

    The store was silent for five seconds. Each instance sent a poll in that
    time, which was never answered, and waited for it until 11.2 s after it
    was sent; the endpoint left four seconds after the store was back. No peer
    knew more. (release-in-a-store-outage, seed 952143954020.)
    """
    deaf_s = PROMPT_WAIT_S + CALL_S + 2 * BACKOFF_MIN_S
    assert deaf_s + PAUSE_BY_TABLE[ENDPOINTS] <= CALM_AFTER_S + DRAIN_S
    assert waits(12) == [PROMPT_WAIT_S] * 12


def test_in_a_large_fleet_the_same_few_poll_promptly() -> None:
    found = waits(72)
    assert found.count(PROMPT_WAIT_S) == 24
    assert found.count(LONG_WAIT_S) == 48


def test_an_instance_that_hears_nobody_polls_promptly() -> None:
    book = MemberBook(me=member(1))
    for other in range(72):
        book.hear(Beat(member(other), True, False, {}, {}), NOW)
    assert poll_wait_s(book, NOW + 60) == PROMPT_WAIT_S
