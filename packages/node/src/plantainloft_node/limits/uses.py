"""Organisations' use of their request limits, as reported between instances."""

import functools
import struct
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainloft_node.placing.affinity import score

__all__ = [
    'MAX_REPORTED_USES',
    'NO_USE',
    'OrganisationUse',
    'add_up_uses',
    'organisation_number',
    'pack_uses',
    'unpack_uses',
]

# With at most this many, a report fits into one datagram.
MAX_REPORTED_USES = 96
NUMBER_CACHE_SIZE = 4096
_USE_FORMAT = struct.Struct('<IHH')
_MAX_COUNT = 65535


class OrganisationUse(NamedTuple):
    """Requests of an organisation in the last window.

    ``used`` counts the admitted requests, ``wanted`` all requests, including those
    refused because of the limit.
    """

    used: int
    wanted: int


NO_USE = OrganisationUse(0, 0)


@functools.lru_cache(maxsize=NUMBER_CACHE_SIZE)
def organisation_number(name: str) -> int:
    """Return the 32-bit hash that identifies an organisation in reports."""
    return score('organisation', name)


def add_up_uses(parts: Iterable[Mapping[int, OrganisationUse]]) -> dict[int, OrganisationUse]:
    """Return the sum of ``parts`` by organisation number."""
    total: dict[int, OrganisationUse] = {}
    for use_by_number in parts:
        for number, use in use_by_number.items():
            known = total.get(number, NO_USE)
            total[number] = OrganisationUse(known.used + use.used, known.wanted + use.wanted)
    return total


def pack_uses(use_by_number: Mapping[int, OrganisationUse]) -> bytes:
    """Encode the uses with the most requests, up to ``MAX_REPORTED_USES``."""
    if not use_by_number:
        return b''
    largest = sorted(use_by_number, key=lambda number: -use_by_number[number].wanted)
    return b''.join(
        _USE_FORMAT.pack(number, *(min(_MAX_COUNT, count) for count in use_by_number[number]))
        for number in largest[:MAX_REPORTED_USES]
    )


def unpack_uses(packed: bytes) -> dict[int, OrganisationUse]:
    """Decode uses; raise ``ValueError`` or ``struct.error`` if they are malformed."""
    if not packed:
        return {}
    if len(packed) > MAX_REPORTED_USES * _USE_FORMAT.size:
        raise ValueError(f'too many uses: {len(packed)} bytes, at most {MAX_REPORTED_USES} uses')
    return {
        number: OrganisationUse(used, wanted)
        for number, used, wanted in _USE_FORMAT.iter_unpack(packed)
    }
