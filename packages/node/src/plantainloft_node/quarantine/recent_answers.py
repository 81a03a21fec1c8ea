"""Which requests were answered lately."""

from collections import OrderedDict

from plantainloft_node.quarantine.crashes import Clearance
from plantainloft_node.quarantine.fingerprints import RequestFingerprint

__all__ = ['RecentAnswers']

# Answers speak for a request for this time.
ANSWERED_S = 60.0
MAX_ANSWERED = 2048
_NEVER = float('-inf')


class RecentAnswers:
    """Which requests this instance saw answered lately, a bounded number."""

    def __init__(self) -> None:
        self._answered_at: OrderedDict[int, float] = OrderedDict()

    def note(self, request: RequestFingerprint, now: float) -> None:
        """Take an answer to ``request``."""
        for key in (hash(request), hash(request.content)):
            self._answered_at[key] = now
            self._answered_at.move_to_end(key)
        while len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)

    def clearance(self, request: RequestFingerprint, at: float) -> Clearance:
        """Return what answers until ``at`` say of a crash at that time."""
        clearance = Clearance.NOBODY
        if self._answered_at.get(hash(request), _NEVER) > at - ANSWERED_S:
            clearance |= Clearance.ANSWERED_BEFORE
        if self._answered_at.get(hash(request.content), _NEVER) > at - ANSWERED_S:
            clearance |= Clearance.OTHER_CALLERS
        return clearance
