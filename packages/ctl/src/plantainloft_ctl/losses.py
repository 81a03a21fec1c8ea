"""Where callers lost, and why: late, refused and failed requests in the logs.

A loss is a request that was not answered within its route's objective. Its
reason is the first that applies of those below, in the order in which they
happen to a request; times are in seconds, and ``zone`` is the availability
zone of the instance that took the request.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from plantainloft_ctl.explaining import LogLine

__all__ = ['Group', 'Loss', 'LossTable', 'left_out_by_kind', 'losses_of', 'table_of']

LATE = 'late'
LOSS_KINDS = frozenset((LATE, 'refused', 'failed', 'caller_left'))
LATE_TRY = 'late: after a failed try'
HELD = 'late: held before it was sent'
COLD = 'late: cold endpoint'
QUEUED = 'late: queued at its endpoint'
NEW_OBJECT = 'late: object new to its endpoint'
FAR = 'late: endpoint in another region'
SLOW = 'late: slow answer'
UNKNOWN = '?'


class Loss(NamedTuple):
    """One request that was not answered within its objective."""

    at: float
    route: str
    zone: str
    reason: str


class Group(NamedTuple):
    """Losses that have a route, zone or moment in common."""

    name: str
    count_by_reason: dict[str, int]

    @property
    def total(self) -> int:
        """All losses of the group."""
        return sum(self.count_by_reason.values())


class LossTable(NamedTuple):
    """Groups in order, and the reasons that occur, the most frequent first."""

    groups: tuple[Group, ...]
    reasons: tuple[str, ...]


def losses_of(lines: Iterable[LogLine]) -> list[Loss]:
    """Return the losses that ``lines`` tell of, in their order."""
    lines = list(lines)
    place_by_instance = {
        line['instance']: line for line in lines if line.get('kind') == 'start' and 'zone' in line
    }
    return [
        _loss(line, place_by_instance.get(line['instance'], {}))
        for line in lines
        if line.get('kind') in LOSS_KINDS
    ]


def left_out_by_kind(lines: Iterable[LogLine]) -> dict[str, int]:
    """Return how many losses were not written, by their kind.

    Logs are bounded in volume, so a table of a bad hour counts too few.
    """
    counts: Counter[str] = Counter()
    for line in lines:
        if line.get('kind') in LOSS_KINDS and line.get('left_out'):
            counts[line['kind']] += int(line['left_out'])
    return dict(counts)


def table_of(losses: Iterable[Loss], group_of: Callable[[Loss], str]) -> LossTable:
    """Count ``losses`` by reason within each group, in order of its name."""
    counts_by_name: dict[str, Counter[str]] = {}
    reasons: Counter[str] = Counter()
    for loss in losses:
        counts_by_name.setdefault(group_of(loss), Counter())[loss.reason] += 1
        reasons[loss.reason] += 1
    groups = tuple(Group(name, dict(counts_by_name[name])) for name in sorted(counts_by_name))
    return LossTable(groups, tuple(reason for reason, _ in reasons.most_common()))


def _loss(line: LogLine, place: LogLine) -> Loss:
    reason = _why_late(line, place) if line['kind'] == LATE else _why_unserved(line)
    return Loss(
        at=float(line['t']),
        route=str(line.get('route', UNKNOWN)),
        zone=str(place.get('zone', UNKNOWN)),
        reason=reason,
    )


def _why_unserved(line: LogLine) -> str:
    # Reasons that name an endpoint differ for each; the part before it is
    # what they have in common.
    reason = str(line.get('reason', '')).partition(':')[0]
    return f'{line["kind"]}: {reason}' if reason else str(line['kind'])


def _why_late(line: LogLine, place: LogLine) -> str:
    if line.get('tries'):
        return LATE_TRY
    if 2 * line.get('placed_ms', 0) > line.get('ms', 0):
        return HELD
    if line.get('cold'):
        return COLD
    if line.get('load', 0) >= line.get('slots', 1):
        return QUEUED
    if not line.get('remembered', True):
        return NEW_OBJECT
    far = line.get('endpoint_region') != place.get('region')
    return FAR if far and place else SLOW
