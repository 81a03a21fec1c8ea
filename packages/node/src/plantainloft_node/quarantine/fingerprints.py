"""Fingerprints that identify repeats of a request by its content and its caller."""

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
# The rest of a longer body has not arrived yet when an endpoint is chosen.
MAX_HASHED_BODY_BYTES = 65536


class RequestFingerprint(NamedTuple):
    """Digests of a request; repeats have the same ones, whatever their request id.

    ``content`` covers method, host, path, query and body; ``caller`` covers the
    credentials or the address of the caller.
    """

    content: bytes
    caller: bytes

    def __str__(self) -> str:
        """Return both digests in hexadecimal, the form that operators read and type."""
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

    A caller is identified by its ``credentials``, since it may use many addresses,
    or by its network ``address`` if it sends no credentials.
    """
    identity = [credential for credential in credentials if credential] or [address.encode()]
    return RequestFingerprint(
        content=_digest(
            (method, host.lower(), target, body[:MAX_HASHED_BODY_BYTES]), size=CONTENT_BYTES
        ),
        caller=_digest(identity, size=CALLER_BYTES),
    )


def parse_fingerprint(text: str) -> RequestFingerprint | None:
    """Parse the form that operators type; return ``None`` if ``text`` is malformed."""
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
        # The length prefix keeps different lists of parts from hashing the same bytes.
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()
