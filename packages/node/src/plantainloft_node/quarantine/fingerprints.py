"""Fingerprints that identify repeats of a request by its content and its caller."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

__all__ = [
    'CALLER_BYTES',
    'CONTENT_BYTES',
    'RequestFingerprint',
    'compute_fingerprint',
    'parse_fingerprint',
]

CONTENT_BYTES = 12
CALLER_BYTES = 8
# The rest of a longer body has not arrived yet when an endpoint is chosen.
MAX_HASHED_BODY_BYTES = 65536


class RequestFingerprint(NamedTuple):
    """Digests of a request; repeats have the same ones, whatever their request id.

    ``content_digest`` covers method, host, path, query and body; ``caller_digest`` covers the
    credentials or the address of the caller.
    """

    content_digest: bytes
    caller_digest: bytes

    def __str__(self) -> str:
        """Return both digests in hexadecimal, the form that operators read and type."""
        return f'{self.content_digest.hex()}-{self.caller_digest.hex()}'


def compute_fingerprint(
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
        content_digest=_digest(
            (method, host.lower(), target, body[:MAX_HASHED_BODY_BYTES]), size=CONTENT_BYTES
        ),
        caller_digest=_digest(identity, size=CALLER_BYTES),
    )


def parse_fingerprint(text: str) -> RequestFingerprint | None:
    """Parse the form that operators type; return ``None`` if ``text`` is malformed."""
    content_digest, _, caller_digest = text.partition('-')
    try:
        fingerprint = RequestFingerprint(
            bytes.fromhex(content_digest), bytes.fromhex(caller_digest)
        )
    except ValueError:
        return None
    sizes = (len(fingerprint.content_digest), len(fingerprint.caller_digest))
    return fingerprint if sizes == (CONTENT_BYTES, CALLER_BYTES) else None


def _digest(parts: Iterable[bytes], *, size: int) -> bytes:
    digest = blake2b(digest_size=size)
    for part in parts:
        # The length prefix keeps different lists of parts from hashing the same bytes.
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()
