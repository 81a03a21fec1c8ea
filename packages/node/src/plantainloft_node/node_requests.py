"""The requests of the product's own interface."""

from typing import NamedTuple

from plantainloft_core.organisations import Organisation
from plantainloft_node.quarantine.fingerprints import RequestFingerprint, compute_fingerprint

__all__ = ['Request']

_CREDENTIAL_HEADERS = ('authorization', 'api-key')


class Request(NamedTuple):
    """A caller's request, as the node forwards it.

    ``caller`` is the address of the caller. ``organisation`` is the owner of the API
    key, or ``None`` if the configuration declares no organisations.
    """

    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    caller: str = ''
    organisation: Organisation | None = None

    def fingerprint(self) -> RequestFingerprint:
        """Return the fingerprint that identifies repeats of this request."""
        return compute_fingerprint(
            method=self.method.encode(),
            host=self.service.encode(),
            target=self.path.encode(),
            body=self.body,
            address=self.caller,
            credentials=(self.headers.get(name, '').encode() for name in _CREDENTIAL_HEADERS),
        )
