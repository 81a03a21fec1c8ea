"""Runs an entry process whose link to the store and to its peers has a limited rate.

``LINK_FAULT_FILE`` names a file with the rate, in bytes a second, as JSON.
"""

import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import SocketStream

RATE_VARIABLE = 'LINK_FAULT_FILE'
PIECE_BYTES = 4096


class Link:
    """What all connections of the process receive passes here, one piece after the other."""

    def __init__(self, *, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        self._free_at = max(self._free_at, anyio.current_time()) + size / self._bytes_per_s
        await anyio.sleep_until(self._free_at)


class PacedStream(SocketStream):
    """A connection whose received bytes share the link of the process."""

    def __init__(self, *, stream: SocketStream, link: Link) -> None:
        self._stream = stream
        self._link = link

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        return self._stream.extra_attributes

    async def receive(self, max_bytes: int = 65536) -> bytes:
        received = await self._stream.receive(min(max_bytes, PIECE_BYTES))
        await self._link.carry(len(received))
        return received

    async def send(self, item: bytes) -> None:
        await self._stream.send(item)

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        await self._stream.aclose()


async def connect_paced(
    connect_tcp: Callable[..., Awaitable[SocketStream]],
    link: Link,
    host: str,
    port: int,
    **options: Any,
) -> SocketStream:
    return PacedStream(stream=await connect_tcp(host, port, **options), link=link)


def main() -> int:
    """Run the entry process until it stops; return the exit status."""
    # As in the program that it stands for, SIGHUP is blocked before the first import.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from plantainloft_platform.__main__ import main as run_entry_process

    link = Link(bytes_per_s=json.loads(Path(os.environ[RATE_VARIABLE]).read_text()))
    anyio.connect_tcp = partial(connect_paced, anyio.connect_tcp, link)  # type: ignore[assignment]
    return run_entry_process()


if __name__ == '__main__':
    sys.exit(main())
