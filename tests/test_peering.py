"""Peers: whole answers out of order, silent connections, who is live."""

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
from plantainloft_core.outcomes import Unreachable
from plantainloft_core.roster import Roster, Status
from plantainloft_node.peering import PeerLink, Traffic, serve_peers
from plantainloft_standins.launch import free_port

pytestmark = pytest.mark.anyio

NODES = 9
ROUNDS = 30


@pytest.fixture
async def tasks() -> AsyncIterator[TaskGroup]:
    async with anyio.create_task_group() as group:
        yield group
        group.cancel_scope.cancel()


async def _echo_after(content: Any) -> Any:
    await anyio.sleep(content['delay_s'])
    return content


async def _linked(
    tasks: TaskGroup, serve: Callable[..., Awaitable[None]] = serve_peers
) -> PeerLink:
    address = f'127.0.0.1:{free_port()}'
    traffic = Traffic()
    await tasks.start(partial(serve, traffic=traffic), address, {'echo': _echo_after})
    return PeerLink(address=address, tasks=tasks, traffic=traffic)


async def test_each_call_gets_its_own_answer_out_of_order(tasks: TaskGroup) -> None:
    """Symptom: one caller is given the answer to another's question.

    Sequence: many calls on one connection, the first answered last; one
    call gives up and its answer comes later. Cause guarded: answers
    matched by order of arrival, or numbers used again.
    """
    link = await _linked(tasks)
    first = await link.call('echo', {'delay_s': 0}, timeout_s=5)
    assert first == {'delay_s': 0}
    answers: dict[int, Any] = {}

    async def ask(index: int) -> None:
        asked = {'delay_s': (20 - index) / 200, 'index': index}
        answers[index] = await link.call('echo', asked, timeout_s=5)

    async with anyio.create_task_group() as callers:
        for index in range(20):
            callers.start_soon(ask, index)
    assert {index: answer['index'] for index, answer in answers.items()} == {
        index: index for index in range(20)
    }


async def test_silent_connection_is_given_up_for_a_new_one(tasks: TaskGroup) -> None:
    """Symptom: a healthy peer looks dead for ever.

    Sequence: the first connection is accepted and then goes silent;
    connections opened after it work. Cause guarded: calls that keep
    using a connection nothing has come back on.
    """
    accepted: list[SocketStream] = []

    async def serve(
        address: str, _: object, *, traffic: Traffic, task_status: TaskStatus[None]
    ) -> None:
        host, _, port = address.rpartition(':')
        listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))

        async def one(stream: SocketStream) -> None:
            accepted.append(stream)
            if len(accepted) == 1:
                await anyio.sleep_forever()
            while True:
                # Answers call 2 whatever is sent: [kind, call, content].
                await stream.receive()
                await stream.send(b'\x93\xa5reply\x02\xa2ok')

        task_status.started()
        await listener.serve(one)

    link = await _linked(tasks, serve)
    assert isinstance(await link.call('echo', None, timeout_s=0.2), Unreachable)
    assert await link.call('echo', None, timeout_s=5) == 'ok'
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


class _Gossip:
    """Rosters that exchange beats in rounds; some links or nodes are down."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.rosters = [
            Roster(me=_member(index), suspect_s=2.0, seed=index) for index in range(NODES)
        ]
        for roster in self.rosters:
            roster.merge(self.rosters[0].everyone(), 0.0)
            self.rosters[0].merge(roster.everyone(), 0.0)
        self.now = 0.0

    def round(self, *, down: set[int], loss: float) -> None:
        self.now += 0.5
        for index, roster in enumerate(self.rosters):
            if index in down:
                continue
            roster.expire(self.now)
            for target in roster.targets(3):
                other = int(target.name[1:])
                if other in down or self.rng.random() < loss:
                    roster.miss(target.name, self.now)
                else:
                    self._beat(roster, self.rosters[other])

    def _beat(self, sender: Roster, receiver: Roster) -> None:
        for origin, heard_by in ((sender, receiver), (receiver, sender)):
            heard_by.hear(origin.me, self.now)
            heard_by.merge(origin.news(to=heard_by.me.name), self.now)


@settings(max_examples=40, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    down=st.sets(st.integers(1, NODES - 1), max_size=4),
    loss=st.sampled_from([0.0, 0.2, 0.5]),
)
def test_roster_agrees_after_loss_kills_and_freezes(seed: int, down: set[int], loss: float) -> None:
    """Symptom: a dead instance stays in look-ups, or a live one is left out.

    Sequence: some nodes are frozen while messages are lost; later they
    wake, believed dead by all, and messages get through again. Cause
    guarded: old news winning over new, rumours nobody answers.
    """
    gossip = _Gossip(seed)
    for _ in range(ROUNDS):
        gossip.round(down=set(), loss=0)
    for _ in range(ROUNDS):
        gossip.round(down=down, loss=loss)
    for _ in range(ROUNDS):
        gossip.round(down=down, loss=0)
    up = {index for index in range(NODES) if index not in down}
    for index in up:
        live = {member.name for member in gossip.rosters[index].live()}
        assert live == {f'n{other}' for other in up}
    for _ in range(2 * ROUNDS):
        gossip.round(down=set(), loss=0)
    for roster in gossip.rosters:
        assert len(roster.live()) == NODES


def test_news_of_an_older_incarnation_changes_nothing() -> None:
    roster = Roster(me=_member(0), suspect_s=1.0)
    fresh = _member(1)._replace(incarnation=5)
    roster.hear(fresh, 0.0)
    old = Roster(me=_member(1), suspect_s=1.0).everyone()
    roster.merge([event._replace(status=Status.DEAD) for event in old], 0.0)
    assert roster.status_of('n1') == Status.ALIVE
