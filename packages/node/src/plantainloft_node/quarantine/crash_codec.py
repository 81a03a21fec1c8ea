"""Binary encoding of crash reports; decoding rejects malformed input."""

import struct
from collections.abc import Iterable

from plantainloft_node.quarantine.crash_records import CrashReport, Exemption
from plantainloft_node.quarantine.crash_registry import MAX_CRASHES_PER_REPORT
from plantainloft_node.quarantine.fingerprints import (
    CALLER_BYTES,
    CONTENT_BYTES,
    RequestFingerprint,
)

__all__ = ['CRASH_BYTES', 'pack_crashes', 'unpack_crashes']

_CRASH_STRUCT = struct.Struct(f'<{CONTENT_BYTES}s{CALLER_BYTES}sIHB')
CRASH_BYTES = _CRASH_STRUCT.size
_MAX_AGE_S = 65535


def pack_crashes(reports: Iterable[CrashReport]) -> bytes:
    """Encode ``reports``; ages are rounded to whole seconds."""
    return b''.join(
        _CRASH_STRUCT.pack(
            *report.fingerprint,
            report.endpoint_hash,
            min(_MAX_AGE_S, round(report.age_s)),
            report.exemption,
        )
        for report in reports
    )


def unpack_crashes(
    packed: bytes, *, max_crashes: int = MAX_CRASHES_PER_REPORT
) -> tuple[CrashReport, ...]:
    """Decode ``packed``; raises ``ValueError`` or ``struct.error`` if it is malformed."""
    if len(packed) > max_crashes * CRASH_BYTES:
        raise ValueError(f'{len(packed)} bytes exceed the limit of {max_crashes} crashes')
    return tuple(
        CrashReport(
            fingerprint=RequestFingerprint(content, caller),
            endpoint_hash=endpoint_hash,
            age_s=float(age_s),
            exemption=_parse_exemption(exemption),
        )
        for content, caller, endpoint_hash, age_s, exemption in _CRASH_STRUCT.iter_unpack(packed)
    )


def _parse_exemption(flags: int) -> Exemption:
    if flags >= 2 * Exemption.ALL_CALLERS:
        raise ValueError(f'unknown exemption flags {flags:#x}')
    return Exemption(flags)
