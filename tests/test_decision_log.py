"""Structured logs: bounded, joined by id, and never in the way."""

import json
import logging
import os
import time

import pytest

from plantainloft_node.entry.decision_log import DecisionFormatter, QuietStream, VolumeFilter


def record(kind: str, *, at: float, **fields: object) -> logging.LogRecord:
    made = logging.LogRecord('x', logging.INFO, 'x.py', 1, 'Front: request.', None, None)
    made.created = at
    made.kind = kind
    made.fields = fields
    return made


def test_a_line_is_json_with_its_fields() -> None:
    text = DecisionFormatter(instance='e1').format(record('refused', at=5.0, request='r1'))
    line = json.loads(text)
    assert line['instance'] == 'e1'
    assert line['kind'] == 'refused'
    assert line['request'] == 'r1'


def test_ordinary_successes_are_sampled_and_the_rest_is_counted() -> None:
    volume = VolumeFilter()
    lines = [record('answered', at=100 + step / 100) for step in range(400)]
    written = [line for line in lines if volume.filter(line)]
    assert 4 <= len(written) <= 12
    last = record('answered', at=200.0)
    assert volume.filter(last)
    counted = sum(line.left_out for line in [*written, last])  # type: ignore[attr-defined]
    assert len(written) + counted == 400


def test_refusals_are_kept_where_successes_are_not() -> None:
    volume = VolumeFilter()
    written = [volume.filter(record('refused', at=100 + step / 10)) for step in range(100)]
    assert all(written)


def test_a_reader_that_stalls_costs_no_time(capfd: pytest.CaptureFixture[str]) -> None:
    """Symptom: every request is late at once, and the processor idle.

    Nobody reads the standard output any more. Its pipe fills up, and the
    next line written waits for ever, and the process with it.
    """
    reader, writer = os.pipe()
    stream = QuietStream(descriptor=writer)
    began = time.monotonic()
    for _ in range(5000):
        stream.write('x' * 200 + '\n')
    assert time.monotonic() - began < 5
    assert stream.dropped > 0
    os.close(reader)
    stream.write('after the reader has gone\n')
    os.close(writer)
