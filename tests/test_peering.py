"""Peer calls: out-of-order answers, stale connections and member liveness."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream, TaskGroup, TaskStatus
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainloft_core.lookup import Member
from plantainloft_core.membership_list import MembershipList, MembershipStatus
from plantainloft_core.outcomes import Unreachable
from plantainloft_node.peering import PeerConnection, PeerTrafficCounter, serve_peers
from plantainloft_standins.processes import free_port

pytestmark = pytest.mark.anyio

NODE_COUNT = 9
ROUNDS_PER_PHASE = 30


@pytest.fixture
async def tasks() -> AsyncIterator[TaskGroup]:
    async with anyio.create_task_group() as group:
        yield group
        group.cancel_scope.cancel()


async def _echo_after_delay(content: Any) -> Any:
    await anyio.sleep(content['delay_s'])
    return content


async def _connect(
    tasks: TaskGroup, serve: Callable[..., Awaitable[None]] = serve_peers
) -> PeerConnection:
    address = f'127.0.0.1:{free_port()}'
    peer_traffic = PeerTrafficCounter()
    await tasks.start(
        partial(serve, peer_traffic=peer_traffic), address, {'echo': _echo_after_delay}
    )
    return PeerConnection(address=address, tasks=tasks, peer_traffic=peer_traffic)


async def test_each_call_gets_its_own_answer_out_of_order(tasks: TaskGroup) -> None:
    """A caller must not receive the answer to another call.

    This happens if answers are matched by order of arrival or if call numbers are
    reused. Many calls share one connection here, and the first is answered last.
    """
    connection = await _connect(tasks)
    first = await connection.call('echo', {'delay_s': 0}, timeout_s=5)
    assert first == {'delay_s': 0}
    answers: dict[int, Any] = {}

    async def ask(index: int) -> None:
        content = {'delay_s': (20 - index) / 200, 'index': index}
        answers[index] = await connection.call('echo', content, timeout_s=5)

    async with anyio.create_task_group() as callers:
        for index in range(20):
            callers.start_soon(ask, index)
    assert {index: answer['index'] for index, answer in answers.items()} == {
        index: index for index in range(20)
    }


async def test_stale_connection_is_replaced_by_a_new_one(tasks: TaskGroup) -> None:
    """A healthy peer must not look dead because of one stale connection.

    This happens if calls keep using a connection that returns nothing. The first
    connection here is accepted and then never answers; later ones work.
    """
    accepted: list[SocketStream] = []

    async def serve(
        address: str, _: object, *, peer_traffic: PeerTrafficCounter, task_status: TaskStatus[None]
    ) -> None:
        host, _, port = address.rpartition(':')
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))

        async def serve_connection(stream: SocketStream) -> None:
            accepted.append(stream)
            if len(accepted) == 1:
                await anyio.sleep_forever()
            while True:
                # Always answers call 2, as [kind, call, content]; call 1 got no answer.
                await stream.receive()
                await stream.send(b'\x93\xa5reply\x02\xa2ok')

        task_status.started()
        await listener.serve(serve_connection)

    connection = await _connect(tasks, serve)
    assert isinstance(await connection.call('echo', None, timeout_s=0.2), Unreachable)
    assert await connection.call('echo', None, timeout_s=5) == 'ok'
    assert len(accepted) == 2


def _member(index: int) -> Member:
    return Member(
        name=f'n{index}',
        zone='z',
        address=f'http://n{index}',
        leaving=False,
        peer_address=f'n{index}:1',
        incarnation=1,
    )


class _GossipSimulation:
    """Membership lists that gossip in rounds while messages are lost and nodes are down."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.membership_lists = [
            MembershipList(local_member=_member(index), suspicion_timeout_s=2.0, seed=index)
            for index in range(NODE_COUNT)
        ]
        for membership_list in self.membership_lists:
            membership_list.apply_updates(self.membership_lists[0].all_updates(), 0.0)
            self.membership_lists[0].apply_updates(membership_list.all_updates(), 0.0)
        self.now = 0.0

    def run_round(self, *, down: set[int], loss: float) -> None:
        self.now += 0.5
        for index, membership_list in enumerate(self.membership_lists):
            if index in down:
                continue
            membership_list.expire_suspects(self.now)
            for target in membership_list.next_probe_targets(3):
                other = int(target.name[1:])
                if other in down or self.rng.random() < loss:
                    membership_list.record_probe_failure(target.name, self.now)
                else:
                    self._exchange_heartbeats(membership_list, self.membership_lists[other])

    def _exchange_heartbeats(self, sender: MembershipList, receiver: MembershipList) -> None:
        for origin, recipient in ((sender, receiver), (receiver, sender)):
            recipient.record_contact(origin.local_member, self.now)
            recipient.apply_updates(
                origin.updates_for(receiver=recipient.local_member.name), self.now
            )


@settings(max_examples=40, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    down=st.sets(st.integers(1, NODE_COUNT - 1), max_size=4),
    loss=st.sampled_from([0.0, 0.2, 0.5]),
)
def test_membership_lists_agree_after_loss_kills_and_freezes(
    seed: int, down: set[int], loss: float
) -> None:
    """Look-ups must neither keep a dead instance nor miss a live one.

    This happens if older updates override newer ones or if a node does not refute
    false reports of its death. Some nodes are frozen here while messages are lost;
    they resume when all others believe them dead, and messages arrive again.
    """
    simulation = _GossipSimulation(seed)
    for _ in range(ROUNDS_PER_PHASE):
        simulation.run_round(down=set(), loss=0)
    for _ in range(ROUNDS_PER_PHASE):
        simulation.run_round(down=down, loss=loss)
    for _ in range(ROUNDS_PER_PHASE):
        simulation.run_round(down=down, loss=0)
    running = {index for index in range(NODE_COUNT) if index not in down}
    for index in running:
        live = {member.name for member in simulation.membership_lists[index].live_members()}
        assert live == {f'n{other}' for other in running}
    for _ in range(2 * ROUNDS_PER_PHASE):
        simulation.run_round(down=set(), loss=0)
    for membership_list in simulation.membership_lists:
        assert len(membership_list.live_members()) == NODE_COUNT


def test_updates_of_an_older_incarnation_are_ignored() -> None:
    membership_list = MembershipList(local_member=_member(0), suspicion_timeout_s=1.0)
    newer = _member(1)._replace(incarnation=5)
    membership_list.record_contact(newer, 0.0)
    older_updates = MembershipList(local_member=_member(1), suspicion_timeout_s=1.0).all_updates()
    membership_list.apply_updates(
        [update._replace(status=MembershipStatus.DEAD) for update in older_updates], 0.0
    )
    assert membership_list.status_of('n1') == MembershipStatus.ALIVE
