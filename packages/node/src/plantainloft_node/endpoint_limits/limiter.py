"""Keeps this instance's part of the request limits that endpoints name."""

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from plantainloft_core.discovery import EndpointRecord
from plantainloft_node.endpoint_limits.claims import (
    MAX_CLAIMS_PER_GROUP,
    group_number,
    instance_number,
)
from plantainloft_node.endpoint_limits.header_parsing import MAX_LIMIT_PER_S
from plantainloft_node.endpoint_limits.registry import (
    EndpointLimit,
    EndpointLimitRegistry,
    endpoint_number,
)
from plantainloft_node.endpoint_limits.shares import (
    LimitWindow,
    ShareRequest,
    ShareView,
    limit_window,
    share_in_view,
)
from plantainloft_node.placement.rendezvous import SCORE_RANGE, rendezvous_score

__all__ = ['EndpointLimiter', 'FleetView', 'LimitUsage', 'LimitedEndpoint']

# Longest time until all instances know a claim or that an instance is down. A share
# grows only after it, while that of another instance has become smaller.
SHARE_GROWTH_DELAY_S = 3.0
# Peers that know a limit report it twice a second.
REPORT_TTL_S = 2.0
# After the end of a limit, the allowed rate doubles in each RAMP_DOUBLING_S, and after
# RAMP_S there is no limit any more. Without it, the endpoint would get its full share of
# requests at once, just after it has been short of capacity.
RAMP_DOUBLING_S = 1.0
RAMP_S = 3.0
RAMP_STEP_S = 0.25
# A part of the limit that was free for this long goes to any request of the service.
IDLE_SHARE_S = 0.2
# A claim is renewed by requests at most this often.
CLAIM_RENEWAL_S = 1.0


class LimitedEndpoint(Protocol):
    """The endpoint that a limit applies to."""

    @property
    def record(self) -> EndpointRecord:
        """The incarnation of the endpoint."""

    @property
    def region(self) -> str:
        """The region in which it runs."""


class FleetView(NamedTuple):
    """All instances that share limits, and which of them can be reached.

    ``region_by_instance`` has the regions of all, by name. It is empty until the
    list of instances is known.
    """

    region_by_instance: Mapping[str, str]
    reachable_instances: frozenset[str]
    reachable_fraction: float


class LimitUsage(NamedTuple):
    """An endpoint's limit and this instance's use of it, for operators.

    ``share`` is the number of requests that this instance may send in ``window_s``
    seconds, ``sent`` the number that it has sent since it knows the limit, ``age_s`` the
    seconds since the newest response that named the limit, here or at a peer.
    """

    endpoint_id: str
    limit_per_s: float | None
    age_s: float
    share: int
    sent: int
    window_s: float


class _Share(NamedTuple):
    window: LimitWindow
    requests: int
    revision: int


_NO_SHARE = _Share(limit_window(0.0), requests=0, revision=-1)


class _Budget:
    """Requests to one endpoint: each uses a part of the share until its release time."""

    def __init__(self) -> None:
        self.share = _NO_SHARE
        self.sent = 0
        self._release_times: list[float] = []

    def record_sent(self, now: float) -> None:
        """Use a part of the share for one window."""
        self.sent += 1
        self._remove_released(now)
        insort(self._release_times, now + self.share.window.window_s)

    def used(self, now: float) -> int:
        """Return the used part of the share, in requests."""
        released = bisect_right(self._release_times, now)
        return len(self._release_times) - released

    def resize(self, share: _Share, now: float, *, phase: float) -> None:
        """Change the share; what it grows by is released evenly over a window.

        ``phase`` (0..1) differs between instances, so that they don't send together.
        """
        growth = share.requests - self.share.requests
        self._release_times += [
            now + share.window.window_s * (number + phase) / growth for number in range(growth)
        ]
        self._release_times.sort()
        self.share = share
        self._remove_released(now)

    def free_at(self) -> float:
        """Return since or from when a part of the share is free."""
        return self._release_times[-self.share.requests]

    def _remove_released(self, now: float) -> None:
        """Remove the release times that neither count nor tell since when a part is free."""
        not_needed = bisect_right(self._release_times, now) - self.share.requests
        if not_needed > 0:
            self._release_times = self._release_times[not_needed:]


class _TimedView(NamedTuple):
    since: float
    view: ShareView


class EndpointLimiter:
    """Decides whether this instance may send a request to an endpoint with a limit.

    The limiter does no network I/O: ``update`` takes what is known of the other
    instances, and ``registry`` what all have learned of limits and claims.
    """

    def __init__(self, *, instance: str, registry: EndpointLimitRegistry) -> None:
        """``instance`` is the name of this instance."""
        self._instance = instance
        self._number = instance_number(instance)
        self._registry = registry
        self._fleet = FleetView({}, frozenset(), 0.0)
        self._views_by_group: dict[int, deque[_TimedView]] = {}
        self._endpoints_by_group: dict[int, list[LimitedEndpoint]] = {}
        self._budget_by_number: dict[int, _Budget] = {}
        self._claimed_at_by_group: dict[int, float] = {}
        # Incremented whenever any view changes; invalidates cached shares.
        self._revision = 0

    def __bool__(self) -> bool:
        """Return whether any endpoint names a limit or has just stopped."""
        return bool(self._registry)

    def allows(self, endpoint: LimitedEndpoint, now: float) -> bool:
        """Return whether one more request may be sent to ``endpoint``."""
        budget = self._budget(endpoint, now)
        return budget is None or budget.used(now) < budget.share.requests

    def record_sent(self, endpoint: LimitedEndpoint, now: float) -> None:
        """Count a request, of whatever kind, as sent to ``endpoint``."""
        budget = self._budget(endpoint, now)
        if budget is not None:
            budget.record_sent(now)

    def record_demand(self, service: str, region: str, now: float) -> None:
        """Record that this instance has a request for the endpoints of a region."""
        group = group_number(service, region)
        if group not in self._endpoints_by_group:
            return
        if now - self._claimed_at_by_group.get(group, float('-inf')) < CLAIM_RENEWAL_S:
            return
        self._claimed_at_by_group[group] = now
        claims = self._registry.claims.current(group, now)
        is_listed = any(claim.instance_number == self._number for claim in claims)
        if is_listed or len(claims) < MAX_CLAIMS_PER_GROUP:
            self._registry.claims.record(group, self._number, now)

    def idle_endpoints(self, service: str, region: str, now: float) -> list[LimitedEndpoint]:
        """Return the endpoints whose limit this instance does not use up.

        After a limit has ended, requests come back by their keys only.
        """
        endpoints = self._endpoints_by_group.get(group_number(service, region), ())
        return [endpoint for endpoint in endpoints if self._is_idle(endpoint, now)]

    def retry_after_s(self, service: str, now: float) -> float | None:
        """Return the seconds until this instance may send to an endpoint with a limit.

        ``None`` if it holds no share in any of the service's limits.
        """
        free_at = [
            at
            for endpoints in self._endpoints_by_group.values()
            for endpoint in endpoints
            if endpoint.record.service == service
            and (at := self._free_at(endpoint, now)) is not None
        ]
        return max(0.0, min(free_at) - now) if free_at else None

    def update(self, fleet: FleetView, endpoints: Iterable[LimitedEndpoint], now: float) -> None:
        """Update the views of the fleet; ``endpoints`` are those that name limits."""
        self._fleet = fleet
        self._registry.remove_expired(now)
        self._endpoints_by_group = {}
        for endpoint in endpoints:
            group = group_number(endpoint.record.service, endpoint.region)
            self._endpoints_by_group.setdefault(group, []).append(endpoint)
        for group in self._views_by_group.keys() - self._endpoints_by_group.keys():
            self._views_by_group.pop(group)
        for group, limited in self._endpoints_by_group.items():
            self._update_views(group, now)
            for endpoint in limited:
                # A share that grows is released from now on, not from the next request.
                self._budget(endpoint, now)
        for number in self._budget_by_number.keys() - self._registry.numbers():
            self._budget_by_number.pop(number)

    def usage(self, endpoint: LimitedEndpoint, limit: EndpointLimit, now: float) -> LimitUsage:
        """Return what this instance uses of the limit of ``endpoint``."""
        budget = self._budget(endpoint, now) or _Budget()
        return LimitUsage(
            endpoint_id=endpoint.record.id,
            limit_per_s=limit.per_s,
            age_s=max(0.0, now - limit.observed_at),
            share=budget.share.requests,
            sent=budget.sent,
            window_s=budget.share.window.window_s,
        )

    def _budget(self, endpoint: LimitedEndpoint, now: float) -> _Budget | None:
        """Return the budget with its current share; ``None`` if no limit applies."""
        number = endpoint_number(endpoint.record.incarnation)
        known = self._registry.get(number)
        limit_per_s = None if known is None else _applied_limit(known, endpoint.record.slots, now)
        if limit_per_s is None:
            return None
        budget = self._budget_by_number.setdefault(number, _Budget())
        window = limit_window(limit_per_s)
        views = self._views(endpoint, now)
        share = budget.share
        if share.window != window or share.revision != self._revision:
            request = ShareRequest(self._instance, endpoint.record.id, endpoint.region)
            requests = min(share_in_view(one.view, window.requests, request) for one in views)
            # Not the score that ranks the holders of shares: those are all high.
            score = rendezvous_score(self._instance, endpoint.record.id)
            budget.resize(_Share(window, requests, self._revision), now, phase=score / SCORE_RANGE)
        return budget

    def _is_idle(self, endpoint: LimitedEndpoint, now: float) -> bool:
        free_at = self._free_at(endpoint, now)
        return free_at is not None and now - free_at >= IDLE_SHARE_S

    def _free_at(self, endpoint: LimitedEndpoint, now: float) -> float | None:
        """Return since or from when one more request may be sent; ``None`` without a share."""
        known = self._registry.get(endpoint_number(endpoint.record.incarnation))
        budget = self._budget(endpoint, now)
        if known is None or known.per_s is None or budget is None or not budget.share.requests:
            return None
        return budget.free_at()

    def _views(self, endpoint: LimitedEndpoint, now: float) -> deque[_TimedView]:
        group = group_number(endpoint.record.service, endpoint.region)
        views = self._views_by_group.get(group)
        if views is None:
            views = deque((_TimedView(now, self._current_view(group, now)),))
            self._revision += 1
            # Without any instance, shares would stay at zero until they may grow.
            if self._fleet.region_by_instance:
                self._views_by_group[group] = views
        return views

    def _update_views(self, group: int, now: float) -> None:
        views = self._views(self._endpoints_by_group[group][0], now)
        view = self._current_view(group, now)
        if views[-1].view != view:
            views.append(_TimedView(now, view))
            self._revision += 1
        while len(views) > 1 and views[1].since <= now - SHARE_GROWTH_DELAY_S:
            views.popleft()
            self._revision += 1

    def _current_view(self, group: int, now: float) -> ShareView:
        claims = self._registry.claims.current(group, now)
        if not claims or not self._hears_peers(now):
            # Any instance may have requests: a part for each needs no coordination.
            return ShareView(self._fleet.region_by_instance, reachable_fraction=1.0)
        name_by_number = {instance_number(name): name for name in self._fleet.region_by_instance}
        names = (
            name_by_number.get(claim.instance_number, f'#{claim.instance_number}')
            for claim in claims
        )
        region_by_holder = {
            name: self._fleet.region_by_instance.get(name, '')
            for name in names
            if name == self._instance or self._may_send(name)
        }
        return ShareView(region_by_holder, self._fleet.reachable_fraction)

    def _hears_peers(self, now: float) -> bool:
        """Return whether the claims of others arrive.

        They don't while the relays run a build that doesn't forward them.
        """
        is_alone = len(self._fleet.region_by_instance) <= 1
        return is_alone or now - self._registry.reported_at < REPORT_TTL_S

    def _may_send(self, name: str) -> bool:
        is_listed = name in self._fleet.region_by_instance
        return not is_listed or name in self._fleet.reachable_instances


def _applied_limit(known: EndpointLimit, slots: int, now: float) -> float | None:
    """Return the limit that applies now, also for a while after it has ended."""
    if known.per_s is not None:
        return known.per_s if known.per_s < MAX_LIMIT_PER_S else None
    elapsed_s = (now - known.since) // RAMP_STEP_S * RAMP_STEP_S
    if elapsed_s >= RAMP_S:
        return None
    return max(known.previous_per_s, slots) * 2 ** (elapsed_s / RAMP_DOUBLING_S)
