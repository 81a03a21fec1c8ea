"""List of endpoints that leave or rest, for operators, as seen by one instance."""

from typing import TypedDict

from plantainloft_node.endpoint_signals.announcements import EndpointAnnouncements

__all__ = ['ListedAnnouncement', 'list_announcements']


class ListedAnnouncement(TypedDict):
    """An endpoint that has announced something to this instance; times in seconds.

    ``leaving_for_s`` is the time since it first said that it is leaving, ``resting_for_s``
    the time since its rest began and ``rest_left_s`` the time until it ends; each is
    ``None`` if it doesn't apply.
    """

    endpoint: str
    leaving_for_s: float | None
    resting_for_s: float | None
    rest_left_s: float | None


def list_announcements(
    announcements: EndpointAnnouncements, now: float
) -> list[ListedAnnouncement]:
    """Return the endpoints that leave or rest, sorted by name."""
    listed = []
    for incarnation, known in sorted(announcements.by_incarnation().items()):
        is_resting = now < known.rest_until
        if is_resting or known.leaving_since is not None:
            leaving_since = known.leaving_since
            listed.append(
                ListedAnnouncement(
                    endpoint=incarnation.partition('@')[0],
                    leaving_for_s=None if leaving_since is None else round(now - leaving_since, 1),
                    resting_for_s=round(now - known.rest_since, 1) if is_resting else None,
                    rest_left_s=round(known.rest_until - now, 1) if is_resting else None,
                )
            )
    return listed
