"""Gossip messages between entry instances."""

from typing import Any, TypedDict

from plantainloft_core.lookup import Member
from plantainloft_core.roster import MemberEvent, Status

__all__ = [
    'Heartbeat',
    'pack_events',
    'unpack_events',
    'unpack_member',
]


class Heartbeat(TypedDict):
    """A probe or its answer: the sender, its configuration version and its gossip.

    ``claims`` is the sender's claim per region above its guaranteed floor, in requests
    in flight (see ``plantainloft_core.allowances``). ``crashes`` is encoded by
    ``quarantine.crash_codec``, and ``uses`` (the usage of organisations' limits) by
    ``limits.uses``.
    """

    sender: list[Any]
    version: int
    claims: dict[str, float]
    events: list[Any]
    crashes: bytes
    uses: bytes


def pack_events(events: list[MemberEvent]) -> list[Any]:
    """Encode ``events`` as plain lists for a frame."""
    return [[list(event.member), int(event.status)] for event in events]


def unpack_member(raw: list[Any]) -> Member:
    """Decode a member from ``raw``."""
    return Member(*raw)


def unpack_events(raw: list[Any]) -> list[MemberEvent]:
    """Decode member events from ``raw``."""
    return [
        MemberEvent(member=unpack_member(member), status=Status(status)) for member, status in raw
    ]
