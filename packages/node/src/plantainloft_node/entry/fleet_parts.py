"""Background tasks by which an entry instance works together with its peers."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from plantainloft_node.entry.instance_list import InstanceRegistry
from plantainloft_node.entry.observing import Observation
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.entry.sharing import MEMBERS_CALL, NEWS_CALL, SMALL_NEWS_CALL, NewsSharing
from plantainloft_node.entry.store_probes import PROBE_CALL, StoreProbes
from plantainloft_node.entry.terms import seed_addresses
from plantainloft_node.fleet.beats import BeatExchange
from plantainloft_node.fleet.members import Beat, MemberBook
from plantainloft_node.quarantine.crash_book import CrashBook
from plantainloft_node.replica.rows import RowCopy

__all__ = ['start_fleet_tasks']

# Row changes within this pause are announced to peers together.
NEWS_PAUSE_S = 0.1


def start_fleet_tasks(
    *,
    settings: EntrySettings,
    members: MemberBook,
    observation: Observation,
    state: Callable[[], Beat],
    crashes: CrashBook,
    tasks: TaskGroup,
) -> BeatExchange:
    """Start heartbeats, peer calls, store probes and instance registration.

    ``state`` returns the heartbeat of this instance. Returns the heartbeat
    exchange, which the caller uses to send heartbeats out of turn.
    """
    calls = PeerCalls(settings=settings, tasks=tasks)
    sharing = NewsSharing(calls=calls, members=members, observation=observation, tasks=tasks)
    probes = StoreProbes(calls=calls, members=members, observation=observation)
    heartbeats = BeatExchange(
        members=members,
        state=state,
        on_hint=sharing.on_hint,
        seeds=seed_addresses(settings),
        crashes=crashes,
    )
    instances = InstanceRegistry(members=members, store=observation.store)
    handler_by_kind = {
        NEWS_CALL: sharing.tell,
        SMALL_NEWS_CALL: sharing.tell_small,
        MEMBERS_CALL: sharing.tell_members,
        PROBE_CALL: probes.tell,
    }
    tasks.start_soon(calls.serve, handler_by_kind)
    tasks.start_soon(_announce_row_changes, observation.rows, heartbeats)
    for part in (heartbeats, probes, instances):
        tasks.start_soon(part.run)
    return heartbeats


async def _announce_row_changes(rows: RowCopy, heartbeats: BeatExchange) -> None:
    """Send a report at once when rows change, to peers that do not poll the store."""
    while True:
        await rows.change()
        await heartbeats.tell_readers()
        await anyio.sleep(NEWS_PAUSE_S)
