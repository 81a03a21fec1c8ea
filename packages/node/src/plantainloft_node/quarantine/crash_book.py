"""Which requests crashed endpoints, as all instances together know it.

Every request under way on an endpoint that ends is counted, the innocent too. A
request that crashes each endpoint that runs it is never answered, so an answer
clears whoever asked the same, and an earlier one speaks for it. Crashes and
clearances only ever add up: instances may hear of them in any order, twice, or by
several ways.
"""

from collections.abc import Iterable
from typing import NamedTuple

from plantainloft_node.placing.affinity import score
from plantainloft_node.quarantine.crashes import (
    MEMORY_S,
    QUARANTINE_CRASHES,
    Clearance,
    Crash,
    CrashByRun,
    CrashReport,
    Run,
    Standing,
    most_weight,
    standing_of,
)
from plantainloft_node.quarantine.fingerprints import RequestFingerprint
from plantainloft_node.quarantine.recent_answers import RecentAnswers

__all__ = ['MAX_CRASHES_OF_REQUEST', 'MAX_REPORTED', 'CrashBook']

MAX_REQUESTS = 1024
MAX_CRASHES_OF_REQUEST = 16
# News are in every report for this time: lost datagrams are made up for, and
# those who pass them on have heard.
SPREAD_S = 5.0
MAX_REPORTED = 16
# What has been quarantined for longer takes turns in the remainder.
MAX_FRESH_REPORTED = 10
MAX_REPORTED_OF_REQUEST = 6
# A first crash under a request is spread at once only so often: when a zone is
# killed, each request under way there has one.
REPEATED_WEIGHT = 2
FIRST_SPREAD_EVERY_S = 1.0
SWEEP_EVERY_S = 10.0
_UNKNOWN = Standing(0, 0.0, float('-inf'))


class _Fresh(NamedTuple):
    """News to report, and the weight of the crashes under the request."""

    weight: float
    news_at: float
    report: CrashReport


class CrashBook:
    """Crashes by request, seen here or reported by others."""

    def __init__(self) -> None:
        self._crashes_by_content: dict[bytes, CrashByRun] = {}
        # Only these are looked at for reports.
        self._fresh_until: dict[bytes, float] = {}
        self._quarantined: set[bytes] = set()
        self._turn = 0
        self._swept_at = float('-inf')
        self._first_spread_at = float('-inf')
        self._answered = RecentAnswers()

    def __len__(self) -> int:
        """Return the number of different requests kept."""
        return len(self._crashes_by_content)

    def note_crash(self, request: RequestFingerprint, incarnation: str, now: float) -> Standing:
        """Count that an endpoint ended while it ran ``request``."""
        run = Run(request.caller, score('crash', incarnation))
        self._add(request.content, run, at=now, clearance=Clearance.NOBODY, now=now)
        return self.standing(request, now)

    def note_answered(self, request: RequestFingerprint, now: float) -> bool:
        """Clear ``request``; return whether anything counted against it."""
        self._answered.note(request, now)
        cleared = False
        for run, crash in self._crashes_by_content.get(request.content, {}).items():
            is_own = run.caller == request.caller
            clearance = Clearance.EVERYBODY if is_own else Clearance.OTHER_CALLERS
            if clearance & ~crash.clearance:
                cleared = crash.clear(clearance | crash.clearance, now)
        if cleared:
            self._note_news(request.content, now)
        return cleared

    def lift(self, request: RequestFingerprint, now: float) -> bool:
        """Clear ``request`` whoever asks it; return whether anything counted."""
        lifted = False
        for crash in self._crashes_by_content.get(request.content, {}).values():
            lifted = crash.clear(Clearance.EVERYBODY | crash.clearance, now) or lifted
        if lifted:
            self._note_news(request.content, now)
        return lifted

    def standing(self, request: RequestFingerprint, now: float) -> Standing:
        """Return what counts against ``request``."""
        crashes = self._crashes_by_content.get(request.content)
        if crashes is None:
            return _UNKNOWN
        _expire(crashes, now)
        return standing_of(request.caller, crashes)

    def is_urgent(self, weight: float, now: float) -> bool:
        """Return whether news on a request of ``weight`` are spread at once."""
        if weight >= REPEATED_WEIGHT:
            return True
        if now - self._first_spread_at < FIRST_SPREAD_EVERY_S:
            return False
        self._first_spread_at = now
        return True

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
        """Return what to report to the others now, a bounded number of crashes."""
        self._fresh_until = {
            content: until for content, until in self._fresh_until.items() if until > now
        }
        fresh: list[_Fresh] = []
        for content in self._fresh_until:
            crashes = self._crashes_by_content.get(content, {})
            weight = most_weight(crashes)
            fresh += [
                _Fresh(weight, crash.news_at, _report(content, run, crash, now))
                for run, crash in crashes.items()
                if now - crash.news_at < SPREAD_S
            ]
        most_urgent = sorted(fresh, key=_urgency, reverse=True)[:MAX_FRESH_REPORTED]
        newest = [one.report for one in most_urgent]
        return newest + self._lasting(now, room=MAX_REPORTED - len(newest))

    def merge(self, reports: Iterable[CrashReport], now: float, *, held_s: float = 0.0) -> bool:
        """Take others' reports; return whether others should hear of it at once.

        ``held_s``: for how long they were on their way, in seconds.
        """
        is_urgent = False
        for report in reports:
            content = report.request.content
            run = Run(report.request.caller, report.endpoint)
            at = now - report.age_s - held_s
            was_quarantined = content in self._quarantined
            if self._add(content, run, at=at, clearance=report.clearance, now=now):
                weight = most_weight(self._crashes_by_content.get(content, {}))
                is_urgent |= was_quarantined or self.is_urgent(weight, now)
        return is_urgent

    def forget_old(self, now: float) -> None:
        """Let go of crashes that no longer count."""
        if now - self._swept_at < SWEEP_EVERY_S:
            return
        self._swept_at = now
        for crashes in self._crashes_by_content.values():
            _expire(crashes, now)
        self._crashes_by_content = {
            content: crashes for content, crashes in self._crashes_by_content.items() if crashes
        }
        self._quarantined &= self._crashes_by_content.keys()

    def _add(
        self, content: bytes, run: Run, *, at: float, clearance: Clearance, now: float
    ) -> bool:
        if now - at >= MEMORY_S:
            return False
        clearance |= self._answered.clearance(RequestFingerprint(content, run.caller), at)
        crashes = self._crashes_by_content.setdefault(content, {})
        known = crashes.get(run)
        if known is None:
            crashes[run] = Crash(at=at, clearance=clearance, now=now)
            _bound(crashes)
            is_news = run in crashes
        else:
            is_news = known.clear(clearance, now)
        is_behind = known is not None and clearance != known.clearance
        if is_news or is_behind:
            self._note_news(content, now)
        if len(self._crashes_by_content) > MAX_REQUESTS:
            self._evict()
        return is_news

    def _note_news(self, content: bytes, now: float) -> None:
        self._fresh_until[content] = now + SPREAD_S
        crashes = self._crashes_by_content[content]
        if most_weight(crashes) >= QUARANTINE_CRASHES:
            self._quarantined.add(content)
        else:
            self._quarantined.discard(content)

    def _evict(self) -> None:
        """Let go of the request that fewest crashes count against, the oldest first."""

        def rank(content: bytes) -> tuple[float, float]:
            crashes = self._crashes_by_content[content]
            # Its crashes may have expired since the last sweep.
            newest_at = max((one.at for one in crashes.values()), default=float('-inf'))
            return most_weight(crashes), newest_at

        evicted = min(self._crashes_by_content, key=rank)
        self._crashes_by_content.pop(evicted)
        self._quarantined.discard(evicted)

    def _lasting(self, now: float, *, room: int) -> list[CrashReport]:
        """Return the crashes of those quarantined requests whose turn it is."""
        contents = sorted(self._quarantined)
        reported: list[CrashReport] = []
        for _ in contents:
            content = contents[self._turn % len(contents)]
            reports = self._lasting_of(content, now)
            if len(reported) + len(reports) > room:
                break
            reported += reports
            self._turn += 1
        return reported

    def _lasting_of(self, content: bytes, now: float) -> list[CrashReport]:
        reports = [
            _report(content, run, crash, now)
            for run, crash in self._crashes_by_content[content].items()
            if now - crash.news_at >= SPREAD_S and not crash.clearance & Clearance.EVERYBODY
        ]
        return sorted(reports, key=_age)[:MAX_REPORTED_OF_REQUEST]


def _bound(crashes: CrashByRun) -> None:
    """Keep the newest crashes under a request."""
    if len(crashes) > MAX_CRASHES_OF_REQUEST:
        crashes.pop(min(crashes, key=lambda one: crashes[one].at))


def _expire(crashes: CrashByRun, now: float) -> None:
    expired = [run for run, crash in crashes.items() if now - crash.at >= MEMORY_S]
    for run in expired:
        crashes.pop(run)


def _age(report: CrashReport) -> float:
    return report.age_s


def _urgency(fresh: _Fresh) -> tuple[float, float]:
    return fresh.weight, fresh.news_at


def _report(content: bytes, run: Run, crash: Crash, now: float) -> CrashReport:
    request = RequestFingerprint(content, run.caller)
    return CrashReport(request, run.endpoint, max(0.0, now - crash.at), crash.clearance)
