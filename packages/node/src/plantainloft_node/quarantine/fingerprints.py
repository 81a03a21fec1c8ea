"""What makes two requests the same: what is asked, and who asks it."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

__all__ = [
    'CALLER_BYTES',
    'CONTENT_BYTES',
    'RequestFingerprint',
    'fingerprint_of',
    'parse_fingerprint',
]

CONTENT_BYTES = 12
CALLER_BYTES = 8
# Of a longer body only this part is compared: the rest is still on its way
# when an endpoint is chosen.
MAX_HASHED_BODY_BYTES = 65536


class RequestFingerprint(NamedTuple):
    """Digests of a request: the same for each repeat, under any id.

    ``content`` covers method, host, path, query and body, ``caller`` who asks.
    """

    content: bytes
    caller: bytes

    def __str__(self) -> str:
        """Return the digests as operators read and type them."""
        return f'{self.content.hex()}-{self.caller.hex()}'


def fingerprint_of(
    *,
    method: bytes,
    host: bytes,
    target: bytes,
    body: bytes,
    address: str,
    credentials: Iterable[bytes] = (),
) -> RequestFingerprint:
    """Return the fingerprint of a request.

    A caller is known by its ``credentials``, or without any by its network
    ``address``: a caller that has credentials may come from many addresses.
    """
    identity = [one for one in credentials if one] or [address.encode()]
    return RequestFingerprint(
        content=_digest(
            (method, host.lower(), target, body[:MAX_HASHED_BODY_BYTES]), size=CONTENT_BYTES
        ),
        caller=_digest(identity, size=CALLER_BYTES),
    )


def parse_fingerprint(text: str) -> RequestFingerprint | None:
    """Return the fingerprint as operators write it, ``None`` if it is none."""
    content, _, caller = text.partition('-')
    try:
        request = RequestFingerprint(bytes.fromhex(content), bytes.fromhex(caller))
    except ValueError:
        return None
    sizes = (len(request.content), len(request.caller))
    return request if sizes == (CONTENT_BYTES, CALLER_BYTES) else None


def _digest(parts: Iterable[bytes], *, size: int) -> bytes:
    digest = blake2b(digest_size=size)
    for part in parts:
        # Each part with its length: no two lists of parts read the same.
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()
