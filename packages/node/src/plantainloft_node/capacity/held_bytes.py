"""Bounds on what is held in memory for slow callers and slow endpoints."""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

__all__ = ['CallerTraffic', 'EndpointBacklog']

# Unanswered requests of a connection while bytes are bounded. Up to two chunks of 64 KiB
# are held for the response of each, so that a caller that reads nothing occupies 512 KiB.
MAX_PIPELINED_WHEN_BOUNDED = 4
# Request bodies held for one endpoint: those of 36 requests, as many as it processes and
# queues, of the longest size that is kept for a retry (64 KiB), with room for some uploads.
MAX_HELD_PER_ENDPOINT = 4_194_304
# A caller that has not taken one chunk (64 KiB) in this time has given up: deadlines are
# 12 s at most.
STALLED_S = 12.0


class CallerTraffic:
    """The bytes exchanged with callers and held for them, over all connections.

    ``link_bytes`` are the bytes received from callers and sent to them since the start.
    They pass the link in each direction once, as they are also exchanged with endpoints.
    ``bounded`` is set while overload control is active and capacities differ.
    """

    def __init__(self) -> None:
        self.link_bytes = 0
        self.held_bytes = 0
        self.open_connections = 0
        self.aborted_count = 0
        self.bounded = False
        self._since_by_abort: dict[Callable[[], None], float] = {}

    def may_start(self, open_requests: int, *, at_most: int) -> bool:
        """Return whether a connection with ``open_requests`` may start another one.

        ``at_most`` is the limit while nothing is bounded.
        """
        limit = MAX_PIPELINED_WHEN_BOUNDED if self.bounded else at_most
        return open_requests < limit

    @contextmanager
    def holding(self, size: int) -> Iterator[None]:
        """Count ``size`` bytes of a response as held until its caller has taken them."""
        self.held_bytes += size
        try:
            yield
        finally:
            self.held_bytes -= size

    @contextmanager
    def sending(self, abort: Callable[[], None], now: float) -> Iterator[None]:
        """Note that a part of a response is sent since ``now``.

        ``abort`` closes its connection without completing its responses.
        """
        self._since_by_abort[abort] = now
        try:
            yield
        finally:
            self._since_by_abort.pop(abort, None)

    def abort_stalled(self, now: float) -> int:
        """Abort the connections whose callers don't take a chunk; return their number."""
        stalled = [
            abort for abort, since in self._since_by_abort.items() if now - since > STALLED_S
        ]
        for abort in stalled:
            self._since_by_abort.pop(abort)
            abort()
        self.aborted_count += len(stalled)
        return len(stalled)


class EndpointBacklog:
    """The bytes of requests that are held for each endpoint until it has answered."""

    def __init__(self) -> None:
        self.bounded = False
        self.rejected_count = 0
        self._held_by_incarnation: Counter[str] = Counter()

    def try_hold(self, incarnation: str, size: int) -> bool:
        """Hold ``size`` bytes for an endpoint; return whether its bound allows them.

        A single request is always allowed, whatever its size.
        """
        held = self._held_by_incarnation[incarnation]
        if self.bounded and held and held + size > MAX_HELD_PER_ENDPOINT:
            self.rejected_count += 1
            return False
        self._held_by_incarnation[incarnation] = held + size
        return True

    def release(self, incarnation: str, size: int) -> None:
        """Release ``size`` bytes held for an endpoint."""
        held = self._held_by_incarnation.pop(incarnation, 0) - size
        if held > 0:
            self._held_by_incarnation[incarnation] = held
