"""Structured logs: rate limits, fields, and writing without blocking."""

import json
import logging
import os
import sys
import time

import pytest

from plantainloft_node.entry.structured_logging import (
    JsonFormatter,
    NonBlockingStream,
    RateLimitFilter,
)


def record(kind: str, *, at: float, **fields: object) -> logging.LogRecord:
    log_record = logging.LogRecord('x', logging.INFO, 'x.py', 1, 'Front: request.', None, None)
    log_record.created = at
    log_record.kind = kind
    log_record.fields = fields
    return log_record


def test_a_line_is_json_with_its_fields() -> None:
    text = JsonFormatter(instance='e1').format(record('refused', at=5.0, request='r1'))
    line = json.loads(text)
    assert line['instance'] == 'e1'
    assert line['kind'] == 'refused'
    assert line['request'] == 'r1'


def test_successes_are_sampled_and_suppressed_lines_counted() -> None:
    rate_limit = RateLimitFilter()
    lines = [record('answered', at=100 + step / 100) for step in range(400)]
    written = [line for line in lines if rate_limit.filter(line)]
    assert 4 <= len(written) <= 12
    last = record('answered', at=200.0)
    assert rate_limit.filter(last)
    suppressed = sum(line.left_out for line in [*written, last])  # type: ignore[attr-defined]
    assert len(written) + suppressed == 400


def test_refusals_are_not_sampled() -> None:
    rate_limit = RateLimitFilter()
    written = [rate_limit.filter(record('refused', at=100 + step / 10)) for step in range(100)]
    assert all(written)


def test_a_stalled_reader_does_not_block_the_writer(capfd: pytest.CaptureFixture[str]) -> None:
    """Regression test: all requests were delayed at once while the CPU was idle.

    When nothing reads standard output any more, its pipe fills up. The next
    blocking write would then stop the whole process for ever.
    """
    reader, writer = os.pipe()
    stream = NonBlockingStream(descriptor=writer)
    began = time.monotonic()
    for _ in range(5000):
        stream.write('x' * 200 + '\n')
    assert time.monotonic() - began < 5
    assert stream.dropped > 0
    os.close(reader)
    stream.write('after the reader has gone\n')
    os.close(writer)


def test_a_defect_is_logged_with_its_traceback() -> None:
    """Guards against an unforeseen error of which the log tells no more than that it was one."""
    defect = record('defect', at=5.0)
    try:
        raise ValueError('unforeseen')
    except ValueError:
        defect.exc_info = sys.exc_info()
    text = JsonFormatter(instance='e1').format(defect)
    assert '\n' not in text
    assert json.loads(text)['traceback'].endswith('ValueError: unforeseen')
