"""Message heads: header look-up, and which headers are passed on."""

from collections.abc import Iterable

__all__ = ['Headers', 'find', 'find_cookie', 'passed_on']

Headers = list[tuple[bytes, bytes]]

# RFC 9110 section 7.6.1: these concern one connection only.
HOP_BY_HOP = frozenset(
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


def find(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first header called ``name`` (lower case), if any."""
    for key, content in headers:
        if key == name:
            return content
    return None


def find_cookie(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str:
    """Return the cookie called ``name``, or an empty string."""
    wanted = name.lower()
    for key, content in headers:
        if key != b'cookie':
            continue
        for pair in content.split(b';'):
            cookie, _, text = pair.strip().partition(b'=')
            if cookie.lower() == wanted:
                return text.decode('latin-1')
    return ''


def passed_on(headers: Iterable[tuple[bytes, bytes]], *, without: frozenset[bytes]) -> Headers:
    """Return the headers to pass on: neither hop-by-hop nor ``without``.

    Headers that ``Connection`` names concern one connection as well.
    """
    listed = [content for key, content in headers if key == b'connection']
    named = frozenset(token.strip().lower() for content in listed for token in content.split(b','))
    dropped = HOP_BY_HOP | named | without
    return [(key, content) for key, content in headers if key not in dropped]
