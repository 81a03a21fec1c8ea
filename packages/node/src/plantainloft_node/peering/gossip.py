"""Gossip rounds: probe a few peers and exchange membership and versions with them.

Every ``ROUND_INTERVAL_S`` a node sends a heartbeat to up to ``FANOUT`` peers in
turn. The heartbeat and its answer carry the active configuration version, so a
version that one node has read reaches all nodes within a few rounds. A node that
learns of a new version starts its next round immediately.
"""

import logging
import struct
import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import anyio

from plantainloft_core.capacity_claims import CapacityClaims
from plantainloft_core.lookup import Member
from plantainloft_core.membership_list import MembershipList
from plantainloft_core.outcomes import Unreachable
from plantainloft_core.store_position import StorePosition
from plantainloft_node.endpoint_limits.claims import GroupClaims
from plantainloft_node.endpoint_limits.registry import EndpointLimitRegistry, LimitReport
from plantainloft_node.endpoint_limits.report_codec import (
    pack_claims,
    pack_limits,
    unpack_claims,
    unpack_limits,
)
from plantainloft_node.limits.organisation_usage import (
    OrganisationUsage,
    decode_usage,
    encode_usage,
)
from plantainloft_node.limits.peer_usage_reports import PeerUsageReports
from plantainloft_node.peering.messages import (
    Heartbeat,
    pack_updates,
    unpack_member,
    unpack_updates,
)
from plantainloft_node.quarantine.crash_codec import pack_crashes, unpack_crashes
from plantainloft_node.quarantine.crash_records import CrashReport
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.streams.connections import PeerConnections

__all__ = ['GossipService']

log = logging.getLogger(__name__)

ROUND_INTERVAL_S = 0.5
FANOUT = 5
HEARTBEAT_TIMEOUT_S = 0.4
# Those with the newest evidence are reported.
MAX_LIMITS_PER_HEARTBEAT = 96


class GossipService:
    """Exchanges heartbeats with the other entry instances."""

    def __init__(
        self,
        *,
        membership_list: MembershipList,
        claims: CapacityClaims,
        peer_connections: PeerConnections,
        current_position: Callable[[], StorePosition],
        on_newer_position: Callable[[StorePosition, str], None],
        crash_registry: CrashRegistry,
        usage_report: Callable[[float], Mapping[int, OrganisationUsage]],
        endpoint_limits: EndpointLimitRegistry,
    ) -> None:
        """``usage_report`` returns the usage of organisations' limits on this node."""
        self.membership_list = membership_list
        self._claims = claims
        self._peer_connections = peer_connections
        self._current_position = current_position
        self._on_newer_position = on_newer_position
        self._crash_registry = crash_registry
        self._usage_report = usage_report
        self._endpoint_limits = endpoint_limits
        self.peer_usage_reports = PeerUsageReports()
        self._wake_event = anyio.Event()
        self._probing: set[str] = set()

    def wake(self) -> None:
        """Start the next round now, to pass on new information."""
        self._wake_event.set()

    async def run(self) -> None:
        """Run rounds indefinitely.

        A round does not wait for its probes, so that an unresponsive peer does not
        delay the exchange with the others.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                self.membership_list.expire_suspects(time.monotonic())
                for member in self._next_targets():
                    tasks.start_soon(self._probe, member)
                with anyio.move_on_after(ROUND_INTERVAL_S):
                    await self._wake_event.wait()
                self._wake_event = anyio.Event()
                self._log_changes()

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Process a peer's heartbeat and return this node's own."""
        sender = unpack_member(heartbeat['sender'])
        self._process_heartbeat(sender, heartbeat)
        return self._build_heartbeat(receiver=sender.name)

    async def handle_membership_list(self, content: object) -> list[object]:
        """Return the state of every member this node knows."""
        return pack_updates(self.membership_list.all_updates())

    def _log_changes(self) -> None:
        for update in self.membership_list.take_status_changes():
            leaving = ', leaving' if update.member.leaving else ''
            log.info(
                'Membership: %s is %s%s.', update.member.name, update.status.name.lower(), leaving
            )

    def _next_targets(self) -> list[Member]:
        targets = self.membership_list.next_probe_targets(FANOUT)
        return [member for member in targets if member.name not in self._probing]

    async def _probe(self, member: Member) -> None:
        self._probing.add(member.name)
        answer = await self._exchange_heartbeats(member)
        if isinstance(answer, Unreachable):
            # Retry once on a new connection: the old one may be stale, which must
            # not make a healthy peer look dead.
            answer = await self._exchange_heartbeats(member)
        self._probing.discard(member.name)
        if isinstance(answer, Unreachable):
            self.membership_list.record_probe_failure(member.name, time.monotonic())

    async def _exchange_heartbeats(self, member: Member) -> Heartbeat | Unreachable:
        revision = self._claims.revision
        answer: Heartbeat | Unreachable = await self._peer_connections.call(
            member.peer_address,
            'beat',
            self._build_heartbeat(receiver=member.name),
            timeout_s=HEARTBEAT_TIMEOUT_S,
        )
        if not isinstance(answer, Unreachable):
            self._process_heartbeat(unpack_member(answer['sender']), answer)
            self._claims.record_confirmation(member.name, revision)
        return answer

    def _process_heartbeat(self, sender: Member, heartbeat: Heartbeat) -> None:
        now = time.monotonic()
        revision_before = self.membership_list.revision
        if sender.name != self.membership_list.local_member.name:
            self.membership_list.record_contact(sender, now)
        self.membership_list.apply_updates(unpack_updates(heartbeat['events']), now)
        self._claims.record_peer_claims(sender.name, heartbeat['claims'], now)
        current = self._current_position()
        position = StorePosition(heartbeat.get('era', current.era), heartbeat['version'])
        if position.supersedes(current):
            self._on_newer_position(position, sender.peer_address)
        if sender.name != self.membership_list.local_member.name:
            self.peer_usage_reports.record(sender.name, _decode_usage_of(heartbeat), now)
        self._merge_endpoint_limits(heartbeat, now)
        new_crashes = self._crash_registry.merge(_unpack_crashes_of(heartbeat), now)
        if self.membership_list.revision != revision_before or new_crashes:
            self.wake()

    def _merge_endpoint_limits(self, heartbeat: Heartbeat, now: float) -> None:
        reported = _unpack_endpoint_limits_of(heartbeat)
        if reported.limits:
            self._endpoint_limits.merge(reported.limits, reported.claims, now)

    def _build_heartbeat(self, *, receiver: str) -> Heartbeat:
        now = time.monotonic()
        limits = self._endpoint_limits.reports(now)
        position = self._current_position()
        return Heartbeat(
            sender=list(self.membership_list.local_member),
            version=position.version,
            era=position.era,
            claims=self._claims.claimed_by_region,
            events=pack_updates(self.membership_list.updates_for(receiver=receiver)),
            crashes=pack_crashes(self._crash_registry.next_reports(now)),
            uses=encode_usage(self._usage_report(now)),
            endpoint_limits=pack_limits(limits[:MAX_LIMITS_PER_HEARTBEAT]),
            limit_claims=[
                [group_claims.group, pack_claims(group_claims.claims)]
                for group_claims in self._endpoint_limits.claims.reports(now)
            ],
        )


class _EndpointLimits(NamedTuple):
    limits: Sequence[LimitReport] = ()
    claims: Sequence[GroupClaims] = ()


def _unpack_endpoint_limits_of(heartbeat: Heartbeat) -> _EndpointLimits:
    # The fields may be missing or in another format, as in the functions below.
    packed_claims = heartbeat.get('limit_claims', ())
    try:
        return _EndpointLimits(
            unpack_limits(heartbeat.get('endpoint_limits', b'')),
            [unpack_claims(group, packed) for group, packed in packed_claims],
        )
    except (ValueError, TypeError, struct.error) as exc:
        log.warning(
            'Membership: cannot decode endpoint limits from %s: %s.', heartbeat['sender'][0], exc
        )
        return _EndpointLimits()


def _unpack_crashes_of(heartbeat: Heartbeat) -> tuple[CrashReport, ...]:
    # During a rolling upgrade, a peer of another version may omit this field or use
    # another format.
    try:
        return unpack_crashes(heartbeat.get('crashes', b''))
    except (ValueError, TypeError, struct.error) as exc:
        log.warning(
            'Membership: cannot decode crash reports from %s: %s.', heartbeat['sender'][0], exc
        )
        return ()


def _decode_usage_of(heartbeat: Heartbeat) -> dict[int, OrganisationUsage]:
    # The field may be missing or in another format, as in the function above.
    try:
        return decode_usage(heartbeat.get('uses', b''))
    except (ValueError, TypeError, struct.error) as exc:
        log.warning(
            'Membership: cannot decode limit usage from %s: %s.', heartbeat['sender'][0], exc
        )
        return {}
