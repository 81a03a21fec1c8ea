"""What an instance knows of the request limits that endpoints name in their responses."""

import logging
from collections.abc import Sequence
from typing import NamedTuple

from plantainloft_node.endpoint_limits.header_parsing import InvalidLimitError, parse_request_limit
from plantainloft_node.placement.rendezvous import rendezvous_score

__all__ = ['EndpointLimit', 'EndpointLimitRegistry', 'endpoint_number']

log = logging.getLogger(__name__)

# At most one log line per endpoint in this time: the value may change with each response.
LOG_INTERVAL_S = 1.0


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


class EndpointLimitRegistry:
    """The limits of endpoint incarnations, by endpoint number."""

    def __init__(self) -> None:
        self._limit_by_number: dict[int, EndpointLimit] = {}
        self._logged_at_by_number: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of endpoints that name a limit or have just stopped."""
        return len(self._limit_by_number)

    def get(self, number: int) -> EndpointLimit | None:
        """Return the limit of an endpoint, if it has named one."""
        return self._limit_by_number.get(number)

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
        if _is_relaxed(known, per_s) and known is not None and sent_at <= known.observed_at:
            return
        self._set(number, known, per_s, at=now, now=now)
        if known is None or known.per_s != per_s:
            self._log_change(number, incarnation, now)

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
        if not self._may_log(number, now):
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
        if self._may_log(number, now):
            endpoint_id = incarnation.partition('@')[0]
            log.warning(
                'Limits: ignored the request limit of endpoint %s: %s.',
                endpoint_id,
                problem,
                extra={'kind': 'bad_limit', 'fields': {'endpoint': endpoint_id}},
            )

    def _may_log(self, number: int, now: float) -> bool:
        if now - self._logged_at_by_number.get(number, float('-inf')) < LOG_INTERVAL_S:
            return False
        self._logged_at_by_number[number] = now
        return True


def endpoint_number(incarnation: str) -> int:
    """Return the 32-bit hash that identifies an endpoint incarnation in reports."""
    return rendezvous_score('endpoint', incarnation)


def _is_relaxed(known: EndpointLimit | None, per_s: float) -> bool:
    """Return whether ``per_s`` allows more than the known limit."""
    return known is not None and known.per_s is not None and per_s > known.per_s
