"""Intervals and timeouts of the reports that instances exchange.

Promises about instances that are gone hold from ``settling_s`` after the last disturbance of
the instance that answers. A look-up may name an instance for ``settling_s`` + ``NAMED_AFTER_S``
after its end. What an instance knows from a forwarded report is the oldest that it uses:

    heartbeat to a relay              every HEARTBEAT_INTERVAL_S
    report of the relay to a region   every CROSS_REGION_INTERVAL_S
    forwarded within the zone         every ``forward_interval_s``, at the next round

A forwarded status expires ``forwarded_down_after_s`` after the heartbeat that it was derived from.
The age of the last report does not matter: an instance that is gone is named until then at most.
The forward interval is such that one of two reports may be lost before a running instance counts
as down.
"""

from typing import NamedTuple

__all__ = [
    'CROSS_REGION_INTERVAL_S',
    'DEFAULT_REPORT_TIMINGS',
    'DEFAULT_SETTLING_S',
    'HEARTBEAT_INTERVAL_S',
    'ROUND_JITTER_S',
    'ReportTimings',
    'report_timings',
]

HEARTBEAT_INTERVAL_S = 0.5
# Other regions are sent a report every second round: traffic between regions
# costs more, and their instances are not named to this region's callers.
CROSS_REGION_INTERVAL_S = 1.0
# Rounds may run slightly early. Whatever is due within this time is sent now
# instead of being delayed by a whole round.
ROUND_JITTER_S = 0.1
DEFAULT_SETTLING_S = 3.0
NAMED_AFTER_S = 3.0
# For the transmission of a report, the rounding of ages and the answer to the look-up.
DELIVERY_MARGIN_S = 0.5
# A longer settling time does not slow down the detection of instances that are gone.
MAX_SETTLING_S = 4.0
# Of two successive reports, one may be lost.
REPORTS_PER_TIMEOUT = 2


class ReportTimings(NamedTuple):
    """Timings of reports from other regions that relays forward within a zone, in seconds.

    ``forward_interval_s`` is the interval at which a relay forwards the report of a zone, and
    ``forwarded_down_after_s`` how long after its last heartbeat an instance in such a report
    counts as down.
    """

    forward_interval_s: float
    forwarded_down_after_s: float


def report_timings(settling_s: float) -> ReportTimings:
    """Return the timings that keep the promise for ``settling_s``, in seconds."""
    down_after_s = min(settling_s, MAX_SETTLING_S) + NAMED_AFTER_S - DELIVERY_MARGIN_S
    # A report is this old when a relay has it, and waits for up to two rounds on its way.
    age_at_relay_s = HEARTBEAT_INTERVAL_S + CROSS_REGION_INTERVAL_S + 2 * HEARTBEAT_INTERVAL_S
    forward_interval_s = (down_after_s - age_at_relay_s) / REPORTS_PER_TIMEOUT
    return ReportTimings(max(HEARTBEAT_INTERVAL_S, forward_interval_s), down_after_s)


DEFAULT_REPORT_TIMINGS = report_timings(DEFAULT_SETTLING_S)
