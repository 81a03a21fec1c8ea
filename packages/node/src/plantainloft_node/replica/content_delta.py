"""Encodes a content as what changed from another one that its reader has.

Contents are split into pieces behind each closing brace. In a JSON document these are its
objects, so that a document of thousands of objects, of which a few changed, is a few ranges
of the former document and the pieces that are new. Whatever the contents are, the encoding
can be undone; without common pieces it is a compressed copy.
"""

import hashlib
import zlib
from functools import lru_cache
from typing import Any

import msgpack

from plantainloft_node.transfer_timeout import MAX_ANSWER_BYTES

__all__ = ['apply_delta', 'content_digest', 'encode_delta']

DIGEST_BYTES = 16
PIECE_END = b'}'
# Contents whose digests are remembered, so that each is computed once.
MAX_CACHED_DIGESTS = 16


@lru_cache(maxsize=MAX_CACHED_DIGESTS)
def content_digest(content: bytes) -> bytes:
    """Return a digest that identifies ``content``."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def encode_delta(base: bytes, content: bytes) -> bytes:
    """Encode ``content`` for a reader that has ``base``, which may be empty.

    The result is a compressed msgpack list of copies from ``base`` (offset and length in
    bytes) and of new bytes, in the order of ``content``.
    """
    steps: list[tuple[int, int] | bytes] = []
    offset_by_piece = _offset_by_piece(base)
    start, end = 0, 0
    new = bytearray()
    for piece in _pieces(content):
        if end > start and base.startswith(piece, end):
            end += len(piece)
            continue
        if end > start:
            steps.append((start, end - start))
            start = end
        offset = offset_by_piece.get(piece)
        if offset is None:
            new += piece
            start, end = 0, 0
            continue
        if new:
            steps.append(bytes(new))
            new.clear()
        start, end = offset, offset + len(piece)
    steps.append((start, end - start) if end > start else bytes(new))
    return zlib.compress(msgpack.packb(steps))


def apply_delta(base: bytes, encoded: bytes) -> bytes:
    """Return the content that was encoded for a reader of ``base``.

    Raises ``ValueError`` or ``TypeError`` if ``encoded`` is malformed, or the content is too
    large.
    """
    content = bytearray()
    for step in msgpack.unpackb(_decompress(encoded)):
        content += step if isinstance(step, bytes) else _copied(base, step)
        if len(content) > MAX_ANSWER_BYTES:
            raise ValueError(f'a content of more than {MAX_ANSWER_BYTES} bytes')
    return bytes(content)


def _copied(base: bytes, step: Any) -> bytes:
    offset, length = step
    copied = base[offset : offset + length]
    if offset < 0 or len(copied) != length:
        raise ValueError('a copy from outside of the known content')
    return copied


def _decompress(encoded: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(encoded, MAX_ANSWER_BYTES)
    except zlib.error as exc:
        raise ValueError(f'invalid compressed content: {exc}') from exc
    if not decompressor.eof:
        raise ValueError('compressed content that is incomplete or too large')
    return packed


def _offset_by_piece(content: bytes) -> dict[bytes, int]:
    offset_by_piece: dict[bytes, int] = {}
    offset = 0
    for piece in _pieces(content):
        offset_by_piece.setdefault(piece, offset)
        offset += len(piece)
    return offset_by_piece


def _pieces(content: bytes) -> list[bytes]:
    *ended, rest = content.split(PIECE_END)
    pieces = [piece + PIECE_END for piece in ended]
    return [*pieces, rest] if rest else pieces
