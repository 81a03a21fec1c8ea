"""The look-up: which entry instances a caller should use.

Callers cache the answer for the time they are told. The answer names only
live members, nearest availability zone first, each tier's members in a
per-block rendezvous order so a block's callers spread evenly and move
little when one member leaves.
"""

import functools
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from plantainloft_core.model import Configuration

__all__ = ['LookupIndex', 'Member']

ANSWER_SIZE = 3
MAX_CACHED_ANSWERS = 200_000


class Member(NamedTuple):
    """An entry instance as membership knows it.

    ``address`` is the URL callers use, ``peer_address`` the ``host:port``
    other entry instances use. ``incarnation`` grows with every restart
    and every answer to a false suspicion.
    """

    name: str
    zone: str
    address: str
    leaving: bool
    peer_address: str = ''
    incarnation: int = 0


def _weight(client_block: str, member: Member) -> bytes:
    key = f'{client_block}/{member.name}'.encode()
    return hashlib.blake2b(key, digest_size=8).digest()


class LookupIndex:
    """Staying members grouped by zone and region, answers cached by block.

    Built once per change of configuration or membership; a look-up then
    ranks only the members of the tiers it needs (the block's zone, then
    its region, then the rest) instead of every member, and a repeated
    block is a dictionary read.
    """

    def __init__(self, *, config: Configuration, members: Iterable[Member]) -> None:
        self.config = config
        self._by_zone: dict[str, list[Member]] = {}
        self._by_region: dict[str, list[Member]] = {}
        self._all: list[Member] = []
        for member in members:
            if member.leaving:
                continue
            self._all.append(member)
            self._by_zone.setdefault(member.zone, []).append(member)
            region = config.region_of_zone(member.zone) or ''
            self._by_region.setdefault(region, []).append(member)
        self._cache_by_block: dict[str, tuple[str, ...]] = {}

    def addresses(self, client_block: str) -> tuple[str, ...]:
        """Return the addresses a caller in ``client_block`` should try."""
        cached = self._cache_by_block.get(client_block)
        if cached is not None:
            return cached
        chosen = self._rank(client_block)
        if len(self._cache_by_block) >= MAX_CACHED_ANSWERS:
            self._cache_by_block.clear()
        self._cache_by_block[client_block] = chosen
        return chosen

    def _rank(self, client_block: str) -> tuple[str, ...]:
        block = self.config.blocks_by_name.get(client_block)
        zone = block.zone if block else ''
        region = self.config.region_of_zone(zone) or ''
        tiers = (
            self._by_zone.get(zone, []),
            self._by_region.get(region, []) if region else [],
            self._all,
        )
        chosen: list[Member] = []
        weight = functools.partial(_weight, client_block)
        for tier in tiers:
            fresh = [member for member in tier if member not in chosen]
            fresh.sort(key=weight, reverse=True)
            chosen.extend(fresh[: ANSWER_SIZE - len(chosen)])
            if len(chosen) >= ANSWER_SIZE:
                break
        return tuple(member.address for member in chosen)
