"""Requests that are sent to no endpoint, since endpoints crash under them."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypedDict

import anyio

from plantainloft_core.outcomes import Invalid, Unreachable
from plantainloft_node.quarantine.crash_book import CrashBook
from plantainloft_node.quarantine.crash_checks import EndpointRun
from plantainloft_node.quarantine.crashes import MEMORY_S, Standing
from plantainloft_node.quarantine.fingerprints import RequestFingerprint
from plantainloft_node.quarantine.records import QuarantineRecord, QuarantineStore, StoredRecord

__all__ = ['Admission', 'Admitted', 'Listed', 'Quarantine', 'ShutOut', 'Trial']

log = logging.getLogger(__name__)

STORE_RETRY_S = 1.0
# An instance that hears from no other looks into the store, this often at most.
REFRESH_EVERY_S = 2.0
# Every look into the store is paid for, also where many ask for a trial.
CLAIM_EVERY_S = 1.0
# A caller is not kept waiting for a store that does not answer.
CLAIM_S = 0.4


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """The request may be sent.

    ``suspect``: endpoints have ended under it before, so it is sent to one only.
    """

    suspect: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """The request may be sent to one endpoint, by this instance alone."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ShutOut:
    """The request is sent to no endpoint; ``crashes`` endpoints ended under it."""

    request: RequestFingerprint
    crashes: int


class Listed(TypedDict):
    """A request that is shut out, as operators see it; times in seconds."""

    request: str
    crashes: int
    last_crash_s_ago: int
    tried_again_in_s: int


Admission = Admitted | Trial | ShutOut


class Quarantine:
    """Decides which requests are sent, and keeps what is known of crashes."""

    def __init__(
        self,
        *,
        book: CrashBook,
        store: QuarantineStore,
        is_alone: Callable[[], bool],
        spread: Callable[[], None],
    ) -> None:
        """``spread`` sends news to the others, ``is_alone`` returns whether none is heard."""
        self.book = book
        self._store = store
        self._is_alone = is_alone
        self._spread = spread
        self._unsaved: set[bytes] = set()
        self._wake = anyio.Event()
        self._refreshed_at = float('-inf')
        self._claimed_at = float('-inf')

    def note_crash(self, run: EndpointRun, now: float) -> None:
        """Take a run under which its endpoint ended."""
        standing = self.book.note_crash(run.request, run.incarnation, now)
        if standing.is_quarantined:
            self._log('Quarantine: request %s is sent no more.', run.request, standing)
            self._save(run.request)
        elif self._is_alone() and now - self._refreshed_at >= REFRESH_EVERY_S:
            self._refreshed_at = now
            self._wake.set()
        if self.book.is_urgent(standing.weight, now):
            self._spread()

    def note_answered(self, request: RequestFingerprint, now: float) -> None:
        """Take an endpoint's answer to ``request``: it crashes not all that run it."""
        was = self.book.standing(request, now)
        if not self.book.note_answered(request, now):
            return
        if was.is_quarantined:
            self._log('Quarantine: request %s was answered, and is sent again.', request, was)
            self._save(request)
        if self.book.is_urgent(was.weight, now):
            self._spread()

    def lift(self, request: RequestFingerprint, now: float) -> bool:
        """Have ``request`` sent again, by an operator's word; return if it was known."""
        was = self.book.standing(request, now)
        if not self.book.lift(request, now):
            return False
        self._log('Quarantine: request %s is lifted.', request, was)
        self._save(request)
        self._spread()
        return True

    def listing(self, now: float) -> list[Listed]:
        """Return the requests that are shut out, the one that crashed most first."""
        quarantined = self.book.quarantined(now).items()
        by_crashes = sorted(quarantined, key=lambda one: one[1].crashes, reverse=True)
        return [
            Listed(
                request=str(request),
                crashes=standing.crashes,
                last_crash_s_ago=round(now - standing.newest_at),
                tried_again_in_s=max(0, round(standing.newest_at + standing.hold_s - now)),
            )
            for request, standing in by_crashes
        ]

    async def admit(self, request: RequestFingerprint) -> Admission:
        """Return whether ``request`` may be sent now."""
        now = anyio.current_time()
        standing = self.book.standing(request, now)
        if not standing.is_quarantined:
            return Admitted(suspect=standing.crashes > 0)
        if standing.may_be_tried(now):
            with anyio.move_on_after(CLAIM_S):
                if await self._claim_trial(request):
                    self._log('Quarantine: request %s is tried once more.', request, standing)
                    return Trial()
        return ShutOut(request=request, crashes=standing.crashes)

    def record_of(self, content: bytes, *, tried_at: float = 0.0) -> QuarantineRecord:
        """Return what is known of requests of ``content``, as the store keeps it."""
        crashes = self.book.reports_of(content, anyio.current_time())
        return QuarantineRecord(time.time(), tried_at, tuple(crashes))

    async def run(self) -> None:
        """Read the store at the start, then write what is quarantined, until cancelled."""
        while isinstance(await self._read(), Unreachable):
            await anyio.sleep(STORE_RETRY_S)
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if self._unsaved:
                await self._write_all()
            else:
                await self._read()

    def _save(self, request: RequestFingerprint) -> None:
        self._unsaved.add(request.content)
        self._wake.set()

    async def _read(self) -> list[StoredRecord] | Unreachable:
        rows = await self._store.read()
        if not isinstance(rows, Unreachable):
            for row in rows:
                await self._take(row)
        return rows

    async def _take(self, row: StoredRecord) -> None:
        record = row.unpack()
        if isinstance(record, Invalid):
            log.warning('Quarantine: %s.', '; '.join(record.problems), extra={'kind': 'bad_row'})
            return
        held_s = max(0.0, time.time() - record.written_at)
        if held_s >= MEMORY_S:
            await self._store.remove(row)
            return
        self.book.merge(record.crashes, anyio.current_time(), held_s=held_s)

    async def _write_all(self) -> None:
        for content in list(self._unsaved):
            record = self.record_of(content)
            if isinstance(await self._store.write(content.hex(), record.pack()), Unreachable):
                await anyio.sleep(STORE_RETRY_S)
                self._wake.set()
                return
            self._unsaved.discard(content)

    async def _claim_trial(self, request: RequestFingerprint) -> bool:
        """Return whether this instance may try ``request``, and no other may.

        The store decides between those that ask at the same moment; without
        it there is no trial.
        """
        now = anyio.current_time()
        if now - self._claimed_at < CLAIM_EVERY_S:
            return False
        self._claimed_at = now
        rows = await self._read()
        if isinstance(rows, Unreachable):
            return False
        row = next((one for one in rows if one.key == request.content.hex()), None)
        record = None if row is None else row.unpack()
        if row is None or not isinstance(record, QuarantineRecord):
            self._save(request)
            return False
        standing = self.book.standing(request, anyio.current_time())
        was_tried = time.time() - record.tried_at < standing.hold_s
        if was_tried or not standing.may_be_tried(anyio.current_time()):
            return False
        claim = self.record_of(request.content, tried_at=time.time())
        return await self._store.replace(row, claim.pack()) is None

    def _log(self, message: str, request: RequestFingerprint, standing: Standing) -> None:
        fields = {'fingerprint': str(request), 'crashes': standing.crashes}
        log.warning(message, request, extra={'kind': 'quarantine', 'fields': fields})
