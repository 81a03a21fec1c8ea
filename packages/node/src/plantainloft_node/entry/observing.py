"""The observe stage: rows from the store or peers become beliefs."""

from collections.abc import Callable
from types import MappingProxyType

from plantainloft_node.placing.endpoints import EndpointBook
from plantainloft_node.replica.beliefs import Beliefs
from plantainloft_node.replica.follower import TableFollower
from plantainloft_node.replica.news import DECLARATIONS, ENDPOINTS, NewsStore
from plantainloft_node.replica.rows import RowCopy

__all__ = ['Observation']

# Changes of endpoints come in bursts (a release, a zone that restarts).
# A pause after each answer takes several with the next call; an endpoint
# that leaves is heeded well within the 2.5 s that it goes on serving.
PAUSE_BY_TABLE = MappingProxyType({DECLARATIONS: 0.1, ENDPOINTS: 0.8})


class Observation:
    """The copy of the rows, those who keep it, and what follows from it."""

    def __init__(
        self,
        *,
        store: NewsStore,
        region_by_zone: dict[str, str],
        wait_s: Callable[[], float],
    ) -> None:
        """``wait_s`` returns how long a poll of the store waits for a change."""
        self.store = store
        self.book = EndpointBook(region_by_zone=region_by_zone)
        self.rows = RowCopy()
        self.beliefs = Beliefs(book=self.book, decode=store.decode)
        self.followers = {
            table: TableFollower(
                table=table,
                store=store,
                rows=self.rows,
                beliefs=self.beliefs,
                pause_s=pause_s,
                wait_s=wait_s,
            )
            for table, pause_s in PAUSE_BY_TABLE.items()
        }
