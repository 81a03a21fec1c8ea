"""How long a poll of the store waits for a change.

A store that goes silent swallows the polls that it gets meanwhile: it never
answers them, and their connections stay whole. Whoever sent one hears nothing
until its wait is over, long after the store is back. One would see requests
reach an endpoint that left seconds ago, from all instances at once, since
polls of all of them are swallowed alike and no peer knows more.
"""

from plantainloft_node.fleet.members import MemberBook
from plantainloft_node.placing.affinity import score

__all__ = ['LONG_WAIT_S', 'PROMPT_WAIT_S', 'poll_wait_s']

# Leaving endpoints and configurations are to be heeded 2.5 s after they were
# acknowledged, from 4 s after the end of an outage on. A swallowed poll ends
# within this wait, 1.2 s for the call and 0.4 s before the next one: 5.6 s
# after the outage at the latest.
PROMPT_WAIT_S = 4.0
# Every call is paid for. In larger fleets this many instances are enough to
# hear news in time; the others are told of it by their beats.
PROMPT_INSTANCES = 24
LONG_WAIT_S = 10.0


def poll_wait_s(members: MemberBook, now: float) -> float:
    """Return the wait in seconds of this instance's polls.

    All instances rank those that are up alike, so about as many poll
    promptly as are needed, whoever fails.
    """
    names = [member.name for member in members.up(now)]
    mine = _rank(members.me.name)
    ahead = sum(1 for name in names if _rank(name) > mine)
    return PROMPT_WAIT_S if ahead < PROMPT_INSTANCES else LONG_WAIT_S


def _rank(name: str) -> tuple[int, str]:
    return score('polls', name), name
