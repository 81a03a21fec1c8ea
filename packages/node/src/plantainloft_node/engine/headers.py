"""Header look-up, and the selection of headers to forward."""

from collections.abc import Container, Iterable

__all__ = [
    'Headers',
    'find_all_headers',
    'find_cookie',
    'find_header',
    'forwardable_headers',
    'parse_header_integer',
]

Headers = list[tuple[bytes, bytes]]

# RFC 9110 section 7.6.1: these headers apply to a single connection only.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the value of the first header ``name`` (lower case), if any."""
    for key, value in headers:
        if key == name:
            return value
    return None


def find_all_headers(
    headers: Iterable[tuple[bytes, bytes]], names: Container[bytes]
) -> list[bytes]:
    """Return the values of all headers whose names (lower case) are in ``names``."""
    return [value for key, value in headers if key in names]


def find_cookie(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str:
    """Return the value of the cookie ``name``, or an empty string."""
    wanted = name.lower()
    for key, value in headers:
        if key != b'cookie':
            continue
        for pair in value.split(b';'):
            cookie, _, text = pair.strip().partition(b'=')
            if cookie.lower() == wanted:
                return text.decode('latin-1')
    return ''


def parse_header_integer(header_value: bytes, *, maximum: int) -> int | None:
    """Return a decimal integer, at most ``maximum``; ``None`` if it is none.

    A header can hold more digits than a float or ``int()`` accepts.
    """
    digits = header_value.strip()
    if not digits.isdigit():
        return None
    significant = digits.lstrip(b'0') or b'0'
    return maximum if len(significant) > len(str(maximum)) else min(maximum, int(significant))


def forwardable_headers(
    headers: Iterable[tuple[bytes, bytes]], *, exclude: frozenset[bytes]
) -> Headers:
    """Return the headers to forward: neither hop-by-hop headers nor ``exclude``.

    Headers listed in ``Connection`` are hop-by-hop as well.
    """
    connection_values = [value for key, value in headers if key == b'connection']
    listed_names = frozenset(
        token.strip().lower() for value in connection_values for token in value.split(b',')
    )
    dropped = HOP_BY_HOP_HEADERS | listed_names | exclude
    return [(key, value) for key, value in headers if key not in dropped]
