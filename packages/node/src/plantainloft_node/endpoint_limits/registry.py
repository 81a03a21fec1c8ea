"""What an instance knows of the request limits that endpoints name in their responses."""

import logging
from collections.abc import Iterable, KeysView, Sequence
from typing import NamedTuple

from plantainloft_node.endpoint_limits.claims import ClaimTable, GroupClaims
from plantainloft_node.endpoint_limits.header_parsing import InvalidLimitError, parse_request_limit
from plantainloft_node.log_throttle import LogThrottle
from plantainloft_node.placement.rendezvous import rendezvous_score

__all__ = ['EndpointLimit', 'EndpointLimitRegistry', 'LimitReport', 'endpoint_number']

log = logging.getLogger(__name__)

# At most one log line per endpoint in this time: the value may change with each response.
LOG_INTERVAL_S = 1.0
# A limit is dropped if no response of the endpoint has reached any instance for this
# long, and the end of one is remembered for as long, so that no late report revives it.
MAX_EVIDENCE_AGE_S = 60.0
# A report that relaxes a limit counts only if its evidence is newer by this much than
# what is known here: the age of a report leaves out the time in transit.
REPORT_TIME_MARGIN_S = 0.5
# Bounds the memory that reports can take.
MAX_ENDPOINTS = 1024


class EndpointLimit(NamedTuple):
    """The limit of one endpoint incarnation.

    ``per_s`` is the number of requests a second that the endpoint takes from all
    instances together, or ``None`` after the endpoint has stopped naming a limit.
    ``observed_at`` is the time of the newest evidence, ``since`` the time from which
    ``per_s`` applies; both are in seconds of the local clock. ``previous_per_s`` is the
    last limit before it ended.
    """

    per_s: float | None
    observed_at: float
    since: float
    previous_per_s: float = 0.0


class LimitReport(NamedTuple):
    """The limit of an endpoint, ``None`` if it has ended, from evidence of ``age_s`` ago."""

    number: int
    per_s: float | None
    age_s: float


class EndpointLimitRegistry:
    """The limits of endpoint incarnations, by endpoint number, and the claims on them."""

    def __init__(self) -> None:
        self.claims = ClaimTable()
        # When a peer last reported limits or claims, on the local clock.
        self.reported_at = float('-inf')
        self._limit_by_number: dict[int, EndpointLimit] = {}
        self._log_throttle = LogThrottle(interval_s=LOG_INTERVAL_S)

    def __len__(self) -> int:
        """Return the number of endpoints that name a limit or have just stopped."""
        return len(self._limit_by_number)

    def get(self, number: int) -> EndpointLimit | None:
        """Return the limit of an endpoint, if it has named one."""
        return self._limit_by_number.get(number)

    def numbers(self) -> KeysView[int]:
        """Return the numbers of the endpoints whose limits are known."""
        return self._limit_by_number.keys()

    def reports(self, now: float) -> list[LimitReport]:
        """Return the reports of all known limits, the newest evidence first."""
        newest_first = sorted(
            self._limit_by_number.items(), key=lambda item: item[1].observed_at, reverse=True
        )
        return [
            LimitReport(number, known.per_s, max(0.0, now - known.observed_at))
            for number, known in newest_first
        ]

    def merge(
        self, limits: Iterable[LimitReport], claims: Iterable[GroupClaims], now: float
    ) -> None:
        """Merge the report of a peer, received at ``now``; newer evidence wins."""
        self.reported_at = now
        for report in limits:
            self._merge_one(report, now - report.age_s, now)
        self.claims.merge(claims, now)

    def remove_expired(self, now: float) -> None:
        """Remove the limits without recent evidence."""
        oldest = now - MAX_EVIDENCE_AGE_S
        expired = [
            number for number, known in self._limit_by_number.items() if known.observed_at < oldest
        ]
        for number in expired:
            self._limit_by_number.pop(number)

    def record_response(
        self, incarnation: str, header_values: Sequence[bytes], *, sent_at: float, now: float
    ) -> None:
        """Record the limit headers of a response to a request that was sent at ``sent_at``.

        Responses overtake each other: one that names no limit, or a higher one, counts
        only if its request was sent after the current limit was last seen.
        """
        number = endpoint_number(incarnation)
        known = self._limit_by_number.get(number)
        if known is None and not header_values:
            return
        try:
            per_s = parse_request_limit(header_values)
        except InvalidLimitError as exc:
            self._log_problem(number, incarnation, exc, now)
            return
        if per_s is None:
            if known is not None and known.per_s is not None and sent_at > known.observed_at:
                self._end(number, known, at=sent_at, now=now)
                self._log_change(number, incarnation, now)
            return
        if known is not None and _is_relaxed(known, per_s) and sent_at <= known.observed_at:
            return
        self._set(number, known, per_s, at=now, now=now)
        if known is None or known.per_s != per_s:
            self._log_change(number, incarnation, now)

    def _merge_one(self, report: LimitReport, observed_at: float, now: float) -> None:
        if report.age_s >= MAX_EVIDENCE_AGE_S:
            return
        known = self._limit_by_number.get(report.number)
        if known is None:
            if len(self) < MAX_ENDPOINTS:
                self._limit_by_number[report.number] = EndpointLimit(
                    report.per_s, observed_at, since=observed_at
                )
            return
        margin_s = REPORT_TIME_MARGIN_S if _is_relaxed(known, report.per_s) else 0.0
        if observed_at <= known.observed_at + margin_s:
            return
        if report.per_s is not None:
            self._set(report.number, known, report.per_s, at=observed_at, now=now)
        elif known.per_s is not None:
            self._end(report.number, known, at=observed_at, now=now)

    def _set(
        self, number: int, known: EndpointLimit | None, per_s: float, *, at: float, now: float
    ) -> None:
        since = known.since if known is not None and known.per_s == per_s else now
        self._limit_by_number[number] = EndpointLimit(per_s, at, since)

    def _end(self, number: int, known: EndpointLimit, *, at: float, now: float) -> None:
        self._limit_by_number[number] = EndpointLimit(
            None, at, now, previous_per_s=known.per_s or 0.0
        )

    def _log_change(self, number: int, incarnation: str, now: float) -> None:
        if not self._log_throttle.try_acquire(number, now):
            return
        known = self._limit_by_number[number]
        endpoint_id = incarnation.partition('@')[0]
        fields = {'endpoint': endpoint_id, 'limit_per_s': known.per_s}
        if known.per_s is None:
            log.info(
                'Limits: endpoint %s names no request limit any more.',
                endpoint_id,
                extra={'kind': 'endpoint_limit', 'fields': fields},
            )
            return
        log.info(
            'Limits: endpoint %s names a limit of %g requests a second.',
            endpoint_id,
            known.per_s,
            extra={'kind': 'endpoint_limit', 'fields': fields},
        )

    def _log_problem(
        self, number: int, incarnation: str, problem: InvalidLimitError, now: float
    ) -> None:
        if self._log_throttle.try_acquire(number, now):
            endpoint_id = incarnation.partition('@')[0]
            log.warning(
                'Limits: ignored the request limit of endpoint %s: %s.',
                endpoint_id,
                problem,
                extra={'kind': 'bad_limit', 'fields': {'endpoint': endpoint_id}},
            )


def endpoint_number(incarnation: str) -> int:
    """Return the 32-bit hash that identifies an endpoint incarnation in reports."""
    return rendezvous_score('endpoint', incarnation)


def _is_relaxed(known: EndpointLimit, per_s: float | None) -> bool:
    """Return whether ``per_s`` allows more than the known limit."""
    if known.per_s is None:
        return False
    return per_s is None or per_s > known.per_s
