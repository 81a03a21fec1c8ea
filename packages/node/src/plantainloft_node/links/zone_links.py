"""Observations of the links to the endpoints of one availability zone."""

__all__ = ['NEVER', 'SilenceTimer', 'ZoneLinks']

NEVER = float('-inf')
# Weight of the newest gap between two arrivals in its moving average.
GAP_WEIGHT = 0.1
# An arrival that is this many mean gaps overdue is unlikely to be late by chance.
OVERDUE_GAPS = 6.0
# Longer gaps are times without requests.
MAX_GAP_S = 2.0
# Evidence older than this says nothing about the present.
EVIDENCE_RETENTION_S = 3.0
# Connections that must open in a row before lost links count as back.
CONNECTS_TO_RETURN = 2


class SilenceTimer:
    """Tells an unusually long silence from the usual gaps between arrivals."""

    def __init__(self, *, min_silence_s: float, max_silence_s: float) -> None:
        self._min_silence_s = min_silence_s
        self._max_silence_s = max_silence_s
        self._mean_gap_s = max_silence_s
        self.received_at = NEVER
        self._waiting_since: dict[int, float] = {}

    def record_received(self, now: float) -> None:
        """Record that bytes arrived."""
        gap_s = min(now - self.received_at, MAX_GAP_S)
        self._mean_gap_s += GAP_WEIGHT * (gap_s - self._mean_gap_s)
        self.received_at = now

    def record_sent(self, token: int, now: float) -> None:
        """Record that the request ``token`` was sent and awaits its response."""
        self._waiting_since[token] = now

    def record_ended(self, token: int) -> None:
        """Record that the request ``token`` awaits nothing any more."""
        self._waiting_since.pop(token, None)

    def is_overdue(self, now: float) -> bool:
        """Return whether an arrival is overdue: requests wait, and nothing arrives."""
        silent_since = self.silent_since
        return silent_since is not None and now - silent_since > self.silence_s

    @property
    def silent_since(self) -> float | None:
        """Since when requests have waited without any arrival; ``None`` if none waits."""
        if not self._waiting_since:
            return None
        return max(min(self._waiting_since.values()), self.received_at)

    @property
    def silence_s(self) -> float:
        """The silence, in seconds, after which an arrival is overdue."""
        return min(self._max_silence_s, max(self._min_silence_s, OVERDUE_GAPS * self._mean_gap_s))


class ZoneLinks:
    """Connections to the endpoints of one availability zone, and what arrives on them."""

    def __init__(self, *, zone: str, timer: SilenceTimer) -> None:
        self.zone = zone
        self.timer = timer
        self.reached_at = NEVER
        self.tested_at = NEVER
        self.lost_since: float | None = None
        self.returned_at = NEVER
        # Endpoints that a peer reached and this instance did not, with the time.
        self.reached_by_peers_at: dict[str, float] = {}
        self._connects_in_a_row = 0

    def record_connected(self, now: float) -> bool:
        """Record an opened connection; return whether lost links are back."""
        self.reached_at = now
        self.reached_by_peers_at.clear()
        self._connects_in_a_row += 1
        if self.lost_since is None or self._connects_in_a_row < CONNECTS_TO_RETURN:
            return False
        self.lost_since = None
        self.returned_at = now
        return True

    def record_connect_failed(self) -> None:
        """Record a connection that failed or timed out."""
        self._connects_in_a_row = 0

    def record_reached_by_peer(self, incarnation: str, now: float) -> None:
        """Record that a peer reached an endpoint to which a connection from here failed."""
        self.reached_by_peers_at[incarnation] = now
        self.reached_by_peers_at = {
            known: at
            for known, at in self.reached_by_peers_at.items()
            if now - at < EVIDENCE_RETENTION_S
        }

    def mark_lost(self, now: float) -> None:
        """Record that the links are lost."""
        self.lost_since = now
        self.reached_by_peers_at.clear()
        self._connects_in_a_row = 0

    def vouches(self, since: float) -> bool:
        """Return whether a connection was opened after ``since``."""
        return self.lost_since is None and self.reached_at > since

    def suspected_at(self, now: float) -> list[float]:
        """Return when something recent has spoken against the links of other zones, too."""
        if self.lost_since is None:
            return list(self.reached_by_peers_at.values())
        return [self.lost_since] if now - self.lost_since < EVIDENCE_RETENTION_S else []

    @property
    def open_connections_live(self) -> bool:
        """Whether connections that were open when the links were lost still deliver."""
        return self.lost_since is None or self.timer.received_at >= self.lost_since
