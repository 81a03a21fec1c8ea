"""Decodes what the head of a response says about the endpoint that sent it."""

import time
from http import HTTPStatus
from typing import NamedTuple

from plantainloft_node.endpoint_signals.retry_after import (
    MAX_REST_S,
    MAX_SHOWN_BYTES,
    InvalidRetryAfterError,
    parse_retry_after,
)
from plantainloft_node.engine.header_names import HeaderNames
from plantainloft_node.engine.headers import Headers, find_all_headers, find_header

__all__ = ['NO_SIGNALS', 'EndpointSignals', 'decode_signals']

# Statuses from which a caller may conclude that its request did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_RETRY_AFTER = frozenset((b'retry-after',))
_LEAVES = b'1'
_STAYS = b'0'
# Running and waiting requests, slots, and in newer endpoints the work time in percent.
_LOAD_FIGURE_COUNTS = (3, 4)
_BUSY_FIGURES = 3
_MAX_FIGURE_DIGITS = 9
_PERCENT = 100
# A higher percentage is taken for a mistake: no request would be answered in time.
_MAX_WORK_PERCENTAGE = 10000


class EndpointSignals(NamedTuple):
    """What a response says about its endpoint rather than about the request.

    ``is_misdirected``: another incarnation than the one addressed has answered, so that
    nothing else is known. ``not_run``: the endpoint says that it did not run the request.
    ``claims_not_run``: the status alone says so. ``leaves``: it takes no new requests from
    now on and will end. ``rest_s`` is the time in seconds for which it wants no requests
    from this instance. ``busy`` is its number of running and waiting requests, and
    ``work_factor`` is how long work takes on its machine now (1.0 is as usual), both ``None``
    if not reported. ``request_limits`` are the values of its limit headers, and
    ``is_complete`` is set if their absence shows that the endpoint names no limit.
    ``problems`` describes values that were ignored or capped.
    """

    is_misdirected: bool = False
    not_run: bool = False
    claims_not_run: bool = False
    leaves: bool = False
    rest_s: float = 0.0
    busy: int | None = None
    work_factor: float | None = None
    request_limits: tuple[bytes, ...] = ()
    is_complete: bool = False
    problems: tuple[str, ...] = ()


NO_SIGNALS = EndpointSignals()


def decode_signals(status: int, headers: Headers, names: HeaderNames) -> EndpointSignals:
    """Return the signals in the head of a response; never raises."""
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return EndpointSignals(is_misdirected=True, not_run=True, claims_not_run=True)
    not_run = find_header(headers, names.not_run) is not None
    claims_not_run = status in _NOT_RUN_STATUSES
    leaves, leaving_problems = _decode_leaving(headers, names)
    rest_s, rest_problems = _decode_rest(status, headers)
    load = _decode_load(headers, names)
    return EndpointSignals(
        not_run=not_run,
        claims_not_run=claims_not_run,
        leaves=leaves,
        rest_s=rest_s,
        busy=load.busy,
        work_factor=load.work_factor,
        request_limits=tuple(find_all_headers(headers, names.request_limit)),
        # A refusal or failure may come from a part of the endpoint that doesn't know
        # its limit.
        is_complete=not (not_run or claims_not_run or status >= HTTPStatus.INTERNAL_SERVER_ERROR),
        problems=(*leaving_problems, *rest_problems, *load.problems),
    )


def _decode_leaving(headers: Headers, names: HeaderNames) -> tuple[bool, tuple[str, ...]]:
    stripped = {text.strip() for text in find_all_headers(headers, names.leaving)}
    unknown = sorted(stripped - {_LEAVES, _STAYS})
    return _LEAVES in stripped, tuple(
        f'unknown leaving value {text[:MAX_SHOWN_BYTES]!r}' for text in unknown
    )


def _decode_rest(status: int, headers: Headers) -> tuple[float, tuple[str, ...]]:
    # A 429 is about the caller of the request, not about the endpoint.
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0.0, ()
    date = find_header(headers, b'date')
    problems: list[str] = []
    rest_s = 0.0
    for header_value in find_all_headers(headers, _RETRY_AFTER):
        try:
            named_s = parse_retry_after(header_value, date=date, unix_time_s=time.time())
        except InvalidRetryAfterError as exc:
            problems.append(f'invalid Retry-After: {exc}')
            continue
        if named_s > MAX_REST_S:
            problems.append(f'Retry-After of {named_s:g} s, capped at {MAX_REST_S:g} s')
        rest_s = max(rest_s, min(named_s, MAX_REST_S))
    return rest_s, tuple(problems)


class _ReportedLoad(NamedTuple):
    busy: int | None = None
    work_factor: float | None = None
    problems: tuple[str, ...] = ()


def _decode_load(headers: Headers, names: HeaderNames) -> _ReportedLoad:
    """Decode the running, waiting and possible requests, and the percentage of usual work time.

    Only some endpoints report the percentage.
    """
    reported = find_header(headers, names.load_report)
    if reported is None:
        return _ReportedLoad()
    figures = [_decode_figure(figure) for figure in reported.split(b',')]
    busy = [figure for figure in figures[:_BUSY_FIGURES] if figure is not None]
    if len(figures) not in _LOAD_FIGURE_COUNTS or len(busy) < _BUSY_FIGURES:
        return _ReportedLoad(problems=(f'invalid load {reported[:MAX_SHOWN_BYTES]!r}',))
    if len(figures) == _LOAD_FIGURE_COUNTS[0]:
        return _ReportedLoad(busy=busy[0] + busy[1])
    percentage = figures[-1]
    if percentage is None or not 0 < percentage <= _MAX_WORK_PERCENTAGE:
        # The counts of requests hold all the same.
        problem = f'invalid work time in load {reported[:MAX_SHOWN_BYTES]!r}'
        return _ReportedLoad(busy=busy[0] + busy[1], problems=(problem,))
    return _ReportedLoad(busy=busy[0] + busy[1], work_factor=percentage / _PERCENT)


def _decode_figure(figure: bytes) -> int | None:
    stripped = figure.strip()
    return int(stripped) if stripped.isdigit() and len(stripped) <= _MAX_FIGURE_DIGITS else None
