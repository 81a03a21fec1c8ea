"""Lets requests of organisations pass, up to their limits over all instances."""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from plantainloft_core.organisations import Organisation, OrganisationBook, RequestLimit
from plantainloft_node.limits.shares import (
    FleetSize,
    ShareRule,
    SharesByDemand,
    Standing,
    by_chance,
    share_after_start,
)
from plantainloft_node.limits.uses import NO_USE, OrganisationUse, organisation_number
from plantainloft_node.placing.affinity import score
from plantainloft_node.placing.budget import SlidingWindowCounter

__all__ = ['DEFAULT_TERMS', 'LimitTerms', 'OverLimit', 'RequestLimiter', 'Usage']

# A report is known to all instances after at most so long; until then others
# share out by the one before.
REPORT_LAG_S = 3.0
# Of what may pass beyond a limit, this part is shared out; the rest is for
# requests let pass before others' reports have come.
TOLERANCE_PART = 0.35
MIN_RETRY_AFTER_S = 0.1
# A demand that differs by so much from the least counted may be steady.
DEVIATIONS = 1.5
# A shorter part of a window tells too little of the demand.
MIN_REPORTED_PART = 0.2
# An instance that has just started may let this part of its share pass.
MIN_PART = 0.1
DEFAULT_WINDOW_S = 5.0
DEFAULT_OVER = 0.1
DEFAULT_SLACK = 20.0
_SCORE_RANGE = 4294967296.0


class LimitTerms(NamedTuple):
    """How limits are counted: in any ``window_s`` seconds, over all instances.

    ``over`` (a share) and ``slack`` (requests) are what may pass beyond a
    limit, since instances know each other's counts a moment late.
    """

    window_s: float
    over: float
    slack: float

    def allowance(self, limit: RequestLimit) -> float:
        """Return the requests of a window that are shared out."""
        in_window = limit.in_window(self.window_s)
        return in_window * (1 + self.over * TOLERANCE_PART) + self.slack * TOLERANCE_PART


DEFAULT_TERMS = LimitTerms(window_s=DEFAULT_WINDOW_S, over=DEFAULT_OVER, slack=DEFAULT_SLACK)


@dataclass(frozen=True, slots=True, kw_only=True)
class OverLimit:
    """The request is beyond its organisation's limit and did not run.

    ``share`` is what this instance may let pass in a window, ``used`` what it
    has, ``fleet`` what all have reported.
    """

    organisation: str
    share: float
    used: int
    fleet: OrganisationUse
    retry_after_s: float


class Usage(NamedTuple):
    """An organisation's use as this instance sees it, for operators.

    ``refused`` counts since the start of the instance, the others in a window.
    """

    limit: RequestLimit
    share: float
    used: int
    wanted: int
    refused: int
    fleet: OrganisationUse


class RequestLimiter:
    """Counts each organisation's requests here and holds them to a share.

    Nothing here touches the network: ``update`` brings what others report,
    ``uses`` returns what to report of this instance.
    """

    def __init__(self, *, me: str, terms: LimitTerms, rule: ShareRule | None = None) -> None:
        """``me`` names this instance; ``rule`` is by demand unless given."""
        self.terms = terms
        self._me = me
        self._rule = rule or SharesByDemand()
        self._size = FleetSize(0, 0)
        self._started_at: float | None = None
        self._fleet_by_number: Mapping[int, OrganisationUse] = {}
        self._tally_by_name: dict[str, _Tally] = {}

    def admit(self, organisation: Organisation, now: float) -> OverLimit | None:
        """Count one more request; return why it may not pass, if so."""
        if organisation.limit is None:
            return None
        tally = self._tally(organisation.name)
        tally.wanted.add(now)
        share = self._share(organisation.name, organisation.limit, tally, now)
        used = tally.used.count(now)
        if used < self._rounded(share, organisation.name, now):
            tally.used.add(now)
            return None
        tally.refused += 1
        return OverLimit(
            organisation=organisation.name,
            share=share,
            used=used,
            fleet=self._fleet(organisation.name),
            retry_after_s=tally.next_room_s(share, now, self.terms.window_s),
        )

    def release(self, organisation: Organisation) -> None:
        """Take back the newest request let pass: it was not run."""
        tally = self._tally_by_name.get(organisation.name)
        if organisation.limit is not None and tally is not None:
            tally.used.remove_newest()

    def note_repeat(self, organisation: Organisation, now: float) -> None:
        """Count a request that was sent to one more endpoint."""
        if organisation.limit is not None:
            self._tally(organisation.name).used.add(now)

    def uses(self, now: float) -> dict[int, OrganisationUse]:
        """Return what to report of this instance, by organisation number.

        Counts since a start a moment ago stand for a whole window. Taken as they
        are, the others would share out what this instance goes on asking for.
        """
        part = max(MIN_REPORTED_PART, self._part_of_window(now))
        use_by_number = {}
        for name, tally in self._tally_by_name.items():
            wanted = tally.wanted.count(now)
            if wanted:
                use = OrganisationUse(tally.used.count(now), round(wanted / part))
                use_by_number[organisation_number(name)] = use
        return use_by_number

    def update(
        self,
        fleet_by_number: Mapping[int, OrganisationUse],
        size: FleetSize,
        now: float,
        *,
        is_fresh: bool = True,
    ) -> None:
        """Take what all instances report, this one included.

        ``is_fresh``: it was reported a moment ago.
        """
        if self._started_at is None:
            self._started_at = now
        self._fleet_by_number = fleet_by_number
        self._size = size
        if not is_fresh:
            # Demand that grows here and is not reported is no reason for a
            # larger share: it grows at the others too.
            return
        for tally in self._tally_by_name.values():
            tally.note_wanted(now)

    def keep_only(self, organisations: OrganisationBook) -> None:
        """Forget the organisations that are no longer declared."""
        for name in self._tally_by_name.keys() - organisations.by_name.keys():
            self._tally_by_name.pop(name)

    def usage(self, organisations: OrganisationBook, now: float) -> dict[str, Usage]:
        """Return the use of each organisation that has a limit."""
        usage_by_name = {}
        for name, organisation in organisations.by_name.items():
            if organisation.limit is None:
                continue
            tally = self._tally_by_name.get(name) or _Tally(window_s=self.terms.window_s)
            usage_by_name[name] = Usage(
                limit=organisation.limit,
                share=self._share(name, organisation.limit, tally, now),
                used=tally.used.count(now),
                wanted=tally.wanted.count(now),
                refused=tally.refused,
                fleet=self._fleet(name),
            )
        return usage_by_name

    def _share(self, name: str, limit: RequestLimit, tally: '_Tally', now: float) -> float:
        standing = Standing(
            allowance=self.terms.allowance(limit),
            wanted=tally.known_wanted(),
            fleet=self._fleet(name),
        )
        share = self._rule.share(standing, self._size)
        part = self._part_of_window(now)
        return share if part >= 1 else share_after_start(share, part, standing)

    def _part_of_window(self, now: float) -> float:
        """Return the part (0..1) of a window since the start of this instance."""
        if self._started_at is None:
            return 1.0
        return min(1.0, max(MIN_PART, (now - self._started_at) / self.terms.window_s))

    def _rounded(self, share: float, name: str, now: float) -> int:
        """Return ``share`` in whole requests.

        Rounded down everywhere, what remains of many small shares would be
        lost; so as many instances round up as the remainders come to.
        """
        whole = math.floor(share)
        drawn = score(f'{self._me}/{name}', str(int(now / self.terms.window_s)))
        return whole + (drawn / _SCORE_RANGE < share - whole)

    def _fleet(self, name: str) -> OrganisationUse:
        return self._fleet_by_number.get(organisation_number(name), NO_USE)

    def _tally(self, name: str) -> '_Tally':
        tally = self._tally_by_name.get(name)
        if tally is None:
            tally = _Tally(window_s=self.terms.window_s)
            self._tally_by_name[name] = tally
        return tally


class _Sample(NamedTuple):
    at: float
    wanted: int


class _Tally:
    """The requests of one organisation at this instance."""

    def __init__(self, *, window_s: float) -> None:
        self.used = SlidingWindowCounter(window_s=window_s)
        self.wanted = SlidingWindowCounter(window_s=window_s)
        self.refused = 0
        self._samples: deque[_Sample] = deque()
        # Times at which room was promised to callers who were refused.
        self._promised: deque[float] = deque()

    def note_wanted(self, now: float) -> None:
        """Keep what was asked for until a report of it is known to all."""
        self._samples.append(_Sample(now, self.wanted.count(now)))
        while len(self._samples) > 1 and self._samples[1].at <= now - REPORT_LAG_S:
            self._samples.popleft()

    def known_wanted(self) -> float:
        """Return what was asked for on average since what all others know.

        Taken from the newest counts, shares would add up to more than the
        allowance while demand rises everywhere at once. So the average counts
        only as far as the counts may differ by chance.
        """
        if not self._samples:
            return 0.0
        counts = [sample.wanted for sample in self._samples]
        least = min(counts)
        return min(sum(counts) / len(counts), least + by_chance(least, deviations=DEVIATIONS) + 1)

    def next_room_s(self, share: float, now: float, window_s: float) -> float:
        """Return the seconds until there is room that nobody else was promised."""
        while self._promised and self._promised[0] <= now:
            self._promised.popleft()
        ahead = len(self.used) - max(1, math.floor(share)) + len(self._promised)
        leaving_at = self.used.time_of(ahead)
        if leaving_at is None:
            return window_s
        self._promised.append(leaving_at + window_s)
        return max(MIN_RETRY_AFTER_S, leaving_at + window_s - now)
