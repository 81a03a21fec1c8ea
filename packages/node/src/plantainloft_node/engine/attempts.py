"""The attempts made for one request: where it was sent, and what each attempt proves."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from plantainloft_node.endpoint_signals.signals import NO_SIGNALS, EndpointSignals
from plantainloft_node.engine.upstream_connection import (
    ResponseHead,
    TunnelPath,
    UpstreamConnection,
)
from plantainloft_node.overload.admission import CallerRequest
from plantainloft_node.quarantine.crash_detector import EndpointAttempt

__all__ = [
    'AdmissionRecord',
    'Answered',
    'AttemptOutcome',
    'Attempts',
    'Failed',
    'NotRun',
    'NotSent',
    'PlacementDetails',
    'Refusal',
    'RequestContext',
]


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The endpoint's response: its head and the first part of its body.

    ``body_source`` is the connection from which the rest of the body is still to
    be read; ``None`` when ``body`` is complete. ``path`` is the way through a peer, if the
    request went through one.
    """

    endpoint_id: str
    head: ResponseHead
    signals: EndpointSignals
    body: bytes
    body_source: UpstreamConnection | None
    path: TunnelPath | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """No byte of the request left this instance.

    ``withdrawn``: the endpoint is reachable, but announced in the meantime that it wants
    no requests. ``timed_out``: a connection was not opened in time. ``own_path``: this
    instance has no way to the endpoint, which may be sound.
    """

    reason: str
    withdrawn: bool = False
    timed_out: bool = False
    own_path: bool = False

    @property
    def blames_endpoint(self) -> bool:
        """Whether it counts as a failure of the endpoint."""
        return not self.withdrawn and not self.own_path


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """The endpoint itself reported that it did not run the request.

    ``signals`` is what its response says besides, ``path`` the way through a peer, if any.
    """

    reason: str
    signals: EndpointSignals = NO_SIGNALS
    path: TunnelPath | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The request may have run, but no complete response was received.

    ``connection_lost``: the connection to the endpoint ended before the response did.
    ``signals`` is what the response says if there was one that must not be forwarded,
    ``path`` the way through a peer, if any.
    """

    reason: str
    connection_lost: bool = False
    signals: EndpointSignals = NO_SIGNALS
    path: TunnelPath | None = None


AttemptOutcome = Answered | NotSent | NotRun | Failed


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The request did not run and will not; the caller may retry later.

    ``is_promised``: room is reserved for its return in ``retry_after_s``.
    """

    reason: str
    retry_after_s: float
    is_promised: bool = False


class PlacementDetails(NamedTuple):
    """Where the latest attempt went, and this instance's view of that endpoint.

    ``load`` is the estimated number of requests at the endpoint, ``rank`` is 0 for
    the first choice of the affinity key, ``served_key_recently`` tells whether the
    endpoint recently served that key, ``cold`` whether the rate limit of cold
    endpoints applied to it, and ``delay_s`` is the time from receiving the request to
    sending it. ``limited_endpoint_ids`` are the endpoints that were left out because of
    the request limits that they name, ``unwilling_endpoint_ids`` those left out since they
    have announced that they want no requests.
    """

    endpoint_id: str
    zone: str
    region: str
    slots: int
    load: float
    rank: int
    cold: bool
    served_key_recently: bool
    delay_s: float
    limited_endpoint_ids: tuple[str, ...] = ()
    unwilling_endpoint_ids: tuple[str, ...] = ()


class RequestContext(NamedTuple):
    """The inputs that decide about a request, fixed from start to end.

    ``affinity_key`` identifies the object that the request is about, ``version``
    is that of the configuration, and ``organisation`` is the name of the caller's
    organisation, empty where none is required.
    """

    affinity_key: str
    version: int
    organisation: str = ''


@dataclass(slots=True)
class AdmissionRecord:
    """What admission control knows of a request and has decided about it.

    ``request`` is ``None`` if the request is not controlled. ``rejected_for`` is why it was
    rejected, empty if it was not. ``has_promise``: its caller returned on a promise.
    ``admitted_rank`` is the rank with which it was admitted, if it was.
    """

    request: CallerRequest | None = None
    rejected_for: str = ''
    has_promise: bool = False
    admitted_rank: int | None = None


class Attempts:
    """Records which endpoints a request was sent to, and how each attempt ended."""

    def __init__(self, *, context: RequestContext) -> None:
        self.context = context
        self.tried_endpoint_ids: set[str] = set()
        self.attempt_count = 0
        self.sent_count = 0
        self.connect_failures = 0
        self.misdirected_count = 0
        # Set from the first byte that an attempt sends until its outcome, and permanently
        # once one may have run.
        self.may_have_run = False
        self._withheld_reason = ''
        self._admission = AdmissionRecord()
        self._has_unsent_retry = False
        self._failure_reasons: list[str] = []
        # The endpoint that is processing the request now, if any.
        self.current_endpoint_id = ''
        # The endpoints considered before a refusal, with their estimated loads.
        self.candidate_loads = ''
        self.placement: PlacementDetails | None = None
        # The way through a peer that the latest attempt took, if any.
        self.path: TunnelPath | None = None
        # The attempt whose response is still being streamed to the caller.
        self.streamed_attempt: EndpointAttempt | None = None

    def record_send(self) -> None:
        """Record that the first byte of the current attempt is about to be sent."""
        self.may_have_run = True
        self._has_unsent_retry = False

    def record(
        self, endpoint_id: str, outcome: AttemptOutcome, *, may_have_run_before: bool
    ) -> None:
        """Record the outcome of one attempt at ``endpoint_id``.

        ``may_have_run_before``: an earlier attempt may have run, whatever this one did.
        """
        self.tried_endpoint_ids.add(endpoint_id)
        self.current_endpoint_id = ''
        self.attempt_count += 1
        self.path = None if isinstance(outcome, NotSent) else outcome.path
        if isinstance(outcome, NotSent):
            if not outcome.withdrawn:
                self.connect_failures += 1
        elif isinstance(outcome, NotRun) and outcome.signals.is_misdirected:
            self.misdirected_count += 1
        else:
            self.sent_count += 1
        self.may_have_run = may_have_run_before or isinstance(outcome, Answered | Failed)
        if not isinstance(outcome, Answered):
            self._failure_reasons.append(f'{endpoint_id}: {outcome.reason}')

    def record_granted_retry(self) -> None:
        """Record that the request may be sent once more."""
        self._has_unsent_retry = True

    @property
    def admission(self) -> AdmissionRecord:
        """What admission control knows of the request and has decided about it."""
        return self._admission

    @property
    def has_unsent_retry(self) -> bool:
        """Whether a retry was granted and no byte of it was sent."""
        return self._has_unsent_retry

    def record_withheld_retry(self, reason: str) -> None:
        """Record why a retry that was possible otherwise was not sent."""
        self._withheld_reason = reason

    @property
    def withheld_reason(self) -> str:
        """Why the request was not sent again: ``budget``, ``attempts`` or empty."""
        return self._withheld_reason

    def failure_reasons(self) -> Sequence[str]:
        """Return the reason for each failed attempt, in order."""
        return tuple(self._failure_reasons)
