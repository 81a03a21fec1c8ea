"""Quarantine of requests that crash endpoints."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypedDict

import anyio

from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_node.quarantine.crash_detector import EndpointAttempt
from plantainloft_node.quarantine.crash_records import CRASH_RETENTION_S, CrashSummary
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.quarantine.fingerprints import RequestFingerprint
from plantainloft_node.quarantine.store_records import (
    QuarantineRecord,
    QuarantineStore,
    StoredRecord,
)

__all__ = ['AdmissionDecision', 'Admitted', 'Blocked', 'Quarantine', 'QuarantineEntry', 'Trial']

log = logging.getLogger(__name__)

STORE_RETRY_S = 1.0
# Minimum time between store reads of an instance without live peers.
STORE_REFRESH_INTERVAL_S = 2.0
# Limits store reads when many callers ask for a trial: every call is billed.
TRIAL_CLAIM_INTERVAL_S = 1.0
# Limits how long a caller waits for a store that does not answer.
TRIAL_CLAIM_TIMEOUT_S = 0.4


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """The request may be sent.

    ``suspect``: endpoints have crashed while running it, so it is sent to one
    endpoint only.
    """

    suspect: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """The request is quarantined, but may be sent to one endpoint as a trial.

    Only this instance may do so.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class Blocked:
    """The request is quarantined: ``crash_count`` endpoints crashed while running it."""

    fingerprint: RequestFingerprint
    crash_count: int


class QuarantineEntry(TypedDict):
    """A quarantined request as listed to operators; times in seconds."""

    request: str
    crashes: int
    last_crash_s_ago: int
    tried_again_in_s: int


AdmissionDecision = Admitted | Trial | Blocked


def _always(key: str) -> bool:
    return True


class Quarantine:
    """Decides which requests may be sent and shares crash records with other instances."""

    def __init__(
        self,
        *,
        crash_registry: CrashRegistry,
        store: QuarantineStore,
        has_no_live_peers: Callable[[], bool],
        broadcast: Callable[[], None],
        is_writer_of: Callable[[str], bool] = _always,
    ) -> None:
        """Set up the quarantine.

        ``broadcast`` sends changes to the other instances, ``has_no_live_peers``
        returns whether there are no live ones. ``is_writer_of`` returns whether this
        instance writes the row of a key that the store has lost.
        """
        self._is_writer_of = is_writer_of
        self.crash_registry = crash_registry
        self._store = store
        self._has_no_live_peers = has_no_live_peers
        self._broadcast = broadcast
        self._unsaved_contents: set[bytes] = set()
        self._wake = anyio.Event()
        self._last_refresh_at = float('-inf')
        self._last_claim_at = float('-inf')

    def record_crash(self, attempt: EndpointAttempt, now: float) -> None:
        """Record that the endpoint of ``attempt`` crashed."""
        summary = self.crash_registry.record_crash(attempt.fingerprint, attempt.incarnation, now)
        if summary.is_quarantined:
            self._log('Quarantine: request %s is quarantined.', attempt.fingerprint, summary)
            self._schedule_write(attempt.fingerprint)
        elif self._has_no_live_peers() and now - self._last_refresh_at >= STORE_REFRESH_INTERVAL_S:
            self._last_refresh_at = now
            self._wake.set()
        if self.crash_registry.should_broadcast_now(summary.weight, now):
            self._broadcast()

    def record_answer(self, fingerprint: RequestFingerprint, now: float) -> None:
        """Record an answer to a request, which shows that it does not crash every endpoint."""
        before = self.crash_registry.summary_for(fingerprint, now)
        if not self.crash_registry.record_answer(fingerprint, now):
            return
        if before.is_quarantined:
            self._log('Quarantine: request %s was answered and is released.', fingerprint, before)
            self._schedule_write(fingerprint)
        if self.crash_registry.should_broadcast_now(before.weight, now):
            self._broadcast()

    def lift(self, fingerprint: RequestFingerprint, now: float) -> bool:
        """Release a request for an operator; return whether any crash counted against it."""
        before = self.crash_registry.summary_for(fingerprint, now)
        if not self.crash_registry.lift(fingerprint, now):
            return False
        self._log('Quarantine: request %s was released by an operator.', fingerprint, before)
        self._schedule_write(fingerprint)
        self._broadcast()
        return True

    def list_entries(self, now: float) -> list[QuarantineEntry]:
        """Return the quarantined requests, those with most crashes first."""
        quarantined = self.crash_registry.quarantined(now).items()
        by_crashes = sorted(quarantined, key=lambda item: item[1].crash_count, reverse=True)
        return [
            QuarantineEntry(
                request=str(fingerprint),
                crashes=summary.crash_count,
                last_crash_s_ago=round(now - summary.last_crash_at),
                tried_again_in_s=max(0, round(summary.last_crash_at + summary.trial_delay_s - now)),
            )
            for fingerprint, summary in by_crashes
        ]

    async def admit(self, fingerprint: RequestFingerprint) -> AdmissionDecision:
        """Return whether a request may be sent now.

        Once the trial delay is over, one instance may try a quarantined request.
        """
        now = anyio.current_time()
        summary = self.crash_registry.summary_for(fingerprint, now)
        if not summary.is_quarantined:
            return Admitted(suspect=summary.crash_count > 0)
        if summary.is_trial_due(now):
            with anyio.move_on_after(TRIAL_CLAIM_TIMEOUT_S):
                if await self._claim_trial(fingerprint):
                    self._log('Quarantine: request %s gets a trial.', fingerprint, summary)
                    return Trial()
        return Blocked(fingerprint=fingerprint, crash_count=summary.crash_count)

    def build_record(
        self, content_digest: bytes, *, last_trial_at: float = 0.0
    ) -> QuarantineRecord:
        """Return the store record of all crashes of requests with ``content_digest``."""
        crashes = self.crash_registry.reports_for_content(content_digest, anyio.current_time())
        return QuarantineRecord(time.time(), last_trial_at, tuple(crashes))

    def write_again_after_return(self) -> None:
        """Write the records again that the store may have lost by returning from a copy."""
        quarantined = self.crash_registry.quarantined(anyio.current_time())
        for fingerprint in quarantined:
            if self._is_writer_of(fingerprint.content_digest.hex()):
                self._schedule_write(fingerprint)

    async def run(self) -> None:
        """Load stored records, then write changes and refresh on demand until cancelled."""
        while isinstance(await self._load_rows(), Unreachable):
            await anyio.sleep(STORE_RETRY_S)
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if self._unsaved_contents:
                await self._write_unsaved()
            else:
                await self._load_rows()

    def _schedule_write(self, fingerprint: RequestFingerprint) -> None:
        self._unsaved_contents.add(fingerprint.content_digest)
        self._wake.set()

    async def _load_rows(self) -> list[StoredRecord] | Unreachable:
        rows = await self._store.read()
        if not isinstance(rows, Unreachable):
            for row in rows:
                await self._merge_row(row)
        return rows

    async def _merge_row(self, row: StoredRecord) -> None:
        record = row.unpack()
        if isinstance(record, Invalid):
            log.warning('Quarantine: %s.', '; '.join(record.problems), extra={'kind': 'bad_row'})
            return
        record_age_s = max(0.0, time.time() - record.written_at)
        if record_age_s >= CRASH_RETENTION_S:
            await self._store.remove(row)
            return
        self.crash_registry.merge(record.crashes, anyio.current_time(), report_age_s=record_age_s)

    async def _write_unsaved(self) -> None:
        for content_digest in list(self._unsaved_contents):
            record = self.build_record(content_digest)
            if isinstance(
                await self._store.write(content_digest.hex(), record.pack()), Unreachable
            ):
                await anyio.sleep(STORE_RETRY_S)
                self._wake.set()
                return
            self._unsaved_contents.discard(content_digest)

    async def _claim_trial(self, fingerprint: RequestFingerprint) -> bool:
        """Claim the trial of a request; return whether this instance got it.

        A conditional write to the store decides between instances that claim at
        the same time. There is no trial while the store is unreachable.
        """
        now = anyio.current_time()
        if now - self._last_claim_at < TRIAL_CLAIM_INTERVAL_S:
            return False
        self._last_claim_at = now
        rows = await self._load_rows()
        if isinstance(rows, Unreachable):
            return False
        row = next((row for row in rows if row.key == fingerprint.content_digest.hex()), None)
        record = None if row is None else row.unpack()
        if row is None or not isinstance(record, QuarantineRecord):
            self._schedule_write(fingerprint)
            return False
        summary = self.crash_registry.summary_for(fingerprint, anyio.current_time())
        tried_recently = time.time() - record.last_trial_at < summary.trial_delay_s
        if tried_recently or not summary.is_trial_due(anyio.current_time()):
            return False
        claim = self.build_record(fingerprint.content_digest, last_trial_at=time.time())
        return await self._store.replace(row, claim.pack()) is None

    def _log(self, message: str, fingerprint: RequestFingerprint, summary: CrashSummary) -> None:
        fields = {'fingerprint': str(fingerprint), 'crashes': summary.crash_count}
        log.warning(message, fingerprint, extra={'kind': 'quarantine', 'fields': fields})
