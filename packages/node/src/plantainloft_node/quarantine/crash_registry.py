"""Endpoint crashes by request, replicated between all instances.

When an endpoint crashes, a crash is counted against every request in progress on
it, including those that did not cause the crash. A request that crashes every
endpoint is never answered. An answer therefore exempts the request from crashes
that were counted before, and reduces the weight of crashes shortly after it.

Crashes and exemptions are only ever added and merging them is commutative and
idempotent: instances may receive reports in any order, repeatedly and over several
paths.
"""

from collections.abc import Iterable
from typing import NamedTuple

from plantainloft_node.placement.rendezvous import rendezvous_score
from plantainloft_node.quarantine.crash_records import (
    CRASH_RETENTION_S,
    QUARANTINE_THRESHOLD,
    Crash,
    CrashesByKey,
    CrashKey,
    CrashReport,
    CrashSummary,
    Exemption,
    max_weight,
    summarise_crashes,
)
from plantainloft_node.quarantine.fingerprints import RequestFingerprint
from plantainloft_node.quarantine.recent_answers import RecentAnswers

__all__ = ['MAX_CRASHES_PER_REPORT', 'MAX_CRASHES_PER_REQUEST', 'CrashRegistry']

MAX_TRACKED_REQUESTS = 1024
MAX_CRASHES_PER_REQUEST = 16
# A change stays in every report for this long, so that it survives lost datagrams
# and reaches the instances that relay reports.
RECENT_CHANGE_S = 5.0
MAX_CRASHES_PER_REPORT = 16
# The remaining space of a report is used, in rotation, for requests that were
# quarantined earlier.
MAX_RECENT_PER_REPORT = 10
MAX_OLDER_PER_REQUEST = 6
# Changes to requests with at least this weight are broadcast immediately.
URGENT_WEIGHT = 2
# The first crash of a request is broadcast immediately at most this often: when an
# availability zone is killed, every request in progress there gets a first crash.
FIRST_CRASH_BROADCAST_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 10.0
_NO_CRASHES = CrashSummary(0, 0.0, float('-inf'))


class _RecentChange(NamedTuple):
    """A changed crash to report and the weight of all crashes of its request."""

    weight: float
    changed_at: float
    report: CrashReport


class CrashRegistry:
    """Crashes by request, detected locally or reported by other instances."""

    def __init__(self) -> None:
        self._crashes_by_content: dict[bytes, CrashesByKey] = {}
        # Reports search only these requests for recent changes.
        self._recent_until_by_content: dict[bytes, float] = {}
        self._quarantined_contents: set[bytes] = set()
        self._rotation_index = 0
        self._last_expiry_at = float('-inf')
        self._first_crash_broadcast_at = float('-inf')
        self._recent_answers = RecentAnswers()

    def __len__(self) -> int:
        """Return the number of distinct requests with recorded crashes."""
        return len(self._crashes_by_content)

    def record_crash(
        self, fingerprint: RequestFingerprint, incarnation: str, now: float
    ) -> CrashSummary:
        """Record that an endpoint crashed while it ran a request."""
        key = CrashKey(fingerprint.caller_digest, rendezvous_score('crash', incarnation))
        self._add(
            fingerprint.content_digest, key, crashed_at=now, exemption=Exemption.NONE, now=now
        )
        return self.summary_for(fingerprint, now)

    def record_answer(self, fingerprint: RequestFingerprint, now: float) -> bool:
        """Record an answer to a request; return whether it exempts any recorded crash."""
        self._recent_answers.record(fingerprint, now)
        changed = False
        for key, crash in self._crashes_by_content.get(fingerprint.content_digest, {}).items():
            is_own = key.caller_digest == fingerprint.caller_digest
            exemption = Exemption.ALL_CALLERS if is_own else Exemption.OTHER_CALLERS
            if exemption & ~crash.exemption:
                changed = crash.add_exemption(exemption | crash.exemption, now)
        if changed:
            self._mark_changed(fingerprint.content_digest, now)
        return changed

    def lift(self, fingerprint: RequestFingerprint, now: float) -> bool:
        """Exempt a request for all callers; return whether any crash counted against it."""
        lifted = False
        for crash in self._crashes_by_content.get(fingerprint.content_digest, {}).values():
            lifted = crash.add_exemption(Exemption.ALL_CALLERS | crash.exemption, now) or lifted
        if lifted:
            self._mark_changed(fingerprint.content_digest, now)
        return lifted

    def summary_for(self, fingerprint: RequestFingerprint, now: float) -> CrashSummary:
        """Return the crashes that count against ``fingerprint``."""
        crashes = self._crashes_by_content.get(fingerprint.content_digest)
        if crashes is None:
            return _NO_CRASHES
        _drop_expired(crashes, now)
        return summarise_crashes(fingerprint.caller_digest, crashes)

    def should_broadcast_now(self, weight: float, now: float) -> bool:
        """Return whether to broadcast a change to a request of ``weight`` immediately.

        A ``True`` for a first crash delays the next one, see
        ``FIRST_CRASH_BROADCAST_INTERVAL_S``.
        """
        if weight >= URGENT_WEIGHT:
            return True
        if now - self._first_crash_broadcast_at < FIRST_CRASH_BROADCAST_INTERVAL_S:
            return False
        self._first_crash_broadcast_at = now
        return True

    def quarantined(self, now: float) -> dict[RequestFingerprint, CrashSummary]:
        """Return the quarantined requests."""
        fingerprints = {
            RequestFingerprint(content_digest, key.caller_digest)
            for content_digest, crashes in self._crashes_by_content.items()
            for key in crashes
        }
        summaries = {
            fingerprint: self.summary_for(fingerprint, now) for fingerprint in fingerprints
        }
        return {
            fingerprint: summary
            for fingerprint, summary in summaries.items()
            if summary.is_quarantined
        }

    def reports_for_content(self, content_digest: bytes, now: float) -> list[CrashReport]:
        """Return all recorded crashes of requests with ``content_digest``, from any caller."""
        crashes = self._crashes_by_content.get(content_digest, {})
        return [_build_report(content_digest, key, crash, now) for key, crash in crashes.items()]

    def next_reports(self, now: float) -> list[CrashReport]:
        """Return the crashes for the next report to other instances.

        Returns at most ``MAX_CRASHES_PER_REPORT`` and advances the rotation of the
        older ones.
        """
        self._recent_until_by_content = {
            content_digest: until
            for content_digest, until in self._recent_until_by_content.items()
            if until > now
        }
        recent_changes: list[_RecentChange] = []
        for content_digest in self._recent_until_by_content:
            crashes = self._crashes_by_content.get(content_digest, {})
            weight = max_weight(crashes)
            recent_changes += [
                _RecentChange(
                    weight, crash.changed_at, _build_report(content_digest, key, crash, now)
                )
                for key, crash in crashes.items()
                if now - crash.changed_at < RECENT_CHANGE_S
            ]
        most_urgent = sorted(recent_changes, key=_priority, reverse=True)[:MAX_RECENT_PER_REPORT]
        recent_reports = [change.report for change in most_urgent]
        return recent_reports + self._next_older_reports(
            now, max_reports=MAX_CRASHES_PER_REPORT - len(recent_reports)
        )

    def merge(
        self, reports: Iterable[CrashReport], now: float, *, report_age_s: float = 0.0
    ) -> bool:
        """Merge reports of other instances; return whether to broadcast the changes now.

        ``report_age_s`` is the age of the reports in seconds, which adds to the age of
        each crash.
        """
        is_urgent = False
        for report in reports:
            content_digest = report.fingerprint.content_digest
            key = CrashKey(report.fingerprint.caller_digest, report.endpoint_hash)
            crashed_at = now - report.age_s - report_age_s
            was_quarantined = content_digest in self._quarantined_contents
            if self._add(
                content_digest, key, crashed_at=crashed_at, exemption=report.exemption, now=now
            ):
                weight = max_weight(self._crashes_by_content.get(content_digest, {}))
                is_urgent |= was_quarantined or self.should_broadcast_now(weight, now)
        return is_urgent

    def delete_expired(self, now: float) -> None:
        """Delete expired crashes, at most once per ``EXPIRY_INTERVAL_S``."""
        if now - self._last_expiry_at < EXPIRY_INTERVAL_S:
            return
        self._last_expiry_at = now
        for crashes in self._crashes_by_content.values():
            _drop_expired(crashes, now)
        self._crashes_by_content = {
            content_digest: crashes
            for content_digest, crashes in self._crashes_by_content.items()
            if crashes
        }
        self._quarantined_contents &= self._crashes_by_content.keys()

    def _add(
        self,
        content_digest: bytes,
        key: CrashKey,
        *,
        crashed_at: float,
        exemption: Exemption,
        now: float,
    ) -> bool:
        if now - crashed_at >= CRASH_RETENTION_S:
            return False
        exemption |= self._recent_answers.exemption(
            RequestFingerprint(content_digest, key.caller_digest), crashed_at
        )
        crashes = self._crashes_by_content.setdefault(content_digest, {})
        existing = crashes.get(key)
        if existing is None:
            crashes[key] = Crash(crashed_at=crashed_at, exemption=exemption, now=now)
            _drop_oldest_excess(crashes)
            is_change = key in crashes
        else:
            is_change = existing.add_exemption(exemption, now)
        reporter_is_outdated = existing is not None and exemption != existing.exemption
        if is_change or reporter_is_outdated:
            self._mark_changed(content_digest, now)
        if len(self._crashes_by_content) > MAX_TRACKED_REQUESTS:
            self._evict()
        return is_change

    def _mark_changed(self, content_digest: bytes, now: float) -> None:
        self._recent_until_by_content[content_digest] = now + RECENT_CHANGE_S
        crashes = self._crashes_by_content[content_digest]
        if max_weight(crashes) >= QUARANTINE_THRESHOLD:
            self._quarantined_contents.add(content_digest)
        else:
            self._quarantined_contents.discard(content_digest)

    def _evict(self) -> None:
        """Delete the request with the lowest weight, among equals the oldest."""

        def rank(content_digest: bytes) -> tuple[float, float]:
            crashes = self._crashes_by_content[content_digest]
            # Empty if its crashes have expired and ``delete_expired`` has not run since.
            last_crash_at = max(
                (crash.crashed_at for crash in crashes.values()), default=float('-inf')
            )
            return max_weight(crashes), last_crash_at

        evicted = min(self._crashes_by_content, key=rank)
        self._crashes_by_content.pop(evicted)
        self._quarantined_contents.discard(evicted)

    def _next_older_reports(self, now: float, *, max_reports: int) -> list[CrashReport]:
        """Return older crashes of the next quarantined requests in the rotation.

        Stops at the first request whose crashes no longer fit into ``max_reports``.
        """
        contents = sorted(self._quarantined_contents)
        reported: list[CrashReport] = []
        for _ in contents:
            content_digest = contents[self._rotation_index % len(contents)]
            reports = self._older_reports_for_content(content_digest, now)
            if len(reported) + len(reports) > max_reports:
                break
            reported += reports
            self._rotation_index += 1
        return reported

    def _older_reports_for_content(self, content_digest: bytes, now: float) -> list[CrashReport]:
        reports = [
            _build_report(content_digest, key, crash, now)
            for key, crash in self._crashes_by_content[content_digest].items()
            if now - crash.changed_at >= RECENT_CHANGE_S
            and not crash.exemption & Exemption.ALL_CALLERS
        ]
        return sorted(reports, key=_age)[:MAX_OLDER_PER_REQUEST]


def _drop_oldest_excess(crashes: CrashesByKey) -> None:
    """Keep only the newest crashes of a request."""
    if len(crashes) > MAX_CRASHES_PER_REQUEST:
        crashes.pop(min(crashes, key=lambda key: crashes[key].crashed_at))


def _drop_expired(crashes: CrashesByKey, now: float) -> None:
    expired = [key for key, crash in crashes.items() if now - crash.crashed_at >= CRASH_RETENTION_S]
    for key in expired:
        crashes.pop(key)


def _age(report: CrashReport) -> float:
    return report.age_s


def _priority(change: _RecentChange) -> tuple[float, float]:
    return change.weight, change.changed_at


def _build_report(content_digest: bytes, key: CrashKey, crash: Crash, now: float) -> CrashReport:
    fingerprint = RequestFingerprint(content_digest, key.caller_digest)
    return CrashReport(
        fingerprint, key.endpoint_hash, max(0.0, now - crash.crashed_at), crash.exemption
    )
