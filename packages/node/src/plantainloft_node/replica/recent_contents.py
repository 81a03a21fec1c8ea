"""The contents that large rows had recently, so that peers can be sent what changed since."""

from collections.abc import Collection
from functools import lru_cache
from typing import NamedTuple

from plantainloft_node.replica.content_delta import apply_delta, content_digest, encode_delta

__all__ = ['ENCODED_CONTENT_BYTES', 'EncodedContent', 'RecentContents']

# Contents of at least this size are encoded. For smaller ones it saves nothing.
ENCODED_CONTENT_BYTES = 4096
# A reader that has none of the contents kept is sent the row whole, compressed.
MAX_CONTENTS = 16
MAX_CONTENTS_BYTES = 8_000_000
# Digests that a request names. A peer that has none of these contents is far behind.
MAX_NAMED_DIGESTS = 4
# Peers at a few different contents ask for the same one at about the same time.
MAX_CACHED_DELTAS = 8


class EncodedContent(NamedTuple):
    """A content encoded for a reader of another one, which is empty if it has no digest."""

    base_digest: bytes
    digest: bytes
    delta: bytes


class RecentContents:
    """The last large contents of rows, by their digests."""

    def __init__(self) -> None:
        # The newest one is the last.
        self._content_by_digest: dict[bytes, bytes] = {}
        self._total_bytes = 0
        self._encode = lru_cache(maxsize=MAX_CACHED_DELTAS)(_encode)

    def record(self, content: bytes | None) -> None:
        """Keep the new ``content`` of a row if it is large."""
        if content is None or len(content) < ENCODED_CONTENT_BYTES:
            return
        digest = content_digest(content)
        self._remove(digest)
        self._content_by_digest[digest] = content
        self._total_bytes += len(content)
        while len(self._content_by_digest) > MAX_CONTENTS or self._is_too_large():
            self._remove(next(iter(self._content_by_digest)))

    def digests(self) -> list[bytes]:
        """Return the digests of the newest contents, for a request."""
        return list(self._content_by_digest)[-MAX_NAMED_DIGESTS:]

    def encode(self, content: bytes, known_digests: Collection[bytes]) -> EncodedContent:
        """Encode ``content`` for a reader that has contents with ``known_digests``."""
        newest_first = reversed(self._content_by_digest.items())
        bases = (base for digest, base in newest_first if digest in known_digests)
        return self._encode(next(bases, b''), content)

    def decode(self, encoded: EncodedContent) -> bytes:
        """Return the content; raises ``ValueError`` or ``TypeError`` if that is not possible."""
        base = self._content_by_digest.get(encoded.base_digest, b'')
        if encoded.base_digest and not base:
            raise ValueError('encoded for a reader of another content')
        content = apply_delta(base, encoded.delta)
        if content_digest(content) != encoded.digest:
            raise ValueError('the decoded content has another digest')
        return content

    def _is_too_large(self) -> bool:
        return len(self._content_by_digest) > 1 and self._total_bytes > MAX_CONTENTS_BYTES

    def _remove(self, digest: bytes) -> None:
        self._total_bytes -= len(self._content_by_digest.pop(digest, b''))


def _encode(base: bytes, content: bytes) -> EncodedContent:
    base_digest = content_digest(base) if base else b''
    return EncodedContent(base_digest, content_digest(content), encode_delta(base, content))
