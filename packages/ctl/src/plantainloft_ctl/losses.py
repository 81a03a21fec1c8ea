"""Find requests in the logs that missed their objective, and classify why.

A loss is a request that was not answered within the latency objective of its
route: it was late, refused or failed, or its caller disconnected. A late
request has the first reason in ``_late_reason`` that applies; they are checked
in the order in which they can occur while a request is handled. Times are in
seconds; ``zone`` is the availability zone of the instance that received the
request.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from plantainloft_ctl.request_timeline import LogLine

__all__ = [
    'Loss',
    'LossGroup',
    'LossTable',
    'count_by_group',
    'count_unlogged_losses',
    'find_losses',
]

LATE = 'late'
LOSS_KINDS = frozenset((LATE, 'refused', 'failed', 'caller_left', 'aborted'))
FAILED_ATTEMPT = 'late: after a failed try'
HELD_BEFORE_SENDING = 'late: held before it was sent'
COLD_ENDPOINT = 'late: cold endpoint'
QUEUED_AT_ENDPOINT = 'late: queued at its endpoint'
NEW_OBJECT = 'late: object new to its endpoint'
REMOTE_REGION = 'late: endpoint in another region'
SLOW_ANSWER = 'late: slow answer'
UNKNOWN = '?'


class Loss(NamedTuple):
    """One request that was not answered within its objective, at Unix time ``at``."""

    at: float
    route: str
    zone: str
    reason: str


class LossGroup(NamedTuple):
    """Counts of losses with the same route, zone or period of time."""

    name: str
    count_by_reason: dict[str, int]

    @property
    def total(self) -> int:
        """Number of losses in the group."""
        return sum(self.count_by_reason.values())


class LossTable(NamedTuple):
    """Groups sorted by name, and the reasons that occur, most frequent first."""

    groups: tuple[LossGroup, ...]
    reasons: tuple[str, ...]


def find_losses(lines: Iterable[LogLine]) -> list[Loss]:
    """Return the losses found in ``lines``, in the same order."""
    lines = list(lines)
    start_line_by_instance = {
        line['instance']: line for line in lines if line.get('kind') == 'start' and 'zone' in line
    }
    return [
        _parse_loss(line, start_line_by_instance.get(line['instance'], {}))
        for line in lines
        if line.get('kind') in LOSS_KINDS
    ]


def count_unlogged_losses(lines: Iterable[LogLine]) -> dict[str, int]:
    """Return how many losses were not logged, by kind of log line.

    Instances limit the rate of log lines of each kind, so at many losses per
    second the logs contain only some of them. The next line of that kind says
    how many were left out.
    """
    counts: Counter[str] = Counter()
    for line in lines:
        if line.get('kind') in LOSS_KINDS and line.get('left_out'):
            counts[line['kind']] += int(line['left_out'])
    return dict(counts)


def count_by_group(losses: Iterable[Loss], group_name_of: Callable[[Loss], str]) -> LossTable:
    """Count ``losses`` by reason within each group."""
    counts_by_name: dict[str, Counter[str]] = {}
    reasons: Counter[str] = Counter()
    for loss in losses:
        counts_by_name.setdefault(group_name_of(loss), Counter())[loss.reason] += 1
        reasons[loss.reason] += 1
    groups = tuple(LossGroup(name, dict(counts_by_name[name])) for name in sorted(counts_by_name))
    return LossTable(groups, tuple(reason for reason, _ in reasons.most_common()))


def _parse_loss(line: LogLine, start_line: LogLine) -> Loss:
    reason = _late_reason(line, start_line) if line['kind'] == LATE else _unserved_reason(line)
    return Loss(
        at=float(line['t']),
        route=str(line.get('route', UNKNOWN)),
        zone=str(start_line.get('zone', UNKNOWN)),
        reason=reason,
    )


def _unserved_reason(line: LogLine) -> str:
    # A reason may end with ``: `` and details that differ between requests,
    # such as an endpoint. Only the part before it is used for counting.
    reason = str(line.get('reason', '')).partition(':')[0]
    return f'{line["kind"]}: {reason}' if reason else str(line['kind'])


def _late_reason(line: LogLine, start_line: LogLine) -> str:
    if line.get('tries'):
        return FAILED_ATTEMPT
    # More than half of the request's time passed before it was sent.
    if 2 * line.get('placed_ms', 0) > line.get('ms', 0):
        return HELD_BEFORE_SENDING
    if line.get('cold'):
        return COLD_ENDPOINT
    if line.get('load', 0) >= line.get('slots', 1):
        return QUEUED_AT_ENDPOINT
    if not line.get('remembered', True):
        return NEW_OBJECT
    is_remote = line.get('endpoint_region') != start_line.get('region')
    return REMOTE_REGION if is_remote and start_line else SLOW_ANSWER
