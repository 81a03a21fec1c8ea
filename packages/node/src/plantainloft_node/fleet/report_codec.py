"""Encodes reports and decodes them with strict validation."""

import struct
from collections.abc import Iterator
from typing import Any

import msgpack

from plantainloft_node.fleet.reports import Beat, FleetMember, MemberStatus, ZoneReport
from plantainloft_node.limits.uses import decode_usage, encode_usage
from plantainloft_node.quarantine.crash_codec import pack_crashes, unpack_crashes

__all__ = ['DECODE_ERRORS', 'pack_report', 'require_non_negative', 'require_type', 'unpack_report']

MAX_INTRODUCED = 64
# Exceptions raised by decoding bytes that are not a valid report.
DECODE_ERRORS = (ValueError, TypeError, IndexError, msgpack.UnpackException, struct.error)
_STATUS_STRUCT = struct.Struct('<IBB')
_READY_FLAG = 1
_LEAVING_FLAG = 2
_FOLLOWS_FLAG = 4
_TENTHS_PER_SECOND = 10
_MAX_AGE_TENTHS = 255


def pack_report(report: ZoneReport) -> bytes:
    """Encode ``report``."""
    packed: bytes = msgpack.packb(
        [
            report.sequence,
            _beat_fields(report.beat),
            _rounded(report.zone_rate_by_service),
            [
                b''.join(_pack_status(status) for status in report.statuses),
                [list(member) for member in report.introduced],
                pack_crashes(report.crashes),
                encode_usage(report.zone_usage_by_organisation),
            ],
        ]
    )
    return packed


def unpack_report(packed: bytes) -> ZoneReport:
    """Decode ``packed``; raises one of ``DECODE_ERRORS``."""
    sequence, raw_beat, zone_rates, lists = msgpack.unpackb(packed)
    statuses, introduced, crashes, uses = lists
    if len(introduced) > MAX_INTRODUCED:
        raise ValueError(
            f'at most {MAX_INTRODUCED} introduced instances expected, got {len(introduced)}'
        )
    return ZoneReport(
        sequence=require_type(sequence, int),
        beat=_parse_beat(*raw_beat),
        zone_rate_by_service=_parse_rates(zone_rates),
        statuses=tuple(_parse_statuses(require_type(statuses, bytes))),
        introduced=tuple(_parse_member(member) for member in introduced),
        crashes=unpack_crashes(require_type(crashes, bytes)),
        zone_usage_by_organisation=decode_usage(require_type(uses, bytes)),
    )


def _parse_beat(member: Any, flags: Any, newest: Any, rates: Any, served_s: Any, uses: Any) -> Beat:
    ready, leaving, follows = (require_type(flag, bool) for flag in flags)
    return Beat(
        member=_parse_member(member),
        ready=ready,
        leaving=leaving,
        newest_by_table={require_type(key, str): require_type(newest[key], int) for key in newest},
        rate_by_service=_parse_rates(rates),
        follows=follows,
        store_served_s=None if served_s is None else require_non_negative(served_s),
        usage_by_organisation=decode_usage(require_type(uses, bytes)),
    )


def _parse_member(raw: Any) -> FleetMember:
    member = FleetMember(*raw)
    require_type(member.incarnation, int)
    for text in (member.name, member.region, member.zone, member.front, member.peer):
        require_type(text, str)
    return member


def _parse_rates(raw: Any) -> dict[str, float]:
    return {require_type(key, str): require_non_negative(raw[key]) for key in raw}


def _parse_statuses(packed: bytes) -> Iterator[MemberStatus]:
    for key, flags, tenths in _STATUS_STRUCT.iter_unpack(packed):
        yield MemberStatus(
            key=key,
            ready=bool(flags & _READY_FLAG),
            leaving=bool(flags & _LEAVING_FLAG),
            follows=bool(flags & _FOLLOWS_FLAG),
            age_s=tenths / _TENTHS_PER_SECOND,
        )


def _beat_fields(beat: Beat) -> list[Any]:
    rates = _rounded(beat.rate_by_service)
    flags = [beat.ready, beat.leaving, beat.follows]
    uses = encode_usage(beat.usage_by_organisation)
    return [list(beat.member), flags, beat.newest_by_table, rates, beat.store_served_s, uses]


def _pack_status(status: MemberStatus) -> bytes:
    flags = (
        _READY_FLAG * status.ready | _LEAVING_FLAG * status.leaving | _FOLLOWS_FLAG * status.follows
    )
    tenths = min(_MAX_AGE_TENTHS, round(status.age_s * _TENTHS_PER_SECOND))
    return _STATUS_STRUCT.pack(status.key, flags, tenths)


def _rounded(rate_by_service: dict[str, float]) -> dict[str, float]:
    return {service: round(rate, 1) for service, rate in rate_by_service.items()}


def require_type(raw: Any, expected: type) -> Any:
    """Return ``raw`` if it is of the type ``expected``; raises ``TypeError``."""
    # ``bool`` is a subclass of ``int`` but is not accepted as a number.
    if not isinstance(raw, expected) or (isinstance(raw, bool) and expected is not bool):
        raise TypeError(f'{expected.__name__} expected, got {type(raw).__name__}')
    return raw


def require_non_negative(raw: Any) -> float:
    """Return ``raw`` as a float; raises ``ValueError`` unless finite and non-negative."""
    if isinstance(raw, bool) or not 0 <= raw < float('inf'):
        raise ValueError('finite non-negative number expected')
    return float(raw)
