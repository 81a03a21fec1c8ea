"""Parse and validate the organisations of a configuration document.

Each entry of the section ``organisations`` has these fields:

- ``keys``: an object that maps the SHA-256 digest of each key to a
  description. As it is an object, a patch can add or remove a single key.
- ``rate`` (requests per second, 0 for no limit) and ``burst``.
- ``priority``.
- ``regions``: the only regions in which the organisation's requests may run.
"""

import re
from collections.abc import Mapping
from typing import Any

from plantainloft_core.organisations import (
    DIGEST_PREFIX_DIGITS,
    Organisation,
    OrganisationIndex,
    RateLimit,
    build_organisation_index,
)
from plantainloft_core.schema_validation import SchemaProblems, section_of

__all__ = ['parse_organisations']

SECTION = 'organisations'
MAX_RATE = 1_000_000
MAX_PRIORITY = 100
SHA256_HEX = re.compile('[0-9a-f]{64}')


def parse_organisations(
    doc: Mapping[str, Any], problems: SchemaProblems, *, regions: frozenset[str]
) -> OrganisationIndex:
    """Return the organisations of ``doc`` and add its errors to ``problems``."""
    organisations = [
        _parse_organisation(name, raw, problems, known_regions=regions)
        for name, raw in section_of(doc, SECTION, problems).items()
    ]
    holder_by_digest: dict[str, str] = {}
    for organisation in organisations:
        for digest in sorted(organisation.key_digests):
            holder = holder_by_digest.setdefault(digest, organisation.name)
            if holder != organisation.name:
                path = f'{SECTION}.{organisation.name}.keys.{digest[:DIGEST_PREFIX_DIGITS]}'
                problems.add(path, f'already belongs to organisation {holder!r}')
    return build_organisation_index(organisations)


def _parse_organisation(
    name: str,
    raw: Mapping[str, Any],
    problems: SchemaProblems,
    *,
    known_regions: frozenset[str],
) -> Organisation:
    path = f'{SECTION}.{name}'
    rate = problems.number(f'{path}.rate', raw.get('rate', 0), low=0, high=MAX_RATE)
    burst = problems.number(f'{path}.burst', raw.get('burst', 0), low=0, high=MAX_RATE)
    priority = raw.get('priority')
    if priority is not None:
        priority = int(problems.number(f'{path}.priority', priority, low=0, high=MAX_PRIORITY))
    return Organisation(
        name=name,
        key_digests=_parse_key_digests(f'{path}.keys', raw.get('keys', {}), problems),
        limit=RateLimit(rate, burst) if rate else None,
        priority=priority,
        regions=_parse_regions(f'{path}.regions', raw.get('regions', []), problems, known_regions),
    )


def _parse_key_digests(path: str, raw: Any, problems: SchemaProblems) -> frozenset[str]:
    if not isinstance(raw, dict):
        problems.add(path, 'must be an object')
        return frozenset()
    for digest in raw:
        if not SHA256_HEX.fullmatch(digest):
            # The message leaves the value out: it may be a key given by mistake.
            problems.add(path, 'names must be SHA-256 digests of 64 hexadecimal digits')
    return frozenset(raw)


def _parse_regions(
    path: str, raw: Any, problems: SchemaProblems, known_regions: frozenset[str]
) -> frozenset[str]:
    if not isinstance(raw, list):
        problems.add(path, 'must be a list')
        return frozenset()
    for region in raw:
        if region not in known_regions:
            problems.add(path, f'unknown region {region!r}')
    return frozenset(str(region) for region in raw)
