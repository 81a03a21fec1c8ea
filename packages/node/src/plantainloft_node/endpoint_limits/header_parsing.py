"""Parses the header in which an endpoint names its request limit."""

import math
from collections.abc import Sequence

__all__ = ['MAX_LIMIT_PER_S', 'InvalidLimitError', 'parse_request_limit']

# No endpoint takes more requests a second: a limit from here on counts as none, and
# takes no memory for its shares.
MAX_LIMIT_PER_S = 1000.0
# Bytes of a malformed value that an error shows.
MAX_SHOWN_BYTES = 40


class InvalidLimitError(ValueError):
    """A header value is not a limit."""


def parse_request_limit(header_values: Sequence[bytes]) -> float | None:
    """Return the limit in requests per second; ``None`` without a header.

    The lowest of several values applies. Raises ``InvalidLimitError`` unless each one
    is a finite decimal number that is not negative.
    """
    if not header_values:
        return None
    return min(MAX_LIMIT_PER_S, *(_parse_value(header_value) for header_value in header_values))


def _parse_value(header_value: bytes) -> float:
    text = header_value.strip()
    try:
        limit = float(text)
    except ValueError:
        raise InvalidLimitError(f'not a decimal number: {text[:MAX_SHOWN_BYTES]!r}') from None
    if not math.isfinite(limit) or limit < 0:
        raise InvalidLimitError(f'not a finite, non-negative number: {text[:MAX_SHOWN_BYTES]!r}')
    return limit
