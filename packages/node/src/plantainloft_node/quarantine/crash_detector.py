"""Detects endpoint crashes after broken connections.

A connection can also break because an answer was lost or the connection was reset.
An endpoint counts as crashed only if it accepts no new connection.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from plantainloft_node.engine.upstream_connection import CONNECT_TIMEOUT_S, connect
from plantainloft_node.quarantine.fingerprints import RequestFingerprint

__all__ = ['CrashDetector', 'EndpointAttempt', 'refuses_connections']

log = logging.getLogger(__name__)

# A check is reused for all connections to an endpoint that break within this time.
CHECK_REUSE_S = 1.0
MAX_QUEUED_CHECKS = 1024
CHECK_WORKERS = 8


class EndpointAttempt(NamedTuple):
    """A request that was sent to an endpoint and may have run there."""

    fingerprint: RequestFingerprint
    request_id: str
    incarnation: str
    address: str


class CrashDetector:
    """Checks endpoints whose connections broke and reports crashes."""

    def __init__(
        self,
        *,
        on_crash: Callable[[EndpointAttempt, float], None],
        has_ended: Callable[[EndpointAttempt], Awaitable[bool]],
    ) -> None:
        """Set up the detector.

        ``on_crash`` is called with each attempt whose endpoint crashed and the time.
        ``has_ended`` returns whether the endpoint of an attempt accepts no connections.
        """
        self._on_crash = on_crash
        self._has_ended = has_ended
        streams = anyio.create_memory_object_stream[EndpointAttempt](MAX_QUEUED_CHECKS)
        self._send_stream = streams[0]
        self._receive_stream = streams[1]
        self._check_by_incarnation: dict[str, _Check] = {}

    def check_after_disconnect(self, attempt: EndpointAttempt) -> None:
        """Queue a check of the endpoint of ``attempt``, whose connection broke."""
        try:
            self._send_stream.send_nowait(attempt)
        except anyio.WouldBlock:
            log.warning(
                'Crash check: check of endpoint %s skipped, the queue is full.',
                attempt.incarnation,
                extra={'kind': 'crash_check'},
            )

    async def run(self) -> None:
        """Process queued checks until cancelled."""
        async with anyio.create_task_group() as tasks:
            for _ in range(CHECK_WORKERS):
                tasks.start_soon(self._check_queued)

    async def _check_queued(self) -> None:
        async for attempt in self._receive_stream:
            crashed = await self._has_crashed(attempt)
            now = anyio.current_time()
            fields = {
                'request': attempt.request_id,
                'fingerprint': str(attempt.fingerprint),
                'endpoint': attempt.incarnation,
                'ended': crashed,
            }
            log.info(
                'Crash check: endpoint %s %s after a broken connection.',
                attempt.incarnation,
                'has crashed' if crashed else 'is running',
                extra={'kind': 'crash_check', 'fields': fields},
            )
            if crashed:
                self._on_crash(attempt, now)

    async def _has_crashed(self, attempt: EndpointAttempt) -> bool:
        now = anyio.current_time()
        check = self._check_by_incarnation.get(attempt.incarnation)
        if check is None or now - check.started_at >= CHECK_REUSE_S:
            self._drop_old_checks(now)
            check = _Check(started_at=now)
            self._check_by_incarnation[attempt.incarnation] = check
            check.crashed = await self._has_ended(attempt)
            check.done.set()
        await check.done.wait()
        return check.crashed

    def _drop_old_checks(self, now: float) -> None:
        self._check_by_incarnation = {
            incarnation: check
            for incarnation, check in self._check_by_incarnation.items()
            if now - check.started_at < CHECK_REUSE_S
        }


class _Check:
    def __init__(self, *, started_at: float) -> None:
        self.started_at = started_at
        self.crashed = False
        self.done = anyio.Event()


async def refuses_connections(attempt: EndpointAttempt) -> bool:
    """Return whether no connection to the endpoint of ``attempt`` opens from here."""
    connection = None
    with anyio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            connection = await connect(attempt.address)
        except OSError:
            return True
    if connection is None:
        return True
    await connection.close()
    return False
