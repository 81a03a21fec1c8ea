"""Estimates of the number of requests at endpoints, from their reports."""

__all__ = ['LoadEstimate', 'UsualLoad']

# The last reported load from other instances decays linearly to zero over this
# time: requests last a few tenths of a second, so an older report says little
# about the current load.
REPORT_DECAY_S = 1.5
# As the report decays, the typical load from other instances takes its place:
# reports arrive about once a second, and an endpoint without a recent one is not
# idle. If it counted as idle, it would attract requests into a queue that this
# instance doesn't see. The typical load decays as well, so that an endpoint that
# is avoided is tried again.
TYPICAL_LOAD_WEIGHT = 0.15
TYPICAL_LOAD_DECAY_S = 6.0
# Before its first report, this fraction of an endpoint's slots counts as used.
INITIAL_USED_FRACTION = 0.3
# Weight of the newest report in the mean over all endpoints: about 50 reports count.
USUAL_LOAD_WEIGHT = 0.02

# Reported loads beyond it are not plausible, and their powers could not be represented.
MAX_LOAD_PER_SLOT = 10.0


class UsualLoad:
    """Mean load per slot over the endpoints of a service."""

    def __init__(self) -> None:
        self.per_slot = INITIAL_USED_FRACTION

    def record(self, busy: int, slots: int) -> None:
        """Record the report of an endpoint."""
        reported = min(MAX_LOAD_PER_SLOT, busy / max(1, slots))
        self.per_slot += USUAL_LOAD_WEIGHT * (reported - self.per_slot)


class LoadEstimate:
    """Estimate of the requests from other instances at one endpoint."""

    def __init__(self, *, slots: int, usual: UsualLoad, now: float) -> None:
        self.usual = usual
        self._others = slots * INITIAL_USED_FRACTION
        self._typical_others = self._others
        self._reported_at = now

    def record(self, *, busy: int, in_flight: int, slots: int, now: float) -> None:
        """Record the endpoint's own count; ``in_flight`` are from this instance."""
        self._others = max(0.0, busy - in_flight)
        self._typical_others += TYPICAL_LOAD_WEIGHT * (self._others - self._typical_others)
        self._reported_at = now
        self.usual.record(busy, slots)

    def others(self, slots: int, now: float) -> float:
        """Return the estimate; an endpoint without reports gets to count as idle."""
        age_s = now - self._reported_at
        report_weight = max(0.0, 1 - age_s / REPORT_DECAY_S)
        typical = self._typical_others * max(0.0, 1 - age_s / TYPICAL_LOAD_DECAY_S)
        return report_weight * self._others + (1 - report_weight) * min(typical, slots)
