"""List of endpoints with request limits for operators, as seen by one instance."""

from collections.abc import Iterable
from typing import TypedDict

from plantainloft_node.endpoint_limits.limiter import LimitUsage

__all__ = ['ListedLimit', 'list_limits']


class ListedLimit(TypedDict):
    """An endpoint's limit and this instance's use of it.

    ``limit_per_s`` is ``None`` shortly after the limit has ended. ``share`` and ``sent``
    are requests of this instance in ``window_s`` seconds, ``age_s`` is the age of the
    newest response that named the limit.
    """

    endpoint: str
    limit_per_s: float | None
    age_s: float
    share: int
    sent: int
    window_s: float


def list_limits(usages: Iterable[LimitUsage]) -> list[ListedLimit]:
    """Return all limits, sorted by endpoint."""
    return [
        ListedLimit(
            endpoint=usage.endpoint_id,
            limit_per_s=usage.limit_per_s,
            age_s=round(usage.age_s, 1),
            share=usage.share,
            sent=usage.sent,
            window_s=round(usage.window_s, 1),
        )
        for usage in sorted(usages)
    ]
