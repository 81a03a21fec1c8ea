"""Node settings: all problems of a file are reported at once."""

from plantainloft_core.outcomes import Invalid
from plantainloft_node.config import (
    DEFAULT_SETTINGS_INI,
    NodeSettings,
    parse_settings,
)


def test_embedded_default_is_valid() -> None:
    assert isinstance(parse_settings(DEFAULT_SETTINGS_INI), NodeSettings)


def test_every_problem_is_reported_by_option() -> None:
    text = '[node]\nname = x\n[platform]\ntimeout_ms = -1\n[steering]\npolicy = magic\n'
    parsed = parse_settings(text)
    assert isinstance(parsed, Invalid)
    assert parsed.problems == (
        '[node] region: missing',
        '[node] zone: missing',
        '[node] listen: missing',
        '[node] advertise: missing',
        '[platform] table_url: missing',
        '[platform] timeout_ms: must be greater than zero',
        '[steering] policy: must be one of headroom, nearest',
        '[peers] listen: missing',
    )


def test_unknown_option_is_a_problem() -> None:
    parsed = parse_settings(DEFAULT_SETTINGS_INI + '\n[steering]\npolcy = nearest\n')
    assert isinstance(parsed, Invalid)
    assert parsed.problems == ('[steering] polcy: unknown option',)
