"""Endpoint rows from untrusted writers: decoded completely or rejected."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_standin import endpoint_document

from plantainloft_core.outcomes import Invalid
from plantainloft_core.store_position import StorePosition
from plantainloft_node.replica.store_rows import (
    DECLARATIONS,
    ENDPOINTS,
    EndpointListed,
    EndpointUnreadable,
    StoreRow,
)
from plantainloft_platform.row_decoding import decode_row

BORN_MS = 1_777_518_000_301
# The path of each required field of an endpoint row.
REQUIRED_FIELDS = (
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
# JSON values that are invalid where a field requires text or a non-negative integer.
NOT_TEXT = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.lists(st.text()))
NOT_NON_NEGATIVE_INTEGER = st.one_of(
    st.none(), st.booleans(), st.floats(), st.text(), st.integers(max_value=-1)
)


def row(content: bytes | None) -> StoreRow:
    return StoreRow(table=ENDPOINTS, key='i-1', position=StorePosition(1, 1), content=content)


def decode(document: object) -> object:
    return decode_row(row(json.dumps(document).encode()))


def document_with(path: tuple[str, ...], value: object) -> dict[str, Any]:
    """Return a valid endpoint document with the field at ``path`` replaced by ``value``."""
    document = endpoint_document('10.0.0.1:80')
    parent = document
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    return document


def test_the_start_time_of_an_endpoint_is_decoded() -> None:
    listed = decode({**endpoint_document('10.0.0.1:80'), 'born': BORN_MS})
    assert isinstance(listed, EndpointListed)
    assert listed.record.born_ms == BORN_MS
    assert listed.record.incarnation != listed.record._replace(born_ms=BORN_MS + 1).incarnation


def test_a_row_without_a_start_time_is_accepted() -> None:
    assert isinstance(decode(endpoint_document('10.0.0.1:80')), EndpointListed)


@pytest.mark.parametrize('path', REQUIRED_FIELDS)
def test_a_row_with_a_missing_field_is_rejected(path: tuple[str, ...]) -> None:
    document = endpoint_document('10.0.0.1:80')
    parent = document
    for name in path[:-1]:
        parent = parent[name]
    parent.pop(path[-1])
    assert isinstance(decode(document), EndpointUnreadable)


@given(
    value=NOT_TEXT, path=st.sampled_from([path for path in REQUIRED_FIELDS if path[-1] != 'slots'])
)
def test_a_field_of_the_wrong_type_is_rejected(value: object, path: tuple[str, ...]) -> None:
    if path[-1] == 'seq' and type(value) is int and value >= 0:
        return
    assert isinstance(decode(document_with(path, value)), EndpointUnreadable)


@given(value=NOT_NON_NEGATIVE_INTEGER)
def test_slots_and_start_time_must_be_non_negative_integers(value: object) -> None:
    """``true`` is rejected too, although ``bool`` is a subclass of ``int`` in Python."""
    assert isinstance(decode(document_with(('info', 'slots'), value)), EndpointUnreadable)
    assert isinstance(decode(document_with(('born',), value)), EndpointUnreadable)


@pytest.mark.parametrize(
    ('path', 'value'),
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
def test_an_invalid_value_is_rejected(path: tuple[str, ...], value: object) -> None:
    assert isinstance(decode(document_with(path, value)), EndpointUnreadable)


@given(content=st.binary(max_size=200))
def test_undecodable_bytes_are_rejected(content: bytes) -> None:
    assert isinstance(decode_row(row(content)), EndpointUnreadable)


def test_deeply_nested_json_is_rejected() -> None:
    """Guards against a row that terminates every instance, again after each start.

    Another writer stored deeply nested JSON in the endpoints table. json.loads
    raises RecursionError for it, which no handler caught.
    """
    nested = b'[' * 100_000
    assert isinstance(decode_row(row(nested)), EndpointUnreadable)
    operator_row = StoreRow(
        table=DECLARATIONS, key='config', position=StorePosition(1, 1), content=nested
    )
    assert isinstance(decode_row(operator_row), Invalid)
