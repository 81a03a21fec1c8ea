"""Answers the calls of peers for rows and members that they lack."""

from collections import Counter
from typing import Any

import anyio

from plantainloft_node.entry.replicated_state import ReplicatedState
from plantainloft_node.entry.row_exchange import (
    EncodeContent,
    RowsAnswer,
    RowsRequest,
    pack_answer,
    unpack_request,
)
from plantainloft_node.fleet.membership import FleetMembership
from plantainloft_node.replica.recent_contents import ENCODED_CONTENT_BYTES, EncodedContent
from plantainloft_node.replica.store_rows import ENDPOINTS, StoreRow

__all__ = ['RowAnswers']

# Larger tables would delay all answers queued behind them: a relay has no more
# bandwidth than any other instance, and many instances call it at once. Instances
# that delegate their polling read such tables from the store.
MAX_SMALL_TABLE_BYTES = 16_000


class RowAnswers:
    """Answers calls from what this instance has read in the current era of the store."""

    def __init__(self, *, members: FleetMembership, replicated_state: ReplicatedState) -> None:
        self._members = members
        self._replicated_state = replicated_state
        self._rows = replicated_state.rows
        self._updates = replicated_state.updates
        self._eras = replicated_state.store.eras

    async def answer_rows_call(self, raw_request: Any) -> Any:
        """Answer a call for the rows that a peer lacks."""
        request = unpack_request(raw_request, current_era=self._eras.current)
        now = anyio.current_time()
        encode_content = self._content_encoder(request)
        return pack_answer(self._answer(request, now), now, encode_content=encode_content)

    async def answer_small_rows_call(self, raw_request: Any) -> Any:
        """Answer like ``answer_rows_call``, but only name large tables, without their rows.

        A table of endpoints that the peer has not read in this era is never left out.
        """
        request = unpack_request(raw_request, current_era=self._eras.current)
        now = anyio.current_time()
        answer = self._answer(request, now)
        encode_content = self._content_encoder(request)
        large = tuple(
            table
            for table, size in _bytes_by_table(answer, encode_content).items()
            if size > MAX_SMALL_TABLE_BYTES
            and (table != ENDPOINTS or table in request.position_by_table)
        )
        return pack_answer(_without_tables(answer, large), now, encode_content=encode_content)

    async def answer_members_call(self, _: Any) -> Any:
        """Answer a call for the instances that count for shared limits, including this one."""
        peers = self._members.peers_sharing_limits(anyio.current_time())
        return [list(member) for member in (*peers, self._members.local_member)]

    def _content_encoder(self, request: RowsRequest) -> EncodeContent:
        """Return a function that encodes contents for the instance that sent ``request``."""
        known_digests = request.known_digests

        def encode(content: bytes) -> EncodedContent | bytes:
            if known_digests is None or len(content) < ENCODED_CONTENT_BYTES:
                return content
            return self._rows.recent_contents.encode(content, known_digests)

        return encode

    def _answer(self, request: RowsRequest, now: float) -> RowsAnswer:
        # This instance has nothing for a peer in a later era.
        current = {
            table: position
            for table, position in self._replicated_state.current_positions().items()
            if request.era <= position.era
        }
        full_tables = [
            table
            for table in current
            if not self._rows.is_complete_for(table, request.position_by_table.get(table))
        ]
        changed = [
            row
            for row in self._rows.rows_newer_than(request.position_by_table)
            if row.table in current and row.table not in full_tables
        ]
        return RowsAnswer(
            era=self._eras.current,
            changed=changed,
            listing_by_table={table: self._rows.listing_of(table) for table in full_tables},
            left_out=(),
            store_available_for_s=self._replicated_state.store_available_for_s(now),
            held=self._updates.held_rows.rows(),
            last_return=self._eras.last_return,
        )


def _bytes_by_table(answer: RowsAnswer, encode_content: EncodeContent) -> Counter[str]:
    """Return the size of the contents of each table, as they are sent."""
    sizes: Counter[str] = Counter()
    for row in answer.changed:
        sizes[row.table] += _sent_bytes(row, encode_content)
    for table, listing in answer.listing_by_table.items():
        sizes[table] += sum(_sent_bytes(row, encode_content) for row in listing.rows)
    return sizes


def _sent_bytes(row: StoreRow, encode_content: EncodeContent) -> int:
    sent = b'' if row.content is None else encode_content(row.content)
    return len(sent.delta) if isinstance(sent, EncodedContent) else len(sent)


def _without_tables(answer: RowsAnswer, tables: tuple[str, ...]) -> RowsAnswer:
    return answer._replace(
        changed=[row for row in answer.changed if row.table not in tables],
        listing_by_table={
            table: listing
            for table, listing in answer.listing_by_table.items()
            if table not in tables
        },
        left_out=tables,
    )
