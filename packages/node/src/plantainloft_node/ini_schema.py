"""Declarative schema for INI files: typed options with defaults.

Each option declares its section, its converter and its default. Reading a file
reports all problems at once, as ``[section] option: message``.
"""

import configparser
from collections.abc import Callable
from typing import Any, NamedTuple

from plantainloft_core.outcomes import Invalid

__all__ = [
    'Option',
    'check',
    'host_port_list',
    'non_negative_float',
    'one_of',
    'positive_float',
    'read_ini',
]

REQUIRED = object()


class Option(NamedTuple):
    """One option: its section and name, its converter and its default."""

    section: str
    name: str
    convert: Callable[[str], Any]
    default: Any = REQUIRED


def positive_float(raw: str) -> float:
    """Convert to a number greater than zero."""
    number = float(raw)
    if number <= 0:
        raise ValueError('must be greater than zero')
    return number


def non_negative_float(raw: str) -> float:
    """Convert to a number that is zero or more."""
    number = float(raw)
    if number < 0:
        raise ValueError('must not be negative')
    return number


def host_port_list(raw: str) -> tuple[str, ...]:
    """Convert a comma-separated list of ``host:port``."""
    found = tuple(part.strip() for part in raw.split(',') if part.strip())
    for address in found:
        host, _, port = address.rpartition(':')
        if not host or not port.isdigit():
            raise ValueError(f'{address!r} is not host:port')
    return found


def one_of(*allowed: str) -> Callable[[str], str]:
    """Return a converter that accepts only the ``allowed`` values."""

    def convert(raw: str) -> str:
        if raw not in allowed:
            raise ValueError(f'must be one of {", ".join(allowed)}')
        return raw

    return convert


def read_ini(text: str, options: tuple[Option, ...]) -> dict[str, Any] | Invalid:
    """Parse INI ``text`` and validate it against ``options``, as ``check`` does."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        return Invalid(problems=(f'syntax: {exc}',))
    return check(parser, options)


def check(
    parser: configparser.ConfigParser,
    options: tuple[Option, ...],
) -> dict[str, Any] | Invalid:
    """Return ``{section.name: value}``, or all problems found."""
    problems = []
    values = {}
    known = {(opt.section, opt.name) for opt in options}
    for section in parser.sections():
        for name in parser[section]:
            if (section, name) not in known:
                problems.append(f'[{section}] {name}: unknown option')
    for option in options:
        key = f'{option.section}.{option.name}'
        raw = parser.get(option.section, option.name, fallback=None)
        if raw is None:
            if option.default is REQUIRED:
                problems.append(f'[{option.section}] {option.name}: missing')
            values[key] = option.default
            continue
        try:
            values[key] = option.convert(raw.strip())
        except ValueError as exc:
            problems.append(f'[{option.section}] {option.name}: {exc}')
    if problems:
        return Invalid(problems=tuple(problems))
    return values
