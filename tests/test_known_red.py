"""The list of known failures passes over what it names, and nothing else."""

import pytest

PLUGIN = ('-p', 'known_red')
TESTS = """
def test_red(): assert False
def test_other(): assert {other}
"""


def entry(test: str) -> str:
    return f'{test} | scripts/test {test}, no seed | it fails | 19'


def run(pytester: pytest.Pytester, *entries: str, other: bool = True) -> pytest.RunResult:
    pytester.makeini('[pytest]\ntestpaths = .\n')
    pytester.makepyfile(test_some=TESTS.format(other=other))
    pytester.path.joinpath('KNOWN-RED.txt').write_text('\n'.join(entries))
    return pytester.runpytest_inprocess(*PLUGIN)


def test_a_listed_failure_is_passed_over_and_printed(pytester: pytest.Pytester) -> None:
    found = run(pytester, entry('test_some.py::test_red'))
    assert found.ret == pytest.ExitCode.OK
    found.assert_outcomes(passed=1, xfailed=1)
    found.stdout.fnmatch_lines(['*known red (KNOWN-RED.txt)*', 'test_some.py::test_red | *'])


def test_any_other_failure_counts(pytester: pytest.Pytester) -> None:
    found = run(pytester, entry('test_some.py::test_red'), other=False)
    assert found.ret == pytest.ExitCode.TESTS_FAILED
    found.assert_outcomes(failed=1, xfailed=1)


def test_a_listed_test_that_passes_is_told(pytester: pytest.Pytester) -> None:
    found = run(pytester, entry('test_some.py::test_red'), entry('test_some.py::test_other'))
    found.stdout.fnmatch_lines(['test_some.py::test_other | *(passed: take it off the list)'])


@pytest.mark.parametrize(
    'entries',
    [
        [entry('test_some.py::test_renamed')],
        ['test_some.py::test_red | without a command'],
        [entry(f'test_some.py::test_{number}') for number in range(4)],
    ],
)
def test_a_list_that_hides_or_names_nothing_is_refused(
    pytester: pytest.Pytester, entries: list[str]
) -> None:
    """Symptom: a new failure stays unseen.

    The list named a test that had been renamed, or grew until nobody read it.
    """
    assert run(pytester, *entries).ret not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED)
