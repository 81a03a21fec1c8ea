"""Configuration model: regions, services, endpoints, client blocks, organisations.

A configuration document is plain JSON, stored in the platform's table
service. ``parse_configuration`` validates it, reports all problems at once,
and returns typed values.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from plantainloft_core.discovery import MAX_SLOTS
from plantainloft_core.organisation_schema import parse_organisations
from plantainloft_core.organisations import NO_ORGANISATIONS, OrganisationIndex
from plantainloft_core.outcomes import Invalid
from plantainloft_core.schema_validation import SchemaProblems, section_of

__all__ = [
    'ClientBlock',
    'Configuration',
    'Endpoint',
    'Region',
    'Service',
    'build_configuration',
    'parse_configuration',
    'update_entries',
]

ENDPOINT_STATES = frozenset(('active', 'draining'))
DEFAULT_SHIFT_CAP = 0.2
DEFAULT_SLO_MS = 250
DEFAULT_ENTRY_INSTANCES = 4
MAX_ENTRY_INSTANCES = 10_000
MAX_CAPACITY = 1_000_000_000
MIN_SHIFT_CAP = 0.01
MAX_SLO_MS = 60_000


class Region(NamedTuple):
    """A region; ``capacity`` is the most requests in flight that it can take.

    Nodes move traffic away from a region that is ``evacuating``, in steps
    within each service's shift cap. ``entry_instances`` is the number of entry
    instances planned in the region. The shares of the regions' capacity that
    each of them may use depend on it.
    """

    name: str
    capacity: int
    zones: tuple[str, ...]
    evacuating: bool = False
    entry_instances: int = DEFAULT_ENTRY_INSTANCES


class Service(NamedTuple):
    """A service.

    ``shift_cap`` is the largest share (0..1) of its traffic that may move
    between regions within ``SHIFT_WINDOW_S``. ``slo_ms`` is its latency
    objective.
    """

    name: str
    shift_cap: float
    slo_ms: int


class Endpoint(NamedTuple):
    """An endpoint of a service; ``slots`` is its limit of requests in flight."""

    name: str
    service: str
    region: str
    zone: str
    address: str
    slots: int
    state: str


class ClientBlock(NamedTuple):
    """A block of callers and their nearest availability zone."""

    name: str
    zone: str


class Configuration(NamedTuple):
    """One numbered version of the whole configuration.

    Create it with ``build_configuration``, which builds the indexes
    ``endpoints_by_service`` and ``region_by_zone``. With them, choosing an
    endpoint does not scan all endpoints and regions.
    """

    version: int
    regions_by_name: Mapping[str, Region]
    services_by_name: Mapping[str, Service]
    endpoints_by_name: Mapping[str, Endpoint]
    client_blocks_by_name: Mapping[str, ClientBlock]
    endpoints_by_service: Mapping[str, tuple[Endpoint, ...]]
    region_by_zone: Mapping[str, str]
    organisations: OrganisationIndex = NO_ORGANISATIONS

    def region_of_zone(self, zone: str) -> str | None:
        """Return the region of availability zone ``zone``, if there is one."""
        return self.region_by_zone.get(zone)


def build_configuration(
    *,
    version: int,
    regions_by_name: Mapping[str, Region],
    services_by_name: Mapping[str, Service],
    endpoints_by_name: Mapping[str, Endpoint],
    client_blocks_by_name: Mapping[str, ClientBlock],
    organisations: OrganisationIndex = NO_ORGANISATIONS,
) -> Configuration:
    """Return a ``Configuration`` with its indexes."""
    by_service: dict[str, list[Endpoint]] = {}
    for endpoint in sorted(endpoints_by_name.values()):
        by_service.setdefault(endpoint.service, []).append(endpoint)
    return Configuration(
        version=version,
        regions_by_name=regions_by_name,
        services_by_name=services_by_name,
        endpoints_by_name=endpoints_by_name,
        client_blocks_by_name=client_blocks_by_name,
        endpoints_by_service={name: tuple(eps) for name, eps in by_service.items()},
        region_by_zone={
            zone: region.name for region in regions_by_name.values() for zone in region.zones
        },
        organisations=organisations,
    )


EMPTY_CONFIGURATION = build_configuration(
    version=0,
    regions_by_name={},
    services_by_name={},
    endpoints_by_name={},
    client_blocks_by_name={},
)


def _parse_regions(doc: Mapping[str, Any], problems: SchemaProblems) -> dict[str, Region]:
    by_name = {}
    for name, raw in section_of(doc, 'regions', problems).items():
        path = f'regions.{name}'
        zones = raw.get('zones', [])
        if not isinstance(zones, list) or not zones:
            problems.add(f'{path}.zones', 'must be a non-empty list')
            zones = []
        capacity = problems.number(
            f'{path}.capacity',
            raw.get('capacity'),
            low=1,
            high=MAX_CAPACITY,
        )
        entry_instances = problems.number(
            f'{path}.entry_instances',
            raw.get('entry_instances', DEFAULT_ENTRY_INSTANCES),
            low=0,
            high=MAX_ENTRY_INSTANCES,
        )
        by_name[name] = Region(
            name=name,
            capacity=int(capacity),
            zones=tuple(str(zone) for zone in zones),
            evacuating=problems.flag(f'{path}.evacuating', raw.get('evacuating', False)),
            entry_instances=int(entry_instances),
        )
    return by_name


def _parse_services(doc: Mapping[str, Any], problems: SchemaProblems) -> dict[str, Service]:
    by_name = {}
    for name, raw in section_of(doc, 'services', problems).items():
        path = f'services.{name}'
        cap = problems.number(
            f'{path}.shift_cap',
            raw.get('shift_cap', DEFAULT_SHIFT_CAP),
            low=MIN_SHIFT_CAP,
            high=1,
        )
        slo = problems.number(
            f'{path}.slo_ms',
            raw.get('slo_ms', DEFAULT_SLO_MS),
            low=1,
            high=MAX_SLO_MS,
        )
        by_name[name] = Service(name=name, shift_cap=cap, slo_ms=int(slo))
    return by_name


def _parse_endpoint(
    name: str,
    raw: Mapping[str, Any],
    problems: SchemaProblems,
    *,
    region_by_zone: Mapping[str, str],
    services: Mapping[str, Service],
) -> Endpoint:
    path = f'endpoints.{name}'
    service = problems.text(f'{path}.service', raw.get('service'))
    if service and service not in services:
        problems.add(f'{path}.service', f'unknown service {service!r}')
    zone = problems.text(f'{path}.zone', raw.get('zone'))
    if zone and zone not in region_by_zone:
        problems.add(f'{path}.zone', f'zone {zone!r} belongs to no region')
    state = raw.get('state', 'active')
    if state not in ENDPOINT_STATES:
        problems.add(f'{path}.state', "must be 'active' or 'draining'")
    slots = problems.number(f'{path}.slots', raw.get('slots'), low=1, high=MAX_SLOTS)
    return Endpoint(
        name=name,
        service=service,
        region=region_by_zone.get(zone, ''),
        zone=zone,
        address=problems.text(f'{path}.address', raw.get('address')),
        slots=int(slots),
        state=str(state),
    )


def _parse_block(
    name: str,
    raw: Mapping[str, Any],
    problems: SchemaProblems,
    *,
    region_by_zone: Mapping[str, str],
) -> ClientBlock:
    zone = problems.text(f'client_blocks.{name}.zone', raw.get('zone'))
    if zone and zone not in region_by_zone:
        problems.add(f'client_blocks.{name}.zone', f'zone {zone!r} belongs to no region')
    return ClientBlock(name=name, zone=zone)


def update_entries(
    config: Configuration,
    document: Mapping[str, Any],
    *,
    changed: frozenset[tuple[str, str]],
    version: int,
) -> Configuration | Invalid:
    """Return ``config`` with the ``changed`` entries taken from ``document``.

    ``changed`` are (section, name) pairs of the sections ``endpoints`` and
    ``client_blocks`` only, and only these entries are validated. The rest of
    ``document`` must be what ``config`` was parsed from.
    """
    problems = SchemaProblems()
    endpoints = dict(config.endpoints_by_name)
    blocks = config.client_blocks_by_name
    if any(section == 'client_blocks' for section, _ in changed):
        blocks = dict(blocks)
    by_section: dict[str, Any] = {'endpoints': endpoints, 'client_blocks': blocks}
    for section, name in changed:
        raw = document[section].get(name)
        if raw is None:
            by_section[section].pop(name, None)
            continue
        if not isinstance(raw, dict):
            problems.add(f'{section}.{name}', 'must be an object')
            continue
        if section == 'endpoints':
            endpoints[name] = _parse_endpoint(
                name,
                raw,
                problems,
                region_by_zone=config.region_by_zone,
                services=config.services_by_name,
            )
        else:
            by_section[section][name] = _parse_block(
                name, raw, problems, region_by_zone=config.region_by_zone
            )
    if problems.found:
        return Invalid(problems=tuple(problems.found))
    return build_configuration(
        version=version,
        regions_by_name=config.regions_by_name,
        services_by_name=config.services_by_name,
        endpoints_by_name=endpoints,
        client_blocks_by_name=blocks,
        organisations=config.organisations,
    )


def parse_configuration(
    doc: Mapping[str, Any],
    *,
    version: int,
) -> Configuration | Invalid:
    """Parse a JSON document into the ``Configuration`` of version ``version``.

    Returns ``Invalid`` with all problems, each by its dotted path, if there
    are any.
    """
    problems = SchemaProblems()
    regions = _parse_regions(doc, problems)
    region_by_zone = {zone: region.name for region in regions.values() for zone in region.zones}
    services = _parse_services(doc, problems)
    endpoints = {
        name: _parse_endpoint(name, raw, problems, region_by_zone=region_by_zone, services=services)
        for name, raw in section_of(doc, 'endpoints', problems).items()
    }
    blocks = {
        name: _parse_block(name, raw, problems, region_by_zone=region_by_zone)
        for name, raw in section_of(doc, 'client_blocks', problems).items()
    }
    organisations = parse_organisations(doc, problems, regions=frozenset(regions))
    if problems.found:
        return Invalid(problems=tuple(problems.found))
    return build_configuration(
        version=version,
        regions_by_name=regions,
        services_by_name=services,
        endpoints_by_name=endpoints,
        client_blocks_by_name=blocks,
        organisations=organisations,
    )
