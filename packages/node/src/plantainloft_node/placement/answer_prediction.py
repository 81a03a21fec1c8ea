"""Prediction of when an endpoint answers a request, for overload control."""

from typing import NamedTuple

from plantainloft_node.placement.endpoints import EndpointState

__all__ = ['AnswerPrediction', 'predict_answer']


class AnswerPrediction(NamedTuple):
    """When an endpoint is expected to answer a request that is sent now.

    ``cached``: the endpoint is likely to have the object cached. Unless ``is_measured``,
    no answer of the service is known and ``expected_s`` is a guess.
    """

    expected_s: float
    cached: bool
    is_measured: bool


def predict_answer(state: EndpointState, key: str, load: float, now: float) -> AnswerPrediction:
    """Return the prediction for ``key`` at the given ``load``, slow starts included."""
    expected_s = state.expected_s(key, load, now)
    if state.is_cold(now):
        expected_s = max(expected_s, _expected_cold_s(state, load, now))
    return AnswerPrediction(
        expected_s=expected_s,
        cached=state.recent_keys.contains(key, now),
        is_measured=state.processing.is_measured,
    )


def _expected_cold_s(state: EndpointState, load: float, now: float) -> float:
    """Return the expected answer time if the requests ahead are slow, too."""
    slots = state.record.slots
    rounds = 1 + max(0.0, load + 1 - slots) / slots
    work_s = rounds * state.processing.expected_cold_s() * state.work_factor.current(now)
    return state.round_trips.round_trip_s(state.record.zone) + work_s
