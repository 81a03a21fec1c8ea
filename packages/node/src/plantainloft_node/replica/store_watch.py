"""Whether the store may just have been away, told from its answers.

Rows of endpoints lapse while the store is away, though the endpoints live;
they are back about two seconds after its return. A row that goes at any other
time says that its endpoint left. What counts is when the store came back, not
when this instance noticed: one that notices late would use an endpoint that
left for too long, counted from its removal.
"""

import math
from collections import deque
from typing import NamedTuple

import anyio

__all__ = ['LAPSE_GRACE_S', 'StoreWatch']

# Lapsed rows are back about 2 s after the store's return (the platform's
# pages); one that is still missing after this time is gone.
LAPSE_GRACE_S = 2.3
# A failed poll is noticed 5.2 s after it was sent; in that time two followers
# and a few probes are answered.
KEPT_ANSWERS = 32
# Those who follow the store for others speak twice a second.
TOLD_HOLDS_S = 1.8


class _Told(NamedTuple):
    """For how long the store had served at ``at``, as another said."""

    served_s: float | None
    at: float

    def served_s_at(self, now: float) -> float | None:
        """Return for how long the store has served at ``now``, as far as told.

        One who falls silent may have been the last to know of an outage; the
        rows that lapsed in it may come back as long as after any other.
        """
        passed_s = now - self.at
        if self.served_s is not None:
            return self.served_s + passed_s
        return passed_s if passed_s >= TOLD_HOLDS_S else None


class StoreWatch:
    """When the store was away, and since when it is back."""

    def __init__(self) -> None:
        # When the store last owed an answer that did not come.
        self._away_at: float | None = None
        # The first moment after it at which the store is known to serve.
        self._back_at: float | None = None
        self._served_at: deque[float] = deque(maxlen=KEPT_ANSWERS)
        self._failed = anyio.Event()
        self._told_by_name: dict[str, _Told] = {}

    def note_answered(self, *, sent_at: float, now: float) -> None:
        """Take an answer: the store served when the call came, and now.

        A poll that was held from the one to the other shows nothing of the time
        between: a silent store keeps the polls that it has.
        """
        for at in (sent_at, now):
            self._served_at.append(at)
            if self._away_at is not None and at > self._away_at:
                self._back_at = _earlier(self._back_at, at)

    def note_failed(self, *, due_at: float) -> None:
        """Take a call without an answer; ``due_at``: when it was owed.

        A poll that a silent store swallowed is given up a second after it was
        due, and the store may have been back meanwhile.
        """
        self._failed.set()
        if self._away_at is not None and due_at <= self._away_at:
            return
        self._away_at = due_at
        self._back_at = min((at for at in self._served_at if at > due_at), default=None)

    def note_served_elsewhere(self, *, since: float, asked_at: float) -> None:
        """Take a peer's word that the store has served it from ``since`` on.

        ``asked_at``: until when that holds; a later failure is not explained.
        """
        for name, told in self._told_by_name.items():
            if told.at <= asked_at:
                self._told_by_name[name] = _Told(0.0, since)
        if self._away_at is not None and self._away_at <= asked_at:
            self._back_at = _earlier(self._back_at, since)

    def note_told(self, name: str, served_s: float | None, now: float) -> None:
        """Take the word of ``name``, which follows the store for this instance.

        ``served_s`` is what ``served_s`` returns there. The instance that rests
        makes no calls that could fail; without this, it would take rows that
        lapsed in an outage for those of endpoints that left.
        """
        self._told_by_name[name] = _Told(served_s, now)

    def note_doubt(self) -> None:
        """Have peers asked: rows went while those who follow are out of touch."""
        self._failed.set()

    async def failure(self) -> None:
        """Wait until a call fails, or rows are in doubt."""
        await self._failed.wait()
        self._failed = anyio.Event()

    @property
    def is_failing(self) -> bool:
        """Whether no call of this instance was answered since one failed."""
        away_at = self._away_at
        return away_at is not None and all(at <= away_at for at in self._served_at)

    def may_have_lapsed(self, now: float) -> bool:
        """Return whether a row that is missing now may have lapsed by itself."""
        served_s = self.served_s(now)
        return served_s is None or served_s < LAPSE_GRACE_S

    def served_s(self, now: float) -> float | None:
        """Return for how long the store has served; ``None`` while it does not.

        Infinite if no call ever failed.
        """
        told = (one.served_s_at(now) for one in self._told_by_name.values())
        served = [self._own_served_s(now), *told]
        known = [served_s for served_s in served if served_s is not None]
        return min(known) if len(known) == len(served) else None

    def _own_served_s(self, now: float) -> float | None:
        if self._away_at is None:
            return math.inf
        return None if self._back_at is None else now - self._back_at


def _earlier(known: float | None, at: float) -> float:
    return at if known is None else min(known, at)
