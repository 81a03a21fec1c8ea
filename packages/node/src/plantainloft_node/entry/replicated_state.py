"""Replicates rows from the store or from peers and derives the routing state from them."""

from collections.abc import Callable
from types import MappingProxyType

from plantainloft_core.store_position import StorePosition
from plantainloft_node.placement.endpoints import EndpointRegistry
from plantainloft_node.replica.routing_state import RoutingState
from plantainloft_node.replica.row_replica import RowReplica
from plantainloft_node.replica.row_updates import RowUpdates
from plantainloft_node.replica.store_rows import DECLARATIONS, ENDPOINTS, TableStore
from plantainloft_node.replica.table_poller import TablePoller

__all__ = ['ReplicatedState']

# Longer availability of the store is reported as this; no decision depends
# on the difference.
MAX_REPORTED_AVAILABILITY_S = 3600.0
# Endpoints change in bursts (a release, the restart of a zone). A pause after
# each answer lets the next poll return several changes at once. It is short
# enough to notice a leaving endpoint well within the 2.5 s for which it keeps
# serving.
POLL_PAUSE_S_BY_TABLE = MappingProxyType({DECLARATIONS: 0.1, ENDPOINTS: 0.8})


def _never() -> bool:
    return False


def _no_delay_s() -> float:
    return 0.0


class ReplicatedState:
    """The local copy of the store's rows, its pollers, and the state derived from it."""

    def __init__(
        self,
        *,
        store: TableStore,
        region_by_zone: dict[str, str],
        long_poll_wait_s: Callable[[], float],
        declarations_wait_s: Callable[[], float] | None = None,
        delegates_polling: Callable[[], bool] = _never,
        relisting_delay_s: Callable[[], float] = _no_delay_s,
    ) -> None:
        """Create an empty copy.

        ``long_poll_wait_s`` returns how long a poll of the store waits for a change, and
        ``declarations_wait_s`` the same for the declarations, if that differs.
        ``delegates_polling`` returns whether relays poll the store for this instance.
        ``relisting_delay_s`` returns how long this instance waits for peers to send a
        table after the store has returned from a copy.
        """
        self._delegates_polling = delegates_polling
        self.store = store
        self.endpoint_registry = EndpointRegistry(region_by_zone=region_by_zone)
        self.rows = RowReplica()
        self.routing_state = RoutingState(
            endpoint_registry=self.endpoint_registry, decode=store.decode
        )
        self.updates = RowUpdates(
            rows=self.rows,
            routing_state=self.routing_state,
            eras=store.eras,
            decode=store.decode,
        )
        wait_s_by_table = {
            DECLARATIONS: declarations_wait_s or long_poll_wait_s,
            ENDPOINTS: long_poll_wait_s,
        }
        self.pollers = {
            table: TablePoller(
                table=table,
                store=store,
                updates=self.updates,
                batch_pause_s=batch_pause_s,
                long_poll_wait_s=wait_s_by_table[table],
                delegates_polling=self.delegates_polling if table == ENDPOINTS else _never,
                relisting_delay_s=relisting_delay_s,
            )
            for table, batch_pause_s in POLL_PAUSE_S_BY_TABLE.items()
        }

    def delegates_polling(self) -> bool:
        """Return whether relays poll the table of endpoints for this instance.

        The instance keeps polling the declarations itself: after one of its own
        calls failed, only an answer to one of its own calls shows when the
        store became available again.
        """
        return self._delegates_polling()

    def polls_successfully(self) -> bool:
        """Return whether this instance polls both tables itself and both polls succeed."""
        pollers = self.pollers.values()
        return not self.delegates_polling() and all(
            one.is_connected and one.has_initial_listing for one in pollers
        )

    def current_positions(self) -> dict[str, StorePosition]:
        """Return the position of each table that was read in the current era."""
        era = self.store.eras.current
        return {
            table: position
            for table, position in self.rows.position_by_table.items()
            if position.era == era
        }

    def update(self, now: float) -> None:
        """Apply what has expired: grace periods of endpoints, and held rows."""
        self.updates.expire(now)
        self.routing_state.expire_grace_periods(now)

    def restart_polls(self) -> None:
        """Restart all polls, whose answers the store may hold back."""
        for poller in self.pollers.values():
            poller.restart_poll()

    def store_available_for_s(self, now: float) -> float | None:
        """Return for how long the store has been available, at most an hour.

        ``None`` while it is not.
        """
        available_for_s = self.routing_state.store_availability.available_for_s(now)
        return (
            None if available_for_s is None else min(available_for_s, MAX_REPORTED_AVAILABILITY_S)
        )
