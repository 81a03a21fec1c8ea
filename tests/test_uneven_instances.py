"""Instances of unequal capacity: settings, reports, look-ups, limits and bounds."""

import re
from pathlib import Path

import pytest
from test_overload_switch import SETTINGS

from plantainloft_core.outcomes import Invalid
from plantainloft_node.capacity.settings import UNKNOWN_CAPACITY, Capacity
from plantainloft_node.entry.settings import EntrySettings, parse_entry_settings

TEMPLATE = Path(__file__).parents[1] / 'deploy' / 'entry.ini.template'


def settings_with(section: str) -> EntrySettings | Invalid:
    return parse_entry_settings(f'{SETTINGS}[capacity]\n{section}')


def test_the_processor_capacity_is_share_times_speed() -> None:
    """An instance with half of a fast core counted as much as one with half of a slow core."""
    parsed = settings_with('cpu_share = 0.5\ncores = 1.5\nlink_mbps = 5\n')
    assert isinstance(parsed, EntrySettings)
    assert parsed.capacity.capacity == Capacity(0.75, None, None, 5.0)


def test_settings_without_capacities_are_valid() -> None:
    """A deployment that names no capacity did not start."""
    parsed = settings_with('')
    assert isinstance(parsed, EntrySettings)
    assert parsed.capacity.capacity == UNKNOWN_CAPACITY


@pytest.mark.parametrize('raw', ['0', '-1', 'nan', 'inf', 'many'])
def test_impossible_capacities_are_reported_at_the_start(raw: str) -> None:
    """A capacity that is not a number, or infinite, drew all callers to one instance."""
    parsed = settings_with(f'link_mbps = {raw}\n')
    assert isinstance(parsed, Invalid)
    assert '[capacity] link_mbps' in parsed.problems[0]


def test_the_template_names_only_known_capacity_options() -> None:
    """A misspelt option in the deploy template stopped every instance at its start."""
    section = TEMPLATE.read_text().partition('[capacity]\n')[2]
    named = re.findall(r'^(\w+) = \{\{\.\}\}$', section, re.MULTILINE)
    parsed = settings_with(''.join(f'{name} = 2\n' for name in named))
    assert isinstance(parsed, EntrySettings)
    assert None not in parsed.capacity
