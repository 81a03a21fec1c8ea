"""How much of each region's capacity each node may use at once.

Nodes decide independently, and load reports can be late or wrong. Nodes
that see the same free slots would therefore fill them several times over.
To prevent this, each node claims part of every region's capacity (requests
in flight), and the claims never add up to more than that capacity:

- Half of the capacity is divided statically by the number of entry
  instances planned in the configuration. This is each node's guaranteed
  capacity, which it keeps whatever else fails.
- The other half is claimed on demand. A node's claim grows only after every
  live peer has confirmed its current one, and by at most
  ``CLAIM_GROWTH_FRACTION`` of the node's share of the unclaimed capacity, so
  claims that grew concurrently still fit.
- A claim above the guaranteed capacity is valid only while the node and the
  peers whose last heartbeat is at most ``HEARTBEAT_MAX_AGE_S`` old are more
  than half of the planned nodes. Other nodes may take it over only when its
  holder has sent them nothing for ``CLAIM_LEASE_S``, which is longer. A node
  that was partitioned, or paused and resumed, therefore falls back to its
  guaranteed capacity before that.

The module does no I/O: callers pass in received messages and the time.
"""

from collections.abc import Iterable, Mapping

from plantainloft_core.model import Configuration

__all__ = ['CapacityClaims', 'guaranteed_capacity']

GUARANTEED_FRACTION = 0.5
HOME_REGION_FRACTION = 0.8
CLAIM_GROWTH_FRACTION = 0.5
HEARTBEAT_MAX_AGE_S = 2.0
CLAIM_LEASE_S = 4.0
DEMAND_MARGIN_FACTOR = 1.5
DEMAND_MARGIN_SLOTS = 2.0


def _node_share(config: Configuration, region: str, *, home_region: str) -> float:
    """Return one node's share (0..1) of ``region``.

    The shares of all planned nodes add up to 1.
    """
    planned_by_region = {
        name: planned_region.entry_instances
        for name, planned_region in config.regions_by_name.items()
    }
    local_nodes = planned_by_region.get(region, 0)
    remote_nodes = sum(planned_by_region.values()) - local_nodes
    if not remote_nodes:
        return 1.0 / max(1, local_nodes)
    if not local_nodes:
        return 1.0 / remote_nodes
    return (
        HOME_REGION_FRACTION / local_nodes
        if region == home_region
        else (1.0 - HOME_REGION_FRACTION) / remote_nodes
    )


def guaranteed_capacity(config: Configuration, region: str, *, home_region: str) -> float:
    """Return how many requests a node of region ``home_region`` may always run in ``region``."""
    capacity = config.regions_by_name[region].capacity
    return capacity * GUARANTEED_FRACTION * _node_share(config, region, home_region=home_region)


class CapacityClaims:
    """One node's claims above its guaranteed capacity, and its peers' claims.

    ``claimed_by_region`` holds this node's claims. ``revision`` is incremented
    each time one of them grows. Times are in seconds of the caller's
    monotonic clock.
    """

    def __init__(self, *, home_region: str) -> None:
        self.claimed_by_region: dict[str, float] = {}
        self.revision = 0
        self._home_region = home_region
        self._claims_by_peer: dict[str, Mapping[str, float]] = {}
        self._last_message_at_by_peer: dict[str, float] = {}
        self._confirmed_revision_by_peer: dict[str, int] = {}

    def record_peer_claims(
        self, peer: str, claimed_by_region: Mapping[str, float], now: float
    ) -> None:
        """Record the claims that ``peer`` itself has sent."""
        self._claims_by_peer[peer] = claimed_by_region
        self._last_message_at_by_peer[peer] = now

    def record_confirmation(self, peer: str, revision: int) -> None:
        """Record that ``peer`` answered a heartbeat that carried ``revision``."""
        self._confirmed_revision_by_peer[peer] = revision

    def max_inflight(self, config: Configuration, region: str, now: float) -> float:
        """Return how many requests this node may have in flight in ``region``."""
        guaranteed = guaranteed_capacity(config, region, home_region=self._home_region)
        # The quorum is checked on every use, not only when the claim is made: a
        # node that was paused for longer than CLAIM_LEASE_S resumes here, and its
        # peers may have taken over its claim meanwhile.
        if not self._has_quorum(config, now):
            return guaranteed
        return guaranteed + self.claimed_by_region.get(region, 0.0)

    def update_claims(
        self,
        config: Configuration,
        *,
        demand_by_region: Mapping[str, float],
        live_peers: Iterable[str],
        now: float,
    ) -> None:
        """Adjust the claims to demand: lower them at once, raise them when safe."""
        if not self._has_quorum(config, now):
            self.claimed_by_region = {}
            return
        may_grow = self._all_peers_confirmed(live_peers)
        grown = False
        for region in config.regions_by_name:
            guaranteed = guaranteed_capacity(config, region, home_region=self._home_region)
            needed = demand_by_region.get(region, 0.0) * DEMAND_MARGIN_FACTOR + DEMAND_MARGIN_SLOTS
            wanted = max(0.0, needed - guaranteed)
            held = self.claimed_by_region.get(region, 0.0)
            if wanted > held and may_grow:
                node_share = _node_share(config, region, home_region=self._home_region)
                step = (
                    self._unclaimed_capacity(config, region, now)
                    * CLAIM_GROWTH_FRACTION
                    * node_share
                )
                grown = grown or step > 0
                self.claimed_by_region[region] = min(wanted, held + step)
            else:
                self.claimed_by_region[region] = min(wanted, held)
        if grown:
            self.revision += 1

    def _has_quorum(self, config: Configuration, now: float) -> bool:
        planned_nodes = sum(region.entry_instances for region in config.regions_by_name.values())
        fresh_heartbeats = [
            at for at in self._last_message_at_by_peer.values() if now - at <= HEARTBEAT_MAX_AGE_S
        ]
        return (len(fresh_heartbeats) + 1) * 2 > planned_nodes

    def _all_peers_confirmed(self, live_peers: Iterable[str]) -> bool:
        confirmed = self._confirmed_revision_by_peer
        return all(confirmed.get(peer, 0) == self.revision for peer in live_peers)

    def _unclaimed_capacity(self, config: Configuration, region: str, now: float) -> float:
        shared = config.regions_by_name[region].capacity * (1.0 - GUARANTEED_FRACTION)
        claimed = self.claimed_by_region.get(region, 0.0)
        for peer, claimed_by_region in self._claims_by_peer.items():
            if now - self._last_message_at_by_peer[peer] <= CLAIM_LEASE_S:
                claimed += claimed_by_region.get(region, 0.0)
        return max(0.0, shared - claimed)
