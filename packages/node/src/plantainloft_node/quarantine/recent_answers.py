"""Requests that were answered recently."""

from collections import OrderedDict

from plantainloft_node.quarantine.crash_records import Exemption
from plantainloft_node.quarantine.fingerprints import RequestFingerprint

__all__ = ['RecentAnswers']

# An answer affects crashes up to this long after it.
ANSWER_RETENTION_S = 60.0
# Each answer takes two entries, one with the caller and one without.
MAX_ENTRIES = 2048
_NEVER = float('-inf')


class RecentAnswers:
    """A bounded number of requests that this instance saw answered recently."""

    def __init__(self) -> None:
        self._answered_at: OrderedDict[int, float] = OrderedDict()

    def record(self, fingerprint: RequestFingerprint, now: float) -> None:
        """Record an answer to a request."""
        for key in (hash(fingerprint), hash(fingerprint.content_digest)):
            self._answered_at[key] = now
            self._answered_at.move_to_end(key)
        while len(self._answered_at) > MAX_ENTRIES:
            self._answered_at.popitem(last=False)

    def exemption(self, fingerprint: RequestFingerprint, crashed_at: float) -> Exemption:
        """Return the exemption of a crash at ``crashed_at`` that follows from answers.

        Answers from ``ANSWER_RETENTION_S`` before the crash onwards count.
        """
        exemption = Exemption.NONE
        if self._answered_at.get(hash(fingerprint), _NEVER) > crashed_at - ANSWER_RETENTION_S:
            exemption |= Exemption.ANSWERED_BEFORE
        if (
            self._answered_at.get(hash(fingerprint.content_digest), _NEVER)
            > crashed_at - ANSWER_RETENTION_S
        ):
            exemption |= Exemption.OTHER_CALLERS
        return exemption
