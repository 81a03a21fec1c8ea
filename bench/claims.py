"""Table writes per second as the rate of non-idempotent requests grows.

Run: ``.venv/bin/python bench/claims.py``. One idempotency store claims and records
idempotency keys at a steady rate in an in-process table stand-in that takes
5 ms per transaction. Prints the table's write calls per second and the
latency of a claim, without batching (no minimum interval between calls, one row
per call) and with it.
"""

import time
from functools import partial

import anyio
import httpx
from hdrh.histogram import HdrHistogram

from plantainloft_core import txn_batching
from plantainloft_core.outcomes import Served
from plantainloft_core.table_client import TableClient
from plantainloft_core.txn_batching import TxnBatcher
from plantainloft_node.idempotency import IdempotencyStore, KeyClaim
from plantainloft_standins.faults import Faults
from plantainloft_standins.table import TableService, make_app

DURATION_S = 5
US_PER_S = 1_000_000
TABLE_LATENCY_S = 0.005
SERVED_OUTCOME = Served(status=200, body=b'ok', endpoint='e')


async def _claim_and_record(
    idempotency_store: IdempotencyStore, key: str, latency_histogram: HdrHistogram
) -> None:
    started = time.perf_counter()
    claim = await idempotency_store.claim('s', key)
    latency_histogram.record_value(max(1, int((time.perf_counter() - started) * US_PER_S)))
    if isinstance(claim, KeyClaim):
        idempotency_store.record(claim, SERVED_OUTCOME)


async def measure(*, rate: int, min_interval_s: float, rows: int) -> None:
    """Claim ``rate`` keys per second for ``DURATION_S`` and print writes and latency."""
    txn_batching.MAX_BATCH_ROWS = rows
    table = TableService()
    table.faults = Faults(mode='slow', delay_s=TABLE_LATENCY_S)
    transport = httpx.ASGITransport(app=make_app(table))
    client = TableClient(base_url='http://table', timeout_s=2, transport=transport)
    batcher = TxnBatcher(client=client, min_interval_s=min_interval_s)
    idempotency_store = IdempotencyStore(client=client, batcher=batcher, node='n')
    latency_histogram = HdrHistogram(1, 60 * US_PER_S, 3)
    started = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(batcher.run)
        async with anyio.create_task_group() as callers:
            for index in range(rate * DURATION_S):
                await anyio.sleep(max(0, started + index / rate - time.perf_counter()))
                callers.start_soon(
                    _claim_and_record, idempotency_store, f'k{index}', latency_histogram
                )
        await batcher.flush(timeout_s=60)
        tasks.cancel_scope.cancel()
    elapsed = time.perf_counter() - started
    print(
        f'rate={rate}/s min_interval_ms={min_interval_s * 1000:.0f} rows_per_write<={rows} '
        f'writes_per_s={table.writes / elapsed:.1f} elapsed_s={elapsed:.1f} '
        f'claim_p50_ms={latency_histogram.get_value_at_percentile(50) / 1000:.1f} '
        f'claim_p99_ms={latency_histogram.get_value_at_percentile(99) / 1000:.1f}'
    )


def main() -> None:
    """Measure each rate without batching, then with it."""
    for rate in (10, 40, 160):
        anyio.run(partial(measure, rate=rate, min_interval_s=0, rows=1))
        anyio.run(partial(measure, rate=rate, min_interval_s=0.04, rows=100))


if __name__ == '__main__':
    main()
