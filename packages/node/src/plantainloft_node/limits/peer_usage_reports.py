"""Reports from the peers of a mesh on organisations' use of their limits."""

from collections.abc import Mapping
from typing import NamedTuple

from plantainloft_node.limits.organisation_usage import OrganisationUsage, sum_usage

__all__ = ['PeerUsageReports']

# In a mesh of twelve, each peer's report arrives twice in this time.
REPORT_TTL_S = 2.0


class _Report(NamedTuple):
    usage_by_number: Mapping[int, OrganisationUsage]
    received_at: float


class PeerUsageReports:
    """The newest report of each peer, by name."""

    def __init__(self) -> None:
        self._report_by_name: dict[str, _Report] = {}

    def record(
        self, name: str, usage_by_number: Mapping[int, OrganisationUsage], now: float
    ) -> None:
        """Store the report of peer ``name``."""
        self._report_by_name[name] = _Report(usage_by_number, now)

    def fleet_usage(
        self, own_usage: Mapping[int, OrganisationUsage], now: float
    ) -> dict[int, OrganisationUsage]:
        """Return the sum of ``own_usage``, this instance's own use, and all unexpired reports."""
        reports = self._unexpired(now).values()
        return sum_usage((own_usage, *(report.usage_by_number for report in reports)))

    def reporting_instances(self, now: float) -> int:
        """Return the number of reporting instances, including this one."""
        return len(self._unexpired(now)) + 1

    def _unexpired(self, now: float) -> dict[str, _Report]:
        self._report_by_name = {
            name: report
            for name, report in self._report_by_name.items()
            if now - report.received_at < REPORT_TTL_S
        }
        return self._report_by_name
