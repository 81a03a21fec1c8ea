"""Simulated callers that look up an entry instance and send requests through it.

Each caller belongs to a client block of one availability zone. The entry instances
of a block are looked up once, at a random instance, and requests go to the first
one in the answer.
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
NON_IDEMPOTENT_FRACTION = 0.5


class Reply(NamedTuple):
    """One request and its answer; ``body_intact``: the body was echoed unchanged."""

    service: str
    method: str
    status: int
    outcome: str
    body_intact: bool
    seconds: float
    key: str


async def _send_one(
    http: httpx.AsyncClient,
    *,
    entry: str,
    service: str,
    method: str,
    payload: str,
) -> Reply:
    key = uuid.uuid4().hex
    headers = {'idempotency-key': key} if method == 'POST' else {}
    started_at = time.monotonic()
    response = await http.request(
        method,
        f'{entry}/v1/forward/{service}/item',
        content=payload.encode(),
        headers=headers,
    )
    seconds = time.monotonic() - started_at
    outcome = response.headers.get('x-plantainloft-outcome', 'none')
    body_intact = outcome != 'served' or response.json().get('echo') == payload
    return Reply(
        service=service,
        method=method,
        status=response.status_code,
        outcome=outcome,
        body_intact=body_intact,
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
    """Send ``count`` requests, ``concurrency`` at once; return the replies.

    ``on_reply`` is called after each reply with the number of replies so far.
    """
    rng = random.Random(SEED)
    replies: list[Reply] = []
    limiter = anyio.CapacityLimiter(concurrency)
    async with httpx.AsyncClient(timeout=CALLER_TIMEOUT_S) as http:
        entry_by_block: dict[str, str] = {}
        for block in blocks:
            answer = (
                await http.get(
                    f'{rng.choice(entries)}/v1/lookup',
                    params={'client_block': block},
                )
            ).json()
            entry_by_block[block] = answer['entry_instances'][0]

        async def caller(index: int) -> None:
            async with limiter:
                block = blocks[index % len(blocks)]
                method = 'POST' if rng.random() < NON_IDEMPOTENT_FRACTION else 'GET'
                replies.append(
                    await _send_one(
                        http,
                        entry=entry_by_block[block],
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
