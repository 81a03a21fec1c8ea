"""Whether the store may just have been away, told from its answers.

Rows of endpoints lapse while the store is away, though the endpoints live;
they are back about two seconds after its return. A row that goes at any other
time says that its endpoint left. What counts is when the store came back, not
when this instance noticed: an instance that hears of the removal late would
use an endpoint that left for too long, counted from its removal.
"""

import math

__all__ = ['LAPSE_GRACE_S', 'StoreWatch']

# Lapsed rows are back about 2 s after the store's return (the platform's
# pages); one that is still missing after this time is gone.
LAPSE_GRACE_S = 2.3


class StoreWatch:
    """Since when the store has answered this instance, as far as it knows."""

    def __init__(self) -> None:
        # None while calls fail and no later one was answered.
        self._served_since: float | None = -math.inf
        # When the newest of the calls that were answered, or failed, was sent.
        self._answered_sent_at = -math.inf
        self._failed_sent_at = -math.inf

    def note_answered(self, *, sent_at: float) -> None:
        """Take an answer; the store held the call from when it was sent.

        A call that was held while later ones failed shows nothing of the time
        before those.
        """
        self._answered_sent_at = max(self._answered_sent_at, sent_at)
        if self._served_since is None:
            self._served_since = max(sent_at, self._failed_sent_at)

    def note_failed(self, *, sent_at: float) -> None:
        """Take a call that was refused, reset or given up.

        A poll that a silent store swallowed is given up seconds later. By
        then calls sent after it may have been answered, and its failure
        says nothing of now.
        """
        if sent_at <= self._answered_sent_at:
            return
        self._failed_sent_at = max(self._failed_sent_at, sent_at)
        self._served_since = None

    def may_have_lapsed(self, now: float) -> bool:
        """Return whether a row that is missing now may have lapsed by itself."""
        return self._served_since is None or now < self._served_since + LAPSE_GRACE_S

    def served_s(self, now: float) -> float | None:
        """Return for how long it has answered; ``None`` while it fails.

        Infinite if no call ever failed.
        """
        return None if self._served_since is None else now - self._served_since
