"""Packs reports into datagrams and parses datagrams with strict validation.

A datagram carries the name of its sender, whether the sender wants reports in
return, and reports: the sender's own and those that it forwards. Fleet-wide usage
of limits goes into a datagram of its own.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import msgpack

from plantainloft_node.endpoint_limits.claims import GroupClaims
from plantainloft_node.endpoint_limits.registry import LimitReport
from plantainloft_node.endpoint_limits.report_codec import (
    LIMIT_BYTES,
    pack_claims,
    pack_limits,
    unpack_claims,
    unpack_limits,
)
from plantainloft_node.fleet.capacity_codec import CAPACITY_FORMAT_VERSION, unpack_capacities
from plantainloft_node.fleet.report_codec import (
    DECODE_ERRORS,
    require_non_negative,
    require_type,
    unpack_report,
)
from plantainloft_node.fleet.reports import NO_USAGE, CapacityReport, ZoneReport
from plantainloft_node.limits.organisation_usage import (
    OrganisationUsage,
    decode_usage,
    encode_usage,
)
from plantainloft_node.overload.promise_codec import (
    PROMISES_FORMAT_VERSION,
    PromiseReport,
    unpack_promises,
)

__all__ = [
    'MAX_GROUPS_PER_DATAGRAM',
    'MAX_LIMITS_PER_DATAGRAM',
    'Datagram',
    'PackedReport',
    'ReceivedReport',
    'pack_datagrams',
    'pack_endpoint_limits',
    'unpack_datagram',
]

# Datagrams with another format version are ignored.
FORMAT_VERSION = 4
# Limits of endpoints have a format of their own: builds that don't know it ignore these
# datagrams and read all others.
ENDPOINT_LIMITS_FORMAT_VERSION = 5
# Longer datagrams may be fragmented in transit, and the loss of one fragment
# loses the whole datagram.
MAX_DATAGRAM_BYTES = 1200
# The most limits and groups of claims in one datagram.
MAX_LIMITS_PER_DATAGRAM = 40
MAX_GROUPS_PER_DATAGRAM = 3


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
    ``endpoint_limits`` and ``limit_claims`` are what the sender knows of the request
    limits of endpoints and of the instances that divide them. ``promises`` are the
    promises to refused callers that it announces, ``capacities`` what it knows of the
    capacities of instances.
    """

    sender: str
    wants_reports: bool
    reports: tuple[ReceivedReport, ...]
    fleet_usage: Mapping[int, OrganisationUsage] = NO_USAGE
    endpoint_limits: tuple[LimitReport, ...] = ()
    limit_claims: tuple[GroupClaims, ...] = ()
    promises: tuple[PromiseReport, ...] = ()
    capacities: tuple[CapacityReport, ...] = ()


def pack_endpoint_limits(
    sender: str, limits: Sequence[LimitReport], claims: Sequence[GroupClaims]
) -> bytes:
    """Pack as much of ``limits`` and ``claims``, in order, as one datagram takes."""
    packed: bytes = msgpack.packb(
        [
            ENDPOINT_LIMITS_FORMAT_VERSION,
            sender,
            pack_limits(limits[:MAX_LIMITS_PER_DATAGRAM]),
            [
                [group_claims.group, pack_claims(group_claims.claims)]
                for group_claims in claims[:MAX_GROUPS_PER_DATAGRAM]
            ],
        ]
    )
    return packed


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
    version = require_type(raw, list)[0]
    if version == ENDPOINT_LIMITS_FORMAT_VERSION:
        return _parse_endpoint_limits(*raw[1:])
    if version == PROMISES_FORMAT_VERSION:
        return _parse_promises(*raw[1:])
    if version == CAPACITY_FORMAT_VERSION:
        return _parse_capacities(*raw[1:])
    if version != FORMAT_VERSION:
        raise ValueError(f'format version {version!r} is not supported')
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


def _parse_endpoint_limits(sender: Any, packed_limits: Any, groups: Any) -> Datagram:
    if len(require_type(packed_limits, bytes)) > MAX_LIMITS_PER_DATAGRAM * LIMIT_BYTES:
        raise ValueError(f'{len(packed_limits)} bytes of endpoint limits')
    if len(groups) > MAX_GROUPS_PER_DATAGRAM:
        raise ValueError(f'claims of {len(groups)} groups')
    return Datagram(
        require_type(sender, str),
        wants_reports=False,
        reports=(),
        endpoint_limits=unpack_limits(packed_limits),
        limit_claims=tuple(
            unpack_claims(require_type(group, int), require_type(packed, bytes))
            for group, packed in groups
        ),
    )


def _parse_promises(sender: Any, services: Any, packed: Any) -> Datagram:
    return Datagram(
        require_type(sender, str),
        wants_reports=False,
        reports=(),
        promises=unpack_promises(services, packed),
    )


def _parse_capacities(sender: Any, packed_capacities: Any) -> Datagram:
    return Datagram(
        require_type(sender, str),
        wants_reports=False,
        reports=(),
        capacities=unpack_capacities(packed_capacities),
    )
