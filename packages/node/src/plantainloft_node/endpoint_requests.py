"""Requests to endpoints, as the product's own interface sends them."""

from urllib.parse import quote

from plantainloft_node.engine.upstream_connection import UpstreamRequest

__all__ = ['build_upstream_request', 'host_of']


def host_of(address: str) -> str:
    """Return the ``host:port`` of an endpoint's URL."""
    return address.removeprefix('http://')


def build_upstream_request(
    address: str, *, method: str, path: str, headers: dict[str, str], body: bytes
) -> UpstreamRequest:
    """Return the request to send to the endpoint at ``address``."""
    raw_headers = [(key.encode(), text.encode('latin-1')) for key, text in headers.items()]
    raw_headers.append((b'host', host_of(address).encode()))
    raw_headers.append((b'content-length', str(len(body)).encode()))
    target = quote(f'/work/{path}').encode()
    return UpstreamRequest(method.encode(), target, raw_headers, body, body_complete=True)
