"""What each endpoint incarnation has announced to this instance: leaving, and rest."""

import logging
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from plantainloft_node.endpoint_signals.signals import EndpointSignals
from plantainloft_node.log_throttle import LogThrottle
from plantainloft_node.placement.rendezvous import SCORE_RANGE, rendezvous_score

__all__ = ['Announcement', 'EndpointAnnouncements', 'IncarnationAnnouncements']

log = logging.getLogger(__name__)

# After a rest, the share of objects whose requests the endpoint gets grows from 0 to 1 over
# this time. All instances rest at about the same time, and would come back together.
RAMP_S = 1.0
# After a rest, the queue that the endpoint may have grows from nothing over this time.
QUEUE_RECOVERY_S = 10.0
# Announcements of an incarnation that is no longer listed are kept this long: a late row
# may list it again.
UNLISTED_RETENTION_S = 300.0
# Bounds the memory that endpoints which come and go can take.
MAX_UNLISTED = 1024
# At most one log line of a kind per endpoint in this time.
LOG_INTERVAL_S = 1.0


@dataclass(slots=True, kw_only=True)
class Announcement:
    """The announcements of one incarnation; times in seconds of the local clock.

    ``listed_at`` is when the incarnation was last known to exist, ``leaving_since`` is
    ``None`` unless it is leaving. The current or latest rest lasts from ``rest_since`` to
    ``rest_until``.
    """

    listed_at: float
    leaving_since: float | None = None
    rest_since: float = float('-inf')
    rest_until: float = float('-inf')


class EndpointAnnouncements:
    """The announcements that responses to this instance carried, by incarnation."""

    def __init__(self) -> None:
        self._by_incarnation: dict[str, Announcement] = {}
        self._log_throttle = LogThrottle(interval_s=LOG_INTERVAL_S)
        # Requests sent against an announcement, by (announcement, attempt).
        self.sends_against: Counter[tuple[str, str]] = Counter()

    def __len__(self) -> int:
        """Return the number of incarnations with announcements."""
        return len(self._by_incarnation)

    def get(self, incarnation: str) -> Announcement | None:
        """Return the announcements of ``incarnation``, if there are any."""
        return self._by_incarnation.get(incarnation)

    def by_incarnation(self) -> Mapping[str, Announcement]:
        """Return all announcements."""
        return self._by_incarnation

    def leaving_count(self) -> int:
        """Return the number of incarnations that are leaving."""
        return sum(known.leaving_since is not None for known in self._by_incarnation.values())

    def resting_count(self, now: float) -> int:
        """Return the number of incarnations that rest."""
        return sum(now < known.rest_until for known in self._by_incarnation.values())

    def record_response(self, incarnation: str, signals: EndpointSignals, now: float) -> None:
        """Record the signals of a response that arrived at ``now``."""
        for problem in signals.problems:
            self._log_problem(incarnation, problem, now)
        if not signals.leaves and not signals.rest_s:
            return
        known = self._by_incarnation.setdefault(incarnation, Announcement(listed_at=now))
        if signals.leaves and known.leaving_since is None:
            known.leaving_since = now
            self._log(incarnation, 'endpoint_leaving', 'is leaving', {}, now)
        if signals.rest_s:
            self._record_rest(known, incarnation, signals.rest_s, now)

    def forget(self, incarnation: str) -> None:
        """Forget the announcements of an incarnation that has been replaced."""
        self._by_incarnation.pop(incarnation, None)

    def record_sent(self, incarnation: str, *, is_retry: bool, now: float) -> None:
        """Count a request that is sent to ``incarnation`` against its announcement."""
        known = self._by_incarnation.get(incarnation)
        if known is None:
            return
        attempt = 'retry' if is_retry else 'first'
        if known.leaving_since is not None:
            self.sends_against['leaving', attempt] += 1
        elif now < known.rest_until:
            self.sends_against['rest', attempt] += 1

    def remove_expired(self, listed: Collection[str], now: float) -> None:
        """Remove what no longer matters; ``listed`` are the incarnations known to exist."""
        unlisted: list[str] = []
        for incarnation, known in list(self._by_incarnation.items()):
            if incarnation in listed:
                known.listed_at = now
            else:
                unlisted.append(incarnation)
            is_over = known.leaving_since is None and now >= known.rest_until + QUEUE_RECOVERY_S
            if is_over or now - known.listed_at > UNLISTED_RETENTION_S:
                self._by_incarnation.pop(incarnation)
        for incarnation in unlisted[:-MAX_UNLISTED]:
            self._by_incarnation.pop(incarnation, None)

    def _record_rest(
        self, known: Announcement, incarnation: str, rest_s: float, now: float
    ) -> None:
        if now >= known.rest_until:
            known.rest_since = now
        known.rest_until = max(known.rest_until, now + rest_s)
        fields: dict[str, object] = {'rest_s': round(known.rest_until - now, 3)}
        self._log(incarnation, 'endpoint_rest', f'asks for {rest_s:g} s of rest', fields, now)

    def _log(
        self, incarnation: str, kind: str, event: str, fields: dict[str, object], now: float
    ) -> None:
        if self._log_throttle.try_acquire((incarnation, kind), now):
            endpoint_id = incarnation.partition('@')[0]
            log.info(
                'Signals: endpoint %s %s.',
                endpoint_id,
                event,
                extra={'kind': kind, 'fields': {'endpoint': endpoint_id, **fields}},
            )

    def _log_problem(self, incarnation: str, problem: str, now: float) -> None:
        if self._log_throttle.try_acquire((incarnation, 'bad_signal'), now):
            endpoint_id = incarnation.partition('@')[0]
            log.warning(
                'Signals: endpoint %s: %s.',
                endpoint_id,
                problem,
                extra={'kind': 'bad_signal', 'fields': {'endpoint': endpoint_id}},
            )


class IncarnationAnnouncements:
    """The announcements of one endpoint incarnation."""

    def __init__(self, *, announcements: EndpointAnnouncements, incarnation: str) -> None:
        self._announcements = announcements
        self._incarnation = incarnation

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint has announced that it is leaving.

        This is final: neither a row of the store nor a later response without the
        announcement revokes it.
        """
        known = self._announcements.get(self._incarnation)
        return known is not None and known.leaving_since is not None

    @property
    def rest_ends_at(self) -> float:
        """When the current or latest rest ends; minus infinity without one.

        Responses that the endpoint serves don't end its rest: one that sheds only part of
        its requests goes on serving others.
        """
        known = self._announcements.get(self._incarnation)
        return float('-inf') if known is None else known.rest_until

    def accepts_requests(self, now: float) -> bool:
        """Return whether the endpoint wants to be sent requests by this instance."""
        return not self.is_leaving and now >= self.rest_ends_at

    def queue_share(self, now: float) -> float:
        """Return the share (0..1) of the usual queue that the endpoint may have now.

        An endpoint that asked for a rest had more requests than it can hold.
        """
        return min(1.0, max(0.0, (now - self.rest_ends_at) / QUEUE_RECOVERY_S))

    def accepts_key(self, key: str, now: float) -> bool:
        """Return whether the requests for ``key`` may come back yet after a rest."""
        ramp_share = (now - self.rest_ends_at) / RAMP_S
        if ramp_share >= 1:
            return True
        # Not the score that ranks the endpoints, which is high for all keys that prefer
        # this one.
        score = rendezvous_score(f'ramp {key}', self._incarnation)
        return score < ramp_share * SCORE_RANGE

    def record_response(self, signals: EndpointSignals, now: float) -> None:
        """Record the signals of a response that arrived at ``now``."""
        self._announcements.record_response(self._incarnation, signals, now)

    def record_sent(self, *, is_retry: bool, now: float) -> None:
        """Count a request that is sent while an announcement applies."""
        self._announcements.record_sent(self._incarnation, is_retry=is_retry, now=now)
