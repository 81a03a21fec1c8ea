"""Background tasks by which an entry instance works together with its peers."""

from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup

from plantainloft_node.entry.component_parameters import seed_addresses
from plantainloft_node.entry.instance_registry import InstanceRegistry
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.entry.row_answers import RowAnswers
from plantainloft_node.entry.row_replication import (
    MEMBERS_CALL,
    ROWS_CALL,
    SMALL_ROWS_CALL,
    RowReplication,
)
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.entry.store_probes import PROBE_CALL, StoreProbes
from plantainloft_node.fleet.heartbeats import HeartbeatExchange
from plantainloft_node.fleet.membership import FleetMembership, Heartbeat
from plantainloft_node.overload.promise_exchange import PromiseExchange
from plantainloft_node.quarantine.quarantine import Quarantine
from plantainloft_node.replica.row_replica import RowReplica
from plantainloft_node.tunnels.announcements import ANNOUNCEMENT_CALL, AnnouncementForwarder

__all__ = ['follow_store_returns', 'start_fleet_tasks']

# Row changes within this pause are announced to peers together.
ROW_CHANGE_DEBOUNCE_S = 0.1


def start_fleet_tasks(
    *,
    settings: EntrySettings,
    members: FleetMembership,
    replicated_state: ReplicatedState,
    own_heartbeat: Callable[[], Heartbeat],
    quarantine: Quarantine,
    announcements: AnnouncementForwarder,
    promises: PromiseExchange,
    tasks: TaskGroup,
) -> HeartbeatExchange:
    """Start heartbeats, peer calls, store probes and instance registration.

    ``own_heartbeat`` returns the heartbeat of this instance. Returns the heartbeat
    exchange, which the caller uses to send heartbeats out of turn.
    """
    calls = PeerCalls(settings=settings, tasks=tasks)
    row_replication = RowReplication(
        calls=calls, members=members, replicated_state=replicated_state, tasks=tasks
    )
    probes = StoreProbes(calls=calls, members=members, replicated_state=replicated_state)
    heartbeats = HeartbeatExchange(
        members=members,
        own_heartbeat=own_heartbeat,
        on_update_hint=row_replication.on_update_hint,
        seeds=seed_addresses(settings),
        crash_registry=quarantine.crash_registry,
        endpoint_limits=replicated_state.endpoint_registry.request_limits,
        on_promises=promises.receive,
    )
    instances = InstanceRegistry(members=members, store=replicated_state.store)
    answers = RowAnswers(members=members, replicated_state=replicated_state)
    handler_by_kind = {
        ROWS_CALL: answers.answer_rows_call,
        SMALL_ROWS_CALL: answers.answer_small_rows_call,
        MEMBERS_CALL: answers.answer_members_call,
        PROBE_CALL: probes.answer_probe_call,
        ANNOUNCEMENT_CALL: announcements.answer_call,
    }
    tasks.start_soon(calls.serve, handler_by_kind)
    tasks.start_soon(announcements.run, calls)
    tasks.start_soon(promises.run, heartbeats.send_to_zone)
    tasks.start_soon(_announce_row_changes, replicated_state.rows, heartbeats)

    tasks.start_soon(
        follow_store_returns,
        replicated_state,
        (
            heartbeats.request_round,
            instances.read_again_soon,
            quarantine.write_again_after_return,
        ),
    )
    for component in (heartbeats, probes, instances):
        tasks.start_soon(component.run)
    return heartbeats


async def follow_store_returns(
    replicated_state: ReplicatedState, callbacks: Iterable[Callable[[], None]]
) -> None:
    """Restart the polls and call ``callbacks`` whenever the store has returned from a copy."""
    while True:
        await replicated_state.store.eras.wait_for_return()
        replicated_state.restart_polls()
        for on_return in callbacks:
            on_return()


async def _announce_row_changes(rows: RowReplica, heartbeats: HeartbeatExchange) -> None:
    """Send a report at once when rows change, to peers that do not poll the store."""
    while True:
        await rows.wait_for_change()
        await heartbeats.send_to_subscribers()
        await anyio.sleep(ROW_CHANGE_DEBOUNCE_S)
