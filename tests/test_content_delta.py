"""Large contents that peers send each other as what changed."""

import json
import zlib
from typing import Any

import hypothesis
import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_standin import make_configuration

from plantainloft_core.store_position import StorePosition
from plantainloft_node.entry.row_exchange import (
    RowsAnswer,
    pack_answer,
    unpack_answer,
    unpack_request,
)
from plantainloft_node.replica.content_delta import apply_delta, content_digest, encode_delta
from plantainloft_node.replica.recent_contents import (
    ENCODED_CONTENT_BYTES,
    MAX_CONTENTS,
    MAX_CONTENTS_BYTES,
    EncodedContent,
    RecentContents,
)
from plantainloft_node.replica.store_rows import DECLARATIONS, ENDPOINTS, StoreRow

ROUTES = 1400
CONTENTS = st.lists(
    st.sampled_from([b'{"a":1}', b'{"b":{}}', b'}', b',', b'', b'\x00', b'{"c":"}"}'])
).map(b''.join)


def encoded_configuration(version: int) -> bytes:
    """Return a configuration of many routes; its version changes two of them."""
    document = make_configuration(version, service=f's{version}', further_routes=ROUTES)
    return json.dumps(document).encode()


@given(CONTENTS, CONTENTS)
def test_a_content_is_the_same_after_it_was_sent_as_what_changed(
    base: bytes, content: bytes
) -> None:
    assert apply_delta(base, encode_delta(base, content)) == content


@given(st.binary(), st.binary())
def test_contents_of_any_bytes_can_be_sent(base: bytes, content: bytes) -> None:
    assert apply_delta(base, encode_delta(base, content)) == content


def test_a_changed_route_among_many_is_sent_as_a_few_hundred_bytes() -> None:
    """Guards against links that are full of configurations which hardly differ."""
    before, after = encoded_configuration(4), encoded_configuration(5)
    assert len(encode_delta(before, after)) < len(after) / 500
    assert len(encode_delta(b'', after)) < len(after) / 10


def answer_of(content: bytes) -> RowsAnswer:
    row = StoreRow(DECLARATIONS, 'config', StorePosition(1, 7), content)
    return RowsAnswer(1, [row], {}, (), None, held=[row])


@pytest.mark.parametrize('known', [True, False])
def test_rows_and_held_rows_are_sent_encoded(known: bool) -> None:
    """Guards against answers that carry a held configuration whole, each of them."""
    sender, reader = RecentContents(), RecentContents()
    for contents in (sender, reader) if known else (sender,):
        contents.record(encoded_configuration(4))
    content = encoded_configuration(5)
    sender.record(content)
    digests = frozenset(reader.digests())
    packed = msgpack.packb(
        pack_answer(answer_of(content), 0.0, encode_content=lambda raw: sender.encode(raw, digests))
    )
    assert len(packed) < len(content) / (200 if known else 5)
    answer = unpack_answer(
        msgpack.unpackb(packed), 0.0, default_era=1, decode_content=reader.decode
    )
    assert [row.content for row in (*answer.changed, *answer.held)] == [content, content]


def test_a_content_that_the_reader_lacks_or_that_was_altered_is_refused() -> None:
    sender, reader = RecentContents(), RecentContents()
    sender.record(encoded_configuration(4))
    encoded = sender.encode(encoded_configuration(5), sender.digests())
    with pytest.raises(ValueError, match='another content'):
        reader.decode(encoded)
    reader.record(encoded_configuration(4))
    assert reader.decode(encoded) == encoded_configuration(5)
    with pytest.raises(ValueError, match='another digest'):
        reader.decode(encoded._replace(digest=b'x'))


def test_the_contents_kept_are_limited_in_number_and_size() -> None:
    """Guards against memory that grows with each change of a large row."""
    contents = RecentContents()
    first = b'0' * ENCODED_CONTENT_BYTES
    contents.record(first)
    for number in range(1, MAX_CONTENTS):
        contents.record(b'%d' % number * ENCODED_CONTENT_BYTES)
    assert contents.encode(first, [content_digest(first)]).base_digest
    contents.record(b'x' * ENCODED_CONTENT_BYTES)
    assert not contents.encode(first, [content_digest(first)]).base_digest
    contents.record(b'0' * MAX_CONTENTS_BYTES)
    contents.record(b'1' * MAX_CONTENTS_BYTES)
    assert contents.digests() == [content_digest(b'1' * MAX_CONTENTS_BYTES)]


@pytest.mark.parametrize('named', [3, 'digest', {}, [3, []]])
def test_a_request_with_malformed_digests_is_answered(named: object) -> None:
    request = unpack_request({ENDPOINTS: 5, '@contents': named}, current_era=4)
    assert not request.known_digests
    assert request.position_by_table == {ENDPOINTS: StorePosition(4, 5)}


STEPS = st.recursive(
    st.one_of(st.none(), st.integers(-9, 9), st.binary(max_size=3), st.text(max_size=3)),
    lambda inner: st.lists(inner, max_size=3),
)


@hypothesis.settings(max_examples=500)
@given(st.lists(st.one_of(STEPS, STEPS.map(msgpack.packb)), max_size=4))
def test_malformed_encoded_contents_raise_only_what_callers_expect(fields: list[Any]) -> None:
    """Guards against another exception, which would end the process."""
    raw = {'rows': [['declarations', 'config', 7, fields]]}
    try:
        unpack_answer(raw, 0.0, default_era=1, decode_content=RecentContents().decode)
    except (KeyError, TypeError, ValueError, AttributeError):
        return
    raise AssertionError('a content out of nothing')


@hypothesis.settings(max_examples=500)
@given(STEPS)
def test_malformed_steps_raise_only_what_callers_expect(steps: Any) -> None:
    packed = zlib.compress(msgpack.packb(steps))
    try:
        RecentContents().decode(EncodedContent(b'', b'', packed))
    except (TypeError, ValueError):
        return
    raise AssertionError('a digest of nothing')
