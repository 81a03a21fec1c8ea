"""State of each endpoint as known to this instance, and how it is updated."""

from collections.abc import Sequence

from plantainloft_core.discovery import EndpointRecord
from plantainloft_node.endpoint_limits.registry import (
    EndpointLimit,
    EndpointLimitRegistry,
    endpoint_number,
)
from plantainloft_node.endpoint_signals.announcements import (
    EndpointAnnouncements,
    IncarnationAnnouncements,
)
from plantainloft_node.endpoint_signals.signals import EndpointSignals
from plantainloft_node.placement.cold_rate_limit import ColdRateLimiter
from plantainloft_node.placement.health import EndpointHealth
from plantainloft_node.placement.latency import EndpointLatency, ServiceLatency
from plantainloft_node.placement.load_estimate import LoadEstimate
from plantainloft_node.placement.prediction import (
    ProcessingTimes,
    RecentKeys,
    WorkFactor,
    ZoneRoundTrips,
)

__all__ = ['EndpointRegistry', 'EndpointState']

# An endpoint is slow if its mean answer time exceeds the service's by this
# factor. Its keys are sent to other endpoints, where fewer requests fail.
SLOW_FACTOR = 2.0
# Time in which a new endpoint caches the objects of its keys: about 24 objects
# at six requests a second.
CACHE_FILL_S = 4.0


class EndpointState:
    """One endpoint incarnation: record, load, cold period, answer times and health."""

    def __init__(
        self,
        *,
        record: EndpointRecord,
        region: str,
        service_latency: ServiceLatency,
        processing: ProcessingTimes,
        round_trips: ZoneRoundTrips,
        request_limits: EndpointLimitRegistry,
        announcements: EndpointAnnouncements,
        now: float,
    ) -> None:
        self.record = record
        self._request_limits = request_limits
        # What this incarnation has announced in its responses.
        self.announced = IncarnationAnnouncements(
            announcements=announcements, incarnation=record.incarnation
        )
        self.service_latency = service_latency
        self.recent_keys = RecentKeys()
        self.work_factor = WorkFactor()
        self.processing = processing
        self._round_trips = round_trips
        self.region = region
        self.in_flight = 0
        self.health = EndpointHealth(latency=service_latency)
        self.cold_limiter = ColdRateLimiter()
        self.cold_until = now + record.cold_s
        self._added_at = now
        self._own_latency = EndpointLatency()
        self.load_estimate = LoadEstimate(slots=record.slots, usual=processing.usual_load, now=now)

    def update_record(self, record: EndpointRecord, now: float) -> None:
        """Apply a newer row of the same incarnation."""
        self.record = record
        if record.cold_s > 0:
            self.extend_cold(now + record.cold_s)

    @property
    def is_leaving(self) -> bool:
        """Whether its row or one of its responses says that the endpoint is leaving."""
        return self.record.draining or self.announced.is_leaving

    def accepts_requests(self, now: float) -> bool:
        """Return whether the endpoint wants to be sent requests by this instance.

        Every path that sends asks this, both when an endpoint is chosen and again
        before the first byte is sent.
        """
        return not self.record.draining and self.announced.accepts_requests(now)

    def record_signals(self, signals: EndpointSignals, *, sent_at: float, now: float) -> None:
        """Record what a response to a request that was sent at ``sent_at`` announces."""
        self.announced.record_response(signals, now)
        if signals.work_factor is not None:
            self.work_factor.record(signals.work_factor, now)
        if signals.request_limits or signals.is_complete:
            self.record_request_limit(signals.request_limits, sent_at=sent_at, now=now)

    def record_request_limit(
        self, header_values: Sequence[bytes], *, sent_at: float, now: float
    ) -> None:
        """Record the limit headers of a response to a request that was sent at ``sent_at``."""
        self._request_limits.record_response(
            self.record.incarnation, header_values, sent_at=sent_at, now=now
        )

    def extend_cold(self, until: float) -> None:
        """Treat the endpoint as cold at least until ``until``."""
        self.cold_until = max(self.cold_until, until)

    def record_load_report(self, *, busy: int, now: float) -> None:
        """Record the endpoint's own count of running and queued requests."""
        self.load_estimate.record(
            busy=busy, in_flight=self.in_flight, slots=self.record.slots, now=now
        )

    def record_response_time(self, took_s: float, now: float) -> None:
        """Record the time that an answer took."""
        self.service_latency.record_response_time(took_s)
        self._own_latency.record_response_time(took_s, now)

    def record_connect_time(self, took_s: float) -> None:
        """Record the time that opening a connection took."""
        self._round_trips.record(self.record.zone, took_s)

    def record_processing(
        self, key: str, took_s: float, now: float, *, had_free_slot: bool, route: str = ''
    ) -> None:
        """Record a complete answer for ``key`` to a request of ``route``.

        ``had_free_slot``: a slot was free when the request was sent, so that it did
        not queue at the endpoint.
        """
        cached = self.recent_keys.contains(key, now)
        if had_free_slot:
            round_trip_s = self._round_trips.round_trip_s(self.record.zone)
            processing_s = max(0.0, took_s - round_trip_s)
            # The averages are of usual times; predictions multiply them by the factor.
            usual_s = processing_s / self.work_factor.current(now)
            self.processing.record(usual_s, cached=cached, cold=self.is_cold(now), route=route)
        self.recent_keys.record(key, now)

    def expected_s(self, key: str, load: float, now: float) -> float:
        """Return the expected answer time for ``key`` at the given ``load``."""
        slots = self.record.slots
        rounds_ahead = max(0.0, load + 1 - slots) / slots
        processing_s = self.processing.expected_s(cached=self.recent_keys.contains(key, now))
        wait_s = rounds_ahead * self.processing.mean_s
        work_s = (processing_s + wait_s) * self.work_factor.current(now)
        return self._round_trips.round_trip_s(self.record.zone) + work_s

    def record_abandoned(self, after_s: float, now: float) -> None:
        """Record a request that was abandoned; its answer would have taken longer."""
        self._own_latency.record_abandoned(after_s, now)

    def forget_failures(self) -> None:
        """Forget ejections, unanswered requests and slow answers."""
        self.health = EndpointHealth(latency=self.service_latency)
        self._own_latency = EndpointLatency()

    def is_slow(self, now: float) -> bool:
        """Return whether the endpoint's answers take far longer than its service's.

        While an endpoint warms up, slow answers are normal: its requests would be
        just as slow on another endpoint, and this one would not fill its cache.
        """
        if now < max(self._added_at, self.cold_until) + CACHE_FILL_S:
            return False
        return self._own_latency.recent_s(now) > SLOW_FACTOR * self.service_latency.mean_s

    def load(self, now: float) -> float:
        """Estimate the number of requests at the endpoint, from all instances."""
        return self.in_flight + self.load_estimate.others(self.record.slots, now)

    def is_cold(self, now: float) -> bool:
        """Return whether the rate limit of cold endpoints applies."""
        return now < self.cold_until


class EndpointRegistry:
    """All known endpoints, by id and by service."""

    def __init__(self, *, region_by_zone: dict[str, str]) -> None:
        self._region_by_zone = region_by_zone
        self.by_id: dict[str, EndpointState] = {}
        self.ids_by_service: dict[str, set[str]] = {}
        self.latency_by_service: dict[str, ServiceLatency] = {}
        self.processing_by_service: dict[str, ProcessingTimes] = {}
        self.round_trips = ZoneRoundTrips()
        self.request_limits = EndpointLimitRegistry()
        self.announcements = EndpointAnnouncements()
        self.evacuated_zones: frozenset[str] = frozenset()
        # Incremented whenever endpoints are added or removed; invalidates cached rankings.
        self.revision = 0
        self._incarnations: frozenset[str] = frozenset()
        self._incarnations_revision = 0

    def add_or_update(self, record: EndpointRecord, now: float) -> None:
        """Add an incarnation, or apply a newer row of a known one.

        A new incarnation under a known id starts with a new state: the previous
        one's load, answer times, cached keys and ejections don't apply to it.
        """
        known = self.by_id.get(record.id)
        if known is not None and _is_same_incarnation(known.record, record):
            known.update_record(record, now)
            return
        self.remove(record.id)
        region = self._region_by_zone.get(record.zone, '')
        self.by_id[record.id] = EndpointState(
            record=record,
            region=region,
            service_latency=self.latency_of(record.service),
            processing=self.processing_by_service.setdefault(record.service, ProcessingTimes()),
            round_trips=self.round_trips,
            request_limits=self.request_limits,
            announcements=self.announcements,
            now=now,
        )
        self.ids_by_service.setdefault(record.service, set()).add(record.id)
        self.revision += 1

    def incarnations(self) -> frozenset[str]:
        """Return the incarnations of all known endpoints."""
        if self._incarnations_revision != self.revision:
            self._incarnations = frozenset(
                state.record.incarnation for state in self.by_id.values()
            )
            self._incarnations_revision = self.revision
        return self._incarnations

    def remove_expired_announcements(self, now: float) -> None:
        """Remove the announcements that no longer matter."""
        self.announcements.remove_expired(self.incarnations(), now)

    def record_process_ended(self, incarnation: str, now: float) -> None:
        """Record that no process listens any more at the address of ``incarnation``."""
        for state in self.by_id.values():
            if state.record.incarnation == incarnation:
                state.health.record_unreachable(now)

    def find(self, incarnation: str) -> EndpointState | None:
        """Return the endpoint with this ``incarnation``."""
        state = self.by_id.get(incarnation.partition('@')[0])
        return state if state is not None and state.record.incarnation == incarnation else None

    def endpoints_in_zone(self, zone: str) -> list[EndpointState]:
        """Return the endpoints of all services in ``zone``."""
        return [state for state in self.by_id.values() if state.record.zone == zone]

    def forget_failures(self, zones: frozenset[str]) -> None:
        """Forget what was learned from failures of the endpoints in ``zones``.

        They were due to the path from this instance to the endpoints.
        """
        for state in self.by_id.values():
            if state.record.zone in zones:
                state.forget_failures()

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint whose incarnation has gone."""
        state = self.by_id.pop(endpoint_id, None)
        if state is None:
            return
        self.ids_by_service[state.record.service].discard(endpoint_id)
        self.revision += 1

    def latency_of(self, service: str) -> ServiceLatency:
        """Return the answer times of ``service``."""
        return self.latency_by_service.setdefault(service, ServiceLatency())

    def endpoints_of(self, service: str) -> list[EndpointState]:
        """Return the endpoints of ``service``."""
        return [self.by_id[name] for name in self.ids_by_service.get(service, ())]

    def limited_endpoints(self) -> list[tuple[EndpointState, EndpointLimit]]:
        """Return the endpoints that name a request limit or have just stopped."""
        if not self.request_limits:
            return []
        found = (
            (state, self.request_limits.get(endpoint_number(state.record.incarnation)))
            for state in self.by_id.values()
        )
        return [(state, limit) for state, limit in found if limit is not None]

    def counts_by_state(self, now: float) -> dict[str, dict[str, int]]:
        """Count the endpoints of each service by state."""
        states_by_service = {service: self.endpoints_of(service) for service in self.ids_by_service}
        return {
            service: {
                'listed': len(states),
                'cold': sum(state.is_cold(now) for state in states),
                'slow': sum(state.is_slow(now) for state in states),
                'draining': sum(state.is_leaving for state in states),
                'resting': sum(now < state.announced.rest_ends_at for state in states),
                'left_out': sum(not state.health.is_usable(now) for state in states),
            }
            for service, states in states_by_service.items()
        }

    def update_evacuated_zones(self, zones: frozenset[str], *, warmup_s: float, now: float) -> None:
        """Set the availability zones that must get no requests.

        Endpoints of a zone that is no longer evacuated may have lost their caches
        without any report of it, and would crash under their full share of
        requests. They therefore count as cold for a whole warm-up.
        """
        restored = self.evacuated_zones - zones
        self.evacuated_zones = zones
        for state in self.by_id.values():
            if state.record.zone in restored:
                state.extend_cold(now + warmup_s)


def _is_same_incarnation(known: EndpointRecord, record: EndpointRecord) -> bool:
    return (known.incarnation, known.service, known.zone) == (
        record.incarnation,
        record.service,
        record.zone,
    )
