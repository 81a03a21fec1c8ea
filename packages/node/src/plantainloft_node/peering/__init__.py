"""Gossip between entry instances and the connections that it uses."""

from plantainloft_node.peering.mesh import GossipService
from plantainloft_node.streams import Handler, Links, PeerConnection, Traffic, serve_peers

__all__ = ['GossipService', 'Handler', 'Links', 'PeerConnection', 'Traffic', 'serve_peers']
