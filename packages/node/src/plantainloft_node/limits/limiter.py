"""Admits requests of organisations up to their limits, which apply to all instances."""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from plantainloft_core.organisations import Organisation, OrganisationIndex, RateLimit
from plantainloft_node.limits.organisation_usage import (
    ZERO_USAGE,
    OrganisationUsage,
    organisation_number,
)
from plantainloft_node.limits.shares import (
    DemandProportionalShares,
    FleetSize,
    LimitState,
    ShareRule,
    random_deviation,
    share_after_start,
)
from plantainloft_node.placement.rendezvous import SCORE_RANGE, rendezvous_score
from plantainloft_node.placement.sliding_window import SlidingWindowCounter

__all__ = [
    'DEFAULT_LIMIT_SETTINGS',
    'LimitExceeded',
    'LimitSettings',
    'LimitUsage',
    'RequestLimiter',
]

# Longest time until a report is known to all instances; until then, others compute
# shares from the previous one.
MAX_REPORT_DELAY_S = 3.0
# Fraction of the tolerance above a limit that is divided among instances. The rest
# covers requests admitted before the reports of other instances arrive.
TOLERANCE_FRACTION = 0.35
MIN_RETRY_AFTER_S = 0.1
# A demand within this many standard deviations of the lowest count may be constant.
DEMAND_DEVIATIONS = 1.5
# A shorter fraction of a window says too little about the demand.
MIN_REPORTED_FRACTION = 0.2
# Lower bound of the elapsed window fraction, so that an instance that has just
# started can admit requests.
MIN_START_FRACTION = 0.1
DEFAULT_WINDOW_S = 5.0
DEFAULT_OVERSHOOT_RATIO = 0.1
DEFAULT_OVERSHOOT_REQUESTS = 20.0


class LimitSettings(NamedTuple):
    """Window and tolerance of limits, which apply to any ``window_s`` seconds.

    Instances learn each other's counts with a delay, so a limit may be exceeded by
    the fraction ``overshoot_ratio`` of it plus ``overshoot_requests`` requests.
    """

    window_s: float
    overshoot_ratio: float
    overshoot_requests: float

    def allowance(self, limit: RateLimit) -> float:
        """Return the number of requests per window that are divided among instances."""
        max_requests = limit.max_requests(self.window_s)
        return (
            max_requests * (1 + self.overshoot_ratio * TOLERANCE_FRACTION)
            + self.overshoot_requests * TOLERANCE_FRACTION
        )


DEFAULT_LIMIT_SETTINGS = LimitSettings(
    window_s=DEFAULT_WINDOW_S,
    overshoot_ratio=DEFAULT_OVERSHOOT_RATIO,
    overshoot_requests=DEFAULT_OVERSHOOT_REQUESTS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitExceeded:
    """The request exceeds its organisation's limit and was not run.

    ``share`` is the number of requests that this instance may admit in a window,
    ``used`` the number that it has admitted, ``fleet`` the sum of all reports.
    """

    organisation: str
    share: float
    used: int
    fleet: OrganisationUsage
    retry_after_s: float


class LimitUsage(NamedTuple):
    """An organisation's use of its limit as seen by this instance, for operators.

    ``refused`` counts since the start of the instance, the other counts cover one
    window.
    """

    limit: RateLimit
    share: float
    used: int
    wanted: int
    refused: int
    fleet: OrganisationUsage


class RequestLimiter:
    """Limits the requests of each organisation at this instance to its share.

    The limiter does no network I/O: ``update_fleet_usage`` takes the reports of all instances,
    ``usage_report`` returns this instance's own report.
    """

    def __init__(
        self, *, instance: str, settings: LimitSettings, share_rule: ShareRule | None = None
    ) -> None:
        """``instance`` is its name; ``share_rule`` defaults to ``DemandProportionalShares``."""
        self.settings = settings
        self._instance = instance
        self._share_rule = share_rule or DemandProportionalShares()
        self._size = FleetSize(0, 0)
        self._started_at: float | None = None
        self._fleet_usage_by_number: Mapping[int, OrganisationUsage] = {}
        self._counters_by_name: dict[str, _Counters] = {}

    def admit(self, organisation: Organisation, now: float) -> LimitExceeded | None:
        """Count a request; return ``None`` if it is admitted, else the reason."""
        if organisation.limit is None:
            return None
        counters = self._counters_of(organisation.name)
        counters.wanted.add(now)
        share = self._share(organisation.name, organisation.limit, counters, now)
        used = counters.used.count(now)
        if used < self._rounded_at_random(share, organisation.name, now):
            counters.used.add(now)
            return None
        counters.refused += 1
        return LimitExceeded(
            organisation=organisation.name,
            share=share,
            used=used,
            fleet=self._fleet_usage(organisation.name),
            retry_after_s=counters.retry_after_s(share, now, self.settings.window_s),
        )

    def release(self, organisation: Organisation) -> None:
        """Uncount the newest admitted request, which was not run."""
        counters = self._counters_by_name.get(organisation.name)
        if organisation.limit is not None and counters is not None:
            counters.used.remove_newest()

    def record_retry(self, organisation: Organisation, now: float) -> None:
        """Count a retry: a request that was sent to another endpoint."""
        if organisation.limit is not None:
            self._counters_of(organisation.name).used.add(now)

    def usage_report(self, now: float) -> dict[int, OrganisationUsage]:
        """Return this instance's report, by organisation number.

        Shortly after a start, demand is extrapolated to a whole window. Otherwise the
        other instances would divide among themselves what this one will need.
        """
        fraction = max(MIN_REPORTED_FRACTION, self._window_fraction(now))
        usage_by_number = {}
        for name, counters in self._counters_by_name.items():
            wanted = counters.wanted.count(now)
            if wanted:
                usage = OrganisationUsage(counters.used.count(now), round(wanted / fraction))
                usage_by_number[organisation_number(name)] = usage
        return usage_by_number

    def update_fleet_usage(
        self,
        fleet_usage_by_number: Mapping[int, OrganisationUsage],
        size: FleetSize,
        now: float,
        *,
        reports_are_recent: bool = True,
    ) -> None:
        """Set the sum of the reports of all instances, including this one.

        ``reports_are_recent``: the sum is current, so that shares may follow the demand
        counted here.
        """
        if self._started_at is None:
            self._started_at = now
        self._fleet_usage_by_number = fleet_usage_by_number
        self._size = size
        if not reports_are_recent:
            # Demand that grows here while reports are missing doesn't justify a
            # larger share: it may be growing at the other instances as well.
            return
        for counters in self._counters_by_name.values():
            counters.sample_wanted(now)

    def retain_organisations(self, organisations: OrganisationIndex) -> None:
        """Remove the counters of organisations that are no longer declared."""
        for name in self._counters_by_name.keys() - organisations.by_name.keys():
            self._counters_by_name.pop(name)

    def usage_by_organisation(
        self, organisations: OrganisationIndex, now: float
    ) -> dict[str, LimitUsage]:
        """Return the use of each organisation that has a limit."""
        usage_by_name = {}
        for name, organisation in organisations.by_name.items():
            if organisation.limit is None:
                continue
            counters = self._counters_by_name.get(name) or _Counters(
                window_s=self.settings.window_s
            )
            usage_by_name[name] = LimitUsage(
                limit=organisation.limit,
                share=self._share(name, organisation.limit, counters, now),
                used=counters.used.count(now),
                wanted=counters.wanted.count(now),
                refused=counters.refused,
                fleet=self._fleet_usage(name),
            )
        return usage_by_name

    def _share(self, name: str, limit: RateLimit, counters: '_Counters', now: float) -> float:
        state = LimitState(
            allowance=self.settings.allowance(limit),
            wanted=counters.reported_wanted(),
            fleet=self._fleet_usage(name),
        )
        share = self._share_rule.share(state, self._size)
        fraction = self._window_fraction(now)
        return share if fraction >= 1 else share_after_start(share, fraction, state)

    def _window_fraction(self, now: float) -> float:
        """Return the fraction (0..1) of a window since the start of this instance."""
        if self._started_at is None:
            return 1.0
        return min(1.0, max(MIN_START_FRACTION, (now - self._started_at) / self.settings.window_s))

    def _rounded_at_random(self, share: float, name: str, now: float) -> int:
        """Round ``share`` to whole requests, up with the probability of its remainder.

        If all instances rounded down, the remainders of many small shares would be
        lost. This way, about as many instances round up as the remainders add up to.
        The draw is a hash and stays the same during a window.
        """
        whole = math.floor(share)
        drawn = rendezvous_score(f'{self._instance}/{name}', str(int(now / self.settings.window_s)))
        return whole + (drawn / SCORE_RANGE < share - whole)

    def _fleet_usage(self, name: str) -> OrganisationUsage:
        return self._fleet_usage_by_number.get(organisation_number(name), ZERO_USAGE)

    def _counters_of(self, name: str) -> '_Counters':
        counters = self._counters_by_name.get(name)
        if counters is None:
            counters = _Counters(window_s=self.settings.window_s)
            self._counters_by_name[name] = counters
        return counters


class _Sample(NamedTuple):
    sampled_at: float
    wanted: int


class _Counters:
    """Counts of one organisation's requests at this instance."""

    def __init__(self, *, window_s: float) -> None:
        self.used = SlidingWindowCounter(window_s=window_s)
        self.wanted = SlidingWindowCounter(window_s=window_s)
        self.refused = 0
        self._samples: deque[_Sample] = deque()
        # Times at which refused callers should retry, as answered to them.
        self._retry_times: deque[float] = deque()

    def sample_wanted(self, now: float) -> None:
        """Sample the demand; samples are kept until all instances know their report."""
        self._samples.append(_Sample(now, self.wanted.count(now)))
        while len(self._samples) > 1 and self._samples[1].sampled_at <= now - MAX_REPORT_DELAY_S:
            self._samples.popleft()

    def reported_wanted(self) -> float:
        """Return the mean demand since the newest report that all instances know.

        If shares were computed from the newest counts, they would add up to more than
        the allowance while demand rises at all instances at once. The mean is
        therefore limited to a random deviation above the lowest count.
        """
        if not self._samples:
            return 0.0
        counts = [sample.wanted for sample in self._samples]
        lowest = min(counts)
        return min(
            sum(counts) / len(counts),
            lowest + random_deviation(lowest, deviations=DEMAND_DEVIATIONS) + 1,
        )

    def retry_after_s(self, share: float, now: float, window_s: float) -> float:
        """Return the seconds until the next admission not yet offered to another caller."""
        while self._retry_times and self._retry_times[0] <= now:
            self._retry_times.popleft()
        ahead = len(self.used) - max(1, math.floor(share)) + len(self._retry_times)
        admitted_at = self.used.time_of(ahead)
        if admitted_at is None:
            return window_s
        self._retry_times.append(admitted_at + window_s)
        return max(MIN_RETRY_AFTER_S, admitted_at + window_s - now)
