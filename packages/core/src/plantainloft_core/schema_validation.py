"""Validation of a configuration document that reports all problems together."""

from collections.abc import Mapping
from typing import Any

__all__ = ['SchemaProblems', 'section_of']


class SchemaProblems:
    """Collects schema violations with the path of the field concerned."""

    def __init__(self) -> None:
        self.found: list[str] = []

    def add(self, path: str, message: str) -> None:
        """Add a problem with the field at ``path``."""
        self.found.append(f'{path}: {message}')

    def number(self, path: str, raw: Any, *, low: float, high: float) -> float:
        """Return ``raw`` as a number and check that it is in ``low`` to ``high``.

        Any other value is reported, and ``low`` is returned: JSON has integers that no
        float can hold, and Python reads and writes infinity and nan in it.
        """
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            self.add(path, 'must be a number')
            return low
        if not low <= raw <= high:
            self.add(path, f'must be between {low} and {high}')
            return low
        return float(raw)

    def flag(self, path: str, raw: Any) -> bool:
        """Return ``raw`` and check that it is a boolean."""
        if not isinstance(raw, bool):
            self.add(path, 'must be true or false')
        return raw is True

    def text(self, path: str, raw: Any) -> str:
        """Return ``raw`` if it is a non-empty string, or else an empty one."""
        if not isinstance(raw, str) or not raw:
            self.add(path, 'must be a non-empty string')
            return ''
        return raw


def section_of(doc: Mapping[str, Any], name: str, problems: SchemaProblems) -> dict[str, Any]:
    """Return the entries of section ``name`` that are objects, by their names."""
    raw = doc.get(name, {})
    if not isinstance(raw, dict):
        problems.add(name, 'must be an object')
        return {}
    for key, entry in raw.items():
        if not isinstance(entry, dict):
            problems.add(f'{name}.{key}', 'must be an object')
    return {key: entry for key, entry in raw.items() if isinstance(entry, dict)}
