"""Gossip messages between entry instances."""

from typing import Any, NotRequired, TypedDict

from plantainloft_core.lookup import Member
from plantainloft_core.membership_list import MembershipStatus, MemberUpdate

__all__ = [
    'Heartbeat',
    'pack_updates',
    'unpack_member',
    'unpack_updates',
]


class Heartbeat(TypedDict):
    """A probe or its answer: the sender, its configuration version and its gossip.

    ``era`` is the era of the table that has this version; builds that know no eras omit it.

    ``claims`` is the sender's claim per region above its guaranteed floor, in requests
    in flight (see ``plantainloft_core.capacity_claims``). ``crashes`` is encoded by
    ``quarantine.crash_codec``, and ``uses`` (the usage of organisations' limits) by
    ``limits.organisation_usage``. ``endpoint_limits`` and ``limit_claims`` (the claims of
    each group, by its number) are encoded by ``endpoint_limits.report_codec``.
    """

    sender: list[Any]
    version: int
    era: NotRequired[int]
    claims: dict[str, float]
    events: list[Any]
    crashes: bytes
    uses: bytes
    endpoint_limits: bytes
    limit_claims: list[Any]


def pack_updates(updates: list[MemberUpdate]) -> list[Any]:
    """Encode ``updates`` as plain lists for a frame."""
    return [[list(update.member), int(update.status)] for update in updates]


def unpack_member(raw: list[Any]) -> Member:
    """Decode a member from ``raw``."""
    return Member(*raw)


def unpack_updates(raw: list[Any]) -> list[MemberUpdate]:
    """Decode member updates from ``raw``."""
    return [
        MemberUpdate(member=unpack_member(member), status=MembershipStatus(status))
        for member, status in raw
    ]
