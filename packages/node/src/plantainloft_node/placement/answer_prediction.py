"""Prediction of when an endpoint answers a request, for overload control."""

import math
from typing import NamedTuple

from plantainloft_node.placement.endpoints import EndpointState

__all__ = ['AnswerPrediction', 'predict_answer']


# The part of the time of work on an uncached object that a cached one saves.
EXTRA_WORK_FRACTION = 0.67
# Weight of the delay of others. Reported loads are about half of what a request meets in
# simulations, and the delay grows with about the third power of it. With a weight of 4, fewer
# requests are within their objectives than with one candidate.
DISPLACEMENT_WEIGHT = 32.0


class AnswerPrediction(NamedTuple):
    """When an endpoint is expected to answer a request that is sent now.

    ``own_s`` is the work on the request itself. ``displaced_s`` is the time by which the
    additional work on an uncached object delays others, all together. ``cached``: the endpoint
    is likely to have the object cached. Unless ``is_measured``, no answer of the service is
    known and ``expected_s`` is a guess.
    """

    expected_s: float
    own_s: float
    displaced_s: float
    cached: bool
    is_measured: bool


def predict_answer(
    state: EndpointState, route: str, key: str, load: float, now: float
) -> AnswerPrediction:
    """Return the prediction for ``key`` at the given ``load``, slow starts included.

    The requests ahead may be of any route of the service; the work on the request itself is
    that of its ``route``.
    """
    cached = state.recent_keys.contains(key, now)
    processing = state.processing
    typical_s = processing.expected_s(cached=cached)
    own_s = typical_s
    if processing.is_measured:
        own_s = processing.routes.of(route).expected_s(cached=cached, typical_s=typical_s)
    factor = state.work_factor.current(now)
    # The service's expected time includes typical work in place of that of the route.
    expected_s = state.expected_s(key, load, now) + (own_s - typical_s) * factor
    if state.is_cold(now):
        own_fraction = min(1.0, own_s / typical_s) if typical_s > 0 else 1.0
        expected_s += _additional_cold_s(state, load, own_fraction, now)
    return AnswerPrediction(
        expected_s=expected_s,
        own_s=own_s * factor,
        displaced_s=_displaced_s(state),
        cached=cached,
        is_measured=processing.is_measured,
    )


def _additional_cold_s(state: EndpointState, load: float, own_fraction: float, now: float) -> float:
    """Return how much longer a request takes because it and those ahead of it are slow.

    ``own_fraction`` is its own work in relation to that of a typical request.
    """
    slots = state.record.slots
    rounds = own_fraction + max(0.0, load + 1 - slots) / slots
    processing = state.processing
    additional_s = processing.expected_cold_s() - processing.expected_s(cached=False)
    return rounds * additional_s * state.work_factor.current(now)


def _displaced_s(state: EndpointState) -> float:
    """Return by how much the additional work on an uncached object delays other requests.

    The delay grows with the power of the load per slot by which the queue of an endpoint with
    that many slots grows (Sakasegawa's approximation): little as long as slots are free.
    """
    exponent = math.sqrt(2 * (state.record.slots + 1))
    busy = math.pow(state.processing.usual_load.per_slot, exponent)
    extra_work_s = EXTRA_WORK_FRACTION * state.processing.expected_s(cached=False)
    return DISPLACEMENT_WEIGHT * busy * extra_work_s
