"""Calls for rows between instances: their encoding, and what an answer contains."""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any, NamedTuple

from plantainloft_core.store_eras import StoreReturn
from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition
from plantainloft_node.replica.recent_contents import EncodedContent
from plantainloft_node.replica.store_rows import RowBatch, StoreRow

__all__ = [
    'EncodeContent',
    'RowsAnswer',
    'RowsRequest',
    'pack_answer',
    'pack_request',
    'unpack_answer',
    'unpack_request',
]

# Other builds look up their tables only, and skip the keys of a request that they don't know.
OPTION_PREFIX = '@'
ERA_KEY = '@era'
# The digests of the contents that the calling instance has. Builds that do not name any are
# sent whole contents.
CONTENTS_KEY = '@contents'

# Returns a content as it is sent: encoded for its reader, or as it is.
EncodeContent = Callable[[bytes], EncodedContent | bytes]
DecodeContent = Callable[[EncodedContent], bytes]


class RowsRequest(NamedTuple):
    """The newest row that the calling instance has of each table that it read in ``era``.

    ``known_digests`` are those of contents that it has, ``None`` if it needs whole contents.
    """

    era: int
    position_by_table: Mapping[str, StorePosition]
    known_digests: frozenset[bytes] | None = None


class RowsAnswer(NamedTuple):
    """Rows of ``era`` that the caller lacks.

    ``changed`` has newer rows of tables that the caller has read in this era,
    ``listing_by_table`` whole tables. ``left_out`` names the tables that are too large.
    ``held`` has rows of earlier eras that the peer holds since ``last_return``.
    """

    era: int
    changed: Sequence[StoreRow]
    listing_by_table: Mapping[str, RowBatch]
    left_out: tuple[str, ...]
    store_available_for_s: float | None
    held: Sequence[StoreRow] = ()
    last_return: StoreReturn | None = None


def _send_as_is(content: bytes) -> bytes:
    return content


def _refuse_encoded(_: EncodedContent) -> bytes:
    raise TypeError('an encoded content that was not asked for')


def pack_request(
    position_by_table: Mapping[str, StorePosition],
    *,
    era: int,
    known_digests: Collection[bytes] = (),
) -> dict[str, Any]:
    """Encode a request of an instance in ``era``; positions of other eras are left out."""
    versions = {
        table: position.version
        for table, position in position_by_table.items()
        if position.era == era
    }
    return {**versions, ERA_KEY: era, CONTENTS_KEY: list(known_digests)}


def unpack_request(raw: Mapping[str, Any], *, current_era: int) -> RowsRequest:
    """Decode a request; one that names no era is taken for one of ``current_era``."""
    era = raw.get(ERA_KEY, current_era)
    return RowsRequest(
        era,
        {
            table: StorePosition(era, version)
            for table, version in raw.items()
            if not table.startswith(OPTION_PREFIX)
        },
        _known_digests(raw),
    )


def _known_digests(raw: Mapping[str, Any]) -> frozenset[bytes] | None:
    digests = raw.get(CONTENTS_KEY)
    if not isinstance(digests, list | tuple):
        return None
    return frozenset(digest for digest in digests if isinstance(digest, bytes))


def pack_answer(
    answer: RowsAnswer, now: float, *, encode_content: EncodeContent = _send_as_is
) -> dict[str, Any]:
    """Encode an answer; times are sent as ages."""
    listed = [row for listing in answer.listing_by_table.values() for row in listing.rows]
    last_return = answer.last_return
    return {
        'era': answer.era,
        'rows': [_pack_row(row, encode_content) for row in (*answer.changed, *listed)],
        'whole': {
            table: listing.position.version for table, listing in answer.listing_by_table.items()
        },
        'left_out': answer.left_out,
        'store_served_s': answer.store_available_for_s,
        'held': [[row.position.era, *_pack_row(row, encode_content)] for row in answer.held],
        'returned': None
        if last_return is None
        else [last_return.era, now - last_return.noticed_at, last_return.first_version],
    }


def unpack_answer(
    raw: Mapping[str, Any],
    now: float,
    *,
    default_era: int,
    decode_content: DecodeContent = _refuse_encoded,
) -> RowsAnswer:
    """Decode an answer; rows of one that names no era are of ``default_era``.

    Raises ``KeyError``, ``TypeError``, ``ValueError`` or ``AttributeError`` if ``raw`` is
    malformed.
    """
    era = _integer(raw.get('era', default_era))
    rows = [_unpack_row(decode_content, era, *fields) for fields in raw['rows']]
    version_by_listed_table: Mapping[str, int] = raw.get('whole', {})
    returned = raw.get('returned')
    return RowsAnswer(
        era=era,
        changed=[row for row in rows if row.table not in version_by_listed_table],
        listing_by_table={
            table: RowBatch(
                tuple(row for row in rows if row.table == table),
                StorePosition(era, _integer(version)),
            )
            for table, version in version_by_listed_table.items()
        },
        left_out=tuple(str(table) for table in raw.get('left_out', ())),
        store_available_for_s=raw.get('store_served_s'),
        held=[_unpack_row(decode_content, *fields) for fields in raw.get('held', ())],
        last_return=None if returned is None else _unpack_return(now, *returned),
    )


def _pack_row(row: StoreRow, encode_content: EncodeContent) -> list[Any]:
    content = None if row.content is None else encode_content(row.content)
    return [row.table, row.key, row.position.version, content]


def _unpack_row(
    decode_content: DecodeContent, era: Any, table: Any, key: Any, version: Any, content: Any
) -> StoreRow:
    if isinstance(content, list | tuple):
        content = decode_content(EncodedContent(*content))
    if content is not None and not isinstance(content, bytes):
        raise TypeError(f'content of row {key}: {type(content).__name__}')
    position = StorePosition(_integer(era), _integer(version))
    return StoreRow(str(table), str(key), position, content)


def _unpack_return(now: float, era: Any, age_s: Any, first_version: Any) -> StoreReturn:
    version = None if first_version is None else _integer(first_version)
    if _integer(era) <= UNKNOWN_ERA:
        raise ValueError(f'era {era} of a return')
    return StoreReturn(era, now - max(0.0, float(age_s)), version)


def _integer(raw: Any) -> int:
    if not isinstance(raw, int) or isinstance(raw, bool):
        raise TypeError(f'integer expected, got {type(raw).__name__}')
    return raw
