"""Only failures of tests in the list of known failures are ignored."""

import pytest

PLUGIN_OPTIONS = ('-p', 'known_red')
TEST_MODULE = """
def test_red(): assert False
def test_other(): assert {other_passes}
"""


def list_entry(test: str) -> str:
    return f'{test} | scripts/test {test}, no seed | it fails | 19'


def run_with_list(
    pytester: pytest.Pytester, *entries: str, other_passes: bool = True
) -> pytest.RunResult:
    pytester.makeini('[pytest]\ntestpaths = .\n')
    pytester.makepyfile(test_some=TEST_MODULE.format(other_passes=other_passes))
    pytester.path.joinpath('KNOWN-RED.txt').write_text('\n'.join(entries))
    return pytester.runpytest_inprocess(*PLUGIN_OPTIONS)


def test_a_listed_failure_is_ignored_and_printed(pytester: pytest.Pytester) -> None:
    result = run_with_list(pytester, list_entry('test_some.py::test_red'))
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(['*known failures (KNOWN-RED.txt)*', 'test_some.py::test_red | *'])


def test_any_other_failure_fails_the_run(pytester: pytest.Pytester) -> None:
    result = run_with_list(pytester, list_entry('test_some.py::test_red'), other_passes=False)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(failed=1, xfailed=1)


def test_a_listed_test_that_passes_is_reported(pytester: pytest.Pytester) -> None:
    result = run_with_list(
        pytester, list_entry('test_some.py::test_red'), list_entry('test_some.py::test_other')
    )
    result.stdout.fnmatch_lines(['test_some.py::test_other | *(passed: remove it from the list)'])


@pytest.mark.parametrize(
    'entries',
    [
        [list_entry('test_some.py::test_renamed')],
        ['test_some.py::test_red | without a command'],
        [list_entry(f'test_some.py::test_{number}') for number in range(4)],
    ],
)
def test_an_invalid_list_is_rejected(pytester: pytest.Pytester, entries: list[str]) -> None:
    """Guards against new failures that go unnoticed.

    They do when an entry names a test that has since been renamed, and when the
    list has grown too long to be read. An entry that lacks a field is rejected too.
    """
    assert run_with_list(pytester, *entries).ret not in (
        pytest.ExitCode.OK,
        pytest.ExitCode.TESTS_FAILED,
    )
