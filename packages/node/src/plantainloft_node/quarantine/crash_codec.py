"""Crash reports as bytes, and read back strictly."""

import struct
from collections.abc import Iterable

from plantainloft_node.quarantine.crash_book import MAX_REPORTED
from plantainloft_node.quarantine.crashes import Clearance, CrashReport
from plantainloft_node.quarantine.fingerprints import (
    CALLER_BYTES,
    CONTENT_BYTES,
    RequestFingerprint,
)

__all__ = ['CRASH_BYTES', 'pack_crashes', 'unpack_crashes']

_CRASH = struct.Struct(f'<{CONTENT_BYTES}s{CALLER_BYTES}sIHB')
CRASH_BYTES = _CRASH.size
_MAX_AGE_S = 65535


def pack_crashes(reports: Iterable[CrashReport]) -> bytes:
    """Return the bytes of ``reports``; ages are rounded to whole seconds."""
    return b''.join(
        _CRASH.pack(*one.request, one.endpoint, min(_MAX_AGE_S, round(one.age_s)), one.clearance)
        for one in reports
    )


def unpack_crashes(packed: bytes, *, most: int = MAX_REPORTED) -> tuple[CrashReport, ...]:
    """Return the reports in ``packed``; raises ``ValueError`` or ``struct.error``."""
    if len(packed) > most * CRASH_BYTES:
        raise ValueError('too many crashes')
    return tuple(
        CrashReport(
            request=RequestFingerprint(content, caller),
            endpoint=endpoint,
            age_s=float(age_s),
            clearance=_clearance(clearance),
        )
        for content, caller, endpoint, age_s, clearance in _CRASH.iter_unpack(packed)
    )


def _clearance(flags: int) -> Clearance:
    if flags >= 2 * Clearance.EVERYBODY:
        raise ValueError('an unknown clearance')
    return Clearance(flags)
