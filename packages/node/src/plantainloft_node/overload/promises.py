"""The promises that the instances of an availability zone have made to refused callers."""

import hashlib
from typing import NamedTuple

from plantainloft_node.overload.returns import Promise

__all__ = [
    'CLAIM_EARLY_S',
    'CLAIM_LATE_S',
    'DIGEST_BYTES',
    'BookedPromise',
    'PromiseBook',
    'caller_digest',
]

DIGEST_BYTES = 8
# Callers round the delay, and connect anew before they send: a connection to another
# region and a busy caller take up to a second.
CLAIM_EARLY_S = 0.1
CLAIM_LATE_S = 1.0
# Bounds the memory to about 1 MB; a zone of a fleet that returns 500 callers a second has
# about 2,500 promises at a time.
MAX_PROMISES = 4096
# Bounds the work of a claim where many callers share an address and a key.
MAX_PROMISES_PER_DIGEST = 32


class BookedPromise(NamedTuple):
    """A promise with the ``number`` that distinguishes those of one digest.

    ``is_own``: it was made by this instance. ``claimed``: its caller has returned.
    """

    promise: Promise
    number: int
    is_own: bool = False
    claimed: bool = False


class PromiseBook:
    """Promises by caller digest, until some time after they were due."""

    def __init__(self) -> None:
        self._booked_by_number_by_digest: dict[bytes, dict[int, BookedPromise]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def has_room(self, digest: bytes) -> bool:
        """Return whether a further promise to ``digest`` can be booked."""
        booked = self._booked_by_number_by_digest.get(digest, ())
        return self._count < MAX_PROMISES and len(booked) < MAX_PROMISES_PER_DIGEST

    def merge(self, booked: BookedPromise) -> bool:
        """Add a promise, or note that it was claimed; return whether there was room.

        Once claimed, a promise remains so, in whichever order its announcements arrive.
        """
        digest = booked.promise.digest
        known = self._booked_by_number_by_digest.get(digest, {}).get(booked.number)
        if known is None:
            if not self.has_room(digest):
                return False
            self._booked_by_number_by_digest.setdefault(digest, {})[booked.number] = booked
            self._count += 1
        elif booked.claimed and not known.claimed:
            self._replace(known._replace(claimed=True))
        return True

    def claim(self, digest: bytes, now: float) -> BookedPromise | None:
        """Claim the first promise that is due to ``digest``; ``None`` if there is none."""
        booked_by_number = self._booked_by_number_by_digest.get(digest)
        if booked_by_number is None:
            return None
        due = [booked for booked in booked_by_number.values() if _is_claimable(booked, now)]
        if not due:
            return None
        claimed = min(due, key=lambda booked: booked.promise.due_at)._replace(claimed=True)
        self._replace(claimed)
        return claimed

    def remove_expired(self, now: float) -> list[BookedPromise]:
        """Remove and return the promises that can no longer be claimed."""
        expired = [
            booked
            for booked_by_number in self._booked_by_number_by_digest.values()
            for booked in booked_by_number.values()
            if now > booked.promise.due_at + CLAIM_LATE_S
        ]
        for booked in expired:
            digest = booked.promise.digest
            booked_by_number = self._booked_by_number_by_digest[digest]
            booked_by_number.pop(booked.number)
            if not booked_by_number:
                self._booked_by_number_by_digest.pop(digest)
        self._count -= len(expired)
        return expired

    def _replace(self, booked: BookedPromise) -> None:
        self._booked_by_number_by_digest[booked.promise.digest][booked.number] = booked


def caller_digest(peer_host: str, route: str, affinity_key_or_target: str) -> bytes:
    """Return the digest by which a caller is recognised on its return.

    A retry has a new connection and a new request id, so neither is part of it.
    """
    parts = '\0'.join((peer_host, route, affinity_key_or_target))
    return hashlib.blake2b(
        parts.encode('utf-8', 'surrogateescape'), digest_size=DIGEST_BYTES
    ).digest()


def _is_claimable(booked: BookedPromise, now: float) -> bool:
    since_due_s = now - booked.promise.due_at
    return not booked.claimed and -CLAIM_EARLY_S <= since_due_s <= CLAIM_LATE_S
