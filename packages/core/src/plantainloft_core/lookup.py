"""The look-up: which entry instances a caller should use.

Callers cache the result for the time given in it. The result lists only live
members, those of the nearest availability zone first. Within a tier (zone,
region, rest), members are ordered by rendezvous hashing of the client block.
This spreads the blocks evenly and moves few of them when a member leaves.
"""

import functools
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from plantainloft_core.model import Configuration

__all__ = ['LookupIndex', 'Member']

MAX_ADDRESSES = 3
MAX_CACHED_BLOCKS = 200_000


class Member(NamedTuple):
    """An entry instance in the membership list.

    ``address`` is its URL for callers, and ``peer_address`` its ``host:port``
    for other entry instances. ``incarnation`` increases with every restart and
    every refutation of a false suspicion.
    """

    name: str
    zone: str
    address: str
    leaving: bool
    peer_address: str = ''
    incarnation: int = 0


def _rendezvous_weight(client_block: str, member: Member) -> bytes:
    key = f'{client_block}/{member.name}'.encode()
    return hashlib.blake2b(key, digest_size=8).digest()


class LookupIndex:
    """Members by zone and region, with cached results by client block.

    Members that are leaving are left out. The index is rebuilt after each
    change of the configuration or membership. A look-up then ranks only the
    members of the tiers that it needs (the block's zone, its region, the rest),
    and a repeated look-up of a block is a dictionary access.
    """

    def __init__(self, *, config: Configuration, members: Iterable[Member]) -> None:
        self.config = config
        self._members_by_zone: dict[str, list[Member]] = {}
        self._members_by_region: dict[str, list[Member]] = {}
        self._all_members: list[Member] = []
        for member in members:
            if member.leaving:
                continue
            self._all_members.append(member)
            self._members_by_zone.setdefault(member.zone, []).append(member)
            region = config.region_of_zone(member.zone) or ''
            self._members_by_region.setdefault(region, []).append(member)
        self._addresses_by_block: dict[str, tuple[str, ...]] = {}

    def addresses(self, client_block: str) -> tuple[str, ...]:
        """Return the addresses that a caller in ``client_block`` should use."""
        cached = self._addresses_by_block.get(client_block)
        if cached is not None:
            return cached
        selected = self._ranked_addresses(client_block)
        if len(self._addresses_by_block) >= MAX_CACHED_BLOCKS:
            self._addresses_by_block.clear()
        self._addresses_by_block[client_block] = selected
        return selected

    def _ranked_addresses(self, client_block: str) -> tuple[str, ...]:
        block = self.config.client_blocks_by_name.get(client_block)
        zone = block.zone if block else ''
        region = self.config.region_of_zone(zone) or ''
        tiers = (
            self._members_by_zone.get(zone, []),
            self._members_by_region.get(region, []) if region else [],
            self._all_members,
        )
        selected: list[Member] = []
        weight = functools.partial(_rendezvous_weight, client_block)
        for tier in tiers:
            remaining = [member for member in tier if member not in selected]
            remaining.sort(key=weight, reverse=True)
            selected.extend(remaining[: MAX_ADDRESSES - len(selected)])
            if len(selected) >= MAX_ADDRESSES:
                break
        return tuple(member.address for member in selected)
