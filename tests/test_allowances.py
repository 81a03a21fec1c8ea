"""Nodes' claims on a region never add up to more than its capacity."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from plantainloft_core.capacity_claims import CLAIM_LEASE_S, CapacityClaims
from plantainloft_core.model import Configuration, Region, build_configuration

NODES = 6
REGIONS = ('ankara', 'izmir')
CAPACITY = 40
NODE_INDEXES = st.integers(0, NODES - 1)
# A peer is declared dead after unanswered probes and a period of suspicion.
DEAD_AFTER_S = 1.4


def _config() -> Configuration:
    return build_configuration(
        version=1,
        regions_by_name={
            name: Region(name=name, capacity=CAPACITY, zones=(name,), entry_instances=3)
            for name in REGIONS
        },
        services_by_name={},
        endpoints_by_name={},
        client_blocks_by_name={},
    )


class ClaimsStateMachine(RuleBasedStateMachine):
    """Claims under lost answers, network partitions and paused nodes.

    Guards against two nodes filling the same free slots. This could happen
    if the claims on both sides grow around a heartbeat whose answer is lost,
    if one side of a partition keeps capacity that the other side takes over,
    or if a paused node resumes and uses a claim that has lapsed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.config = _config()
        self.now = 100.0
        self.all_claims = [CapacityClaims(home_region=REGIONS[index % 2]) for index in range(NODES)]
        self.partition_by_node = [0] * NODES
        self.paused: set[int] = set()
        self.last_heard: dict[tuple[int, int], float] = {}

    def _exchange(self, origin: int, other: int, *, answered: bool) -> None:
        all_claims = self.all_claims
        revision = all_claims[origin].revision
        all_claims[other].record_peer_claims(
            str(origin), dict(all_claims[origin].claimed_by_region), self.now
        )
        self.last_heard[other, origin] = self.now
        if answered:
            all_claims[origin].record_peer_claims(
                str(other), dict(all_claims[other].claimed_by_region), self.now
            )
            all_claims[origin].record_confirmation(str(other), revision)
            self.last_heard[origin, other] = self.now

    def _connected(self, one: int, other: int) -> bool:
        paused = one in self.paused or other in self.paused
        return (
            one != other
            and not paused
            and self.partition_by_node[one] == self.partition_by_node[other]
        )

    def _live_peers(self, index: int) -> list[str]:
        return [
            str(other)
            for other in range(NODES)
            if other != index
            and (
                self._connected(index, other)
                or self.now - self.last_heard.get((index, other), 0.0) < DEAD_AFTER_S
            )
        ]

    @initialize()
    def first_heartbeats(self) -> None:
        self.all_heartbeats()

    @rule(origin=NODE_INDEXES, other=NODE_INDEXES, answered=st.booleans())
    def one_heartbeat(self, origin: int, other: int, answered: bool) -> None:
        if self._connected(origin, other):
            self._exchange(origin, other, answered=answered)

    @rule()
    def all_heartbeats(self) -> None:
        self.now += 0.5
        for origin in range(NODES):
            for other in range(NODES):
                if self._connected(origin, other):
                    self._exchange(origin, other, answered=True)

    @rule(index=NODE_INDEXES, needed=st.sampled_from([0.0, 3.0, 15.0, 100.0]))
    def claim(self, index: int, needed: float) -> None:
        if index not in self.paused:
            self.all_claims[index].update_claims(
                self.config,
                demand_by_region=dict.fromkeys(REGIONS, needed),
                live_peers=self._live_peers(index),
                now=self.now,
            )

    @rule(partition_by_node=st.lists(st.integers(0, 1), min_size=NODES, max_size=NODES))
    def split_network(self, partition_by_node: list[int]) -> None:
        self.partition_by_node = partition_by_node

    @rule(index=NODE_INDEXES)
    def pause_or_resume(self, index: int) -> None:
        self.paused ^= {index}

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.5, CLAIM_LEASE_S + 0.1]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def claims_fit_region_capacity(self) -> None:
        for region in REGIONS:
            max_inflight = [
                claims.max_inflight(self.config, region, self.now) for claims in self.all_claims
            ]
            assert sum(max_inflight) <= CAPACITY + 1e-6


ClaimsStateMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
TestClaims = ClaimsStateMachine.TestCase


def test_busy_node_gets_most_of_the_unused_capacity() -> None:
    config = _config()
    all_claims = [CapacityClaims(home_region=REGIONS[index % 2]) for index in range(NODES)]
    now = 0.0
    for _ in range(30):
        now += 0.5
        for index, claims in enumerate(all_claims):
            for other, peer in enumerate(all_claims):
                if other != index:
                    claims.record_peer_claims(str(other), dict(peer.claimed_by_region), now)
                    claims.record_confirmation(str(other), claims.revision)
            claims.update_claims(
                config,
                demand_by_region={'ankara': 100.0 if index == 0 else 0.0},
                live_peers=[str(other) for other in range(NODES) if other != index],
                now=now,
            )
    assert all_claims[0].max_inflight(config, 'ankara', now) > CAPACITY * 0.5
