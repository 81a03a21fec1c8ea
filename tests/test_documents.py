"""Rows of endpoints from whoever wrote them: understood whole or not at all."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_standin import endpoint_row

from plantainloft_core.outcomes import Invalid
from plantainloft_node.replica.news import (
    DECLARATIONS,
    ENDPOINTS,
    EndpointListed,
    EndpointUnreadable,
    NewsRow,
)
from plantainloft_platform.documents import decode_row

BORN_MS = 1_777_518_000_301
# Each field of a row, as the path to it.
FIELDS = (
    ('address',),
    ('info',),
    ('status',),
    ('info', 'service'),
    ('info', 'version'),
    ('info', 'zone'),
    ('info', 'slots'),
    ('status', 'state'),
    ('status', 'seq'),
    ('status', 'cold_left'),
)
# What JSON may hold where a field of the named type is expected.
NOT_TEXT = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.lists(st.text()))
NOT_WHOLE = st.one_of(st.none(), st.booleans(), st.floats(), st.text(), st.integers(max_value=-1))


def row(content: bytes | None) -> NewsRow:
    return NewsRow(table=ENDPOINTS, key='i-1', version=1, content=content)


def decoded(document: object) -> object:
    return decode_row(row(json.dumps(document).encode()))


def changed(path: tuple[str, ...], found: object) -> dict[str, Any]:
    """A good row with another value at ``path``."""
    document = endpoint_row('10.0.0.1:80')
    inner = document
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = found
    return document


def test_the_time_of_its_start_is_read() -> None:
    listed = decoded({**endpoint_row('10.0.0.1:80'), 'born': BORN_MS})
    assert isinstance(listed, EndpointListed)
    assert listed.record.born_ms == BORN_MS
    assert listed.record.incarnation != listed.record._replace(born_ms=BORN_MS + 1).incarnation


def test_a_row_without_the_time_of_its_start_holds() -> None:
    assert isinstance(decoded(endpoint_row('10.0.0.1:80')), EndpointListed)


@pytest.mark.parametrize('path', FIELDS)
def test_a_row_that_lacks_a_field_names_no_endpoint(path: tuple[str, ...]) -> None:
    document = endpoint_row('10.0.0.1:80')
    inner = document
    for name in path[:-1]:
        inner = inner[name]
    inner.pop(path[-1])
    assert isinstance(decoded(document), EndpointUnreadable)


@given(found=NOT_TEXT, path=st.sampled_from([path for path in FIELDS if path[-1] != 'slots']))
def test_a_field_of_another_type_names_no_endpoint(found: object, path: tuple[str, ...]) -> None:
    if path[-1] == 'seq' and type(found) is int and found >= 0:
        return
    assert isinstance(decoded(changed(path, found)), EndpointUnreadable)


@given(found=NOT_WHOLE)
def test_what_is_no_whole_number_is_neither_slots_nor_a_start(found: object) -> None:
    """A start must be whole, and ``true`` is no number though Python counts it as 1."""
    assert isinstance(decoded(changed(('info', 'slots'), found)), EndpointUnreadable)
    assert isinstance(decoded(changed(('born',), found)), EndpointUnreadable)


@pytest.mark.parametrize(
    ('path', 'found'),
    [
        (('status', 'state'), 'resting'),
        (('status', 'state'), ''),
        (('status', 'cold_left'), 'nan'),
        (('status', 'cold_left'), '-3s'),
        (('status', 'cold_left'), 'soon'),
        (('info', 'slots'), 0),
        (('info', 'service'), ''),
        (('address',), '10.0.0.1'),
        (('address',), '10.0.0.1:http'),
        (('address',), ':80'),
        (('address',), '10.0.0.1:70000'),
    ],
)
def test_a_value_that_means_nothing_names_no_endpoint(path: tuple[str, ...], found: object) -> None:
    assert isinstance(decoded(changed(path, found)), EndpointUnreadable)


@given(content=st.binary(max_size=200))
def test_bytes_that_cannot_be_read_name_no_endpoint(content: bytes) -> None:
    assert isinstance(decode_row(row(content)), EndpointUnreadable)


def test_nesting_without_end_ends_no_process() -> None:
    """Symptom: every instance ends at once, and again after each start.

    Another writer put deeply nested JSON into the endpoints' table. The
    decoder gives up with a RecursionError, which passed all handlers.
    """
    nested = b'[' * 100_000
    assert isinstance(decode_row(row(nested)), EndpointUnreadable)
    operators = NewsRow(table=DECLARATIONS, key='config', version=1, content=nested)
    assert isinstance(decode_row(operators), Invalid)
