"""The example settings files are valid."""

from pathlib import Path

import pytest

from plantainloft_node.config import NodeSettings, load_settings

EXAMPLES = Path(__file__).parent.parent / 'examples'


@pytest.mark.parametrize('name', ['karaduman.ini', 'spotterline.ini'])
def test_example_settings_are_valid(name: str) -> None:
    assert isinstance(load_settings(EXAMPLES / name), NodeSettings)
