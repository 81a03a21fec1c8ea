"""Lists the links to each availability zone, for operators."""

from typing import TypedDict

from plantainloft_node.links.monitor import LinkMonitor
from plantainloft_node.links.zone_links import NEVER, ZoneLinks

__all__ = ['ListedLinks', 'list_links']


class ListedLinks(TypedDict):
    """The links to the endpoints of one zone; times in seconds, ``None`` if never.

    ``lost_for_s`` is ``None`` unless they are lost. ``open_connections_live``: connections
    that were open before still deliver.
    """

    zone: str
    lost_for_s: float | None
    reached_s_ago: float | None
    received_s_ago: float | None
    open_connections_live: bool


def list_links(monitor: LinkMonitor, now: float) -> list[ListedLinks]:
    """Return the links to each zone that this instance has used, sorted by zone."""
    return [_listed(links, now) for _, links in sorted(monitor.links_by_zone.items())]


def _listed(links: ZoneLinks, now: float) -> ListedLinks:
    return ListedLinks(
        zone=links.zone,
        lost_for_s=_elapsed_s(links.lost_since, now),
        reached_s_ago=_elapsed_s(links.reached_at, now),
        received_s_ago=_elapsed_s(links.timer.received_at, now),
        open_connections_live=links.open_connections_live,
    )


def _elapsed_s(at: float | None, now: float) -> float | None:
    return None if at is None or at == NEVER else round(now - at, 2)
