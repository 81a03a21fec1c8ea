"""Encodes reports and decodes them with strict validation."""

import struct
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgpack

from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition
from plantainloft_node.fleet.reports import FleetMember, Heartbeat, MemberStatus, ZoneReport
from plantainloft_node.limits.organisation_usage import decode_usage, encode_usage
from plantainloft_node.quarantine.crash_codec import pack_crashes, unpack_crashes

__all__ = ['DECODE_ERRORS', 'pack_report', 'require_non_negative', 'require_type', 'unpack_report']

# Reports with more introduced instances are rejected.
MAX_INTRODUCED_READ = 64
# Exceptions raised by decoding bytes that are not a valid report.
DECODE_ERRORS = (ValueError, TypeError, IndexError, msgpack.UnpackException, struct.error)
# Key, flags, and age in tenths of a second.
_STATUS_STRUCT = struct.Struct('<IBB')
_READY_FLAG = 1
_DRAINING_FLAG = 2
_POLLS_STORE_FLAG = 4
_TENTHS_PER_SECOND = 10
# The age is sent as one byte.
_MAX_AGE_TENTHS = 255
# The field of the sequence also has the era of the store and a flag in its low bits, and
# the highest bit to distinguish it from those without. Builds that know no eras read the whole
# field as the sequence, whose order it keeps.
_ERA_BITS = 20
_HOLDS_ROWS_FLAG = 1 << _ERA_BITS
_SEQUENCE_SHIFT = _ERA_BITS + 1
_HAS_ERA_BIT = 62
_HAS_ERA_FLAG = 1 << _HAS_ERA_BIT
_ERA_MASK = (1 << _ERA_BITS) - 1


def pack_report(report: ZoneReport) -> bytes:
    """Encode ``report``."""
    packed: bytes = msgpack.packb(
        [
            _pack_sequence(report),
            _heartbeat_fields(report.heartbeat),
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
    sequence, raw_heartbeat, zone_rates, remaining_fields = msgpack.unpackb(packed)
    statuses, introduced, crashes, packed_usage = remaining_fields
    if len(introduced) > MAX_INTRODUCED_READ:
        raise ValueError(
            f'at most {MAX_INTRODUCED_READ} introduced instances expected, got {len(introduced)}'
        )
    numbers = _unpack_sequence(require_type(sequence, int))
    return ZoneReport(
        sequence=numbers.sequence,
        heartbeat=_parse_heartbeat(numbers, *raw_heartbeat),
        zone_rate_by_service=_parse_rates(zone_rates),
        statuses=tuple(_parse_statuses(require_type(statuses, bytes))),
        introduced=tuple(_parse_member(member) for member in introduced),
        crashes=unpack_crashes(require_type(crashes, bytes)),
        zone_usage_by_organisation=decode_usage(require_type(packed_usage, bytes)),
    )


class _ReportNumbers(NamedTuple):
    """What the field of the sequence contains."""

    sequence: int
    era: int = UNKNOWN_ERA
    holds_rows: bool = False


def _pack_sequence(report: ZoneReport) -> int:
    heartbeat = report.heartbeat
    if heartbeat.era == UNKNOWN_ERA:
        return report.sequence
    flag = _HOLDS_ROWS_FLAG if heartbeat.holds_rows else 0
    low_bits = (heartbeat.era - UNKNOWN_ERA) & _ERA_MASK | flag
    return _HAS_ERA_FLAG | report.sequence << _SEQUENCE_SHIFT | low_bits


def _unpack_sequence(packed: int) -> _ReportNumbers:
    if not packed & _HAS_ERA_FLAG:
        return _ReportNumbers(packed)
    return _ReportNumbers(
        sequence=(packed & ~_HAS_ERA_FLAG) >> _SEQUENCE_SHIFT,
        era=(packed & _ERA_MASK) + UNKNOWN_ERA,
        holds_rows=bool(packed & _HOLDS_ROWS_FLAG),
    )


def _parse_heartbeat(
    numbers: _ReportNumbers,
    member: Any,
    flags: Any,
    version_by_table: Any,
    rates: Any,
    available_for_s: Any,
    packed_usage: Any,
) -> Heartbeat:
    ready, draining, polls_store = (require_type(flag, bool) for flag in flags)
    return Heartbeat(
        member=_parse_member(member),
        ready=ready,
        draining=draining,
        position_by_table={
            require_type(table, str): StorePosition(
                numbers.era, require_type(version_by_table[table], int)
            )
            for table in version_by_table
        },
        rate_by_service=_parse_rates(rates),
        polls_store=polls_store,
        store_available_for_s=None
        if available_for_s is None
        else require_non_negative(available_for_s),
        usage_by_organisation=decode_usage(require_type(packed_usage, bytes)),
        era=numbers.era,
        holds_rows=numbers.holds_rows,
    )


def _parse_member(raw: Any) -> FleetMember:
    member = FleetMember(*raw)
    require_type(member.incarnation, int)
    for text in (
        member.name,
        member.region,
        member.zone,
        member.caller_address,
        member.heartbeat_address,
    ):
        require_type(text, str)
    return member


def _parse_rates(raw: Any) -> dict[str, float]:
    return {require_type(key, str): require_non_negative(raw[key]) for key in raw}


def _parse_statuses(packed: bytes) -> Iterator[MemberStatus]:
    for key, flags, tenths in _STATUS_STRUCT.iter_unpack(packed):
        yield MemberStatus(
            key=key,
            ready=bool(flags & _READY_FLAG),
            draining=bool(flags & _DRAINING_FLAG),
            polls_store=bool(flags & _POLLS_STORE_FLAG),
            age_s=tenths / _TENTHS_PER_SECOND,
        )


def _heartbeat_fields(heartbeat: Heartbeat) -> list[Any]:
    rates = _rounded(heartbeat.rate_by_service)
    flags = [heartbeat.ready, heartbeat.draining, heartbeat.polls_store]
    packed_usage = encode_usage(heartbeat.usage_by_organisation)
    return [
        list(heartbeat.member),
        flags,
        {table: position.version for table, position in heartbeat.position_by_table.items()},
        rates,
        heartbeat.store_available_for_s,
        packed_usage,
    ]


def _pack_status(status: MemberStatus) -> bytes:
    flags = (
        _READY_FLAG * status.ready
        | _DRAINING_FLAG * status.draining
        | _POLLS_STORE_FLAG * status.polls_store
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
