"""Refuses requests of the own interface that can't be finished before the process ends."""

import time
from contextlib import AbstractContextManager

import anyio

from plantainloft_core.outcomes import Refused
from plantainloft_node.engine.stop_admission import STOPPING, StopAdmission
from plantainloft_node.engine.stop_times import StopTimes
from plantainloft_node.node_requests import Request

__all__ = ['RequestStop']


class RequestStop:
    """Applies ``StopAdmission`` to the own interface; durations are those of a service.

    All requests are admitted until the process begins to stop.
    """

    def __init__(self) -> None:
        self._admission = StopAdmission()

    def start(self, times: StopTimes) -> None:
        """Admit only requests that can be finished by the end of the stop."""
        self._admission.start(ends_at=times.ends_at, estimates_until=times.lookups_expire_at)

    def refuse(self, request: Request) -> Refused | None:
        """Return a refusal if ``request`` may outlast the process, else None."""
        now = anyio.current_time()
        deadline = now + request.deadline - time.time()
        if self._admission.admits(request.service, deadline=deadline, now=now):
            return None
        return Refused(reason=STOPPING, retry_after_s=0)

    def open_request(self, request: Request, *, sent_at: float) -> AbstractContextManager[None]:
        """Count ``request`` as open within the context, since ``sent_at`` (monotonic)."""
        return self._admission.durations.open_request(
            request.service, sent_at, is_sent=lambda: True
        )

    def record(self, request: Request, *, sent_at: float, now: float, is_finished: bool) -> None:
        """Record how long a request took that was sent to an endpoint (monotonic times)."""
        self._admission.durations.record(
            request.service, now - sent_at, now, is_finished=is_finished
        )
