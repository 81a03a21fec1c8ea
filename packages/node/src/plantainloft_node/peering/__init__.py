"""Streams between entry instances: msgpack frames over TCP."""

from plantainloft_node.peering.links import Links, PeerLink
from plantainloft_node.peering.listener import Handler, serve_peers
from plantainloft_node.peering.mesh import Mesh
from plantainloft_node.peering.messages import Traffic

__all__ = ['Handler', 'Links', 'Mesh', 'PeerLink', 'Traffic', 'serve_peers']
