"""Decides when links are tested by connections of their own.

Requests alone do not show it: those on silent connections just wait, and a zone without
requests shows nothing. Times are in seconds of the local clock.
"""

from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.links.zone_links import ZoneLinks

__all__ = ['LinkTestSchedule']

TEST_INTERVAL_S = 0.3
# A zone that was reached since it fell silent needs no test for this long.
RECENTLY_REACHED_S = 1.0
# Lost links are tested this often, to notice their return.
RETURN_TEST_INTERVAL_S = 0.5
# Zones tested at once when the links to all of them are suspected.
ZONES_TESTED_AT_ONCE = 3


class LinkTestSchedule:
    """Selects the zones whose links are to be tested."""

    def __init__(self, *, monitor: LinkMonitor) -> None:
        self._monitor = monitor

    def zones_due(self, now: float) -> list[str]:
        """Return the zones to test now; each counts as tested."""
        all_links = self._monitor.links_by_zone.values()
        due = [links for links in all_links if _is_due(links, now)]
        suspected_since = self._all_suspected_since(now)
        if suspected_since is not None:
            untested = [
                links
                for links in all_links
                if links not in due and _may_be_tested(links, now, suspected_since)
            ]
            untested.sort(key=lambda links: links.tested_at)
            due += untested[: max(0, ZONES_TESTED_AT_ONCE - len(due))]
        for links in due:
            links.tested_at = now
        return [links.zone for links in due]

    def _all_suspected_since(self, now: float) -> float | None:
        """Return since when something has spoken against the links to all zones."""
        if self._monitor.is_isolated:
            return now
        all_links = self._monitor.links_by_zone.values()
        times = [at for links in all_links for at in links.suspected_at(now)]
        timer = self._monitor.all_zones_timer
        if timer.silent_since is not None and timer.is_overdue(now):
            times.append(max(timer.silent_since, now - RECENTLY_REACHED_S))
        return min(times, default=None)


def _is_due(links: ZoneLinks, now: float) -> bool:
    if links.lost_since is not None:
        return now - links.tested_at >= RETURN_TEST_INTERVAL_S
    if links.reached_by_peers_at:
        return _may_be_tested(links, now, min(links.reached_by_peers_at.values()))
    silent_since = links.timer.silent_since
    if silent_since is None or not links.timer.is_overdue(now):
        return False
    return _may_be_tested(links, now, max(silent_since, now - RECENTLY_REACHED_S))


def _may_be_tested(links: ZoneLinks, now: float, suspected_since: float) -> bool:
    if links.lost_since is not None or now - links.tested_at < TEST_INTERVAL_S:
        return False
    return links.reached_at < suspected_since
