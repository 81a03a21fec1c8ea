"""Outcome types: the results of requests, commits and calls to the platform.

Errors are returned as values of these types, and callers match on the class.
Exceptions are raised only for violated invariants.
"""

from dataclasses import dataclass

__all__ = [
    'Committed',
    'Conflict',
    'Invalid',
    'Limited',
    'Quarantined',
    'Refused',
    'Served',
    'Unauthorised',
    'Unknown',
    'Unreachable',
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Served:
    """The endpoint executed the request; this is its complete response.

    ``request_limits`` are the limits of requests a second that the endpoint named in
    its response, as it wrote them.
    """

    status: int
    body: bytes
    endpoint: str
    request_limits: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The request was not executed; the caller may retry after a delay.

    ``retry_after_s`` is in whole seconds, as in the ``Retry-After`` header.
    """

    reason: str
    retry_after_s: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The request may or may not have been executed; only the endpoint knows."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Quarantined:
    """The request is not forwarded because endpoints crash when they run it."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Unauthorised:
    """The request was not executed: its key belongs to no organisation."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Limited:
    """The request exceeds its organisation's rate limit and was not executed."""

    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """A configuration patch was committed as ``version``."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """A patch was submitted against a version that is no longer current."""

    current_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Invalid:
    """A document or patch violates the schema; ``problems`` lists all violations."""

    problems: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Unreachable:
    """The platform's table service did not respond, or returned an error."""

    reason: str
