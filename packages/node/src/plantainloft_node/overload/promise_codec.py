"""Packs promises into datagrams and parses them with strict validation."""

import struct
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgpack

from plantainloft_node.fleet.report_codec import require_type
from plantainloft_node.overload.promises import CLAIM_LATE_S, DIGEST_BYTES
from plantainloft_node.overload.return_schedule import HORIZON_S

__all__ = ['PROMISES_FORMAT_VERSION', 'PromiseReport', 'pack_promises', 'unpack_promises']

# Promises have a format of their own: builds that don't know it ignore these datagrams
# and read all others.
PROMISES_FORMAT_VERSION = 6
# Together with the names of the services they stay below the 1,200 bytes beyond which
# datagrams may be fragmented.
MAX_PROMISES_PER_DATAGRAM = 50
MAX_SERVICE_NAME_BYTES = 250
# Digest, number, time until due in milliseconds, position of the service, flags.
_PROMISE_STRUCT = struct.Struct('<8sIhBB')
_CLAIMED_FLAG = 1
_MS_PER_S = 1000.0
# Promises are announced until they can no longer be claimed.
_MAX_DUE_IN_S = HORIZON_S + 0.1
_MIN_DUE_IN_S = -CLAIM_LATE_S


class PromiseReport(NamedTuple):
    """A promise as announced: due ``due_in_s`` after the datagram was sent, in seconds."""

    digest: bytes
    service: str
    number: int
    due_in_s: float
    claimed: bool


def pack_promises(sender: str, reports: Iterable[PromiseReport]) -> list[bytes]:
    """Pack ``reports`` into datagrams; those that no receiver would accept are left out."""
    batches: list[list[PromiseReport]] = [[]]
    names: set[str] = set()
    for report in reports:
        if not _is_packable(report):
            continue
        names.add(report.service)
        if len(batches[-1]) == MAX_PROMISES_PER_DATAGRAM or _name_bytes(names) > (
            MAX_SERVICE_NAME_BYTES
        ):
            batches.append([])
            names = {report.service}
        batches[-1].append(report)
    return [_pack(sender, batch) for batch in batches if batch]


def unpack_promises(services: Any, packed: Any) -> tuple[PromiseReport, ...]:
    """Parse the fields after the sender; raises ``ValueError``, ``TypeError`` or similar."""
    names = [require_type(service, str) for service in require_type(services, list)]
    if len(require_type(packed, bytes)) > MAX_PROMISES_PER_DATAGRAM * _PROMISE_STRUCT.size:
        raise ValueError(f'{len(packed)} bytes of promises')
    if _name_bytes(names) > MAX_SERVICE_NAME_BYTES:
        raise ValueError('names of services are too long')
    return tuple(_parse(names, *fields) for fields in _PROMISE_STRUCT.iter_unpack(packed))


def _is_packable(report: PromiseReport) -> bool:
    return (
        len(report.digest) == DIGEST_BYTES
        and _MIN_DUE_IN_S <= report.due_in_s <= _MAX_DUE_IN_S
        and _name_bytes((report.service,)) <= MAX_SERVICE_NAME_BYTES
    )


def _pack(sender: str, batch: list[PromiseReport]) -> bytes:
    services = sorted({report.service for report in batch})
    position_by_service = {service: position for position, service in enumerate(services)}
    entries = b''.join(
        _PROMISE_STRUCT.pack(
            report.digest,
            report.number,
            round(report.due_in_s * _MS_PER_S),
            position_by_service[report.service],
            _CLAIMED_FLAG * report.claimed,
        )
        for report in batch
    )
    packed: bytes = msgpack.packb([PROMISES_FORMAT_VERSION, sender, services, entries])
    return packed


def _parse(
    services: list[str], digest: bytes, number: int, due_ms: int, position: int, flags: int
) -> PromiseReport:
    due_in_s = due_ms / _MS_PER_S
    if not _MIN_DUE_IN_S <= due_in_s <= _MAX_DUE_IN_S:
        raise ValueError(f'promise due in {due_in_s} s')
    if flags not in {0, _CLAIMED_FLAG}:
        raise ValueError(f'unknown flags {flags}')
    return PromiseReport(digest, services[position], number, due_in_s, bool(flags))


def _name_bytes(services: Iterable[str]) -> int:
    return sum(len(service.encode()) for service in services)
