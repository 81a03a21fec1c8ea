"""Callers: look up an entry instance, then send requests through it.

Each caller sits in a client block of one availability zone, asks a
random entry instance for the instances to use, caches that answer as
told, and sends its requests to the first one named.
"""

import random
import time
import uuid
from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio
import httpx

__all__ = ['Reply', 'send_requests']

SEED = 7
CALLER_TIMEOUT_S = 10.0
_NON_IDEMPOTENT_SHARE = 0.5


class Reply(NamedTuple):
    """One caller's request and the answer it got."""

    service: str
    method: str
    status: int
    outcome: str
    whole: bool
    seconds: float
    key: str


async def _one(
    http: httpx.AsyncClient,
    *,
    entry: str,
    service: str,
    method: str,
    payload: str,
) -> Reply:
    key = uuid.uuid4().hex
    headers = {'idempotency-key': key} if method == 'POST' else {}
    started = time.monotonic()
    response = await http.request(
        method,
        f'{entry}/v1/forward/{service}/item',
        content=payload.encode(),
        headers=headers,
    )
    seconds = time.monotonic() - started
    outcome = response.headers.get('x-plantainloft-outcome', 'none')
    whole = outcome != 'served' or response.json().get('echo') == payload
    return Reply(
        service=service,
        method=method,
        status=response.status_code,
        outcome=outcome,
        whole=whole,
        seconds=seconds,
        key=key,
    )


async def send_requests(
    entries: Sequence[str],
    *,
    services: Sequence[str],
    blocks: Sequence[str],
    count: int,
    concurrency: int,
    on_reply: Callable[[int], None],
) -> list[Reply]:
    """Send ``count`` requests, ``concurrency`` at once; return replies.

    ``on_reply`` is told the number of replies so far after each.
    """
    rng = random.Random(SEED)
    replies: list[Reply] = []
    limiter = anyio.CapacityLimiter(concurrency)
    async with httpx.AsyncClient(timeout=CALLER_TIMEOUT_S) as http:
        cached: dict[str, str] = {}
        for block in blocks:
            answer = (
                await http.get(
                    f'{rng.choice(entries)}/v1/lookup',
                    params={'client_block': block},
                )
            ).json()
            cached[block] = answer['entry_instances'][0]

        async def caller(index: int) -> None:
            async with limiter:
                block = blocks[index % len(blocks)]
                method = 'POST' if rng.random() < _NON_IDEMPOTENT_SHARE else 'GET'
                replies.append(
                    await _one(
                        http,
                        entry=cached[block],
                        service=services[index % len(services)],
                        method=method,
                        payload=f'request-{index}',
                    )
                )
                on_reply(len(replies))

        async with anyio.create_task_group() as tasks:
            for index in range(count):
                tasks.start_soon(caller, index)
    return replies
