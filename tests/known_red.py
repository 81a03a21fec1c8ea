"""Pytest plugin for tests that fail because of a known, unfixed bug.

`KNOWN-RED.txt` at the root has one line for each such test, with fields
separated by ``|``: the test's id, the command and seed that reproduce the
failure, the observed failure, and the open issue. CI runs these tests, ignores
their failures and prints the list; any other failure fails the run. An entry
whose test passes is marked in the output so that it can be removed.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

LIST_NAME = 'KNOWN-RED.txt'
# In a longer list, new failures go unnoticed among the old ones.
MAX_ENTRIES = 3
FIELD_SEPARATOR = ' | '


class KnownFailure(NamedTuple):
    """An entry of the list: a test known to fail and how to reproduce the failure."""

    test: str
    command: str
    seen: str
    issue: str


_ENTRIES_KEY = pytest.StashKey[list[KnownFailure]]()


def read_entries(path: Path) -> list[KnownFailure]:
    """Return the entries of the list, or no entries if the file does not exist.

    Raises ``pytest.UsageError`` for a line with a missing field and for more
    than ``MAX_ENTRIES`` entries.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text(encoding='utf-8').splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise pytest.UsageError(
            f'{path.name} has {len(lines)} entries; the maximum is {MAX_ENTRIES}'
        )
    return [_parse_entry(line, path) for line in lines]


def _parse_entry(line: str, path: Path) -> KnownFailure:
    parts = [part.strip() for part in line.split(FIELD_SEPARATOR)]
    if len(parts) != len(KnownFailure._fields) or not all(parts):
        line_format = FIELD_SEPARATOR.join(KnownFailure._fields)
        raise pytest.UsageError(f'{path.name}: expected "{line_format}", got: {line}')
    return KnownFailure(*parts)


def pytest_configure(config: pytest.Config) -> None:
    config.stash[_ENTRIES_KEY] = read_entries(config.rootpath / LIST_NAME)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    entry_by_test = {entry.test: entry for entry in config.stash[_ENTRIES_KEY]}
    for item in items:
        entry = entry_by_test.get(item.nodeid)
        if entry is not None:
            # Not strict: some of these tests fail only in some runs.
            item.add_marker(pytest.mark.xfail(reason=f'known failure, issue {entry.issue}'))


def pytest_collection_finish(session: pytest.Session) -> None:
    """Reject entries whose test does not exist.

    Checked only when the whole suite is collected: a partial run lacks tests.
    """
    if session.config.args_source is not pytest.Config.ArgsSource.TESTPATHS:
        return
    collected = {item.nodeid for item in session.items}
    unknown = [
        entry.test for entry in session.config.stash[_ENTRIES_KEY] if entry.test not in collected
    ]
    if unknown:
        raise pytest.UsageError(f'{LIST_NAME} lists tests that do not exist: {", ".join(unknown)}')


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    entries = config.stash[_ENTRIES_KEY]
    if not entries:
        return
    unexpectedly_passed = {report.nodeid for report in terminalreporter.stats.get('xpassed', [])}
    terminalreporter.section(f'known failures ({LIST_NAME})')
    for entry in entries:
        note = ' (passed: remove it from the list)' if entry.test in unexpectedly_passed else ''
        terminalreporter.line(f'{FIELD_SEPARATOR.join(entry)}{note}')
