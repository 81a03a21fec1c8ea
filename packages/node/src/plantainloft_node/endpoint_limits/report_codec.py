"""Binary encoding of reports on limits and claims; decoding rejects malformed input."""

import math
import struct
from collections.abc import Iterable

from plantainloft_node.endpoint_limits.claims import MAX_CLAIMS_PER_GROUP, Claim, GroupClaims
from plantainloft_node.endpoint_limits.registry import LimitReport

__all__ = [
    'GROUP_CLAIM_BYTES',
    'LIMIT_BYTES',
    'pack_claims',
    'pack_limits',
    'unpack_claims',
    'unpack_limits',
]

# Endpoint number, requests a second, and age in tenths of a second.
_LIMIT_STRUCT = struct.Struct('<IdH')
LIMIT_BYTES = _LIMIT_STRUCT.size
# Instance number, and age in tenths of a second.
_CLAIM_STRUCT = struct.Struct('<IB')
GROUP_CLAIM_BYTES = _CLAIM_STRUCT.size * MAX_CLAIMS_PER_GROUP
_TENTHS_PER_SECOND = 10
_MAX_LIMIT_AGE_TENTHS = 65535
_MAX_CLAIM_AGE_TENTHS = 255
# Stands for a limit that has ended.
_ENDED = -1.0


def pack_limits(reports: Iterable[LimitReport]) -> bytes:
    """Encode ``reports``; ages are rounded up, so that no evidence looks newer."""
    return b''.join(
        _LIMIT_STRUCT.pack(
            report.number,
            _ENDED if report.per_s is None else report.per_s,
            min(_MAX_LIMIT_AGE_TENTHS, math.ceil(report.age_s * _TENTHS_PER_SECOND)),
        )
        for report in reports
    )


def unpack_limits(packed: bytes) -> tuple[LimitReport, ...]:
    """Decode ``packed``; raises ``ValueError`` or ``struct.error`` if it is malformed."""
    return tuple(
        LimitReport(number, _parse_limit(per_s), tenths / _TENTHS_PER_SECOND)
        for number, per_s, tenths in _LIMIT_STRUCT.iter_unpack(packed)
    )


def pack_claims(claims: Iterable[Claim]) -> bytes:
    """Encode the claims of one group; ages are rounded up."""
    return b''.join(
        _CLAIM_STRUCT.pack(
            claim.instance_number,
            min(_MAX_CLAIM_AGE_TENTHS, math.ceil(claim.age_s * _TENTHS_PER_SECOND)),
        )
        for claim in claims
    )


def unpack_claims(group: int, packed: bytes) -> GroupClaims:
    """Decode the claims of ``group``; raises ``ValueError`` or ``struct.error``."""
    if len(packed) > GROUP_CLAIM_BYTES:
        raise ValueError(f'{len(packed)} bytes of claims, at most {GROUP_CLAIM_BYTES} expected')
    return GroupClaims(
        group,
        tuple(
            Claim(number, tenths / _TENTHS_PER_SECOND)
            for number, tenths in _CLAIM_STRUCT.iter_unpack(packed)
        ),
    )


def _parse_limit(per_s: float) -> float | None:
    if per_s == _ENDED:
        return None
    if not math.isfinite(per_s) or per_s < 0:
        raise ValueError(f'limit of {per_s} requests a second')
    return per_s
