"""Reports from the peers of a mesh on organisations' use of their limits."""

from collections.abc import Mapping
from typing import NamedTuple

from plantainloft_node.limits.uses import OrganisationUse, add_up_uses

__all__ = ['PeerUses']

# In a mesh of twelve, each peer's report arrives twice in this time.
REPORT_TTL_S = 2.0


class _Report(NamedTuple):
    use_by_number: Mapping[int, OrganisationUse]
    at: float


class PeerUses:
    """The newest report of each peer, by name."""

    def __init__(self) -> None:
        self._report_by_name: dict[str, _Report] = {}

    def put(self, name: str, use_by_number: Mapping[int, OrganisationUse], now: float) -> None:
        """Store the report of peer ``name``."""
        self._report_by_name[name] = _Report(use_by_number, now)

    def total(self, mine: Mapping[int, OrganisationUse], now: float) -> dict[int, OrganisationUse]:
        """Return the sum of ``mine``, this instance's own use, and all unexpired reports."""
        reports = self._unexpired(now).values()
        return add_up_uses((mine, *(report.use_by_number for report in reports)))

    def reached(self, now: float) -> int:
        """Return the number of reporting instances, including this one."""
        return len(self._unexpired(now)) + 1

    def _unexpired(self, now: float) -> dict[str, _Report]:
        self._report_by_name = {
            name: report
            for name, report in self._report_by_name.items()
            if now - report.at < REPORT_TTL_S
        }
        return self._report_by_name
