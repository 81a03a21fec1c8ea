"""Join the log lines of several instances into one request's story."""

import json
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

__all__ = ['read_lines', 'story_of']

# Lines of these kinds tell what an instance believed when it decided.
BACKGROUND = frozenset(
    ('belief', 'store_lost', 'store_regained', 'store_history', 'reload', 'quarantine')
)
# What happened this long before the request may have decided it: the
# bounds on news, with room.
LOOK_BACK_S = 10.0
# What was learned just after shows what the request was too early for.
LOOK_AHEAD_S = 3.0
_SHOWN_APART = frozenset(('t', 'level', 'instance', 'kind', 'message', 'request'))

LogLine = dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the structured lines of ``texts``, in order of their time.

    Lines of another format (a traceback, another program's) are left out.
    """
    lines = []
    for text in texts:
        for raw in text.splitlines():
            line = _parsed(raw)
            if line is not None:
                lines.append(line)
    return sorted(lines, key=lambda line: float(line['t']))


def story_of(request: str, lines: list[LogLine]) -> list[str]:
    """Return the dated story of ``request``; empty if no line names it.

    The request's own lines are marked ``*``; the others tell what the
    instances that handled it learned around that time.
    """
    own = [line for line in lines if line.get('request') == request]
    if not own:
        return []
    instances = {line['instance'] for line in own}
    began = own[0]['t'] - LOOK_BACK_S
    ended = own[-1]['t'] + LOOK_AHEAD_S
    return [
        _told(line, mark='*' if line in own else ' ')
        for line in lines
        if line in own or _is_background(line, instances, began, ended)
    ]


def _parsed(raw: str) -> LogLine | None:
    try:
        line = json.loads(raw[raw.index('{') :])
    except ValueError:
        return None
    return line if isinstance(line, dict) and 't' in line and 'instance' in line else None


def _is_background(line: LogLine, instances: set[str], began: float, ended: float) -> bool:
    if line['instance'] not in instances or line.get('kind') not in BACKGROUND:
        return False
    return bool(began <= line['t'] <= ended)


def _told(line: LogLine, *, mark: str) -> str:
    moment = datetime.fromtimestamp(line['t'], tz=UTC).strftime('%H:%M:%S.%f')[:-3]
    fields = ', '.join(
        f'{name}={field}' for name, field in line.items() if name not in _SHOWN_APART
    )
    return f'{mark} {moment}  {line["instance"]:<16} {line["message"]} {fields}'.rstrip()
