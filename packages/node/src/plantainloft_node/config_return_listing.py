"""Lists for operators which commits a return of the table from a copy has lost."""

from plantainloft_core.versions import Change
from plantainloft_node.config_follower import ConfigFollower
from plantainloft_node.replica.return_listing import HeldRowEntry, StoreReturnEntry

__all__ = ['list_node_return']

TABLE = 'config'


def list_node_return(follower: ConfigFollower, now: float) -> StoreReturnEntry:
    """Return the state of a node: changes that it holds, and how many it has restored or lost."""
    eras = follower.eras
    last_return = eras.last_return
    reconciler = follower.reconciler
    return StoreReturnEntry(
        era=eras.current,
        returns=eras.return_count,
        returned_s_ago=None if last_return is None else round(now - last_return.noticed_at, 1),
        copy_age_s=None,
        rows_held=[_entry(change, follower) for change in reconciler.held_changes()],
        rows_written_again=len(reconciler.restored),
        rows_given_up=len(reconciler.lost),
    )


def _entry(change: Change, follower: ConfigFollower) -> HeldRowEntry:
    return HeldRowEntry(
        table=TABLE,
        row=f'version {change.number} by {change.author}',
        era=follower.position().era,
        version=change.number,
        is_removed=False,
        reason=f'change {change.change_id} is missing in the table',
        ends_in_s=None,
    )
