"""Faults that a stand-in simulates, set over its HTTP API."""

from typing import NamedTuple

__all__ = ['FAULT_MODES', 'Faults']

FAULT_MODES = frozenset(('normal', 'slow', 'down', 'lose_answer'))


class Faults(NamedTuple):
    """The current fault: ``mode`` and, for ``slow``, a delay in seconds."""

    mode: str = 'normal'
    delay_s: float = 0.0
