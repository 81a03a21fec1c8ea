"""A timeout that counts from the last progress of a transfer, not from its start.

How long an answer takes depends on its size and on what else the link carries. A limit on
the whole time cuts large answers in the middle; the caller asks again from the start, and
the link carries the same bytes over and over.
"""

from types import TracebackType
from typing import Self

import anyio

__all__ = ['MAX_ANSWER_BYTES', 'MIN_PROGRESS_BYTES', 'TransferTimeout']

# Fewer bytes in a whole timeout are no progress: a peer that sends byte after byte would
# hold its caller for ever.
MIN_PROGRESS_BYTES = 4096
# Answers are kept in memory, and one that makes progress may have no end.
MAX_ANSWER_BYTES = 64_000_000


class TransferTimeout:
    """A context manager that cancels its block when the transfer of an answer stalls.

    An answer of less than ``MIN_PROGRESS_BYTES`` has to be complete within the time for the
    start. One of more than ``MAX_ANSWER_BYTES`` is cancelled, too.
    """

    def __init__(self, *, start_s: float, stall_s: float) -> None:
        """Limit the time to the first ``MIN_PROGRESS_BYTES``, and to each that follow."""
        self._start_s = start_s
        self._stall_s = stall_s
        self._scope = anyio.CancelScope()
        self._bytes_since_progress = 0
        self._started_at = 0.0
        self._first_part_at = 0.0
        self.received_bytes = 0

    def __enter__(self) -> Self:
        """Start the time for the first bytes."""
        self._started_at = anyio.current_time()
        self._scope.deadline = self._started_at + self._start_s
        self._scope.__enter__()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        """Leave the block; suppress the cancellation if it is this timeout's."""
        return bool(self._scope.__exit__(exc_type, exc, traceback))

    def record(self, size: int) -> None:
        """Record that ``size`` bytes have arrived."""
        now = anyio.current_time()
        if not self.received_bytes:
            self._first_part_at = now
        self.received_bytes += size
        self._bytes_since_progress += size
        if self._bytes_since_progress >= MIN_PROGRESS_BYTES:
            self._bytes_since_progress = 0
            self._scope.deadline = now + self._stall_s
        if self.received_bytes > MAX_ANSWER_BYTES:
            self._scope.cancel()

    @property
    def waited_s(self) -> float:
        """The time from the start to the first part of the answer, in seconds."""
        return self._first_part_at - self._started_at

    def transfer_s(self, now: float) -> float:
        """Return the time since the first part of the answer, in seconds."""
        return now - self._first_part_at
