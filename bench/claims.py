"""Writes to the table per second as non-idempotent requests grow.

Run: ``.venv/bin/python bench/claims.py``. One ledger claims and records
keys at a steady rate against an in-process table stand-in that takes
5 ms a transaction; prints the table's write calls per second and the
time a claim takes, grouped and one by one (``pace 0``, one row a call).
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
from plantainloft_node.idempotency import Claim, IdempotencyLedger
from plantainloft_standins.faults import Faults
from plantainloft_standins.table import TableService, make_app

SECONDS = 5
US = 1_000_000
TABLE_S = 0.005
DONE = Served(status=200, body=b'ok', endpoint='e')


async def _one(ledger: IdempotencyLedger, key: str, took: HdrHistogram) -> None:
    started = time.perf_counter()
    claim = await ledger.claim('s', key)
    took.record_value(max(1, int((time.perf_counter() - started) * US)))
    if isinstance(claim, Claim):
        ledger.record(claim, DONE)


async def measure(*, rate: int, pace_s: float, rows: int) -> None:
    """Claim ``rate`` keys a second for a while and print what it cost."""
    txn_batching.MAX_ROWS = rows
    table = TableService()
    table.faults = Faults(mode='slow', delay_s=TABLE_S)
    transport = httpx.ASGITransport(app=make_app(table))
    client = TableClient(base_url='http://table', timeout_s=2, transport=transport)
    batcher = TxnBatcher(client=client, pace_s=pace_s)
    ledger = IdempotencyLedger(client=client, batcher=batcher, node='n')
    took = HdrHistogram(1, 60 * US, 3)
    started = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(batcher.run)
        async with anyio.create_task_group() as callers:
            for index in range(rate * SECONDS):
                await anyio.sleep(max(0, started + index / rate - time.perf_counter()))
                callers.start_soon(_one, ledger, f'k{index}', took)
        await batcher.flush(within_s=60)
        tasks.cancel_scope.cancel()
    elapsed = time.perf_counter() - started
    print(
        f'rate={rate}/s pace_ms={pace_s * 1000:.0f} rows_per_write<={rows} '
        f'writes_per_s={table.writes / elapsed:.1f} elapsed_s={elapsed:.1f} '
        f'claim_p50_ms={took.get_value_at_percentile(50) / 1000:.1f} '
        f'claim_p99_ms={took.get_value_at_percentile(99) / 1000:.1f}'
    )


def main() -> None:
    """Measure one by one, then grouped."""
    for rate in (10, 40, 160):
        anyio.run(partial(measure, rate=rate, pace_s=0, rows=1))
        anyio.run(partial(measure, rate=rate, pace_s=0.04, rows=100))


if __name__ == '__main__':
    main()
