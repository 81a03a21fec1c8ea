"""Selection of one of a key's candidate endpoints, or refusal of the request.

Endpoints are often out of free slots: briefly on ordinary days, for long
periods under peak load. A request that runs on an endpoint without its object
in the cache takes three times as long, and so do later requests for the same
object that follow it there. It is therefore queued at an endpoint that has the
object cached, as long as the queue is bounded.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from plantainloft_core.routes import Route
from plantainloft_node.placement.answer_prediction import predict_answer
from plantainloft_node.placement.endpoints import EndpointState
from plantainloft_node.placement.route_times import RouteTimes

__all__ = [
    'SPILL_MAX_USED_FRACTION',
    'NoCapacity',
    'PlacementRequest',
    'Selection',
    'earliest_completion',
    'earliest_in_time',
    'full_load',
]

# Requests that may be queued at an endpoint beyond its slots, as a ratio of its
# slots, by priority (0 is the highest). Lower priorities are refused earlier,
# which leaves the rest of the queue to higher ones. With one more queue length,
# the wait would exceed the latency objective.
QUEUE_RATIO_BY_PRIORITY = (1.5, 1.0, 0.5)
# An endpoint without the object in its cache is used instead of the key's
# first choice only while a quarter of its slots is free.
SPILL_MAX_USED_FRACTION = 0.75


class PlacementRequest(NamedTuple):
    """Input of placement for one attempt (the first or a retry) of a request.

    ``tried_endpoint_ids`` holds the ids of the endpoints that were tried before, ``remaining_s``
    is the time remaining until the deadline.
    """

    route: Route
    service: str
    key: str
    tried_endpoint_ids: frozenset[str]
    remaining_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Selection:
    """The selected endpoint, its estimated load and its rank for the key.

    ``limited_ids`` are the endpoints of the key's region that were left out because
    this instance has used its share of the request limit that they name, ``unwilling_ids``
    those that have announced that they want no requests. ``expected_s`` is the time from
    now to the expected end of the answer. ``connection_share`` is the most connections that this
    instance may have to the endpoint, ``None`` for any number.
    """

    endpoint: EndpointState
    load: float
    rank: int
    expected_s: float
    limited_ids: tuple[str, ...] = ()
    unwilling_ids: tuple[str, ...] = ()
    connection_share: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class NoCapacity:
    """No endpoint can take the request now.

    ``load_summary`` lists the ids of the candidate endpoints with their estimated
    numbers of requests. ``retry_after_s`` is the time after which one may have capacity,
    if it is known.
    """

    reason: str
    load_summary: str = ''
    retry_after_s: float | None = None


def _no_setup_s(state: EndpointState) -> float:
    return 0.0


def earliest_completion(
    candidates: Sequence[EndpointState], request: PlacementRequest, now: float
) -> Selection | NoCapacity:
    """Return the one of ``candidates``, in rank order, that should answer first.

    The first in rank is selected unless another one that has the object cached
    is expected to answer sooner. An endpoint without it is selected only if the
    queues of the first and of all that have it cached are full: a request that
    finishes sooner there now slows down the next ones for the same object.
    """
    best: Selection | None = None
    soonest_s = 0.0
    for rank, state in enumerate(candidates):
        load = state.load(now)
        cached = state.recent_keys.contains(request.key, now)
        if load >= _load_limit(state, request.route, now, may_queue=not rank or cached):
            continue
        expected_s = state.expected_s(request.key, load, now)
        if best is None or (cached and expected_s < soonest_s):
            best = Selection(endpoint=state, load=load, rank=rank, expected_s=expected_s)
            soonest_s = expected_s
    if best is None:
        return NoCapacity(
            reason='every endpoint is full', load_summary=_format_loads(candidates, now)
        )
    # A request queued with too little time left is abandoned in the queue or
    # while it runs. Its caller would wait for the whole timeout without learning
    # whether the request ran, and a slot would be wasted on it.
    queue_s = _queue_s(best.endpoint, best.load)
    if queue_s and queue_s + best.endpoint.service_latency.mean_s > request.remaining_s:
        return NoCapacity(
            reason='no endpoint answers in time', load_summary=_format_loads(candidates, now)
        )
    return best


def earliest_in_time(
    candidates: Sequence[EndpointState],
    request: PlacementRequest,
    now: float,
    *,
    setup_s: Callable[[EndpointState], float] = _no_setup_s,
) -> Selection | NoCapacity:
    """Return the one of ``candidates`` that should answer first, if it is within the time left.

    For overload control: a request that would be running or queued when its time is over is
    refused at once instead. Before any answer of the service was measured, nothing is known
    about that and none is refused for it.

    An endpoint that is not likely to have the object cached has to have free slots, and to
    be sooner by the time for which the extra work delays other requests there. ``setup_s`` is
    the time until a connection to an endpoint is ready.
    """
    best: Selection | None = None
    lowest_cost_s = 0.0
    reason = 'every endpoint is full'
    for rank, state in enumerate(candidates):
        load = state.load(now)
        predicted = predict_answer(state, request.route.name, request.key, load, now)
        # Of the key's first choice other instances have probably asked for the object.
        is_home = not rank or predicted.cached
        if load >= _load_limit(state, request.route, now, may_queue=is_home):
            continue
        expected_s = predicted.expected_s + setup_s(state)
        cost_s = expected_s
        if not is_home:
            cost_s += predicted.displaced_s
        worst_s = max(cost_s, _queue_s(state, load) + predicted.own_s)
        is_too_late = predicted.is_measured and worst_s > request.remaining_s
        if is_too_late and _route_times(state, request).allows_refusal():
            reason = 'no endpoint answers in time'
        elif best is None or cost_s < lowest_cost_s:
            lowest_cost_s = cost_s
            best = Selection(endpoint=state, load=load, rank=rank, expected_s=expected_s)
    if best is None:
        return NoCapacity(reason=reason, load_summary=_format_loads(candidates, now))
    _route_times(best.endpoint, request).record_selected()
    return best


def full_load(state: EndpointState) -> float:
    """Return the load at which ``state`` gets no requests of any priority."""
    return state.record.slots * (1 + max(QUEUE_RATIO_BY_PRIORITY))


def _route_times(state: EndpointState, request: PlacementRequest) -> RouteTimes:
    return state.processing.routes.of(request.route.name)


def _queue_s(state: EndpointState, load: float) -> float:
    """Return how long a request waits for a slot, if all that run have only just started.

    The load of an endpoint that queues is known from old reports and was twice the estimate
    in simulations, so the time in its queue is bounded by the worst case.
    """
    if load < state.record.slots:
        return 0.0
    return load / state.record.slots * state.service_latency.mean_s


def _load_limit(state: EndpointState, route: Route, now: float, *, may_queue: bool) -> float:
    """Return the load at which ``state`` gets no more requests of ``route``."""
    if not may_queue:
        return state.record.slots * SPILL_MAX_USED_FRACTION
    queue_ratio = QUEUE_RATIO_BY_PRIORITY[min(route.priority, len(QUEUE_RATIO_BY_PRIORITY) - 1)]
    return state.record.slots * (1 + queue_ratio * state.announced.queue_share(now))


def _format_loads(candidates: Sequence[EndpointState], now: float) -> str:
    return ', '.join(f'{state.record.id} {state.load(now):.1f}' for state in candidates)
