"""Parses the header by which an endpoint asks for a rest (RFC 9110, section 10.2.3)."""

import re
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

__all__ = ['MAX_REST_S', 'MAX_SHOWN_BYTES', 'InvalidRetryAfterError', 'parse_retry_after']

# Bounds how long a malformed or hostile value keeps an endpoint out of use.
MAX_REST_S = 300.0
# Bytes of a malformed value that an error shows.
MAX_SHOWN_BYTES = 40
# Raised for dates that are malformed or out of range.
_DATE_ERRORS = (ValueError, TypeError, IndexError, OverflowError)
# Fractions of a second are accepted although the RFC has whole seconds only.
_SECONDS = re.compile(rb'\d+(\.\d*)?|\.\d+', flags=re.ASCII)


class InvalidRetryAfterError(ValueError):
    """A header value is neither a number of seconds nor an HTTP date."""


def parse_retry_after(header_value: bytes, *, date: bytes | None, unix_time_s: float) -> float:
    """Return the rest in seconds, uncapped.

    An HTTP date is relative to ``date``, the response's own ``Date`` header, or to
    ``unix_time_s`` without a valid one. Raises ``InvalidRetryAfterError`` if the value is
    neither.
    """
    text = header_value.strip()
    if _SECONDS.fullmatch(text):
        return float(text)
    until = _parse_http_date(text)
    if until is None:
        raise InvalidRetryAfterError(f'not seconds or an HTTP date: {text[:MAX_SHOWN_BYTES]!r}')
    sent_at = _parse_http_date(date or b'')
    if sent_at is None:
        sent_at = unix_time_s
    return max(0.0, until - sent_at)


def _parse_http_date(text: bytes) -> float | None:
    """Return a date as Unix time in seconds, or ``None`` if it is malformed."""
    try:
        parsed = parsedate_to_datetime(text.decode('ascii'))
    except _DATE_ERRORS:
        return None
    aware = parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)
    return (aware - datetime.fromtimestamp(0, UTC)).total_seconds()
