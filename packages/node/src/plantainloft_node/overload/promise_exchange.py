"""Announces promises to the other instances of the availability zone.

A refused caller may return to any instance of its zone. Each promise, and each claim of
one, is announced in the next batch and repeated once in the batch after it, because some
datagrams are lost. Nothing is sent while there is nothing to announce.
"""

import itertools
import logging
from collections.abc import Awaitable, Callable, Sequence

import anyio

from plantainloft_node.overload.promise_codec import PromiseReport, pack_promises
from plantainloft_node.overload.promises import BookedPromise, PromiseBook
from plantainloft_node.overload.returns import Promise

__all__ = ['PromiseExchange']

log = logging.getLogger(__name__)

# The shortest Retry-After is 0.15 s: after the first sending of an announcement.
# Each batch costs processor time at every instance of the zone.
BATCH_INTERVAL_S = 0.1
# Announcements beyond it are dropped, the oldest first: at hundreds of promises a batch, an
# instance has no time to send them all.
MAX_PENDING = 512
LOG_INTERVAL_S = 10.0
# Odd, so that the numbers of one instance don't repeat, and large, so that those of two
# instances have no common runs.
_NUMBER_STEP = 2654435761
_NUMBER_MASK = 0xFFFFFFFF


class PromiseExchange:
    """Books the promises of this instance and of its peers."""

    def __init__(self, *, sender: str, first_number: int, is_active: Callable[[], bool]) -> None:
        """``first_number`` (32 bits) differs from that of other processes; see ``member_key``."""
        self._sender = sender
        self._first_number = first_number
        self._is_active = is_active
        self._counter = itertools.count()
        self.book = PromiseBook()
        self._new: list[BookedPromise] = []
        self._to_repeat: list[BookedPromise] = []
        self._has_pending = anyio.Event()
        self.dropped = 0
        self._dropped_logged_at = float('-inf')

    def promise(self, promise: Promise) -> None:
        """Book a promise of this instance and announce it."""
        number = (self._first_number + next(self._counter) * _NUMBER_STEP) & _NUMBER_MASK
        booked = BookedPromise(promise, number, is_own=True)
        self.book.merge(booked)
        self._announce(booked)

    def claim(self, digest: bytes, now: float) -> Promise | None:
        """Claim a promise to ``digest`` that is due, and announce that it is claimed."""
        claimed = self.book.claim(digest, now)
        if claimed is None:
            return None
        self._announce(claimed)
        return claimed.promise

    def receive(self, reports: Sequence[PromiseReport], now: float) -> None:
        """Book what a peer announces."""
        if not self._is_active():
            return
        for report in reports:
            promise = Promise(report.digest, report.service, now + report.due_in_s)
            if not self.book.merge(BookedPromise(promise, report.number, claimed=report.claimed)):
                self._note_dropped(now)

    def take_batch(self, now: float) -> list[bytes]:
        """Return the datagrams to send to each peer: what is new, and the last batch again."""
        batch = [*self._new, *self._to_repeat]
        self._to_repeat = self._new
        self._new = []
        if not self._to_repeat:
            self._has_pending = anyio.Event()
        reports = (
            PromiseReport(
                booked.promise.digest,
                booked.promise.service,
                booked.number,
                booked.promise.due_at - now,
                booked.claimed,
            )
            for booked in batch
        )
        return pack_promises(self._sender, reports)

    async def run(self, send_to_zone: Callable[[bytes], Awaitable[None]]) -> None:
        """Send a batch every ``BATCH_INTERVAL_S`` while there is any, until cancelled."""
        while True:
            await self._has_pending.wait()
            await anyio.sleep(BATCH_INTERVAL_S)
            for datagram in self.take_batch(anyio.current_time()):
                await send_to_zone(datagram)

    def _announce(self, booked: BookedPromise) -> None:
        if len(self._new) == MAX_PENDING:
            self._new.pop(0)
            self.dropped += 1
        self._new.append(booked)
        self._has_pending.set()

    def _note_dropped(self, now: float) -> None:
        self.dropped += 1
        if now - self._dropped_logged_at < LOG_INTERVAL_S:
            return
        self._dropped_logged_at = now
        log.warning(
            'Returns: no memory for further promises of peers.',
            extra={'kind': 'returns_full', 'fields': {'booked': len(self.book)}},
        )
