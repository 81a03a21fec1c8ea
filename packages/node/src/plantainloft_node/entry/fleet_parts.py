"""What an entry instance does together with the others."""

from collections.abc import Callable

from anyio.abc import TaskGroup

from plantainloft_node.entry.instance_list import InstanceList
from plantainloft_node.entry.observing import Observation
from plantainloft_node.entry.peer_calls import PeerCalls
from plantainloft_node.entry.settings import EntrySettings
from plantainloft_node.entry.sharing import NEWS_CALL, NewsSharing
from plantainloft_node.entry.store_probes import PROBE_CALL, StoreProbes
from plantainloft_node.entry.terms import seed_peers
from plantainloft_node.fleet.beats import BeatExchange
from plantainloft_node.fleet.members import Beat, MemberBook

__all__ = ['start_fleet_parts']


def start_fleet_parts(
    *,
    settings: EntrySettings,
    members: MemberBook,
    observation: Observation,
    state: Callable[[], Beat],
    tasks: TaskGroup,
) -> BeatExchange:
    """Start beats, calls, probes and the list of instances; return the beats.

    ``state`` returns what to say of this instance.
    """
    calls = PeerCalls(settings=settings, tasks=tasks)
    sharing = NewsSharing(calls=calls, members=members, observation=observation, tasks=tasks)
    probes = StoreProbes(calls=calls, members=members, observation=observation)
    beats = BeatExchange(
        members=members, state=state, on_hint=sharing.on_hint, seeds=seed_peers(settings)
    )
    instances = InstanceList(members=members, store=observation.store)
    tasks.start_soon(calls.serve, {NEWS_CALL: sharing.tell, PROBE_CALL: probes.tell})
    for part in (beats, probes, instances):
        tasks.start_soon(part.run)
    return beats
