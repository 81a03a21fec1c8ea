"""Why a connection of a caller ended."""

from enum import Enum

__all__ = ['ConnectionEnd']


class ConnectionEnd(Enum):
    """Who or what ended a connection, and with it the requests that are still open on it."""

    CALLER = 'caller'
    # An answer said that the connection closes after it.
    ANSWER = 'answer'
    # An answer could not be completed.
    BROKEN_ANSWER = 'broken_answer'
    # It had no open request.
    IDLE = 'idle'
    STALLED = 'stalled'
    PROCESS = 'process'
