"""Formats rows as a text table."""

from collections.abc import Sequence

__all__ = ['format_table']


def format_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return table lines with aligned columns: the headings, then one line per row."""
    widths = [max(map(len, column)) for column in zip(headings, *rows, strict=True)]
    return [
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in (headings, *rows)
    ]
