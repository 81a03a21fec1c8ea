"""Signs of life of other instances, heard from them or told by others."""

from typing import NamedTuple

__all__ = ['Sign', 'SignBook']


class Sign(NamedTuple):
    """The newest sign of an instance, in seconds of this instance's clock.

    ``follows``: it follows the store and is in touch with it.

    ``at``: when somebody heard it; ``until``: taken for up till then;
    ``since``: up without a gap from then on.
    """

    ready: bool
    leaving: bool
    follows: bool
    at: float
    until: float
    since: float


class SignBook:
    """The newest sign of each instance; older ones never replace newer."""

    def __init__(self) -> None:
        self._sign_by_name: dict[str, Sign] = {}

    def note(self, name: str, told: Sign, now: float) -> bool:
        """Take a sign; return whether ``name`` was not up before."""
        before = self._sign_by_name.get(name)
        if before is None:
            self._sign_by_name[name] = told
            return True
        was_up = now < before.until
        newest = told if told.at >= before.at else before
        self._sign_by_name[name] = newest._replace(
            # Nobody who leaves stays after all. Told by two at once, the one
            # that has not heard of it yet would bring callers back.
            leaving=told.leaving or before.leaving,
            until=max(told.until, before.until),
            since=before.since if was_up else told.at,
        )
        return not was_up

    def drop(self, name: str) -> None:
        """Forget the signs of ``name``: it is gone, or has started again."""
        self._sign_by_name.pop(name, None)

    def get(self, name: str) -> Sign | None:
        """Return the newest sign of ``name``, however old."""
        return self._sign_by_name.get(name)

    def is_up(self, name: str, now: float) -> bool:
        """Return whether ``name`` is up."""
        sign = self._sign_by_name.get(name)
        return sign is not None and now < sign.until

    def is_leaving(self, name: str) -> bool:
        """Return whether ``name`` has said that it leaves."""
        sign = self._sign_by_name.get(name)
        return sign is not None and sign.leaving

    def is_staying(self, name: str) -> bool:
        """Return whether ``name`` was last ready and does not leave."""
        sign = self._sign_by_name.get(name)
        return sign is not None and sign.ready and not sign.leaving

    def is_following(self, name: str) -> bool:
        """Return whether ``name`` was last in touch with the store."""
        sign = self._sign_by_name.get(name)
        return sign is not None and sign.follows

    def up_for_s(self, name: str, now: float) -> float:
        """Return for how long ``name`` has been up without a gap."""
        sign = self._sign_by_name.get(name)
        return now - sign.since if sign is not None and now < sign.until else 0.0
