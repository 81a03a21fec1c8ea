"""Simulation of requests that crash endpoints, beside background requests.

Runs the production crash counting and datagrams of each entry instance in virtual
time, on the simulated fleet. Endpoints answer after a fixed time, crash when they
run a fatal request, can be killed, and restart after a pause as new incarnations.
"""

import random
from functools import partial
from typing import NamedTuple

from plantainloft_node.engine.dispatcher import MAX_CONNECT_FAILURES
from plantainloft_node.quarantine.crash_records import QUARANTINE_THRESHOLD, CrashReport
from plantainloft_node.quarantine.crash_registry import CrashRegistry
from plantainloft_node.quarantine.fingerprints import RequestFingerprint, compute_fingerprint
from plantainloft_standins.fleet_simulation import FleetModel, ModelInstance

__all__ = ['CrashResults', 'CrashScenario', 'CrashSimulation', 'FatalRequest', 'Outcome']

# Time allowed for all instances to learn of the third crash of a fatal request.
PROPAGATION_S = 4.0
SERVICE_TIME_S = 0.3
CRASH_DELAY_S = 0.1
# Time from a crash until the instance that saw the broken connection confirms it.
CONFIRMATION_DELAY_S = 0.1
STORE_LATENCY_S = 0.1
MAX_ATTEMPTS = 2
IDEMPOTENT_FRACTION = 0.7


class FatalRequest(NamedTuple):
    """A request that crashes endpoints, and how many arrive per second."""

    path: str
    per_s: float = 8.0
    start_s: float = 0.0
    idempotent: bool = True


class CrashScenario(NamedTuple):
    """Load and faults for ``duration_s`` seconds on a fleet that has settled.

    ``background_per_s`` background requests arrive beside the fatal ones, over
    ``path_count`` different paths (0: every path is new). ``kills_per_s`` endpoints
    are killed independently of any request. ``retries_suspects``: whether a request
    with crashes on record when it arrives is retried if its endpoint crashes.
    """

    fatal: tuple[FatalRequest, ...] = ()
    endpoints: int = 28
    slots: int = 6
    restart_delay_s: float = 3.0
    background_per_s: float = 60.0
    path_count: int = 0
    kills_per_s: float = 0.0
    retries_suspects: bool = False
    duration_s: float = 30.0
    seed: int = 0


class Outcome(NamedTuple):
    """How a background request ended.

    ``kind`` is ``answered``, ``failed`` or ``shut_out`` (refused by quarantine).
    """

    kind: str
    path: str
    at: float


class CrashResults:
    """Result of a simulation: fatal requests by path, and background requests."""

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []
        self.arrivals_by_path: dict[str, list[float]] = {}
        self.crashes_by_path: dict[str, list[float]] = {}

    def record_arrival(self, path: str, now: float) -> None:
        """Record a fatal request, sent to an endpoint, that counts towards the limit.

        Requests of an instance that restarted less than ``PROPAGATION_S`` ago do not count.
        """
        self.arrivals_by_path.setdefault(path, []).append(now)

    def record_crash(self, path: str, now: float) -> None:
        """Record the crash of an endpoint by a fatal request."""
        self.crashes_by_path.setdefault(path, []).append(now)

    def arrivals_after_propagation(self, path: str) -> int:
        """Return the requests sent later than ``PROPAGATION_S`` after the third crash."""
        crashes = self.crashes_by_path.get(path, [])
        if len(crashes) < QUARANTINE_THRESHOLD:
            return 0
        third = crashes[QUARANTINE_THRESHOLD - 1]
        return sum(at > third + PROPAGATION_S for at in self.arrivals_by_path.get(path, ()))

    def share(self, kind: str) -> float:
        """Return the fraction (0..1) of background requests that ended as ``kind``."""
        matching = [outcome for outcome in self.outcomes if outcome.kind == kind]
        return len(matching) / max(1, len(self.outcomes))

    def longest_blocked_s(self) -> float:
        """Return the longest time for which a background path was shut out."""
        since_by_path: dict[str, float] = {}
        longest_s = 0.0
        for outcome in self.outcomes:
            if outcome.kind == 'shut_out':
                since = since_by_path.setdefault(outcome.path, outcome.at)
                longest_s = max(longest_s, outcome.at - since)
            elif outcome.kind == 'answered':
                since_by_path.pop(outcome.path, None)
        return longest_s


class _Endpoint:
    def __init__(self, *, number: int) -> None:
        self.number = number
        self.start_count = 0
        self.is_up = True
        self.running: list[_Request] = []

    def start(self) -> None:
        self.start_count += 1
        self.is_up = True

    @property
    def incarnation(self) -> str:
        return f'i{self.number}@{self.start_count}'


class _Request:
    """A request in progress at an entry instance."""

    def __init__(
        self,
        *,
        fingerprint: RequestFingerprint,
        path: str,
        instance: ModelInstance,
        idempotent: bool,
    ) -> None:
        self.fingerprint = fingerprint
        self.path = path
        self.instance = instance
        self.idempotent = idempotent
        self.attempts = 0
        self.is_fatal = False
        self.is_suspect = False


class _Row(NamedTuple):
    written_at: float
    reports: tuple[CrashReport, ...]


class _Store:
    """Simulated store of quarantined requests."""

    def __init__(self, *, model: FleetModel) -> None:
        self._model = model
        self._row_by_content: dict[bytes, _Row] = {}

    def write(self, crash_registry: CrashRegistry, fingerprint: RequestFingerprint) -> None:
        now = self._model.now
        reports = crash_registry.reports_for_content(fingerprint.content_digest, now)
        self._row_by_content[fingerprint.content_digest] = _Row(now, tuple(reports))

    def read(self, crash_registry: CrashRegistry) -> None:
        now = self._model.now
        for row in self._row_by_content.values():
            crash_registry.merge(row.reports, now, report_age_s=now - row.written_at)


class CrashSimulation:
    """Simulates a scenario on ``model``, a fleet that has settled."""

    def __init__(self, *, model: FleetModel, scenario: CrashScenario) -> None:
        self.model = model
        self.results = CrashResults()
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._endpoints = [_Endpoint(number=number) for number in range(scenario.endpoints)]
        self._started_at = model.now
        self._restarted_at_by_name: dict[str, float] = {}
        self._store = _Store(model=model)

    def run(self) -> None:
        """Run the simulation to its end."""
        scenario = self._scenario
        for fatal in scenario.fatal:
            self.model.after(fatal.start_s, partial(self._send_fatal, fatal))
        self._send_background()
        if scenario.kills_per_s:
            self.model.after(self._rng.expovariate(scenario.kills_per_s), self._kill)
        self.model.run_for(scenario.duration_s)

    def note_restart(self, name: str) -> None:
        """Record that an instance has restarted; it reads the quarantine from the store."""
        self._restarted_at_by_name[name] = self.model.now
        crash_registry = self.model.instance_by_name[name].crash_registry
        self.model.after(STORE_LATENCY_S, partial(self._store.read, crash_registry))

    def _has_ended(self) -> bool:
        return self.model.now > self._started_at + self._scenario.duration_s

    def _random_instance(self) -> ModelInstance:
        name = self._rng.choice(sorted(self.model.running()))
        return self.model.instance_by_name[name]

    def _send_fatal(self, fatal: FatalRequest) -> None:
        request = self._new_request(fatal.path, idempotent=fatal.idempotent)
        request.is_fatal = True
        self._admit(request)
        if not self._has_ended():
            self.model.after(1 / fatal.per_s, partial(self._send_fatal, fatal))

    def _send_background(self) -> None:
        path_count = self._scenario.path_count
        path = (
            f'/object/{self._rng.randrange(path_count)}' if path_count else f'/new/{self.model.now}'
        )
        self._admit(self._new_request(path, idempotent=self._rng.random() < IDEMPOTENT_FRACTION))
        if not self._has_ended():
            self.model.after(
                self._rng.expovariate(self._scenario.background_per_s), self._send_background
            )

    def _kill(self) -> None:
        self._stop(self._rng.choice(self._endpoints))
        if not self._has_ended():
            self.model.after(self._rng.expovariate(self._scenario.kills_per_s), self._kill)

    def _new_request(self, path: str, *, idempotent: bool) -> _Request:
        fingerprint = compute_fingerprint(
            method=b'GET', host=b'desk', target=path.encode(), body=b'', address='10.0.0.1'
        )
        return _Request(
            fingerprint=fingerprint,
            path=path,
            instance=self._random_instance(),
            idempotent=idempotent,
        )

    def _admit(self, request: _Request) -> None:
        summary = request.instance.crash_registry.summary_for(request.fingerprint, self.model.now)
        request.is_suspect = summary.crash_count > 0
        if summary.is_quarantined:
            self._finish(request, 'shut_out')
        else:
            self._send(request)

    def _send(self, request: _Request) -> None:
        candidates = self._rng.sample(self._endpoints, MAX_CONNECT_FAILURES)
        available = [
            one for one in candidates if one.is_up and len(one.running) < 2 * self._scenario.slots
        ]
        if not available:
            self._finish(request, 'failed')
            return
        endpoint = available[0]
        request.attempts += 1
        endpoint.running.append(request)
        if request.is_fatal:
            restarted_at = self._restarted_at_by_name.get(
                request.instance.members.local_member.name, -PROPAGATION_S
            )
            if self.model.now - restarted_at >= PROPAGATION_S:
                self.results.record_arrival(request.path, self.model.now)
            callback = partial(self._crash, endpoint, endpoint.start_count, request)
            self.model.after(CRASH_DELAY_S, callback)
        else:
            self.model.after(
                SERVICE_TIME_S, partial(self._complete, endpoint, endpoint.start_count, request)
            )

    def _crash(self, endpoint: _Endpoint, start_count: int, request: _Request) -> None:
        if endpoint.start_count == start_count and endpoint.is_up:
            self.results.record_crash(request.path, self.model.now)
            self._stop(endpoint)

    def _stop(self, endpoint: _Endpoint) -> None:
        if not endpoint.is_up:
            return
        endpoint.is_up = False
        interrupted = endpoint.running
        endpoint.running = []
        for request in interrupted:
            confirm = partial(self._confirm_crash, request, endpoint.incarnation)
            self.model.after(CONFIRMATION_DELAY_S, confirm)
            self._retry(request)
        self.model.after(self._scenario.restart_delay_s, endpoint.start)

    def _confirm_crash(self, request: _Request, incarnation: str) -> None:
        if request.instance.runs:
            crash_registry = request.instance.crash_registry
            summary = crash_registry.record_crash(request.fingerprint, incarnation, self.model.now)
            if crash_registry.should_broadcast_now(summary.weight, self.model.now):
                self.model.schedule_urgent_round(request.instance)
            if summary.is_quarantined:
                self.model.after(
                    STORE_LATENCY_S, partial(self._store.write, crash_registry, request.fingerprint)
                )
            elif not request.instance.members.peers_up(self.model.now):
                self.model.after(STORE_LATENCY_S, partial(self._store.read, crash_registry))

    def _retry(self, request: _Request) -> None:
        may_retry = self._scenario.retries_suspects or not request.is_suspect
        summary = request.instance.crash_registry.summary_for(request.fingerprint, self.model.now)
        may_retry = may_retry and request.idempotent and not summary.is_quarantined
        if may_retry and request.attempts < MAX_ATTEMPTS:
            self._send(request)
        else:
            self._finish(request, 'failed')

    def _complete(self, endpoint: _Endpoint, start_count: int, request: _Request) -> None:
        if endpoint.start_count != start_count or request not in endpoint.running:
            return
        endpoint.running.remove(request)
        if request.instance.crash_registry.record_answer(request.fingerprint, self.model.now):
            self.model.schedule_urgent_round(request.instance)
        self._finish(request, 'answered')

    def _finish(self, request: _Request, kind: str) -> None:
        if not request.is_fatal:
            self.results.outcomes.append(Outcome(kind, request.path, self.model.now))
