"""How much crashes count against a request, and what answers say for it."""

from enum import IntFlag
from typing import NamedTuple

from plantainloft_node.quarantine.fingerprints import RequestFingerprint

__all__ = [
    'MEMORY_S',
    'QUARANTINE_CRASHES',
    'Clearance',
    'Crash',
    'CrashByRun',
    'CrashReport',
    'Run',
    'Standing',
    'most_weight',
    'standing_of',
]

# A request under which so many endpoints ended is sent to none any more.
QUARANTINE_CRASHES = 3
# A quarantined request is tried once more after this time, which doubles with
# each further crash.
HOLD_S = 30.0
MEMORY_S = 3600.0
ANSWERED_BEFORE_WEIGHT = 0.5
_NEVER = float('-inf')


class Clearance(IntFlag):
    """What answers say of a crash.

    ``ANSWERED_BEFORE``: its caller was answered the same a while before; it may
    have begun to crash endpoints since, so the crash counts half.
    ``OTHER_CALLERS``: others are answered, so it counts against its caller only.
    ``EVERYBODY``: its caller was answered since; it counts against nobody.
    """

    NOBODY = 0
    ANSWERED_BEFORE = 1
    OTHER_CALLERS = 2
    EVERYBODY = 4


class CrashReport(NamedTuple):
    """A crash as instances report it to each other.

    ``endpoint`` stands for the incarnation that ended, ``age_s`` seconds ago.
    """

    request: RequestFingerprint
    endpoint: int
    age_s: float
    clearance: Clearance


class Standing(NamedTuple):
    """How many endpoints ended under a request, and when the last of them did.

    ``weight`` counts half of those where an earlier answer speaks for it.
    """

    crashes: int
    weight: float
    newest_at: float

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is sent to no endpoint."""
        return self.weight >= QUARANTINE_CRASHES

    @property
    def hold_s(self) -> float:
        """For how long after the last crash it is not tried again."""
        doublings = max(0, int(self.weight) - QUARANTINE_CRASHES)
        return float(min(MEMORY_S, HOLD_S * 2**doublings))

    def may_be_tried(self, now: float) -> bool:
        """Return whether the hold is over."""
        return now - self.newest_at >= self.hold_s


class Run(NamedTuple):
    """Who asked, and the endpoint that ended."""

    caller: bytes
    endpoint: int


class Crash:
    """A crash under a run: when it was, and what answers say of it."""

    def __init__(self, *, at: float, clearance: Clearance, now: float) -> None:
        self.at = at
        self.clearance = clearance
        self.news_at = now

    def clear(self, clearance: Clearance, now: float) -> bool:
        """Add a clearance; return whether it adds to what was known."""
        is_news = bool(clearance & ~self.clearance)
        if clearance != self.clearance:
            # Whoever reports less has not heard of it.
            self.news_at = now
        self.clearance |= clearance
        return is_news


CrashByRun = dict[Run, Crash]


def standing_of(caller: bytes, crashes: CrashByRun) -> Standing:
    """Return what ``crashes`` of a request count against ``caller``.

    A request may crash endpoints only for one caller, or for everybody: where it
    did for several callers, and no one was answered, it counts against all.
    """
    uncleared = _without(crashes, Clearance.EVERYBODY)
    own = {run: crash for run, crash in uncleared.items() if run.caller == caller}
    shared = _without(crashes, Clearance.OTHER_CALLERS | Clearance.EVERYBODY)
    standings = [_total(own)]
    if len({run.caller for run in shared}) > 1:
        standings.append(_total(shared))
    return max(standings, key=_weight)


def most_weight(crashes: CrashByRun) -> float:
    """Return the most that ``crashes`` of a request count against any caller."""
    callers = {run.caller for run in crashes}
    return max((standing_of(caller, crashes).weight for caller in callers), default=0.0)


def _without(crashes: CrashByRun, clearance: Clearance) -> CrashByRun:
    return {run: crash for run, crash in crashes.items() if not crash.clearance & clearance}


def _total(crashes: CrashByRun) -> Standing:
    weight_by_endpoint: dict[int, float] = {}
    for run, crash in crashes.items():
        known = weight_by_endpoint.get(run.endpoint, 0.0)
        weight_by_endpoint[run.endpoint] = max(known, _weight_of(crash))
    return Standing(
        crashes=len(weight_by_endpoint),
        weight=sum(weight_by_endpoint.values()),
        newest_at=max((crash.at for crash in crashes.values()), default=_NEVER),
    )


def _weight_of(crash: Crash) -> float:
    return ANSWERED_BEFORE_WEIGHT if crash.clearance & Clearance.ANSWERED_BEFORE else 1.0


def _weight(standing: Standing) -> float:
    return standing.weight
