"""Measure the slopes that docs/CAPACITY.md is worked out from.

Run: ``.venv/bin/python bench/slopes.py``. Prints one line per slope:
processor time per look-up and per steering choice as members and
endpoints grow, and configuration bytes and memory per endpoint and
per client block.
"""

import json
import time
import tracemalloc
from typing import Any

from plantainloft_core.lookup import Member, answer_lookup
from plantainloft_core.model import parse_configuration
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


def per_call_us(work: Any) -> float:
    """Return processor microseconds per call of ``work``."""
    started = time.process_time()
    for _ in range(CALLS):
        work()
    return (time.process_time() - started) / CALLS * US


def main() -> None:
    """Print every slope."""
    for members in (12, 48, 192):
        config = parse_configuration(document(regions=3, endpoints=12, blocks=100), version=1)
        assert not isinstance(config, type(None))
        roster = [Member(name=f'n{i}', zone=f'r{i % 3}-z0', address=f'a{i}', leaving=False) for i in range(members)]
        cost = per_call_us(lambda: answer_lookup(config, roster, client_block='b7', ttl_s=30))  # type: ignore[arg-type]
        print(f'lookup_us members={members} {cost:.1f}')
    for endpoints in (12, 48, 192):
        config = parse_configuration(document(regions=3, endpoints=endpoints, blocks=10), version=1)
        loads = {
            f'e{i}': EndpointLoad(local_inflight=0, reported_inflight=1, report_age_s=0.1, known_for_s=60)
            for i in range(endpoints)
        }
        policy = HeadroomPolicy()
        cost = per_call_us(
            lambda: policy.choose(config, service='s', zone='r0-z0', loads_by_endpoint=loads),  # type: ignore[arg-type]
        )
        print(f'choose_us endpoints={endpoints} {cost:.1f}')
    for endpoints, blocks in ((380, 0), (760, 0), (0, 13_000), (0, 26_000)):
        doc = document(regions=12, endpoints=endpoints, blocks=blocks)
        size = len(json.dumps(doc))
        tracemalloc.start()
        config = parse_configuration(doc, version=1)
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del config
        print(f'config endpoints={endpoints} blocks={blocks} json_bytes={size} typed_bytes={held}')


if __name__ == '__main__':
    main()
