"""Cost of crash counting: memory, and time per request and per report.

.venv/bin/python bench/quarantine.py
"""

import time
import tracemalloc
from collections.abc import Callable

from plantainloft_node.quarantine.crash_book import MAX_REQUESTS, CrashBook
from plantainloft_node.quarantine.crash_codec import pack_crashes
from plantainloft_node.quarantine.fingerprints import RequestFingerprint, fingerprint_of

CALLS = 2000
US_PER_S = 1e6


def fingerprint(number: int) -> RequestFingerprint:
    return fingerprint_of(
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
    book = CrashBook()
    for number in range(MAX_REQUESTS):
        for endpoint in range(3):
            book.note_crash(fingerprint(number), f'i{endpoint}', 0.0)
    full_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    fatal = fingerprint(1)
    reports = book.reports(10.0)
    print(f'full book: {MAX_REQUESTS} requests, {full_bytes} B')
    print(f'report: {len(pack_crashes(reports))} B at most')
    for name, operation in (
        ('fingerprint', lambda: fingerprint(1)),
        ('standing of an unknown request', lambda: book.standing(fingerprint(-1), 10.0)),
        ('standing of a quarantined request', lambda: book.standing(fatal, 10.0)),
        ('answer noted, nothing against it', lambda: book.note_answered(fingerprint(-1), 10.0)),
        ('report merged, nothing new', lambda: book.merge(reports, 10.0)),
    ):
        print(f'{name}: {microseconds(operation):.1f} us')
    started_at = time.process_time()
    for _ in range(20):
        book.reports(10.0)
    print(
        f'report made, all quarantined: {(time.process_time() - started_at) / 20 * US_PER_S:.0f} us'
    )


if __name__ == '__main__':
    main()
