"""Packs reports into datagrams and parses datagrams with strict validation.

A datagram carries the name of its sender, whether the sender wants reports in
return, and reports: the sender's own and those that it forwards. Fleet-wide usage
of limits goes into a datagram of its own.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgpack

from plantainloft_node.fleet.report_codec import (
    DECODE_ERRORS,
    require_non_negative,
    require_type,
    unpack_report,
)
from plantainloft_node.fleet.reports import NO_USAGE, ZoneReport
from plantainloft_node.limits.organisation_usage import (
    OrganisationUsage,
    decode_usage,
    encode_usage,
)

__all__ = [
    'Datagram',
    'PackedReport',
    'ReceivedReport',
    'pack_datagrams',
    'unpack_datagram',
]

# Datagrams with another format version are ignored.
FORMAT_VERSION = 4
# Longer datagrams may be fragmented in transit, and the loss of one fragment
# loses the whole datagram.
MAX_DATAGRAM_BYTES = 1200


class PackedReport(NamedTuple):
    """An encoded report; ``forwarder_held_s`` is how long its forwarder has held it."""

    packed: bytes
    forwarder_held_s: float


class ReceivedReport(NamedTuple):
    """A decoded report, its encoding, and how long its forwarder held it."""

    report: ZoneReport
    packed: bytes
    forwarder_held_s: float


class Datagram(NamedTuple):
    """The content of a datagram; ``sender`` is unauthenticated and may be forged.

    ``fleet_usage`` is each organisation's usage of its limits in all zones, as far
    as the sender knows, by organisation number. It is empty if not reported.
    """

    sender: str
    wants_reports: bool
    reports: tuple[ReceivedReport, ...]
    fleet_usage: Mapping[int, OrganisationUsage] = NO_USAGE


def pack_datagrams(
    sender: str,
    *,
    wants_reports: bool,
    reports: Iterable[PackedReport],
    fleet_usage: Mapping[int, OrganisationUsage] = NO_USAGE,
) -> list[bytes]:
    """Pack ``reports`` in order into as few datagrams as possible.

    ``fleet_usage`` gets a datagram of its own, so that usage and reports do not
    compete for space.
    """
    packed_usage = encode_usage(fleet_usage)
    batches: list[list[PackedReport]] = []
    remaining_bytes = 0
    for report in reports:
        if not batches or len(report.packed) > remaining_bytes:
            batches.append([])
            remaining_bytes = MAX_DATAGRAM_BYTES
        batches[-1].append(report)
        remaining_bytes -= len(report.packed)
    packed = [_pack(sender, wants_reports, batch) for batch in batches]
    if packed_usage:
        packed.append(_pack(sender, wants_reports, [], packed_usage))
    return packed


def unpack_datagram(packed: bytes) -> Datagram | None:
    """Parse ``packed``; returns ``None`` if it is not a valid datagram."""
    try:
        return _parse_datagram(msgpack.unpackb(packed))
    except DECODE_ERRORS:
        return None


def _pack(
    sender: str, wants_reports: bool, batch: list[PackedReport], packed_usage: bytes = b''
) -> bytes:
    packed: bytes = msgpack.packb(
        [FORMAT_VERSION, sender, wants_reports, [list(report) for report in batch], packed_usage]
    )
    return packed


def _parse_datagram(raw: Any) -> Datagram:
    if raw[0] != FORMAT_VERSION:
        raise ValueError(f'format version {raw[0]!r} is not supported')
    sender, wants_reports, items, packed_usage = raw[1:]
    reports = tuple(
        ReceivedReport(
            unpack_report(require_type(packed, bytes)),
            packed,
            require_non_negative(forwarder_held_s),
        )
        for packed, forwarder_held_s in items
    )
    fleet_usage = decode_usage(require_type(packed_usage, bytes))
    return Datagram(
        require_type(sender, str), require_type(wants_reports, bool), reports, fleet_usage
    )
