"""Whether an endpoint ended when a connection to it broke.

A connection also breaks where an answer is lost or connections are reset. An
endpoint that ended accepts no further one.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

import anyio

from plantainloft_node.engine.endpoint_link import CONNECT_S, connect
from plantainloft_node.quarantine.fingerprints import RequestFingerprint

__all__ = ['CrashChecks', 'EndpointRun']

log = logging.getLogger(__name__)

# One check answers for all runs that broke at an endpoint in this time.
SAME_CRASH_S = 1.0
MAX_WAITING = 1024
CHECKERS = 8


class EndpointRun(NamedTuple):
    """A request at an endpoint, where it may run."""

    request: RequestFingerprint
    request_id: str
    incarnation: str
    address: str


class CrashChecks:
    """Checks endpoints whose connections broke, and reports the crashes."""

    def __init__(self, *, on_crash: Callable[[EndpointRun, float], None]) -> None:
        """``on_crash`` takes a run under which its endpoint ended, and the time."""
        self._on_crash = on_crash
        ends = anyio.create_memory_object_stream[EndpointRun](MAX_WAITING)
        self._send = ends[0]
        self._receive = ends[1]
        self._check_by_incarnation: dict[str, _Check] = {}

    def note_broken(self, run: EndpointRun) -> None:
        """Have the endpoint of ``run`` checked."""
        try:
            self._send.send_nowait(run)
        except anyio.WouldBlock:
            log.warning('Crash check: too many wait.', extra={'kind': 'crash_check'})

    async def run(self) -> None:
        """Check until cancelled."""
        async with anyio.create_task_group() as tasks:
            for _ in range(CHECKERS):
                tasks.start_soon(self._work)

    async def _work(self) -> None:
        async for run in self._receive:
            ended = await self._ended(run)
            now = anyio.current_time()
            fields = {
                'request': run.request_id,
                'fingerprint': str(run.request),
                'endpoint': run.incarnation,
                'ended': ended,
            }
            log.info(
                'Endpoint %s %s when a connection to it broke.',
                run.incarnation,
                'ended' if ended else 'lives on',
                extra={'kind': 'crash_check', 'fields': fields},
            )
            if ended:
                self._on_crash(run, now)

    async def _ended(self, run: EndpointRun) -> bool:
        now = anyio.current_time()
        check = self._check_by_incarnation.get(run.incarnation)
        if check is None or now - check.at >= SAME_CRASH_S:
            self._forget_old(now)
            check = _Check(at=now)
            self._check_by_incarnation[run.incarnation] = check
            check.ended = not await _accepts(run.address)
            check.done.set()
        await check.done.wait()
        return check.ended

    def _forget_old(self, now: float) -> None:
        self._check_by_incarnation = {
            incarnation: check
            for incarnation, check in self._check_by_incarnation.items()
            if now - check.at < SAME_CRASH_S
        }


class _Check:
    def __init__(self, *, at: float) -> None:
        self.at = at
        self.ended = False
        self.done = anyio.Event()


async def _accepts(address: str) -> bool:
    link = None
    with anyio.move_on_after(CONNECT_S):
        try:
            link = await connect(address)
        except OSError:
            return False
    if link is None:
        return False
    await link.close()
    return True
