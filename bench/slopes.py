"""Measure the in-process slopes that docs/CAPACITY.md is worked out from.

Run: ``.venv/bin/python bench/slopes.py``. Prints one line per slope:
processor time per look-up and per steering choice as members and
endpoints grow, and configuration bytes and memory per endpoint and
per client block.
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
US = 1_000_000


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
    """Return a checked configuration of the given size."""
    checked = parse_configuration(document(**sizes), version=1)
    if isinstance(checked, Invalid):
        raise SystemExit(f'bench document invalid: {checked.problems}')
    return checked


def per_call_us(work: Callable[[], object]) -> float:
    """Return processor microseconds per call of ``work``."""
    started = time.process_time()
    for _ in range(CALLS):
        work()
    return (time.process_time() - started) / CALLS * US


def _fresh_lookup(index: LookupIndex) -> None:
    index._cache_by_block.clear()
    index.addresses('b7')


def lookup_slopes() -> None:
    """Print look-up cost as the member count grows."""
    config = configuration(regions=3, endpoints=12, blocks=100)
    for members in (12, 48, 192):
        roster = [
            Member(name=f'n{i}', zone=f'r{i % 3}-z0', address=f'a{i}', leaving=False)
            for i in range(members)
        ]
        build = functools.partial(LookupIndex, config=config, members=roster)
        print(f'lookup_index_build_us members={members} {per_call_us(build):.1f}')
        index = build()
        fresh = functools.partial(_fresh_lookup, index)
        print(f'lookup_uncached_us members={members} {per_call_us(fresh):.1f}')
        cached = functools.partial(index.addresses, 'b7')
        print(f'lookup_cached_us members={members} {per_call_us(cached):.2f}')


def choice_slopes() -> None:
    """Print steering cost as the endpoint count grows."""
    policy = HeadroomPolicy(rng=random.Random(1))
    for endpoints in (12, 48, 192):
        config = configuration(regions=3, endpoints=endpoints, blocks=10)
        load = EndpointLoad(local_inflight=0, reported_inflight=1, report_age_s=0.1, known_for_s=60)
        loads = {f'e{i}': load for i in range(endpoints)}
        work = functools.partial(
            policy.choose,
            config,
            service='s',
            zone='r0-z0',
            loads_by_endpoint=loads,
        )
        print(f'choose_us endpoints={endpoints} {per_call_us(work):.1f}')


def size_slopes() -> None:
    """Print configuration size as JSON and in memory."""
    for endpoints, blocks in ((380, 0), (760, 0), (0, 13_000), (0, 26_000)):
        doc = document(regions=12, endpoints=endpoints, blocks=blocks)
        tracemalloc.start()
        checked = parse_configuration(doc, version=1)
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del checked
        print(
            f'config endpoints={endpoints} blocks={blocks} '
            f'json_bytes={len(json.dumps(doc))} typed_bytes={held}',
        )


if __name__ == '__main__':
    lookup_slopes()
    choice_slopes()
    size_slopes()
