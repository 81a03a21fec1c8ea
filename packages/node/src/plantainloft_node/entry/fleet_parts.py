"""What an entry instance does together with the others."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from plantainloft_node.entry.instance_list import InstanceList
from plantainloft_node.entry.observing import Observation
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.entry.sharing import MEMBERS_CALL, NEWS_CALL, SMALL_NEWS_CALL, NewsSharing
from plantainloft_node.entry.store_probes import PROBE_CALL, StoreProbes
from plantainloft_node.entry.terms import seed_peers
from plantainloft_node.fleet.beats import BeatExchange
from plantainloft_node.fleet.members import Beat, MemberBook
from plantainloft_node.quarantine.crash_book import CrashBook
from plantainloft_node.replica.rows import RowCopy

__all__ = ['start_fleet_parts']

# Rows that change together are told of together.
NEWS_PAUSE_S = 0.1


def start_fleet_parts(
    *,
    settings: EntrySettings,
    members: MemberBook,
    observation: Observation,
    state: Callable[[], Beat],
    crashes: CrashBook,
    tasks: TaskGroup,
) -> BeatExchange:
    """Start beats, calls, probes and the list of instances; return the beats.

    ``state`` returns what to say of this instance.
    """
    calls = PeerCalls(settings=settings, tasks=tasks)
    sharing = NewsSharing(calls=calls, members=members, observation=observation, tasks=tasks)
    probes = StoreProbes(calls=calls, members=members, observation=observation)
    beats = BeatExchange(
        members=members,
        state=state,
        on_hint=sharing.on_hint,
        seeds=seed_peers(settings),
        crashes=crashes,
    )
    instances = InstanceList(members=members, store=observation.store)
    handler_by_kind = {
        NEWS_CALL: sharing.tell,
        SMALL_NEWS_CALL: sharing.tell_small,
        MEMBERS_CALL: sharing.tell_members,
        PROBE_CALL: probes.tell,
    }
    tasks.start_soon(calls.serve, handler_by_kind)
    tasks.start_soon(_tell_news, observation.rows, beats)
    for part in (beats, probes, instances):
        tasks.start_soon(part.run)
    return beats


async def _tell_news(rows: RowCopy, beats: BeatExchange) -> None:
    """Tell those who rest as soon as there are newer rows."""
    while True:
        await rows.change()
        await beats.tell_readers()
        await anyio.sleep(NEWS_PAUSE_S)
