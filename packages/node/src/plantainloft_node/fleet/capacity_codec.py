"""Encodes the capacities of instances into a datagram of its own, and decodes them strictly."""

import math
import struct
from collections.abc import Sequence
from typing import Any

import msgpack

from plantainloft_node.capacity.settings import MAX_CAPACITY, Capacity
from plantainloft_node.capacity.usage import CapacityUse, InstanceCapacity
from plantainloft_node.fleet.report_codec import require_type
from plantainloft_node.fleet.reports import CapacityReport

__all__ = [
    'CAPACITY_FORMAT_VERSION',
    'MAX_CAPACITIES_PER_DATAGRAM',
    'pack_capacities',
    'unpack_capacities',
]

# Capacities have a format of their own: builds that don't know it ignore these datagrams
# and read all others.
CAPACITY_FORMAT_VERSION = 7
# Key, age in tenths of a second; capacity: processor in hundredths of a core, memory in MB,
# descriptors, link in kbit/s, 0 where unknown; use: four percentages, and the delay of the
# event loop in hundredths of a second.
_CAPACITY_STRUCT = struct.Struct('<IBIIII5B')
# With 24 to 40 bytes of envelope, the datagram stays below 1200 bytes.
MAX_CAPACITIES_PER_DATAGRAM = 44
_TENTHS_PER_SECOND = 10
_HUNDREDTHS = 100
_KBIT_PER_MBIT = 1000
_MAX_BYTE = 255
# Of the figures of a capacity.
_UNITS = (_HUNDREDTHS, 1, 1, _KBIT_PER_MBIT)


def pack_capacities(sender: str, reports: Sequence[CapacityReport]) -> bytes:
    """Pack as many of ``reports``, in order, as one datagram takes."""
    packed: bytes = msgpack.packb(
        [
            CAPACITY_FORMAT_VERSION,
            sender,
            b''.join(_pack(report) for report in reports[:MAX_CAPACITIES_PER_DATAGRAM]),
        ]
    )
    return packed


def unpack_capacities(packed: Any) -> tuple[CapacityReport, ...]:
    """Decode the capacities of a datagram; raises one of ``DECODE_ERRORS``."""
    if len(require_type(packed, bytes)) > MAX_CAPACITIES_PER_DATAGRAM * _CAPACITY_STRUCT.size:
        raise ValueError(f'{len(packed)} bytes of capacities')
    return tuple(_parse(*numbers) for numbers in _CAPACITY_STRUCT.iter_unpack(packed))


def _pack(report: CapacityReport) -> bytes:
    limits, use = report.capacity
    figures = map(_figure, limits, _UNITS)
    return _CAPACITY_STRUCT.pack(
        report.key,
        # Rounded up, so that no report looks newer.
        min(_MAX_BYTE, math.ceil(report.age_s * _TENTHS_PER_SECOND)),
        *figures,
        *(min(_MAX_BYTE, round(part * _HUNDREDTHS)) for part in use),
    )


def _figure(number: float | None, units: int) -> int:
    return 0 if number is None else max(1, round(number * units))


def _parse_figure(figure: int, units: int, maximum: float | None) -> float | None:
    if maximum is not None and figure > maximum * units:
        raise ValueError(f'capacity of {figure / units}, at most {maximum} expected')
    return figure / units or None


def _parse(key: int, age_tenths: int, *numbers: int) -> CapacityReport:
    limits = Capacity(*map(_parse_figure, numbers, _UNITS, MAX_CAPACITY))
    use = CapacityUse(*(part / _HUNDREDTHS for part in numbers[len(_UNITS) :]))
    return CapacityReport(key, InstanceCapacity(limits, use), age_tenths / _TENTHS_PER_SECOND)
