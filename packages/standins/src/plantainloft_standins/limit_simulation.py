"""Simulation of organisations that send up to their request limits and beyond.

Runs the production limiters, membership and datagrams of each entry instance in
virtual time, on the simulated fleet. Requests arrive at random times and take no
time where a limiter admits them.
"""

import random
from collections import Counter
from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

from plantainloft_core.organisations import Organisation, RateLimit
from plantainloft_node.entry.component_parameters import UPDATE_INTERVAL_S
from plantainloft_node.fleet.demand import fleet_size, has_current_fleet_usage, sum_fleet_usage
from plantainloft_standins.fleet_simulation import FleetModel, ModelInstance

__all__ = ['CallerFlow', 'LimitSimulation', 'model_organisation']

SETTLE_TIME_S = 8.0


class CallerFlow(NamedTuple):
    """Requests of an organisation, ``per_s`` in total, spread over ``instances``.

    ``begins_s`` and ``ends_s`` count from when the fleet has settled. If
    ``instances`` is empty, all running instances receive requests.
    """

    organisation: Organisation
    per_s: float
    begins_s: float = 0.0
    ends_s: float = float('inf')
    instances: tuple[str, ...] = ()


class _Request(NamedTuple):
    organisation: str
    at: float
    admitted: bool


class LimitSimulation:
    """Simulates flows of requests to a fleet and records which were admitted.

    ``after_s`` counts, like ``begins_s``, from when the fleet has settled.
    """

    def __init__(self, *, model: FleetModel, flows: Iterable[CallerFlow], seed: int) -> None:
        self.model = model
        self._rng = random.Random(seed)
        self._requests: list[_Request] = []
        model.start_all()
        self._tick()
        model.run_for(SETTLE_TIME_S)
        self.began_at = model.now
        for flow in flows:
            model.after(flow.begins_s, partial(self._send_next, flow))

    def run_for(self, seconds: float) -> None:
        """Advance virtual time."""
        self.model.run_for(seconds)

    def admitted(self, name: str, *, after_s: float = 0.0) -> int:
        """Return how many requests of an organisation were admitted after ``after_s``."""
        return sum(one.admitted for one in self._requests_of(name, after_s))

    def refused(self, name: str, *, after_s: float = 0.0) -> int:
        """Return how many requests of an organisation were refused after ``after_s``."""
        return sum(not one.admitted for one in self._requests_of(name, after_s))

    def max_admitted_in_window(self, name: str, window_s: float, *, after_s: float = 0.0) -> int:
        """Return the most requests admitted in any ``window_s`` seconds."""
        times = [one.at for one in self._requests_of(name, after_s) if one.admitted]
        first = 0
        most = 0
        for last, at in enumerate(times):
            while times[first] <= at - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def refused_by_organisation(self) -> Counter[str]:
        """Return how many requests of each organisation were refused."""
        return Counter(one.organisation for one in self._requests if not one.admitted)

    def _requests_of(self, name: str, after_s: float) -> list[_Request]:
        since = self.began_at + after_s
        return [one for one in self._requests if one.organisation == name and one.at >= since]

    def _send_next(self, flow: CallerFlow) -> None:
        now = self.model.now
        if now - self.began_at >= flow.ends_s:
            return
        self.model.after(self._rng.expovariate(flow.per_s), partial(self._send_next, flow))
        running = self.model.running()
        names = [name for name in flow.instances or running if name in running]
        if not names:
            return
        instance = self.model.instance_by_name[self._rng.choice(names)]
        refusal = instance.limiter.admit(flow.organisation, now)
        self._requests.append(_Request(flow.organisation.name, now, refusal is None))

    def _tick(self) -> None:
        for instance in self.model.instance_by_name.values():
            if instance.runs:
                _update_limiter(instance, self.model.now)
        self.model.after(UPDATE_INTERVAL_S, self._tick)


def model_organisation(name: str, *, rate: float, burst: float) -> Organisation:
    """Return an organisation with a request limit and no other settings."""
    return Organisation(name, frozenset(), limit=RateLimit(rate, burst))


def _update_limiter(instance: ModelInstance, now: float) -> None:
    limiter = instance.limiter
    fleet_usage = sum_fleet_usage(instance.members, limiter.usage_report(now), now)
    reports_are_recent = has_current_fleet_usage(instance.members, now)
    limiter.update_fleet_usage(
        fleet_usage, fleet_size(instance.members, now), now, reports_are_recent=reports_are_recent
    )
