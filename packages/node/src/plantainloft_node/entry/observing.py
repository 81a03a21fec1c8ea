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
# Longer ago makes no difference to anybody.
LONG_SERVED_S = 3600.0
PAUSE_BY_TABLE = MappingProxyType({DECLARATIONS: 0.1, ENDPOINTS: 0.8})


def _never() -> bool:
    return False


class Observation:
    """The copy of the rows, those who keep it, and what follows from it."""

    def __init__(
        self,
        *,
        store: NewsStore,
        region_by_zone: dict[str, str],
        wait_s: Callable[[], float],
        rests: Callable[[], bool] = _never,
    ) -> None:
        """``wait_s`` returns how long a poll of the store waits for a change.

        ``rests`` returns whether others follow the store for this instance.
        """
        self._others_follow = rests
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
                rests=self.rests if table == ENDPOINTS else _never,
            )
            for table, pause_s in PAUSE_BY_TABLE.items()
        }

    def rests(self) -> bool:
        """Return whether others follow the endpoints' table for this instance.

        It goes on polling the declarations; only an answer of its own shows
        after a failure of its own when the store was back.
        """
        return self._others_follow()

    def follows(self) -> bool:
        """Return whether this instance follows both tables and is in touch."""
        followers = self.followers.values()
        return not self.rests() and all(one.in_touch and one.has_listed for one in followers)

    def store_served_s(self, now: float) -> float | None:
        """Return for how long the store has served, an hour at most."""
        served_s = self.beliefs.store.served_s(now)
        return None if served_s is None else min(served_s, LONG_SERVED_S)
