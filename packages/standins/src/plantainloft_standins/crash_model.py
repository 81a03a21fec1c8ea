"""Requests that crash endpoints, and others beside them, on the model of the fleet.

The real books and datagrams of each instance, in virtual time. Endpoints answer
after a while, end when a fatal request ran on them or when they are killed, and
are back after a pause as new incarnations.
"""

import random
from functools import partial
from typing import NamedTuple

from plantainloft_node.engine.dispatch import MAX_UNSENT
from plantainloft_node.quarantine.crash_book import CrashBook
from plantainloft_node.quarantine.crashes import QUARANTINE_CRASHES, CrashReport
from plantainloft_node.quarantine.fingerprints import RequestFingerprint, fingerprint_of
from plantainloft_standins.fleet_model import FleetModel, ModelInstance

__all__ = ['CrashPlay', 'CrashRecord', 'CrashScenario', 'FatalRequest', 'Outcome']

CONTACT_S = 4.0
SETTLED_S = 5.0
WORK_S = 0.3
CRASH_AFTER_S = 0.1
# From a crash to its being confirmed, at the instance that saw it.
CHECKED_S = 0.1
STORE_S = 0.1
MAX_TRIES = 2
IDEMPOTENT_PART = 0.7


class FatalRequest(NamedTuple):
    """A request that crashes endpoints, and how often it comes (a second)."""

    path: str
    per_s: float = 8.0
    begins_s: float = 0.0
    idempotent: bool = True


class CrashScenario(NamedTuple):
    """What is played for ``length_s`` seconds once the fleet has settled.

    ``others_per_s`` requests come beside the fatal ones, over ``objects``
    different ones (0: each is new). ``kills_per_s`` endpoints are killed for no
    request's sake. ``repeats_suspects``: whether a request under which endpoints
    have ended before is sent to a second one when another ends.
    """

    fatal: tuple[FatalRequest, ...] = ()
    endpoints: int = 28
    slots: int = 6
    down_s: float = 3.0
    others_per_s: float = 60.0
    objects: int = 0
    kills_per_s: float = 0.0
    repeats_suspects: bool = False
    length_s: float = 30.0
    seed: int = 0


class Outcome(NamedTuple):
    """How a request of the others ended: ``answered``, ``failed`` or ``shut_out``."""

    kind: str
    path: str
    at: float


class CrashRecord:
    """What a play showed: of fatal requests by path, and of the others."""

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []
        self.arrivals_by_path: dict[str, list[float]] = {}
        self.crashes_by_path: dict[str, list[float]] = {}

    def note_arrival(self, path: str, now: float) -> None:
        """Take a send that the users' bound counts."""
        self.arrivals_by_path.setdefault(path, []).append(now)

    def note_crash(self, path: str, now: float) -> None:
        """Take an endpoint that a request ended."""
        self.crashes_by_path.setdefault(path, []).append(now)

    def arrivals_after_contact(self, path: str) -> int:
        """Return the sends later than the time of contact after the third crash."""
        crashes = self.crashes_by_path.get(path, [])
        if len(crashes) < QUARANTINE_CRASHES:
            return 0
        third = crashes[QUARANTINE_CRASHES - 1]
        return sum(at > third + CONTACT_S for at in self.arrivals_by_path.get(path, ()))

    def share(self, kind: str) -> float:
        """Return the part of the others' requests that ended as ``kind``."""
        ended = [one for one in self.outcomes if one.kind == kind]
        return len(ended) / max(1, len(self.outcomes))

    def longest_shut_out_s(self) -> float:
        """Return for how long any of the others' requests was shut out, at most."""
        began_by_path: dict[str, float] = {}
        longest = 0.0
        for one in self.outcomes:
            if one.kind == 'shut_out':
                began = began_by_path.setdefault(one.path, one.at)
                longest = max(longest, one.at - began)
            elif one.kind == 'answered':
                began_by_path.pop(one.path, None)
        return longest


class _Endpoint:
    def __init__(self, *, number: int) -> None:
        self.number = number
        self.starts = 0
        self.is_up = True
        self.running: list[_Run] = []

    def start(self) -> None:
        self.starts += 1
        self.is_up = True

    @property
    def incarnation(self) -> str:
        return f'i{self.number}@{self.starts}'


class _Run:
    def __init__(
        self, *, request: RequestFingerprint, path: str, instance: ModelInstance, idempotent: bool
    ) -> None:
        self.request = request
        self.path = path
        self.instance = instance
        self.idempotent = idempotent
        self.tries = 0
        self.is_fatal = False
        self.is_suspect = False


class _Row(NamedTuple):
    written_at: float
    reports: tuple[CrashReport, ...]


class _Store:
    """Rows of quarantined requests."""

    def __init__(self, *, model: FleetModel) -> None:
        self._model = model
        self._row_by_content: dict[bytes, _Row] = {}

    def write(self, crashes: CrashBook, request: RequestFingerprint) -> None:
        now = self._model.now
        reports = crashes.reports_of(request.content, now)
        self._row_by_content[request.content] = _Row(now, tuple(reports))

    def read(self, crashes: CrashBook) -> None:
        now = self._model.now
        for row in self._row_by_content.values():
            crashes.merge(row.reports, now, held_s=now - row.written_at)


class CrashPlay:
    """Plays a scenario; ``model`` is the fleet, settled."""

    def __init__(self, *, model: FleetModel, scenario: CrashScenario) -> None:
        self.model = model
        self.record = CrashRecord()
        self._scenario = scenario
        self._chance = random.Random(scenario.seed)
        self._endpoints = [_Endpoint(number=number) for number in range(scenario.endpoints)]
        self._began = model.now
        self._started_by_name: dict[str, float] = {}
        self._store = _Store(model=model)

    def run(self) -> None:
        """Play to the end."""
        scenario = self._scenario
        for fatal in scenario.fatal:
            self.model.after(fatal.begins_s, partial(self._repeat, fatal))
        self._come()
        if scenario.kills_per_s:
            self.model.after(self._chance.expovariate(scenario.kills_per_s), self._kill)
        self.model.run_for(scenario.length_s)

    def started(self, name: str) -> None:
        """Take that an instance has just started anew; it reads the store."""
        self._started_by_name[name] = self.model.now
        crashes = self.model.instance_by_name[name].crashes
        self.model.after(STORE_S, partial(self._store.read, crashes))

    def _is_over(self) -> bool:
        return self.model.now > self._began + self._scenario.length_s

    def _instance(self) -> ModelInstance:
        name = self._chance.choice(sorted(self.model.running()))
        return self.model.instance_by_name[name]

    def _repeat(self, fatal: FatalRequest) -> None:
        run = self._new_run(fatal.path, idempotent=fatal.idempotent)
        run.is_fatal = True
        self._admit(run)
        if not self._is_over():
            self.model.after(1 / fatal.per_s, partial(self._repeat, fatal))

    def _come(self) -> None:
        objects = self._scenario.objects
        path = f'/object/{self._chance.randrange(objects)}' if objects else f'/new/{self.model.now}'
        self._admit(self._new_run(path, idempotent=self._chance.random() < IDEMPOTENT_PART))
        if not self._is_over():
            self.model.after(self._chance.expovariate(self._scenario.others_per_s), self._come)

    def _kill(self) -> None:
        self._end(self._chance.choice(self._endpoints))
        if not self._is_over():
            self.model.after(self._chance.expovariate(self._scenario.kills_per_s), self._kill)

    def _new_run(self, path: str, *, idempotent: bool) -> _Run:
        request = fingerprint_of(
            method=b'GET', host=b'desk', target=path.encode(), body=b'', address='10.0.0.1'
        )
        return _Run(request=request, path=path, instance=self._instance(), idempotent=idempotent)

    def _admit(self, run: _Run) -> None:
        standing = run.instance.crashes.standing(run.request, self.model.now)
        run.is_suspect = standing.crashes > 0
        if standing.is_quarantined:
            self._close(run, 'shut_out')
        else:
            self._send(run)

    def _send(self, run: _Run) -> None:
        drawn = self._chance.sample(self._endpoints, MAX_UNSENT)
        free = [one for one in drawn if one.is_up and len(one.running) < 2 * self._scenario.slots]
        if not free:
            self._close(run, 'failed')
            return
        endpoint = free[0]
        run.tries += 1
        endpoint.running.append(run)
        if run.is_fatal:
            started = self._started_by_name.get(run.instance.members.me.name, -CONTACT_S)
            if self.model.now - started >= CONTACT_S:
                self.record.note_arrival(run.path, self.model.now)
            act = partial(self._crash, endpoint, endpoint.starts, run)
            self.model.after(CRASH_AFTER_S, act)
        else:
            self.model.after(WORK_S, partial(self._answer, endpoint, endpoint.starts, run))

    def _crash(self, endpoint: _Endpoint, start: int, run: _Run) -> None:
        if endpoint.starts == start and endpoint.is_up:
            self.record.note_crash(run.path, self.model.now)
            self._end(endpoint)

    def _end(self, endpoint: _Endpoint) -> None:
        if not endpoint.is_up:
            return
        endpoint.is_up = False
        broken = endpoint.running
        endpoint.running = []
        for run in broken:
            checked = partial(self._checked, run, endpoint.incarnation)
            self.model.after(CHECKED_S, checked)
            self._retry(run)
        self.model.after(self._scenario.down_s, endpoint.start)

    def _checked(self, run: _Run, incarnation: str) -> None:
        if run.instance.runs:
            crashes = run.instance.crashes
            standing = crashes.note_crash(run.request, incarnation, self.model.now)
            if crashes.is_urgent(standing.weight, self.model.now):
                self.model.hurry(run.instance)
            if standing.is_quarantined:
                self.model.after(STORE_S, partial(self._store.write, crashes, run.request))
            elif not run.instance.members.up(self.model.now):
                self.model.after(STORE_S, partial(self._store.read, crashes))

    def _retry(self, run: _Run) -> None:
        may_repeat = self._scenario.repeats_suspects or not run.is_suspect
        standing = run.instance.crashes.standing(run.request, self.model.now)
        may_repeat = may_repeat and run.idempotent and not standing.is_quarantined
        if may_repeat and run.tries < MAX_TRIES:
            self._send(run)
        else:
            self._close(run, 'failed')

    def _answer(self, endpoint: _Endpoint, start: int, run: _Run) -> None:
        if endpoint.starts != start or run not in endpoint.running:
            return
        endpoint.running.remove(run)
        if run.instance.crashes.note_answered(run.request, self.model.now):
            self.model.hurry(run.instance)
        self._close(run, 'answered')

    def _close(self, run: _Run, kind: str) -> None:
        if not run.is_fatal:
            self.record.outcomes.append(Outcome(kind, run.path, self.model.now))
