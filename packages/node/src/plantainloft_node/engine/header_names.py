"""Names of the HTTP headers that the engine reads and sets.

Each deployment can configure its own names; the defaults are the product's.
"""

from typing import NamedTuple

__all__ = ['HeaderNames']


class HeaderNames(NamedTuple):
    """Header names in lower case, as bytes.

    ``request_id`` carries the caller's id of a request; ``timeout_ms`` carries the
    remaining time in milliseconds; ``affinity_cookie`` names the cookie whose value
    identifies the object that a request is about; ``target_endpoint`` carries the endpoint
    incarnation that must run the request; ``not_run`` is set by an endpoint that did
    not run the request; ``signature`` is set on every response that an endpoint itself
    produced (``None``: responses are not signed); ``load_report`` carries the numbers of
    running requests, waiting requests, and slots; ``request_limit`` lists the headers that may
    carry the requests a second that the endpoint takes from all instances together;
    ``leaving`` lists those by which an endpoint announces that it is leaving;
    ``organisation_key`` carries the API key of the caller's organisation and is removed
    before forwarding if the configuration requires keys; ``organisation`` tells an endpoint
    the name of that organisation;
    ``credential_headers`` are the headers that identify a caller.
    """

    request_id: bytes = b'x-request-id'
    timeout_ms: bytes = b'x-request-timeout-ms'
    affinity_cookie: bytes = b'affinity'
    target_endpoint: bytes = b'x-target-endpoint'
    not_run: bytes = b'x-not-run'
    signature: bytes | None = None
    load_report: bytes = b'x-load'
    request_limit: tuple[bytes, ...] = (b'x-request-limit',)
    leaving: tuple[bytes, ...] = (b'x-leaving',)
    organisation_key: bytes = b'api-key'
    organisation: bytes = b'x-organisation'
    credential_headers: tuple[bytes, ...] = (b'authorization', b'api-key')
