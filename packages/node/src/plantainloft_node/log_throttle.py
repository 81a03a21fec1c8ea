"""Bounds how often a repeated event is logged."""

from collections.abc import Hashable

__all__ = ['LogThrottle']

# Keys beyond this number cause those that no longer matter to be dropped.
MAX_KEYS = 1024


class LogThrottle:
    """Allows one log line per key in each interval."""

    def __init__(self, *, interval_s: float) -> None:
        self._interval_s = interval_s
        self._logged_at_by_key: dict[Hashable, float] = {}

    def try_acquire(self, key: Hashable, now: float) -> bool:
        """Return whether a line for ``key`` may be logged now, and count it."""
        if now - self._logged_at_by_key.get(key, float('-inf')) < self._interval_s:
            return False
        if len(self._logged_at_by_key) >= MAX_KEYS:
            self._logged_at_by_key = {
                known: at
                for known, at in self._logged_at_by_key.items()
                if now - at < self._interval_s
            }
        self._logged_at_by_key[key] = now
        return True
