"""Organisations, their API keys and the limits of their requests.

Keys are stored as digests, never as plain text. A configuration that is read
from memory, or in transit between instances, therefore reveals no usable key.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from hashlib import sha256
from typing import NamedTuple

__all__ = [
    'DIGEST_PREFIX_DIGITS',
    'NO_ORGANISATIONS',
    'Organisation',
    'OrganisationIndex',
    'RateLimit',
    'build_organisation_index',
    'digest_key',
    'shared_key_digests',
]

# Number of leading hexadecimal digits of a digest that identify a key in messages.
DIGEST_PREFIX_DIGITS = 12


class RateLimit(NamedTuple):
    """The rate limit of an organisation, across all instances.

    In any time window, ``rate`` (requests per second) times the length of the
    window plus ``burst`` requests may run.
    """

    rate: float
    burst: float

    def max_requests(self, window_s: float) -> float:
        """Return how many requests may run in ``window_s`` seconds."""
        return self.rate * window_s + self.burst


class Organisation(NamedTuple):
    """An organisation and the settings of its requests.

    ``key_digests`` are hexadecimal, as returned by ``digest_key``. A ``limit``
    of ``None`` means no limit. ``priority`` overrides that of the route unless
    it is ``None``. ``regions`` are the only regions in which its requests may
    run; an empty set means all.
    """

    name: str
    key_digests: frozenset[str]
    limit: RateLimit | None = None
    priority: int | None = None
    regions: frozenset[str] = frozenset()


class OrganisationIndex(NamedTuple):
    """The organisations of one configuration version, indexed by name and key."""

    by_name: Mapping[str, Organisation]
    by_key_digest: Mapping[str, Organisation]

    def find_by_key(self, key: bytes) -> Organisation | None:
        """Return the organisation that ``key`` belongs to, if there is one."""
        return self.by_key_digest.get(digest_key(key))


def digest_key(key: bytes) -> str:
    """Return the SHA-256 digest of ``key`` as hexadecimal digits."""
    return sha256(key).hexdigest()


def build_organisation_index(organisations: Iterable[Organisation]) -> OrganisationIndex:
    """Index ``organisations`` by name and by key digest."""
    by_name = {organisation.name: organisation for organisation in organisations}
    return OrganisationIndex(
        by_name=by_name,
        by_key_digest={
            digest: organisation
            for organisation in by_name.values()
            for digest in organisation.key_digests
        },
    )


def shared_key_digests(organisations: Iterable[Organisation]) -> list[str]:
    """Return the digests of the keys that belong to several organisations."""
    holder_count_by_digest = Counter(
        digest for organisation in organisations for digest in organisation.key_digests
    )
    return sorted(digest for digest, count in holder_count_by_digest.items() if count > 1)


NO_ORGANISATIONS = build_organisation_index(())
