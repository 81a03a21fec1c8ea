"""Merge the log lines of several instances into the timeline of one request."""

import json
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

__all__ = ['explain_request', 'parse_log_lines']

# Kinds of log lines that show what an instance knew when it made a decision.
CONTEXT_KINDS = frozenset(
    (
        'belief',
        'bad_signal',
        'endpoint_leaving',
        'endpoint_limit',
        'endpoint_links',
        'endpoint_rest',
        'given_up',
        'held',
        'store_lost',
        'store_regained',
        'store_history',
        'store_return',
        'store_return_listed',
        'reload',
        'quarantine',
        'retry_budget',
        'scarcity',
    )
)
# Lines of the instance through which a request passed.
TUNNEL_KIND = 'tunnel'
# Events this long before a request may have influenced how it was handled:
# the bounds on how long updates take to reach an instance, plus a margin.
LOOK_BACK_S = 10.0
# Updates received shortly after the request show what it missed.
LOOK_AHEAD_S = 3.0
_FIXED_FIELDS = frozenset(('t', 'level', 'instance', 'kind', 'message', 'request'))

LogLine = dict[str, Any]


def parse_log_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parse the structured log lines of ``texts`` and sort them by time.

    Lines in another format, such as tracebacks, are skipped.
    """
    lines = []
    for text in texts:
        for text_line in text.splitlines():
            line = _parse_line(text_line)
            if line is not None:
                lines.append(line)
    return sorted(lines, key=lambda line: float(line['t']))


def explain_request(request: str, lines: list[LogLine]) -> list[str]:
    """Return the timeline of ``request``; empty if no line mentions it.

    Lines about the request itself are marked ``*``, those about a tunnel that it took
    through another instance ``+``. The others show what the instances that handled it
    learned around that time.
    """
    request_lines = [line for line in lines if line.get('request') == request]
    if not request_lines:
        return []
    tunnels = {line['tunnel'] for line in request_lines if 'tunnel' in line}
    tunnel_lines = [
        line for line in lines if line.get('tunnel') in tunnels and line.get('kind') == TUNNEL_KIND
    ]
    instances = {line['instance'] for line in (*request_lines, *tunnel_lines)}
    since = request_lines[0]['t'] - LOOK_BACK_S
    until = request_lines[-1]['t'] + LOOK_AHEAD_S
    marked = {id(line): '+' for line in tunnel_lines}
    marked.update({id(line): '*' for line in request_lines})
    return [
        _format_line(line, mark=marked.get(id(line), ' '))
        for line in lines
        if id(line) in marked or _is_context(line, instances, since, until)
    ]


def _parse_line(text_line: str) -> LogLine | None:
    try:
        line = json.loads(text_line[text_line.index('{') :])
    except ValueError:
        return None
    return line if isinstance(line, dict) and 't' in line and 'instance' in line else None


def _is_context(line: LogLine, instances: set[str], since: float, until: float) -> bool:
    if line['instance'] not in instances or line.get('kind') not in CONTEXT_KINDS:
        return False
    return bool(since <= line['t'] <= until)


def _format_line(line: LogLine, *, mark: str) -> str:
    timestamp = datetime.fromtimestamp(line['t'], tz=UTC).strftime('%H:%M:%S.%f')[:-3]
    fields = ', '.join(
        f'{name}={value}' for name, value in line.items() if name not in _FIXED_FIELDS
    )
    return f'{mark} {timestamp}  {line["instance"]:<16} {line["message"]} {fields}'.rstrip()
