"""Waits of long polls, and recovery from polls that the store never answers."""

from plantainloft_node.entry.replicated_state import POLL_PAUSE_S_BY_TABLE
from plantainloft_node.entry.store_polling import LONG_WAIT_S, SHORT_WAIT_S, poll_wait_s
from plantainloft_node.fleet.membership import FleetMember, FleetMembership, Heartbeat
from plantainloft_node.replica.store_rows import ENDPOINTS
from plantainloft_node.replica.table_poller import BACKOFF_MIN_S
from plantainloft_platform.store import CALL_TIMEOUT_S

NOW = 1000.0
# Once the store has been back for RECOVERY_S after an outage, an endpoint must get no
# requests later than MAX_DEPARTURE_DELAY_S after its departure was acknowledged.
RECOVERY_S = 4.0
MAX_DEPARTURE_DELAY_S = 2.5


def member(number: int) -> FleetMember:
    return FleetMember(f'e{number}', 1, 'ankara', 'a', f'e{number}:80', f'e{number}:90')


def poll_waits(count: int) -> list[float]:
    """Return the poll wait of each of ``count`` instances that all hear each other."""
    waits = []
    for number in range(count):
        members = FleetMembership(local_member=member(number))
        for other in range(count):
            members.record_heartbeat(Heartbeat(member(other), True, False, {}, {}), NOW)
        waits.append(poll_wait_s(members, NOW))
    return waits


def test_a_lost_poll_ends_in_time_to_notice_a_leaving_endpoint() -> None:
    """Regression test: all instances sent requests to an endpoint that left 2.5 s before.

    The store did not respond for 5 s. Each instance sent a poll in that time that
    was never answered, and waited for it until 11.2 s after sending it. The
    endpoint left 4 s after the store had recovered, and no peer had newer rows.
    Found by release-in-a-store-outage, seed 952143954020.
    """
    longest_lost_poll_s = SHORT_WAIT_S + CALL_TIMEOUT_S + 2 * BACKOFF_MIN_S
    assert (
        longest_lost_poll_s + POLL_PAUSE_S_BY_TABLE[ENDPOINTS] <= RECOVERY_S + MAX_DEPARTURE_DELAY_S
    )
    assert poll_waits(12) == [SHORT_WAIT_S] * 12


def test_in_a_large_fleet_a_fixed_number_uses_the_short_wait() -> None:
    waits = poll_waits(72)
    assert waits.count(SHORT_WAIT_S) == 24
    assert waits.count(LONG_WAIT_S) == 48


def test_an_instance_without_heartbeats_uses_the_short_wait() -> None:
    members = FleetMembership(local_member=member(1))
    for other in range(72):
        members.record_heartbeat(Heartbeat(member(other), True, False, {}, {}), NOW)
    assert poll_wait_s(members, NOW + 60) == SHORT_WAIT_S
