"""Structured logs on standard output, rate-limited and written without blocking."""

import json
import logging
import os
from typing import Any

__all__ = ['JsonFormatter', 'NonBlockingStream', 'RateLimitFilter', 'setup_structured_logging']

STANDARD_OUTPUT = 1
# Output kept while the reader is slow; lines beyond it are dropped and counted.
MAX_BUFFERED_BYTES = 262144
# Lines per second of one kind. Successful requests are frequent and alike, so
# a small sample is enough. Refusals, failures and state changes are all kept,
# up to a rate that a person can still read.
SAMPLED_LINES_PER_S = 2.0
OTHER_LINES_PER_S = 40.0
SAMPLED_LOG_KINDS = frozenset(('answered',))
# Every request that this instance ends without an answer has a line.
UNLIMITED_LOG_KINDS = frozenset(('aborted',))


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON: time, level, instance, kind, message and fields."""

    def __init__(self, *, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return ``record`` as one JSON line."""
        line: dict[str, Any] = {
            't': round(record.created, 3),
            'level': record.levelname,
            'instance': self._instance,
            'kind': getattr(record, 'kind', 'note'),
            'message': record.getMessage(),
        }
        line.update(getattr(record, 'fields', {}))
        left_out = getattr(record, 'left_out', 0)
        if left_out:
            line['left_out'] = left_out
        if record.exc_info:
            line['traceback'] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class RateLimitFilter(logging.Filter):
    """Limits the rate of lines of each kind with a token bucket.

    The number of suppressed lines is reported on the next line of the same
    kind, as ``left_out``.
    """

    def __init__(self) -> None:
        super().__init__()
        self._tokens_by_kind: dict[str, float] = {}
        self._last_seen_by_kind: dict[str, float] = {}
        self._left_out_by_kind: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write ``record``."""
        kind = getattr(record, 'kind', 'note')
        if kind in UNLIMITED_LOG_KINDS:
            return True
        lines_per_s = SAMPLED_LINES_PER_S if kind in SAMPLED_LOG_KINDS else OTHER_LINES_PER_S
        elapsed_s = record.created - self._last_seen_by_kind.get(kind, 0.0)
        tokens = min(
            lines_per_s, self._tokens_by_kind.get(kind, lines_per_s) + elapsed_s * lines_per_s
        )
        self._last_seen_by_kind[kind] = record.created
        if tokens < 1:
            self._tokens_by_kind[kind] = tokens
            self._left_out_by_kind[kind] = self._left_out_by_kind.get(kind, 0) + 1
            return False
        self._tokens_by_kind[kind] = tokens - 1
        record.left_out = self._left_out_by_kind.pop(kind, 0)
        return True


class NonBlockingStream:
    """Writes to a file descriptor without waiting for its reader.

    A blocking write to a full pipe would stop the event loop and delay every
    request. Output that the pipe does not accept is kept in a bounded buffer;
    lines that exceed the buffer are dropped and counted.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write ``text``, or buffer it, or drop it if the buffer is full."""
        encoded = text.encode()
        if len(self._pending) + len(encoded) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._pending += encoded
        try:
            written = os.write(self._descriptor, self._pending)
        except OSError:
            # The pipe is full or its reader has closed it. The buffer is bounded,
            # so the text can stay in it.
            return
        self._pending = self._pending[written:]

    def flush(self) -> None:
        """Do nothing: ``write`` has already written all that the reader accepts."""


def setup_structured_logging(*, level: str, instance: str) -> None:
    """Configure the root logger to write JSON lines to standard output."""
    handler = logging.StreamHandler(NonBlockingStream(descriptor=STANDARD_OUTPUT))
    handler.setFormatter(JsonFormatter(instance=instance))
    handler.addFilter(RateLimitFilter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
