"""Queue of membership updates that a node sends with its messages (gossip)."""

import math

__all__ = ['GossipQueue']

SENDS_PER_NODE_DOUBLING = 3
MAX_UPDATES_PER_MESSAGE = 12


class GossipQueue:
    """Names of the members with updates to send; those with the most sends left go first.

    Each update is sent a number of times that grows with the logarithm of the
    number of nodes, which is enough for gossip to reach all of them.
    """

    def __init__(self) -> None:
        self._sends_left_by_name: dict[str, int] = {}

    def add(self, name: str, *, nodes: int) -> None:
        """Queue an update of member ``name`` in a cluster of ``nodes`` nodes."""
        doublings = math.ceil(math.log2(nodes + 1))
        self._sends_left_by_name[name] = SENDS_PER_NODE_DOUBLING * doublings

    def discard(self, name: str) -> None:
        """Remove the update of member ``name``."""
        self._sends_left_by_name.pop(name, None)

    def take(self) -> list[str]:
        """Return the members whose updates go into the next message."""
        names = sorted(
            self._sends_left_by_name,
            key=lambda name: self._sends_left_by_name[name],
            reverse=True,
        )[:MAX_UPDATES_PER_MESSAGE]
        for name in names:
            self._sends_left_by_name[name] -= 1
            if not self._sends_left_by_name[name]:
                self._sends_left_by_name.pop(name)
        return names
