"""Node settings: a declarative INI schema parsed into typed values."""

from plantainloft_node.config.settings import (
    DEFAULT_SETTINGS_INI,
    NodeSettings,
    load_settings,
    parse_settings,
)

__all__ = [
    'DEFAULT_SETTINGS_INI',
    'NodeSettings',
    'load_settings',
    'parse_settings',
]
