"""Crashes of a request, and how much they weigh after exemptions."""

from enum import IntFlag
from typing import NamedTuple

from plantainloft_node.quarantine.fingerprints import RequestFingerprint

__all__ = [
    'CRASH_RETENTION_S',
    'QUARANTINE_THRESHOLD',
    'Crash',
    'CrashKey',
    'CrashReport',
    'CrashSummary',
    'CrashesByKey',
    'Exemption',
    'max_weight',
    'summarise_crashes',
]

# A request is quarantined once its crashes reach this weight.
QUARANTINE_THRESHOLD = 3
# Delay before a quarantined request gets one trial; doubles with each further crash.
INITIAL_TRIAL_DELAY_S = 30.0
CRASH_RETENTION_S = 3600.0
ANSWERED_BEFORE_WEIGHT = 0.5
_NEVER = float('-inf')


class Exemption(IntFlag):
    """Which callers a crash does not count against, because of answers or of an operator.

    ``ANSWERED_BEFORE``: the caller received an answer to the same request shortly
    before the crash. The request may have become fatal since, so the crash counts
    half.
    ``OTHER_CALLERS``: other callers received an answer to the same request, so the
    crash counts only against its own caller.
    ``ALL_CALLERS``: the caller received an answer after the crash, or an operator
    released the request, so the crash counts against nobody.
    """

    NONE = 0
    ANSWERED_BEFORE = 1
    OTHER_CALLERS = 2
    ALL_CALLERS = 4


class CrashReport(NamedTuple):
    """A crash as instances report it to each other.

    ``endpoint_hash`` is a hash of the incarnation that crashed, ``age_s`` seconds ago.
    """

    fingerprint: RequestFingerprint
    endpoint_hash: int
    age_s: float
    exemption: Exemption


class CrashSummary(NamedTuple):
    """The crashes that count against a request: number, weight and latest time.

    Each crash adds 1 to ``weight``, or 0.5 if the request was answered shortly
    before, see ``Exemption.ANSWERED_BEFORE``.
    """

    crash_count: int
    weight: float
    last_crash_at: float

    @property
    def is_quarantined(self) -> bool:
        """Whether the request must not be sent to any endpoint."""
        return self.weight >= QUARANTINE_THRESHOLD

    @property
    def trial_delay_s(self) -> float:
        """Seconds from the last crash to the next trial."""
        doublings = max(0, int(self.weight) - QUARANTINE_THRESHOLD)
        return float(min(CRASH_RETENTION_S, INITIAL_TRIAL_DELAY_S * 2**doublings))

    def is_trial_due(self, now: float) -> bool:
        """Return whether the delay since the last crash is over."""
        return now - self.last_crash_at >= self.trial_delay_s


class CrashKey(NamedTuple):
    """The caller of the request and a hash of the endpoint incarnation that crashed."""

    caller_digest: bytes
    endpoint_hash: int


class Crash:
    """The time of a crash, its exemption and the time of the last change to it."""

    def __init__(self, *, crashed_at: float, exemption: Exemption, now: float) -> None:
        self.crashed_at = crashed_at
        self.exemption = exemption
        self.changed_at = now

    def add_exemption(self, exemption: Exemption, now: float) -> bool:
        """Add ``exemption``; return whether any of its flags is new."""
        is_change = bool(exemption & ~self.exemption)
        if exemption != self.exemption:
            # Also when the reporter has fewer flags: it has to receive the missing ones.
            self.changed_at = now
        self.exemption |= exemption
        return is_change


CrashesByKey = dict[CrashKey, Crash]


def summarise_crashes(caller_digest: bytes, crashes: CrashesByKey) -> CrashSummary:
    """Return which ``crashes`` of a request count against ``caller_digest``.

    A request may crash endpoints only for one caller, or for all. If it did so for
    several callers and no caller was answered, all of these crashes count against
    every caller.
    """
    counted = _without(crashes, Exemption.ALL_CALLERS)
    own = {key: crash for key, crash in counted.items() if key.caller_digest == caller_digest}
    shared = _without(crashes, Exemption.OTHER_CALLERS | Exemption.ALL_CALLERS)
    summaries = [_total(own)]
    if len({key.caller_digest for key in shared}) > 1:
        summaries.append(_total(shared))
    return max(summaries, key=_weight)


def max_weight(crashes: CrashesByKey) -> float:
    """Return the highest weight of ``crashes`` of a request for any caller."""
    callers = {key.caller_digest for key in crashes}
    return max(
        (summarise_crashes(caller_digest, crashes).weight for caller_digest in callers), default=0.0
    )


def _without(crashes: CrashesByKey, exemption: Exemption) -> CrashesByKey:
    return {key: crash for key, crash in crashes.items() if not crash.exemption & exemption}


def _total(crashes: CrashesByKey) -> CrashSummary:
    weight_by_endpoint: dict[int, float] = {}
    for key, crash in crashes.items():
        existing = weight_by_endpoint.get(key.endpoint_hash, 0.0)
        weight_by_endpoint[key.endpoint_hash] = max(existing, _weight_of(crash))
    return CrashSummary(
        crash_count=len(weight_by_endpoint),
        weight=sum(weight_by_endpoint.values()),
        last_crash_at=max((crash.crashed_at for crash in crashes.values()), default=_NEVER),
    )


def _weight_of(crash: Crash) -> float:
    return ANSWERED_BEFORE_WEIGHT if crash.exemption & Exemption.ANSWERED_BEFORE else 1.0


def _weight(summary: CrashSummary) -> float:
    return summary.weight
