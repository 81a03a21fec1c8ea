"""Decides whether an instance opens one more tunnel for a peer.

An instance serves its own callers first. When it gets slow, tunnels of low priority are
refused before others, and those that are open are retired, so that their users ask again.
"""

__all__ = ['MAX_TUNNELS', 'allowed_priority', 'is_admitted']

# Each takes two descriptors, of which an instance has a few thousand.
MAX_TUNNELS = 1000
# Shares of ``MAX_TUNNELS`` up to which tunnels of a priority (0 is the highest) are opened.
TUNNEL_SHARE_BY_PRIORITY = (1.0, 0.85, 0.7)
# Delays of the event loop, in seconds, above which a priority is not admitted any more.
# An instance whose share of the processor is a quota is delayed by up to 0.1 s.
MAX_DELAY_S_BY_PRIORITY = (0.4, 0.25, 0.15)
_LOWEST_PRIORITY = len(MAX_DELAY_S_BY_PRIORITY) - 1


def allowed_priority(loop_delay_s: float) -> int:
    """Return the lowest priority that is served at this delay; -1 if none is."""
    return sum(loop_delay_s <= limit_s for limit_s in MAX_DELAY_S_BY_PRIORITY) - 1


def is_admitted(priority: int, *, open_tunnels: int, loop_delay_s: float) -> bool:
    """Return whether a tunnel for a request of ``priority`` may be opened."""
    bounded = min(max(priority, 0), _LOWEST_PRIORITY)
    if bounded > allowed_priority(loop_delay_s):
        return False
    return open_tunnels < MAX_TUNNELS * TUNNEL_SHARE_BY_PRIORITY[bounded]
