"""Admission control: API-key authentication and rate limits per organisation."""

import time
from collections.abc import Iterable, Mapping

from plantainloft_core.lookup import Member
from plantainloft_core.model import Configuration
from plantainloft_core.organisations import Organisation
from plantainloft_core.outcomes import Limited, Unauthorised
from plantainloft_node.limits.limiter import LimitUsage, RequestLimiter
from plantainloft_node.limits.peer_usage_reports import PeerUsageReports
from plantainloft_node.limits.shares import FleetSize
from plantainloft_node.node_requests import Request
from plantainloft_node.recent_instances import RecentInstances

__all__ = ['API_KEY_HEADER', 'AdmissionControl']

API_KEY_HEADER = 'api-key'


class AdmissionControl:
    """Authenticates callers by API key and enforces organisations' rate limits."""

    def __init__(self, *, limiter: RequestLimiter, peer_usage_reports: PeerUsageReports) -> None:
        self.limiter = limiter
        self._peer_usage_reports = peer_usage_reports
        self._recent_instances = RecentInstances()

    def admit(self, config: Configuration, request: Request) -> Request | Unauthorised | Limited:
        """Return ``request`` with its organisation set, or the reason it is rejected."""
        if not config.organisations.by_name:
            return request
        key = request.headers.get(API_KEY_HEADER, '')
        organisation = config.organisations.find_by_key(key.encode())
        if organisation is None:
            return Unauthorised(reason='unknown key' if key else 'no key')
        exceeded = self.limiter.admit(organisation, time.monotonic())
        if exceeded is not None:
            return Limited(
                reason=f'{exceeded.organisation} is over its limit: {exceeded.used} of a share of'
                f' {exceeded.share:.1f} here, {exceeded.fleet.used} in all',
                retry_after_s=exceeded.retry_after_s,
            )
        return request._replace(organisation=organisation)

    def release(self, organisation: Organisation | None) -> None:
        """Stop counting a request that was admitted but not executed."""
        if organisation is not None:
            self.limiter.release(organisation)

    def tick(self, config: Configuration, live: Iterable[Member]) -> None:
        """Update the limiter from peer reports; ``live`` includes this instance."""
        now = time.monotonic()
        running = len(self._recent_instances.update(live, now))
        reporting = min(running, self._peer_usage_reports.reporting_instances(now))
        self.limiter.retain_organisations(config.organisations)
        fleet_usage = self._peer_usage_reports.fleet_usage(self.limiter.usage_report(now), now)
        self.limiter.update_fleet_usage(fleet_usage, FleetSize(running, reporting), now)

    def usage_by_organisation(self, config: Configuration) -> Mapping[str, LimitUsage]:
        """Return the current usage of each organisation that has a limit."""
        return self.limiter.usage_by_organisation(config.organisations, time.monotonic())
