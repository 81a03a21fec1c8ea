"""Tests of the replicated rows and of the state derived from them."""

import pytest
from entry_fixtures import SERVICE

from plantainloft_core.discovery import EndpointRecord
from plantainloft_core.routes import CallerLimits, build_route_table
from plantainloft_core.store_position import StorePosition
from plantainloft_node.placement.endpoints import EndpointRegistry
from plantainloft_node.replica.routing_state import RoutingState
from plantainloft_node.replica.row_replica import RowReplica
from plantainloft_node.replica.store_availability import ROW_EXPIRY_GRACE_S
from plantainloft_node.replica.store_rows import (
    DECLARATIONS,
    ENDPOINTS,
    Change,
    EndpointGone,
    EndpointListed,
    EndpointUnreadable,
    RoutesDeclared,
    RowBatch,
    StoreRow,
)

NOW = 1000.0
ERA = 1


def at(version: int) -> StorePosition:
    return StorePosition(ERA, version)


def row(key: str, version: int, content: bytes | None = b'') -> StoreRow:
    return StoreRow(table=ENDPOINTS, key=key, position=at(version), content=content)


def decode(store_row: StoreRow) -> Change:
    if store_row.table == DECLARATIONS:
        table = build_route_table(
            version=int(store_row.content or b'0'), routes=(), services=(), limits=CallerLimits()
        )
        return RoutesDeclared(table=table)
    if store_row.content is None:
        return EndpointGone(endpoint_id=store_row.key)
    if store_row.content == b'unreadable':
        return EndpointUnreadable(endpoint_id=store_row.key, problem='no format at all')
    record = EndpointRecord(
        id=store_row.key,
        service=SERVICE,
        address='127.0.0.1:1',
        zone='a',
        slots=4,
        draining=store_row.content == b'draining',
        cold_s=3.0 if store_row.content.startswith(b'born') else 0.0,
        born_ms=int(store_row.content.removeprefix(b'born'))
        if store_row.content.startswith(b'born')
        else 0,
    )
    return EndpointListed(record=record)


@pytest.fixture
def endpoint_registry() -> EndpointRegistry:
    return EndpointRegistry(region_by_zone={'a': 'ankara'})


@pytest.fixture
def routing_state(endpoint_registry: EndpointRegistry) -> RoutingState:
    return RoutingState(endpoint_registry=endpoint_registry, decode=decode)


def test_older_rows_never_replace_newer_ones() -> None:
    rows = RowReplica()
    assert rows.merge([row('i1', 5, None)])
    assert not rows.merge([row('i1', 4)])
    assert rows.row_by_key[(ENDPOINTS, 'i1')].content is None


def test_rows_missing_from_a_listing_are_removed() -> None:
    rows = RowReplica()
    rows.merge([row('i1', 1), row('i2', 2)])
    fresh = rows.merge_listing(ENDPOINTS, RowBatch(rows=(row('i2', 2),), position=at(9)))
    assert [(one.key, one.content) for one in fresh] == [('i1', None)]


def test_a_stale_listing_does_not_remove_newer_rows() -> None:
    """Guards against endpoints that vanish after the store lost its history.

    The listing that follows comes from a lagging copy of the store and lacks
    rows that were received as changes in the meantime.
    """
    rows = RowReplica()
    rows.merge([row('i1', 1), row('i2', 8)])
    assert not rows.merge_listing(ENDPOINTS, RowBatch(rows=(row('i1', 1),), position=at(5)))


def test_peers_are_sent_missing_rows_and_tombstones() -> None:
    rows = RowReplica()
    rows.merge([row('i1', 1), row('i2', 2), row('i1', 3, None)])
    assert [one.key for one in rows.rows_newer_than({ENDPOINTS: at(2)})] == ['i1']
    assert len(rows.rows_newer_than({})) == 2


def test_an_endpoint_whose_row_expired_in_an_outage_stays_in_use(
    routing_state: RoutingState, endpoint_registry: EndpointRegistry
) -> None:
    """Guards against losing all endpoints after an outage of the store.

    Endpoints cannot renew their rows during the outage. The rows expire although
    the endpoints are running, and are back about two seconds after it.
    """
    routing_state.apply_rows([row('i1', 1), row('i2', 2)], NOW, source='store')
    routing_state.store_availability.record_failure(due_at=NOW)
    routing_state.apply_rows([row('i1', 3, None), row('i2', 4, None)], NOW + 1, source='store')
    routing_state.apply_rows([row('i1', 5)], NOW + 2, source='store')
    routing_state.expire_grace_periods(NOW + 1 + ROW_EXPIRY_GRACE_S)
    assert set(endpoint_registry.by_id) == {'i1'}


def test_an_endpoint_that_left_is_dropped_at_once(
    routing_state: RoutingState, endpoint_registry: EndpointRegistry
) -> None:
    routing_state.apply_rows([row('i1', 1), row('i2', 2)], NOW, source='store')
    routing_state.apply_rows([row('i1', 3, None)], NOW, source='store')
    routing_state.store_availability.record_failure(due_at=NOW)
    routing_state.apply_rows(
        [row('i2', 4, b'draining'), row('i2', 5, None)], NOW + 1, source='store'
    )
    assert not endpoint_registry.by_id


def test_an_unreadable_row_replaces_a_valid_one(
    routing_state: RoutingState, endpoint_registry: EndpointRegistry
) -> None:
    """Guards against using an endpoint whose row no longer describes it.

    Another writer overwrites the row with undecodable content. If such a row is
    ignored, the last valid one stays in force. This also applies during a store
    outage, when rows expire on their own.
    """
    routing_state.apply_rows([row('i1', 1), row('i2', 2), row('i3', 3)], NOW, source='store')
    routing_state.store_availability.record_failure(due_at=NOW)
    routing_state.apply_rows([row('i1', 4, b'unreadable'), row('i3', 5)], NOW, source='store')
    assert set(endpoint_registry.by_id) == {'i2', 'i3'}
    routing_state.apply_rows([row('i1', 6)], NOW, source='store')
    assert set(endpoint_registry.by_id) == {'i1', 'i2', 'i3'}


def test_a_restarted_endpoint_does_not_inherit_the_state_of_its_id(
    routing_state: RoutingState, endpoint_registry: EndpointRegistry
) -> None:
    """Guards against a cold endpoint that gets its full share and crashes.

    If it inherits the state of its predecessor, it counts as warm, at times as
    ejected or slow, and with requests in flight that ended with the predecessor.
    """
    routing_state.apply_rows([row('i1', 1, b'born 1000')], NOW, source='store')
    before = endpoint_registry.by_id['i1']
    before.in_flight = 3
    before.health.record_unreachable(NOW + 60)
    routing_state.apply_rows([row('i1', 2, b'born 1000')], NOW + 60, source='store')
    assert endpoint_registry.by_id['i1'] is before
    routing_state.apply_rows([row('i1', 3, b'born 2000')], NOW + 61, source='store')
    after = endpoint_registry.by_id['i1']
    assert after.record.incarnation != before.record.incarnation
    assert after.is_cold(NOW + 62) and after.health.is_usable(NOW + 62)
    assert after.in_flight == 0 and not after.is_slow(NOW + 62)


def test_a_configuration_is_never_replaced_by_an_older_one(routing_state: RoutingState) -> None:
    rows = [StoreRow(DECLARATIONS, 'config', at(number), b'%d' % number) for number in (2, 1)]
    routing_state.apply_rows(rows, NOW, source='store')
    assert routing_state.route_table.version == 2


def test_an_instance_that_has_just_started_does_not_hide_earlier_removals_from_peers() -> None:
    """Failure: a peer that was behind skipped the removal and used the endpoint for good."""
    behind, started = RowReplica(), RowReplica()
    behind.merge_listing(ENDPOINTS, RowBatch((row('gone', 1), row('stays', 2)), at(2)))
    started.merge_listing(ENDPOINTS, RowBatch((row('stays', 2), row('new', 4)), at(4)))
    assert not started.is_complete_for(ENDPOINTS, behind.position_by_table[ENDPOINTS])
    behind.merge_listing(ENDPOINTS, started.listing_of(ENDPOINTS), is_from_peer=True)
    assert behind.row_by_key[(ENDPOINTS, 'gone')].content is None
    assert started.is_complete_for(ENDPOINTS, behind.position_by_table[ENDPOINTS])


def test_the_number_of_tombstones_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory use that grows with every endpoint that ever left."""
    monkeypatch.setattr('plantainloft_node.replica.row_replica.MAX_TOMBSTONES', 10)
    rows = RowReplica()
    for number in range(100):
        rows.merge([row(f'i{number}', 2 * number + 1)])
        rows.merge([row(f'i{number}', 2 * number + 2, None)])
    assert len(rows.row_by_key) == 10


def test_a_peer_that_missed_pruned_tombstones_is_sent_whole_tables(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an instance that sends requests to a removed endpoint.

    The instance was partitioned while many endpoints left, and then asks a peer
    that has already pruned the oldest of those tombstones.
    """
    monkeypatch.setattr('plantainloft_node.replica.row_replica.MAX_TOMBSTONES', 2)
    behind, ahead = RowReplica(), RowReplica()
    for copy in (behind, ahead):
        copy.merge([row('gone', 1), row('stays', 2)])
    ahead.merge([row(key, 3 + number, None) for number, key in enumerate(('gone', 'x', 'y'))])
    assert not ahead.is_complete_for(ENDPOINTS, behind.position_by_table[ENDPOINTS])
    listing = RowBatch(tuple(ahead.rows_newer_than({})), ahead.position_by_table[ENDPOINTS])
    fresh = behind.merge_listing(ENDPOINTS, listing)
    assert behind.row_by_key[(ENDPOINTS, 'gone')].content is None
    assert behind.row_by_key[(ENDPOINTS, 'stays')].content is not None
    assert 'gone' in {one.key for one in fresh}
    assert ahead.is_complete_for(ENDPOINTS, behind.position_by_table[ENDPOINTS])
