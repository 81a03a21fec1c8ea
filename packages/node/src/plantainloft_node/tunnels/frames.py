"""Messages of a tunnel between the instance that uses it and the peer that serves it.

The user sends one open request; bytes after it go to the endpoint unchanged. The peer
answers with one byte, the result, and sends what the endpoint sends in frames: so the end
of the endpoint's connection differs from the end of the peer, whose process may die at any
time. A response without a length, which ends with its connection, would look complete
otherwise.
"""

import struct
from enum import IntEnum
from typing import NamedTuple

import msgpack
from anyio.abc import ByteReceiveStream
from anyio.streams.buffered import BufferedByteReceiveStream

from plantainloft_node.fleet.report_codec import require_type

__all__ = [
    'FrameKind',
    'OpenRequest',
    'OpenResult',
    'pack_frame',
    'pack_open_request',
    'read_open_request',
    'read_result',
    'unpack_frame_header',
]

FORMAT_VERSION = 1
MAX_OPEN_REQUEST_BYTES = 1024
FRAME_HEADER = struct.Struct('>BI')
_LENGTH = struct.Struct('>H')


class OpenResult(IntEnum):
    """The peer's answer to an open request.

    ``UNREACHABLE``: the peer reaches other endpoints of the zone, but not this one.
    ``NO_LINK``: it has lost its own links to the zone. ``UNCERTAIN``: it doesn't reach the
    endpoint either, for unknown reasons. ``UNWANTED``: the endpoint has announced to the
    peer that it wants no requests.
    """

    OPENED = 0
    UNREACHABLE = 1
    NO_LINK = 2
    BUSY = 3
    DRAINING = 4
    UNKNOWN_ENDPOINT = 5
    UNWANTED = 6
    UNCERTAIN = 7


class FrameKind(IntEnum):
    """What a frame from the peer says.

    ``RETIRE``: the peer wants to be rid of the tunnel; no new request may use it.
    ``CLOSED``: the endpoint has closed its connection. ``BROKEN``: it was reset.
    """

    DATA = 0
    RETIRE = 1
    CLOSED = 2
    BROKEN = 3


class OpenRequest(NamedTuple):
    """Asks a peer for a connection to the endpoint ``incarnation``.

    ``user`` is the name of the asking instance, ``tunnel`` identifies the tunnel in logs,
    ``priority`` is that of the route of its first request, 0 being the highest.
    """

    user: str
    tunnel: str
    incarnation: str
    priority: int


def pack_open_request(request: OpenRequest) -> bytes:
    """Encode ``request``."""
    packed: bytes = msgpack.packb([FORMAT_VERSION, *request])
    return _LENGTH.pack(len(packed)) + packed


async def read_open_request(stream: BufferedByteReceiveStream) -> OpenRequest:
    """Read an open request; raises ``ValueError`` or ``TypeError`` if it is malformed."""
    length = _LENGTH.unpack(await stream.receive_exactly(_LENGTH.size))[0]
    if length > MAX_OPEN_REQUEST_BYTES:
        raise ValueError(f'open request of {length} bytes')
    version, *fields = msgpack.unpackb(await stream.receive_exactly(length))
    if version != FORMAT_VERSION:
        raise ValueError(f'open request of version {version!r}')
    user, tunnel, incarnation, priority = fields
    return OpenRequest(
        require_type(user, str),
        require_type(tunnel, str),
        require_type(incarnation, str),
        require_type(priority, int),
    )


async def read_result(stream: ByteReceiveStream) -> OpenResult:
    """Read the answer to an open request; raises ``ValueError`` if it is malformed."""
    return OpenResult((await stream.receive(1))[0])


def pack_frame(kind: FrameKind, payload: bytes = b'') -> bytes:
    """Encode one frame."""
    return FRAME_HEADER.pack(kind, len(payload)) + payload


def unpack_frame_header(header: bytes) -> tuple[FrameKind, int]:
    """Return the kind and the payload length of a frame; raises ``ValueError``."""
    kind, length = FRAME_HEADER.unpack(header)
    return FrameKind(kind), length
