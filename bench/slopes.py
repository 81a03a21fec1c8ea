"""Measures how costs grow with size, as input for docs/CAPACITY.md.

Run: ``.venv/bin/python bench/slopes.py``. Prints one line per measurement: CPU time
per look-up and per steering choice as members and endpoints grow, and size of the
configuration as JSON and in memory as endpoints and client blocks grow.
"""

import functools
import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from plantainloft_core.lookup import LookupIndex, Member
from plantainloft_core.model import Configuration, parse_configuration
from plantainloft_core.outcomes import Invalid
from plantainloft_core.steering import EndpointLoad, HeadroomPolicy

CALLS = 20_000
ZONES_PER_REGION = 2
US_PER_S = 1_000_000


def document(*, regions: int, endpoints: int, blocks: int) -> dict[str, Any]:
    """Return a configuration document of the given size."""
    zones = [f'r{r}-z{z}' for r in range(regions) for z in range(ZONES_PER_REGION)]
    return {
        'regions': {
            f'r{r}': {'capacity': 10_000, 'zones': [f'r{r}-z{z}' for z in range(ZONES_PER_REGION)]}
            for r in range(regions)
        },
        'services': {'s': {'shift_cap': 0.2, 'slo_ms': 100}},
        'endpoints': {
            f'e{i}': {
                'service': 's',
                'zone': zones[i % len(zones)],
                'address': f'http://10.0.{i // 250}.{i % 250}:8080',
                'slots': 4,
            }
            for i in range(endpoints)
        },
        'client_blocks': {f'b{i}': {'zone': zones[i % len(zones)]} for i in range(blocks)},
    }


def configuration(**sizes: int) -> Configuration:
    """Return a parsed configuration of the given size."""
    parsed = parse_configuration(document(**sizes), version=1)
    if isinstance(parsed, Invalid):
        raise SystemExit(f'benchmark document is invalid: {parsed.problems}')
    return parsed


def per_call_us(operation: Callable[[], object]) -> float:
    """Return the CPU time per call of ``operation`` in microseconds."""
    started = time.process_time()
    for _ in range(CALLS):
        operation()
    return (time.process_time() - started) / CALLS * US_PER_S


def _uncached_lookup(index: LookupIndex) -> None:
    index._addresses_by_block.clear()
    index.addresses('b7')


def measure_lookups() -> None:
    """Print the cost of look-ups as the number of members grows."""
    config = configuration(regions=3, endpoints=12, blocks=100)
    for members in (12, 48, 192):
        all_members = [
            Member(name=f'n{i}', zone=f'r{i % 3}-z0', address=f'a{i}', leaving=False)
            for i in range(members)
        ]
        build = functools.partial(LookupIndex, config=config, members=all_members)
        print(f'lookup_index_build_us members={members} {per_call_us(build):.1f}')
        index = build()
        uncached = functools.partial(_uncached_lookup, index)
        print(f'lookup_uncached_us members={members} {per_call_us(uncached):.1f}')
        cached = functools.partial(index.addresses, 'b7')
        print(f'lookup_cached_us members={members} {per_call_us(cached):.2f}')


def measure_choices() -> None:
    """Print the cost of steering choices as the number of endpoints grows."""
    policy = HeadroomPolicy(rng=random.Random(1))
    for endpoints in (12, 48, 192):
        config = configuration(regions=3, endpoints=endpoints, blocks=10)
        load = EndpointLoad(
            local_inflight=0, reported_inflight=1, report_age_s=0.1, in_service_s=60
        )
        loads = {f'e{i}': load for i in range(endpoints)}
        operation = functools.partial(
            policy.choose,
            config,
            service='s',
            zone='r0-z0',
            loads_by_endpoint=loads,
        )
        print(f'choose_us endpoints={endpoints} {per_call_us(operation):.1f}')


def measure_sizes() -> None:
    """Print the size of configurations as JSON and in memory."""
    for endpoints, blocks in ((380, 0), (760, 0), (0, 13_000), (0, 26_000)):
        json_document = document(regions=12, endpoints=endpoints, blocks=blocks)
        tracemalloc.start()
        parsed = parse_configuration(json_document, version=1)
        memory_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del parsed
        print(
            f'config endpoints={endpoints} blocks={blocks} '
            f'json_bytes={len(json.dumps(json_document))} typed_bytes={memory_bytes}',
        )


if __name__ == '__main__':
    measure_lookups()
    measure_choices()
    measure_sizes()
