"""Lists for operators what a return of the store from a copy has cost."""

import math
from typing import TypedDict

from plantainloft_core.store_eras import StoreEras
from plantainloft_node.replica.row_updates import RowUpdates

__all__ = ['HeldRowEntry', 'StoreReturnEntry', 'list_store_return']


class HeldRowEntry(TypedDict):
    """A row that is in effect although the store has lost it; times in seconds.

    ``ends_in_s`` is ``None`` if only a row that is written again takes its place.
    """

    table: str
    row: str
    era: int
    version: int
    is_removed: bool
    reason: str
    ends_in_s: float | None


class StoreReturnEntry(TypedDict):
    """The era of the store, its last return as far as known, and the rows held since.

    ``copy_age_s`` is the least age of the copy, by the changes that it lacks.
    """

    era: int
    returns: int
    returned_s_ago: float | None
    copy_age_s: float | None
    rows_held: list[HeldRowEntry]
    rows_written_again: int
    rows_given_up: int


def list_store_return(eras: StoreEras, updates: RowUpdates, now: float) -> StoreReturnEntry:
    """Return the state of this instance for operators."""
    last_return = eras.last_return
    held_rows = updates.held_rows
    return StoreReturnEntry(
        era=eras.current,
        returns=eras.return_count,
        returned_s_ago=None if last_return is None else round(now - last_return.noticed_at, 1),
        copy_age_s=None if updates.copy_age_s is None else round(updates.copy_age_s, 1),
        rows_held=[
            HeldRowEntry(
                table=held.row.table,
                row=held.row.key,
                era=held.row.position.era,
                version=held.row.position.version,
                is_removed=held.row.content is None,
                reason=held.reason,
                ends_in_s=None if math.isinf(held.until) else round(held.until - now, 1),
            )
            for held in held_rows.held_by_key.values()
        ],
        rows_written_again=held_rows.written_again_count,
        rows_given_up=held_rows.given_up_count,
    )
