"""What this instance believes of each endpoint, and how it came to."""

from plantainloft_core.discovery import EndpointRecord
from plantainloft_node.placing.cold import ColdGate
from plantainloft_node.placing.expecting import RecentKeys, WorkTimes, ZoneDistances
from plantainloft_node.placing.health import EndpointHealth
from plantainloft_node.placing.pace import EndpointPace, ServicePace

__all__ = ['EndpointBook', 'EndpointState']

# Load that others put on an endpoint is believed whole for the first part
# of this time and then fades: requests last a few tenths of a second, so
# an older report says little about now.
REPORT_FADES_S = 1.5
# What remains of it is the load that others usually put there: reports come
# about once a second, and an endpoint without a new one is not idle. Taken
# as idle, it draws requests into a queue that nobody sees. It fades as well, so
# that an endpoint that is passed over is tried again.
USUAL_WEIGHT = 0.15
USUAL_FADES_S = 6.0
# An endpoint that no report told of yet is taken as one with this share
# of its slots in use.
UNKNOWN_LOAD = 0.3
# An endpoint whose answers take this many times the service's usual time
# is slow: its keys are sent elsewhere, where fewer of their requests fail.
SLOW_FACTOR = 2.0
# Time in which an endpoint comes to remember the objects of its keys: two
# dozen objects at half a dozen requests a second.
WARMING_S = 4.0


class EndpointState:
    """One endpoint incarnation: its record, load, warmth and health."""

    def __init__(
        self,
        *,
        record: EndpointRecord,
        region: str,
        pace: ServicePace,
        work: WorkTimes,
        distances: ZoneDistances,
        now: float,
    ) -> None:
        self.record = record
        self.pace = pace
        self.keys = RecentKeys()
        self._work = work
        self._distances = distances
        self.region = region
        self.in_flight = 0
        self.health = EndpointHealth(pace=pace)
        self.cold_gate = ColdGate()
        self.cold_until = now + record.cold_s
        self._known_since = now
        self._own_pace = EndpointPace()
        self._others = record.slots * UNKNOWN_LOAD
        self._usual_others = self._others
        self._reported_at = now

    def take_record(self, record: EndpointRecord, now: float) -> None:
        """Take a newer row of the same incarnation."""
        self.record = record
        if record.cold_s > 0:
            self.note_cold(now + record.cold_s)

    def note_cold(self, until: float) -> None:
        """Treat the endpoint as cold until ``until`` at least."""
        self.cold_until = max(self.cold_until, until)

    def note_report(self, *, busy: int, now: float) -> None:
        """Take the endpoint's own count of requests running and waiting."""
        self._others = max(0.0, busy - self.in_flight)
        self._usual_others += USUAL_WEIGHT * (self._others - self._usual_others)
        self._reported_at = now

    def note_answer(self, took_s: float, now: float) -> None:
        """Take the time that an answer took."""
        self.pace.note_answer(took_s)
        self._own_pace.note_answer(took_s, now)

    def note_connected(self, after_s: float) -> None:
        """Take the time in which a connection to it opened."""
        self._distances.note(self.record.zone, after_s)

    def note_work(self, key: str, took_s: float, now: float, *, had_room: bool) -> None:
        """Take a whole answer on ``key``; ``had_room``: it did not wait there."""
        remembered = self.keys.has(key, now)
        if had_room:
            away_s = self._distances.round_trip_s(self.record.zone)
            self._work.note(max(0.0, took_s - away_s), remembered=remembered)
        self.keys.note(key, now)

    def expected_s(self, key: str, load: float, now: float) -> float:
        """Return how long an answer on ``key`` will take with ``load`` there."""
        slots = self.record.slots
        ahead = max(0.0, load + 1 - slots) / slots
        work_s = self._work.expected_s(remembered=self.keys.has(key, now))
        wait_s = ahead * self._work.mean_s
        return self._distances.round_trip_s(self.record.zone) + work_s + wait_s

    def note_given_up(self, after_s: float, now: float) -> None:
        """Take a request given up; its answer would have taken longer."""
        self._own_pace.note_given_up(after_s, now)

    def is_slow(self, now: float) -> bool:
        """Return whether its answers take far longer than its service's.

        While it warms up they do by nature; sent elsewhere, its requests
        would be as cold there, and it would not warm.
        """
        if now < max(self._known_since, self.cold_until) + WARMING_S:
            return False
        return self._own_pace.recent_s(now) > SLOW_FACTOR * self.pace.usual_s

    def load(self, now: float) -> float:
        """Estimate the requests it holds now, ours and those of others."""
        age = now - self._reported_at
        newest = max(0.0, 1 - age / REPORT_FADES_S)
        usual = self._usual_others * max(0.0, 1 - age / USUAL_FADES_S)
        others = newest * self._others + (1 - newest) * min(usual, self.record.slots)
        return self.in_flight + others

    def is_cold(self, now: float) -> bool:
        """Return whether it must be sent no more than its cold rate."""
        return now < self.cold_until


class EndpointBook:
    """All endpoints known, by id and by service."""

    def __init__(self, *, region_by_zone: dict[str, str]) -> None:
        self._region_by_zone = region_by_zone
        self.by_id: dict[str, EndpointState] = {}
        self.ids_by_service: dict[str, set[str]] = {}
        self.pace_by_service: dict[str, ServicePace] = {}
        self.work_by_service: dict[str, WorkTimes] = {}
        self.distances = ZoneDistances()
        self.evacuated_zones: frozenset[str] = frozenset()
        # Counts changes to who is listed, for caches of rankings.
        self.generation = 0

    def put(self, record: EndpointRecord, now: float) -> None:
        """Add an incarnation, or take a newer row of one.

        One that takes the place of another under its id knows nothing of
        before: kept on, the old one's load, pace, warmth and ejections
        would be believed of it.
        """
        known = self.by_id.get(record.id)
        if known is not None and _is_same(known.record, record):
            known.take_record(record, now)
            return
        self.drop(record.id)
        region = self._region_by_zone.get(record.zone, '')
        self.by_id[record.id] = EndpointState(
            record=record,
            region=region,
            pace=self.pace_of(record.service),
            work=self.work_by_service.setdefault(record.service, WorkTimes()),
            distances=self.distances,
            now=now,
        )
        self.ids_by_service.setdefault(record.service, set()).add(record.id)
        self.generation += 1

    def incarnations(self) -> set[str]:
        """Return the incarnations that are listed."""
        return {state.record.incarnation for state in self.by_id.values()}

    def note_ended(self, incarnation: str, now: float) -> None:
        """Take that nothing listens any more where ``incarnation`` ran."""
        for state in self.by_id.values():
            if state.record.incarnation == incarnation:
                state.health.note_unreachable(now)

    def drop(self, endpoint_id: str) -> None:
        """Forget an incarnation that is gone."""
        state = self.by_id.pop(endpoint_id, None)
        if state is None:
            return
        self.ids_by_service[state.record.service].discard(endpoint_id)
        self.generation += 1

    def pace_of(self, service: str) -> ServicePace:
        """Return how long the endpoints of ``service`` take to answer."""
        return self.pace_by_service.setdefault(service, ServicePace())

    def of_service(self, service: str) -> list[EndpointState]:
        """Return the endpoints of ``service``."""
        return [self.by_id[name] for name in self.ids_by_service.get(service, ())]

    def summary(self, now: float) -> dict[str, dict[str, int]]:
        """Count the endpoints of each service by state."""
        return {
            service: {
                'listed': len(ids),
                'cold': sum(self.by_id[name].is_cold(now) for name in ids),
                'slow': sum(self.by_id[name].is_slow(now) for name in ids),
                'draining': sum(self.by_id[name].record.draining for name in ids),
                'left_out': sum(not self.by_id[name].health.usable(now) for name in ids),
            }
            for service, ids in self.ids_by_service.items()
        }

    def set_evacuated(self, zones: frozenset[str], *, warmup_s: float, now: float) -> None:
        """Take the zones that must get nothing.

        Endpoints of a zone that is taken back may have lost their caches
        meanwhile without a word. Sent their full share at once they crash,
        so they count as cold for a whole warm-up.
        """
        returned = self.evacuated_zones - zones
        self.evacuated_zones = zones
        for state in self.by_id.values():
            if state.record.zone in returned:
                state.note_cold(now + warmup_s)


def _is_same(known: EndpointRecord, record: EndpointRecord) -> bool:
    return (known.incarnation, known.service, known.zone) == (
        record.incarnation,
        record.service,
        record.zone,
    )
