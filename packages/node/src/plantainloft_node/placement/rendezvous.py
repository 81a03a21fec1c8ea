"""Rendezvous hashing: each key ranks all endpoints, identically on every instance.

An endpoint that has recently worked on an object is several times faster on
it. Ranking by hash sends a key to the same endpoint from every entry instance
without coordination. When an endpoint goes away, only its own keys move.
"""

from zlib import crc32

__all__ = ['SCORE_RANGE', 'rendezvous_score']

# The prime nearest to 2**32 divided by the golden ratio (Fibonacci hashing).
_MULTIPLIER = 0x9E3779B1
_MASK = 0xFFFFFFFF
_FOLD_SHIFT_BITS = 15


# Scores are whole numbers from 0 up to, but not including, this.
SCORE_RANGE = 4294967296.0


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the 32-bit score of ``candidate`` for ``key``; the highest wins.

    CRC-32 alone is linear: the order of two candidates would be nearly the same
    for every key. The multiplications and the shift break the linearity.
    """
    mixed = (crc32(candidate.encode(), crc32(key.encode())) * _MULTIPLIER) & _MASK
    folded = mixed ^ (mixed >> _FOLD_SHIFT_BITS)
    return (folded * _MULTIPLIER) & _MASK
