"""Cost of crash counting: memory, and time per request and per report.

.venv/bin/python bench/quarantine.py
"""

import time
import tracemalloc
from collections.abc import Callable

from plantainloft_node.quarantine.crash_codec import pack_crashes
from plantainloft_node.quarantine.crash_registry import MAX_TRACKED_REQUESTS, CrashRegistry
from plantainloft_node.quarantine.fingerprints import RequestFingerprint, compute_fingerprint

CALLS = 2000
US_PER_S = 1e6


def fingerprint(number: int) -> RequestFingerprint:
    return compute_fingerprint(
        method=b'GET',
        host=b'desk.example',
        target=b'/files/%d' % number,
        body=b'',
        address='10.0.0.1',
    )


def microseconds(operation: Callable[[], object]) -> float:
    started_at = time.process_time()
    for _ in range(CALLS):
        operation()
    return (time.process_time() - started_at) / CALLS * US_PER_S


def main() -> None:
    tracemalloc.start()
    crash_registry = CrashRegistry()
    for number in range(MAX_TRACKED_REQUESTS):
        for endpoint in range(3):
            crash_registry.record_crash(fingerprint(number), f'i{endpoint}', 0.0)
    full_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    fatal = fingerprint(1)
    reports = crash_registry.next_reports(10.0)
    print(f'full registry: {MAX_TRACKED_REQUESTS} requests, {full_bytes} B')
    print(f'report: {len(pack_crashes(reports))} B at most')
    for name, operation in (
        ('fingerprint', lambda: fingerprint(1)),
        (
            'summary of an unknown request',
            lambda: crash_registry.summary_for(fingerprint(-1), 10.0),
        ),
        ('summary of a quarantined request', lambda: crash_registry.summary_for(fatal, 10.0)),
        (
            'answer recorded, no crashes known',
            lambda: crash_registry.record_answer(fingerprint(-1), 10.0),
        ),
        ('report merged, nothing new', lambda: crash_registry.merge(reports, 10.0)),
    ):
        print(f'{name}: {microseconds(operation):.1f} us')
    started_at = time.process_time()
    for _ in range(20):
        crash_registry.next_reports(10.0)
    print(
        f'report made, all quarantined: {(time.process_time() - started_at) / 20 * US_PER_S:.0f} us'
    )


if __name__ == '__main__':
    main()
