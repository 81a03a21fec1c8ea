"""Tests that are known to fail for a fault not mended yet.

`KNOWN-RED.txt` at the root has one line for each, its parts separated by
bars: the test's id, the command and seed that show the fault, what was seen,
the open issue. CI runs these, passes over their failures and prints them;
every other failure counts. An entry whose test passes is printed as well, to
be taken off the list.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

LIST_NAME = 'KNOWN-RED.txt'
# A longer list hides new faults among the old ones.
MAX_ENTRIES = 3
SEPARATOR = ' | '


class KnownRed(NamedTuple):
    """One test known to fail, and how to see it fail."""

    test: str
    command: str
    seen: str
    issue: str


_ENTRIES = pytest.StashKey[list[KnownRed]]()


def read_entries(path: Path) -> list[KnownRed]:
    """Return the entries of the list; none if there is no list.

    Raises ``pytest.UsageError`` for a line without all parts, and for more
    entries than the list may have.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text(encoding='utf-8').splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise pytest.UsageError(f'{path.name} has {len(lines)} entries of {MAX_ENTRIES}')
    return [_entry(line, path) for line in lines]


def _entry(line: str, path: Path) -> KnownRed:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != len(KnownRed._fields) or not all(parts):
        wanted = SEPARATOR.join(KnownRed._fields)
        raise pytest.UsageError(f'{path.name}: not "{wanted}": {line}')
    return KnownRed(*parts)


def pytest_configure(config: pytest.Config) -> None:
    config.stash[_ENTRIES] = read_entries(config.rootpath / LIST_NAME)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    entry_by_test = {entry.test: entry for entry in config.stash[_ENTRIES]}
    for item in items:
        entry = entry_by_test.get(item.nodeid)
        if entry is not None:
            # Not strict: some faults show on some runs only.
            item.add_marker(pytest.mark.xfail(reason=f'known red, issue {entry.issue}'))


def pytest_collection_finish(session: pytest.Session) -> None:
    """Fail for an entry that names no test; only a whole run can tell."""
    if session.config.args_source is not pytest.Config.ArgsSource.TESTPATHS:
        return
    collected = {item.nodeid for item in session.items}
    unknown = [one.test for one in session.config.stash[_ENTRIES] if one.test not in collected]
    if unknown:
        raise pytest.UsageError(f'{LIST_NAME} names no test: {", ".join(unknown)}')


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    entries = config.stash[_ENTRIES]
    if not entries:
        return
    passed = {report.nodeid for report in terminalreporter.stats.get('xpassed', [])}
    terminalreporter.section(f'known red ({LIST_NAME})')
    for entry in entries:
        note = ' (passed: take it off the list)' if entry.test in passed else ''
        terminalreporter.line(f'{SEPARATOR.join(entry)}{note}')
