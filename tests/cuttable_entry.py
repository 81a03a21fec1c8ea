"""Links of an entry process to the endpoints that fail when a file says so.

The file named by ``LINK_FAULT_FILE`` holds a ``LinkFault`` as JSON. Connections to other
addresses than those in the fault, such as the store and other instances, are untouched.
"""

import json
import os
import socket
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

LINK_FAULT_VARIABLE = 'LINK_FAULT_FILE'
# Open connections are reset, and new ones refused.
RESET = 'reset'
# Open connections deliver nothing, and new ones hang.
SILENT = 'silent'
# Open connections live on, and new ones are refused or hang.
REFUSE_NEW = 'refuse_new'
HANG_NEW = 'hang_new'
CHECK_INTERVAL_S = 0.02


class FaultFile:
    """The faults of the links of this process, read again when the file changes."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._modified_ns = 0
        self._mode_by_address: dict[str, str] = {}

    def mode_of(self, address: str) -> str:
        """Return the mode of the link to ``address``; empty while it works."""
        modified_ns = self._path.stat().st_mtime_ns if self._path.exists() else 0
        if modified_ns != self._modified_ns:
            self._modified_ns = modified_ns
            text = self._path.read_text() if modified_ns else '{}'
            self._mode_by_address = json.loads(text or '{}')
        return self._mode_by_address.get(address, '')


def write_fault(path: Path, mode_by_address: Mapping[str, str]) -> None:
    """Set the mode of the link to each address; those that are left out work."""
    new = path.with_suffix('.new')
    new.write_text(json.dumps(dict(mode_by_address)))
    new.replace(path)


class CuttableStream(SocketStream):
    """A connection to an endpoint that obeys the fault of its link."""

    def __init__(self, *, stream: SocketStream, address: str, faults: FaultFile) -> None:
        self._stream = stream
        self._address = address
        self._faults = faults
        self._held_back: list[bytes] = []

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        if self._faults.mode_of(self._address) == RESET:
            # After a reset, an idle connection is readable.
            with suppress(OSError):
                self._stream.extra(SocketAttribute.raw_socket).shutdown(socket.SHUT_RDWR)
        return self._stream.extra_attributes

    async def receive(self, max_bytes: int = 65536) -> bytes:
        while True:
            mode = self._faults.mode_of(self._address)
            if mode == RESET:
                raise anyio.BrokenResourceError
            if mode == SILENT:
                await anyio.sleep(CHECK_INTERVAL_S)
                continue
            await self._send_held_back()
            with anyio.move_on_after(CHECK_INTERVAL_S):
                return await self._stream.receive(max_bytes)

    async def send(self, item: bytes) -> None:
        mode = self._faults.mode_of(self._address)
        if mode == RESET:
            raise anyio.BrokenResourceError
        if mode == SILENT:
            self._held_back.append(item)
            return
        await self._send_held_back()
        await self._stream.send(item)

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def _send_held_back(self) -> None:
        while self._held_back:
            await self._stream.send(self._held_back.pop(0))


async def connect_cuttable(
    connect_tcp: Callable[..., Awaitable[SocketStream]],
    faults: FaultFile,
    host: str,
    port: int,
    **options: Any,
) -> SocketStream:
    address = f'{host}:{port}'
    mode = faults.mode_of(address)
    if mode in {RESET, REFUSE_NEW}:
        raise ConnectionRefusedError
    while faults.mode_of(address) in {SILENT, HANG_NEW}:
        await anyio.sleep(CHECK_INTERVAL_S)
    stream = await connect_tcp(host, port, **options)
    return CuttableStream(stream=stream, address=address, faults=faults)


def make_links_cuttable() -> None:
    """Let new connections of this process obey the file named by ``LINK_FAULT_FILE``."""
    faults = FaultFile(Path(os.environ[LINK_FAULT_VARIABLE]))
    anyio.connect_tcp = partial(connect_cuttable, anyio.connect_tcp, faults)  # type: ignore[assignment]
