"""Organisations' use of their request limits, as reported between instances."""

import functools
import struct
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from plantainloft_node.placement.rendezvous import rendezvous_score

__all__ = [
    'MAX_REPORTED_USAGES',
    'ZERO_USAGE',
    'OrganisationUsage',
    'decode_usage',
    'encode_usage',
    'organisation_number',
    'sum_usage',
]

# With at most this many usages, a report fits into one datagram.
MAX_REPORTED_USAGES = 96
NUMBER_CACHE_SIZE = 4096
_USAGE_FORMAT = struct.Struct('<IHH')
_MAX_COUNT = 65535


class OrganisationUsage(NamedTuple):
    """Requests of an organisation in the last window.

    ``used`` counts the admitted requests, ``wanted`` all requests, including those
    refused because of the limit.
    """

    used: int
    wanted: int


ZERO_USAGE = OrganisationUsage(0, 0)


@functools.lru_cache(maxsize=NUMBER_CACHE_SIZE)
def organisation_number(name: str) -> int:
    """Return the 32-bit hash that identifies an organisation in reports."""
    return rendezvous_score('organisation', name)


def sum_usage(parts: Iterable[Mapping[int, OrganisationUsage]]) -> dict[int, OrganisationUsage]:
    """Return the sum of ``parts`` by organisation number."""
    total: dict[int, OrganisationUsage] = {}
    for usage_by_number in parts:
        for number, usage in usage_by_number.items():
            known = total.get(number, ZERO_USAGE)
            total[number] = OrganisationUsage(known.used + usage.used, known.wanted + usage.wanted)
    return total


def encode_usage(usage_by_number: Mapping[int, OrganisationUsage]) -> bytes:
    """Encode the usages with the most requests, up to ``MAX_REPORTED_USAGES``."""
    if not usage_by_number:
        return b''
    largest = sorted(usage_by_number, key=lambda number: -usage_by_number[number].wanted)
    return b''.join(
        _USAGE_FORMAT.pack(number, *(min(_MAX_COUNT, count) for count in usage_by_number[number]))
        for number in largest[:MAX_REPORTED_USAGES]
    )


def decode_usage(packed: bytes) -> dict[int, OrganisationUsage]:
    """Decode usages; raise ``ValueError`` or ``struct.error`` if they are malformed."""
    if not packed:
        return {}
    if len(packed) > MAX_REPORTED_USAGES * _USAGE_FORMAT.size:
        raise ValueError(
            f'too many usages in a report: {len(packed)} bytes, '
            f'at most {MAX_REPORTED_USAGES} usages of {_USAGE_FORMAT.size} bytes'
        )
    return {
        number: OrganisationUsage(used, wanted)
        for number, used, wanted in _USAGE_FORMAT.iter_unpack(packed)
    }
