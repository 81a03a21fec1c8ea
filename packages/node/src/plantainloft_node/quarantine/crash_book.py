"""Which requests crashed endpoints, as all instances together know it.

Every request under way on an endpoint that ends is counted, the innocent too. A
request that crashes each endpoint that runs it is never answered, so an answer
clears whoever asked the same. Crashes and clearances only ever add up: instances
may hear of them in any order, twice, or by several ways.
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from plantainloft_node.placing.affinity import score
from plantainloft_node.quarantine.fingerprints import RequestFingerprint

__all__ = ['MEMORY_S', 'QUARANTINE_CRASHES', 'Clearance', 'CrashBook', 'CrashReport', 'Standing']

# A request under which so many endpoints ended is sent to none any more.
QUARANTINE_CRASHES = 3
# A quarantined request is tried once more after this time, which doubles with
# each further crash.
HOLD_S = 60.0
MEMORY_S = 3600.0
MAX_REQUESTS = 2048
MAX_CRASHES_OF_REQUEST = 16
# News are in every report for this time: lost datagrams are made up for, and
# those who pass them on have heard.
SPREAD_S = 5.0
MAX_REPORTED = 16
# What has been quarantined for longer takes turns in the remainder.
MAX_FRESH_REPORTED = 12


class Clearance(IntEnum):
    """Whom an answer has cleared of a crash."""

    NOBODY = 0
    OTHER_CALLERS = 1
    EVERYBODY = 2


class CrashReport(NamedTuple):
    """A crash as instances tell each other of it.

    ``endpoint`` stands for the incarnation that ended, ``age_s`` seconds ago.
    """

    request: RequestFingerprint
    endpoint: int
    age_s: float
    clearance: Clearance


class Standing(NamedTuple):
    """How many endpoints ended under a request, and when the last of them did."""

    crashes: int
    newest_at: float

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is sent to no endpoint."""
        return self.crashes >= QUARANTINE_CRASHES

    @property
    def hold_s(self) -> float:
        """For how long after the last crash it is not tried again."""
        doublings = max(0, self.crashes - QUARANTINE_CRASHES)
        return float(min(MEMORY_S, HOLD_S * 2**doublings))

    def may_be_tried(self, now: float) -> bool:
        """Return whether the hold is over."""
        return now - self.newest_at >= self.hold_s


class _Run(NamedTuple):
    """Who asked, and the endpoint that ended."""

    caller: bytes
    endpoint: int


class _Crash:
    def __init__(self, *, at: float, clearance: Clearance, now: float) -> None:
        self.at = at
        self.clearance = clearance
        self.news_at = now

    def clear(self, clearance: Clearance, now: float) -> bool:
        """Take a clearance; return whether it tells more than was known."""
        if clearance < self.clearance:
            # Whoever tells less has not heard of it.
            self.news_at = now
        if clearance <= self.clearance:
            return False
        self.clearance = clearance
        self.news_at = now
        return True


class _Fresh(NamedTuple):
    """News to tell, and how many endpoints ended under the request."""

    crashes: int
    news_at: float
    report: CrashReport


_CrashByRun = dict[_Run, _Crash]


class CrashBook:
    """Crashes by request, this instance's own and those it was told of."""

    def __init__(self) -> None:
        self._crashes_by_content: dict[bytes, _CrashByRun] = {}
        self._turn = 0

    def __len__(self) -> int:
        """Return the number of different requests kept."""
        return len(self._crashes_by_content)

    def note_crash(self, request: RequestFingerprint, incarnation: str, now: float) -> Standing:
        """Count that an endpoint ended while it ran ``request``."""
        run = _Run(request.caller, score('crash', incarnation))
        self._add(request.content, run, at=now, clearance=Clearance.NOBODY, now=now)
        return self.standing(request, now)

    def note_answered(self, request: RequestFingerprint, now: float) -> bool:
        """Clear ``request``; return whether anything counted against it."""
        cleared = False
        for run, crash in self._crashes_by_content.get(request.content, {}).items():
            is_own = run.caller == request.caller
            clearance = Clearance.EVERYBODY if is_own else Clearance.OTHER_CALLERS
            if clearance > crash.clearance:
                cleared = crash.clear(clearance, now)
        return cleared

    def lift(self, request: RequestFingerprint, now: float) -> bool:
        """Clear ``request`` whoever asks it; return whether anything counted."""
        lifted = False
        for crash in self._crashes_by_content.get(request.content, {}).values():
            lifted = crash.clear(Clearance.EVERYBODY, now) or lifted
        return lifted

    def standing(self, request: RequestFingerprint, now: float) -> Standing:
        """Return what counts against ``request``.

        A request may crash endpoints only for one caller, or for everybody:
        where it did for several callers, and no one was answered, it counts
        against all.
        """
        crashes = self._crashes_by_content.get(request.content, {})
        self._expire(crashes, now)
        own = {
            run: crash
            for run, crash in crashes.items()
            if run.caller == request.caller and crash.clearance < Clearance.EVERYBODY
        }
        shared = {run: crash for run, crash in crashes.items() if not crash.clearance}
        callers = {run.caller for run in shared}
        if len(callers) > 1 and _endpoints(shared) > _endpoints(own):
            return _standing(shared)
        return _standing(own)

    def quarantined(self, now: float) -> dict[RequestFingerprint, Standing]:
        """Return the requests that are sent to no endpoint."""
        requests = {
            RequestFingerprint(content, run.caller)
            for content, crashes in self._crashes_by_content.items()
            for run in crashes
        }
        standings = {request: self.standing(request, now) for request in requests}
        return {one: standing for one, standing in standings.items() if standing.is_quarantined}

    def reports_of(self, content: bytes, now: float) -> list[CrashReport]:
        """Return all crashes under requests of ``content``."""
        crashes = self._crashes_by_content.get(content, {})
        return [_report(content, run, crash, now) for run, crash in crashes.items()]

    def reports(self, now: float) -> list[CrashReport]:
        """Return what to tell the others now, a bounded number of crashes."""
        fresh: list[_Fresh] = []
        lasting: list[CrashReport] = []
        for content, crashes in self._crashes_by_content.items():
            weight = _most_counted(crashes)
            for run, crash in crashes.items():
                report = _report(content, run, crash, now)
                if now - crash.news_at < SPREAD_S:
                    fresh.append(_Fresh(weight, crash.news_at, report))
                elif weight >= QUARANTINE_CRASHES and crash.clearance < Clearance.EVERYBODY:
                    lasting.append(report)
        most_urgent = sorted(fresh, key=_urgency, reverse=True)[:MAX_FRESH_REPORTED]
        newest = [one.report for one in most_urgent]
        return newest + self._next(lasting, MAX_REPORTED - len(newest))

    def merge(self, reports: Iterable[CrashReport], now: float, *, held_s: float = 0.0) -> bool:
        """Take others' reports; return whether they tell anything new.

        ``held_s``: for how long they were on their way, in seconds.
        """
        is_news = False
        for report in reports:
            run = _Run(report.request.caller, report.endpoint)
            at = now - report.age_s - held_s
            is_news |= self._add(
                report.request.content, run, at=at, clearance=report.clearance, now=now
            )
        return is_news

    def forget_old(self, now: float) -> None:
        """Let go of crashes that no longer count."""
        for crashes in self._crashes_by_content.values():
            self._expire(crashes, now)
        self._crashes_by_content = {
            content: crashes for content, crashes in self._crashes_by_content.items() if crashes
        }

    def _add(
        self, content: bytes, run: _Run, *, at: float, clearance: Clearance, now: float
    ) -> bool:
        if now - at >= MEMORY_S:
            return False
        crashes = self._crashes_by_content.setdefault(content, {})
        known = crashes.get(run)
        if known is not None:
            return known.clear(clearance, now)
        crashes[run] = _Crash(at=at, clearance=clearance, now=now)
        if len(crashes) > MAX_CRASHES_OF_REQUEST:
            crashes.pop(min(crashes, key=lambda one: crashes[one].at))
        if len(self._crashes_by_content) > MAX_REQUESTS:
            self._evict()
        return run in crashes

    def _evict(self) -> None:
        """Let go of the request that fewest crashes count against, the oldest first."""

        def rank(content: bytes) -> tuple[int, float]:
            crashes = self._crashes_by_content[content]
            return _most_counted(crashes), max(one.at for one in crashes.values())

        self._crashes_by_content.pop(min(self._crashes_by_content, key=rank))

    def _expire(self, crashes: _CrashByRun, now: float) -> None:
        expired = [run for run, crash in crashes.items() if now - crash.at >= MEMORY_S]
        for run in expired:
            crashes.pop(run)

    def _next(self, reports: list[CrashReport], count: int) -> list[CrashReport]:
        if len(reports) <= count:
            return reports
        start = self._turn % len(reports)
        self._turn += count
        return [*reports[start:], *reports[:start]][:count]


def _urgency(fresh: _Fresh) -> tuple[int, float]:
    return fresh.crashes, fresh.news_at


def _endpoints(crashes: _CrashByRun) -> int:
    return len({run.endpoint for run in crashes})


def _most_counted(crashes: _CrashByRun) -> int:
    """Return the endpoints that count against any one caller, or against all."""
    by_caller: dict[bytes, set[int]] = {b'': set()}
    for run, crash in crashes.items():
        if crash.clearance < Clearance.EVERYBODY:
            by_caller.setdefault(run.caller, set()).add(run.endpoint)
        if not crash.clearance:
            by_caller[b''].add(run.endpoint)
    return max(map(len, by_caller.values()))


def _standing(crashes: _CrashByRun) -> Standing:
    newest_at = max((crash.at for crash in crashes.values()), default=float('-inf'))
    return Standing(_endpoints(crashes), newest_at)


def _report(content: bytes, run: _Run, crash: _Crash, now: float) -> CrashReport:
    request = RequestFingerprint(content, run.caller)
    return CrashReport(request, run.endpoint, max(0.0, now - crash.at), crash.clearance)
