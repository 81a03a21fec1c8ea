"""Positions in a store that may return from an older copy of its rows.

A store counts its writes: each row has the version at which it was written. When
the store returns from an older copy, versions go back and are given out again to other
writes. The store then names another era in its answers. Versions of one era are
ordered; versions of different eras are not, so code compares positions only with the
methods of ``StorePosition``.
"""

from collections.abc import Iterable
from typing import NamedTuple, NoReturn

__all__ = ['UNKNOWN_ERA', 'StorePosition', 'latest_position']

# The era of a store that names none.
UNKNOWN_ERA = -1
NO_ORDER = 'positions are compared by StorePosition.supersedes'


class StorePosition(NamedTuple):
    """A version of the store, and the era in which it was given out."""

    era: int
    version: int

    def supersedes(self, known: 'StorePosition | None') -> bool:
        """Return whether a reader at ``known`` has not read this position yet.

        What a store holds in a later era replaces all that it held before, whatever
        the versions are.
        """
        if known is None or self.era > known.era:
            return True
        return self.era == known.era and self.version > known.version

    def is_in_era_of(self, other: 'StorePosition | None') -> bool:
        """Return whether the versions of both positions have an order."""
        return other is not None and self.era == other.era

    def __lt__(self, other: object) -> NoReturn:
        """Reject the order of tuples, which compares versions of different eras."""
        raise TypeError(NO_ORDER)

    def __le__(self, other: object) -> NoReturn:
        """Reject the order of tuples."""
        raise TypeError(NO_ORDER)

    def __gt__(self, other: object) -> NoReturn:
        """Reject the order of tuples."""
        raise TypeError(NO_ORDER)

    def __ge__(self, other: object) -> NoReturn:
        """Reject the order of tuples."""
        raise TypeError(NO_ORDER)


def latest_position(positions: Iterable[StorePosition | None]) -> StorePosition | None:
    """Return the position that supersedes all others; ``None`` if there is none."""
    latest: StorePosition | None = None
    for position in positions:
        if position is not None and position.supersedes(latest):
            latest = position
    return latest
