"""Division of a fleet-wide rate limit into whole requests for each instance.

Instances cannot coordinate before each request (some may be partitioned), so a limit
is divided in advance: each instance computes its own share from the list of those that
hold one. As long as the lists agree, the shares never add up to more than the limit.
"""

from collections.abc import Mapping

from plantainloft_node.placement.rendezvous import rendezvous_score

__all__ = ['dealt_share']


def dealt_share(
    total: int, *, instance: str, region_by_holder: Mapping[str, str], key: str, region: str
) -> int:
    """Return the part of ``total`` requests that ``instance`` may send.

    Every holder gets the same whole number. What remains of the division goes, one
    request each, first to holders in ``region``, in order of their score for ``key``.
    An instance that is not a holder gets none.
    """
    if instance not in region_by_holder:
        return 0
    each, remainder = divmod(total, len(region_by_holder))
    if not remainder:
        return each
    own_rank = _rank(instance, region_by_holder[instance], key, region)
    ahead = sum(
        1
        for name, holder_region in region_by_holder.items()
        if _rank(name, holder_region, key, region) > own_rank
    )
    return each + int(ahead < remainder)


def _rank(name: str, holder_region: str, key: str, region: str) -> tuple[bool, int, str]:
    return holder_region == region, rendezvous_score(key, name), name
