"""Which requests of a caller's connection are still accepted."""

__all__ = ['ConnectionState']


class ConnectionState:
    """Open, closing after request n, or closed.

    Requests are numbered from 1 in the order in which they arrive. Once an answer has said
    that the connection closes after it, the caller sends the requests behind it again
    elsewhere, so none of them is accepted.
    """

    def __init__(self) -> None:
        self._accepted = 0
        self._close_wanted = False
        # The last request that is answered, once that is decided; 0 closes at once.
        self._last: int | None = None

    @property
    def accepts_requests(self) -> bool:
        """Whether another request may be accepted."""
        return self._last is None

    def accept(self) -> int:
        """Accept a request and return its number."""
        self._accepted += 1
        if self._close_wanted:
            self.close_after_accepted()
        return self._accepted

    def request_close(self) -> None:
        """Close after the next response that can announce it.

        It is the response to the last open request, if it has not started when the others
        have been sent, or else that to the next request.
        """
        self._close_wanted = True

    def close_after_accepted(self) -> None:
        """Accept no more requests: close after the answers to those that are accepted."""
        if self._last is None:
            self._last = self._accepted

    def starts_last_response(self, number: int) -> bool:
        """Decide when the answer to request ``number`` starts; return whether it is the last."""
        if self._close_wanted and number == self._accepted:
            self.close_after_accepted()
        return number == self._last

    def closes_after(self, number: int) -> bool:
        """Return whether the connection closes after the answer to request ``number``."""
        return number == self._last
