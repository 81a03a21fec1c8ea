"""No region overloaded: claims never add up to more than its capacity."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from plantainloft_core.allowances import HOLD_S, ClaimBook
from plantainloft_core.model import Configuration, Region, build_configuration

NODES = 6
REGIONS = ('ankara', 'izmir')
CAPACITY = 40
INDEXES = st.integers(0, NODES - 1)
# Death is found by probes that go unanswered, then by suspicion.
DEATH_AFTER_S = 1.4


def _config() -> Configuration:
    return build_configuration(
        version=1,
        regions_by_name={
            name: Region(name=name, capacity=CAPACITY, zones=(name,), entry_instances=3)
            for name in REGIONS
        },
        services_by_name={},
        endpoints_by_name={},
        blocks_by_name={},
    )


class ClaimsNeverExceedCapacity(RuleBasedStateMachine):
    """Nodes beat, lose answers, are cut off, freeze and wake, and claim.

    Symptom guarded: two nodes fill the same free slots. Sequences: growth
    on both sides of a beat whose answer is lost; a side cut off keeps
    what the other side takes up; a frozen node wakes and uses its claim.
    """

    def __init__(self) -> None:
        super().__init__()
        self.config = _config()
        self.now = 100.0
        self.books = [ClaimBook(home=REGIONS[index % 2]) for index in range(NODES)]
        self.side = [0] * NODES
        self.frozen: set[int] = set()
        self.last_heard: dict[tuple[int, int], float] = {}

    def _exchange(self, origin: int, other: int, *, answered: bool) -> None:
        books = self.books
        revision = books[origin].revision
        books[other].hear(str(origin), dict(books[origin].extra_by_region), self.now)
        self.last_heard[other, origin] = self.now
        if answered:
            books[origin].hear(str(other), dict(books[other].extra_by_region), self.now)
            books[origin].confirm(str(other), revision)
            self.last_heard[origin, other] = self.now

    def _connected(self, one: int, other: int) -> bool:
        frozen = one in self.frozen or other in self.frozen
        return one != other and not frozen and self.side[one] == self.side[other]

    def _live_peers(self, index: int) -> list[str]:
        return [
            str(other)
            for other in range(NODES)
            if other != index
            and (
                self._connected(index, other)
                or self.now - self.last_heard.get((index, other), 0.0) < DEATH_AFTER_S
            )
        ]

    @initialize()
    def all_meet(self) -> None:
        self.everyone_beats()

    @rule(origin=INDEXES, other=INDEXES, answered=st.booleans())
    def one_beat(self, origin: int, other: int, answered: bool) -> None:
        if self._connected(origin, other):
            self._exchange(origin, other, answered=answered)

    @rule()
    def everyone_beats(self) -> None:
        self.now += 0.5
        for origin in range(NODES):
            for other in range(NODES):
                if self._connected(origin, other):
                    self._exchange(origin, other, answered=True)

    @rule(index=INDEXES, needed=st.sampled_from([0.0, 3.0, 15.0, 100.0]))
    def claim(self, index: int, needed: float) -> None:
        if index not in self.frozen:
            self.books[index].adjust(
                self.config,
                needed_by_region=dict.fromkeys(REGIONS, needed),
                live_peers=self._live_peers(index),
                now=self.now,
            )

    @rule(sides=st.lists(st.integers(0, 1), min_size=NODES, max_size=NODES))
    def cut(self, sides: list[int]) -> None:
        self.side = sides

    @rule(index=INDEXES)
    def freeze_or_wake(self, index: int) -> None:
        self.frozen ^= {index}

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.5, HOLD_S + 0.1]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def no_region_is_overbooked(self) -> None:
        for region in REGIONS:
            allowed = [book.allowed(self.config, region, self.now) for book in self.books]
            assert sum(allowed) <= CAPACITY + 1e-6


ClaimsNeverExceedCapacity.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
TestClaims = ClaimsNeverExceedCapacity.TestCase


def test_a_busy_node_gets_most_of_what_nobody_uses() -> None:
    config = _config()
    books = [ClaimBook(home=REGIONS[index % 2]) for index in range(NODES)]
    now = 0.0
    for _ in range(30):
        now += 0.5
        for index, book in enumerate(books):
            for other, peer in enumerate(books):
                if other != index:
                    book.hear(str(other), dict(peer.extra_by_region), now)
                    book.confirm(str(other), book.revision)
            book.adjust(
                config,
                needed_by_region={'ankara': 100.0 if index == 0 else 0.0},
                live_peers=[str(other) for other in range(NODES) if other != index],
                now=now,
            )
    assert books[0].allowed(config, 'ankara', now) > CAPACITY * 0.5
