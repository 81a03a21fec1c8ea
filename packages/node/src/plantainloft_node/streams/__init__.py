"""Remote calls between entry instances, as msgpack frames over TCP."""

from plantainloft_node.streams.connections import (
    PeerConnection,
    PeerConnections,
    ignore_progress,
)
from plantainloft_node.streams.frames import PeerTrafficCounter
from plantainloft_node.streams.listener import FrameHandler, serve_peers

__all__ = [
    'FrameHandler',
    'PeerConnection',
    'PeerConnections',
    'PeerTrafficCounter',
    'ignore_progress',
    'serve_peers',
]
