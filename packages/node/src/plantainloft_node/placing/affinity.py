"""Rendezvous hashing: each key ranks all endpoints, the same on every node.

An endpoint that worked on an object a moment ago is several times faster
on it. Ranking by hash sends a key to the same endpoint from every entry
instance without any of them talking; when an endpoint goes, only its own
keys move.
"""

from zlib import crc32

__all__ = ['score']

_MIX = 0x9E3779B1
_MASK = 0xFFFFFFFF
_HALF = 15


def score(key: str, member: str) -> int:
    """Return the 32-bit rank of ``member`` for ``key``; highest wins.

    CRC-32 alone is linear: the order of two members would be nearly the
    same for every key. The multiply and shift break that.
    """
    mixed = (crc32(member.encode(), crc32(key.encode())) * _MIX) & _MASK
    folded = mixed ^ (mixed >> _HALF)
    return (folded * _MIX) & _MASK
