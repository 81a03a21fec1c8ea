"""List of organisations for operators, as seen by one instance."""

from collections.abc import Mapping
from typing import TypedDict

from plantainloft_core.organisations import Organisation, OrganisationIndex
from plantainloft_node.limits.limiter import LimitUsage

__all__ = ['ListedOrganisation', 'list_organisations']


class ListedOrganisation(TypedDict):
    """An organisation and its use of its limit.

    ``rate`` (requests a second) is 0 if there is no limit. ``share``, ``used`` and
    ``wanted`` apply to one window at this instance, ``fleet_used`` and
    ``fleet_wanted`` to all instances as last reported. ``refused`` counts since the
    start of this instance.
    """

    name: str
    key_digests: list[str]
    regions: list[str]
    rate: float
    burst: float
    share: float
    used: int
    wanted: int
    refused: int
    fleet_used: int
    fleet_wanted: int


def list_organisations(
    organisations: OrganisationIndex, usage_by_name: Mapping[str, LimitUsage]
) -> list[ListedOrganisation]:
    """Return all organisations, sorted by name."""
    return [
        _listed(organisation, usage_by_name.get(name))
        for name, organisation in sorted(organisations.by_name.items())
    ]


def _listed(organisation: Organisation, usage: LimitUsage | None) -> ListedOrganisation:
    return ListedOrganisation(
        name=organisation.name,
        key_digests=sorted(organisation.key_digests),
        regions=sorted(organisation.regions),
        rate=usage.limit.rate if usage else 0.0,
        burst=usage.limit.burst if usage else 0.0,
        share=round(usage.share, 1) if usage else 0.0,
        used=usage.used if usage else 0,
        wanted=usage.wanted if usage else 0,
        refused=usage.refused if usage else 0,
        fleet_used=usage.fleet.used if usage else 0,
        fleet_wanted=usage.fleet.wanted if usage else 0,
    )
