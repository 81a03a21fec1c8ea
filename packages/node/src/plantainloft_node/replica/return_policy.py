"""Decides which rows to believe after the store has returned from an older copy.

Until they are written again, the copy lacks what was written last: endpoints that left
are listed as ready, evacuated zones are in use, the configuration is an older one.
An instance does not go back behind what it has acted on, but it does not hold on to what
was lost for ever either. Contents have an order of their own that outlives the store:
the version of a configuration, the sequence number and state of an endpoint. Evacuations
have none, so their rows are held for a limited time.
"""

from collections.abc import Callable
from dataclasses import dataclass

from plantainloft_core.outcomes import Invalid
from plantainloft_node.replica.store_rows import (
    Change,
    EndpointGone,
    EndpointListed,
    EndpointUnreadable,
    RoutesDeclared,
    ZoneEvacuation,
)

__all__ = ['Believe', 'Content', 'Decision', 'Hold', 'decide_after_return']

# Operators write again what the copy lacks, in the order of their versions.
CONFIG_REWRITE_S = 30.0
# An evacuation that the copy lacks: long enough to write it again by hand.
EVACUATION_REWRITE_S = 15.0
# An evacuation that was taken back before the return, or was requested right after it,
# which binds 5 s after its confirmation.
EVACUATION_DELAY_S = 3.0
# The platform removes the row of a silent endpoint after three heartbeats, 4.5 s. A row
# that lasts longer is written by an endpoint that is alive.
ENDPOINT_REWRITE_S = 10.0

Content = Change | Invalid | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Believe:
    """The row of the store takes effect."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """The row of before the return stays in effect, at most ``for_s`` seconds.

    ``None``: until the store has a row that is believed. The time counts from the return,
    or from the row that the store has got since if ``is_since_return`` is false.
    """

    for_s: float | None
    reason: str
    is_since_return: bool = True


Decision = Believe | Hold
_BELIEVE = Believe()


def decide_after_return(held: Content, stored: Content, *, written_after_return: bool) -> Decision:
    """Decide between the content in effect and the one that the returned store has.

    ``held`` and ``stored`` are decoded from rows of the same key; the decoded form of a
    removed row says so. ``written_after_return``: the row cannot come from the copy.
    """
    for held_type, decide in _RULES:
        if isinstance(held, held_type):
            return decide(held, stored, written_after_return)
    return _BELIEVE


def _decide_routes(held: RoutesDeclared, stored: Content, is_new: bool) -> Decision:
    if not isinstance(stored, RoutesDeclared):
        return Hold(for_s=None, reason='the store has no valid configuration')
    if stored.table.version >= held.table.version:
        return _BELIEVE
    # Operators may write several versions again, one after the other.
    return Hold(
        for_s=CONFIG_REWRITE_S if is_new else None,
        reason=f'the store has version {stored.table.version}',
        is_since_return=False,
    )


def _decide_evacuation(held: ZoneEvacuation, stored: Content, is_new: bool) -> Decision:
    is_same = isinstance(stored, ZoneEvacuation) and stored.evacuated == held.evacuated
    if is_same or is_new:
        return _BELIEVE
    if held.evacuated:
        return Hold(for_s=EVACUATION_REWRITE_S, reason='the copy lacks the evacuation')
    return Hold(for_s=EVACUATION_DELAY_S, reason='the copy has an evacuation that was taken back')


def _decide_listed(held: EndpointListed, stored: Content, is_new: bool) -> Decision:
    if not isinstance(stored, EndpointListed) or stored.record.draining:
        # A row that the copy lacks is handled like one that expired in an outage.
        return _BELIEVE
    is_newer = stored.record.seq > held.record.seq or not _is_same_endpoint(held, stored)
    if is_newer and is_new:
        return _BELIEVE
    if not held.record.draining and stored.record.seq >= held.record.seq:
        return _BELIEVE
    return Hold(for_s=ENDPOINT_REWRITE_S, reason='the copy has an older state of the endpoint')


def _decide_gone(
    held: EndpointGone | EndpointUnreadable, stored: Content, is_new: bool
) -> Decision:
    if is_new or not isinstance(stored, EndpointListed):
        return _BELIEVE
    return Hold(for_s=ENDPOINT_REWRITE_S, reason='the endpoint left after the copy was taken')


def _is_same_endpoint(held: EndpointListed, stored: EndpointListed) -> bool:
    return held.record.incarnation == stored.record.incarnation


_Rule = Callable[..., Decision]
_RULES: tuple[tuple[type, _Rule], ...] = (
    (RoutesDeclared, _decide_routes),
    (ZoneEvacuation, _decide_evacuation),
    (EndpointListed, _decide_listed),
    (EndpointGone, _decide_gone),
    (EndpointUnreadable, _decide_gone),
)
