"""Remote calls between entry instances, as msgpack frames over TCP."""

from plantainloft_node.streams.frames import Traffic
from plantainloft_node.streams.links import Links, PeerConnection
from plantainloft_node.streams.listener import Handler, serve_peers

__all__ = ['Handler', 'Links', 'PeerConnection', 'Traffic', 'serve_peers']
