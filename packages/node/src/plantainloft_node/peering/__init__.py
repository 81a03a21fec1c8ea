"""Gossip between entry instances and the connections that it uses."""

from plantainloft_node.peering.gossip import GossipService
from plantainloft_node.streams import (
    FrameHandler,
    PeerConnection,
    PeerConnections,
    PeerTrafficCounter,
    serve_peers,
)

__all__ = [
    'FrameHandler',
    'GossipService',
    'PeerConnection',
    'PeerConnections',
    'PeerTrafficCounter',
    'serve_peers',
]
