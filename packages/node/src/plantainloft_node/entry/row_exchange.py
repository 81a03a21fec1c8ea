"""Calls for rows between instances: their encoding, and what an answer contains."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from plantainloft_core.store_eras import StoreReturn
from plantainloft_core.store_position import UNKNOWN_ERA, StorePosition
from plantainloft_node.replica.store_rows import RowBatch, StoreRow

__all__ = [
    'RowsAnswer',
    'RowsRequest',
    'pack_answer',
    'pack_request',
    'unpack_answer',
    'unpack_request',
]

# Builds that know no eras look up their tables only, and skip this key of a request.
ERA_KEY = '@era'


class RowsRequest(NamedTuple):
    """The newest row that the calling instance has of each table that it read in ``era``."""

    era: int
    position_by_table: Mapping[str, StorePosition]


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


def pack_request(position_by_table: Mapping[str, StorePosition], *, era: int) -> dict[str, int]:
    """Encode a request of an instance in ``era``; positions of other eras are left out."""
    versions = {
        table: position.version
        for table, position in position_by_table.items()
        if position.era == era
    }
    return {**versions, ERA_KEY: era}


def unpack_request(raw: Mapping[str, int], *, current_era: int) -> RowsRequest:
    """Decode a request; one that names no era is taken for one of ``current_era``."""
    era = raw.get(ERA_KEY, current_era)
    return RowsRequest(
        era, {table: StorePosition(era, raw[table]) for table in raw if table != ERA_KEY}
    )


def pack_answer(answer: RowsAnswer, now: float) -> dict[str, Any]:
    """Encode an answer; times are sent as ages."""
    listed = [row for listing in answer.listing_by_table.values() for row in listing.rows]
    last_return = answer.last_return
    return {
        'era': answer.era,
        'rows': [_pack_row(row) for row in (*answer.changed, *listed)],
        'whole': {
            table: listing.position.version for table, listing in answer.listing_by_table.items()
        },
        'left_out': answer.left_out,
        'store_served_s': answer.store_available_for_s,
        'held': [[row.position.era, *_pack_row(row)] for row in answer.held],
        'returned': None
        if last_return is None
        else [last_return.era, now - last_return.noticed_at, last_return.first_version],
    }


def unpack_answer(raw: Mapping[str, Any], now: float, *, default_era: int) -> RowsAnswer:
    """Decode an answer; rows of one that names no era are of ``default_era``.

    Raises ``KeyError``, ``TypeError``, ``ValueError`` or ``AttributeError`` if ``raw`` is
    malformed.
    """
    era = _integer(raw.get('era', default_era))
    rows = [_unpack_row(era, *fields) for fields in raw['rows']]
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
        held=[_unpack_row(*fields) for fields in raw.get('held', ())],
        last_return=None if returned is None else _unpack_return(now, *returned),
    )


def _pack_row(row: StoreRow) -> list[Any]:
    return [row.table, row.key, row.position.version, row.content]


def _unpack_row(era: Any, table: Any, key: Any, version: Any, content: Any) -> StoreRow:
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
