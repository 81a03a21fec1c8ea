"""Prints a Markdown table of the days in the newest score of each site.

    .venv/bin/python bench/days.py [journal]

Reads the entries that measured runs write to ``journal/``. A row shows a day's score,
value earned, violated rules and three highest prices, among others.
"""

import json
import sys
from pathlib import Path
from typing import Any

MAX_PRICES = 3


def newest_scores(journal: Path) -> list[dict[str, Any]]:
    """Return the newest complete score of each site, sorted by site name."""
    by_site: dict[str, dict[str, Any]] = {}
    for path in sorted(journal.glob('*.json')):
        entry = json.loads(path.read_text(encoding='utf-8'))
        if entry.get('cmd') == 'score' and entry.get('ok'):
            by_site[entry['site']] = entry
    return [by_site[site] for site in sorted(by_site)]


def day_row(site: str, day: dict[str, Any]) -> str:
    """Return the table row of one day."""
    highest = sorted(day['prices'], key=lambda price: -price[-1])[:MAX_PRICES]
    prices = ', '.join(f'{price[0]} {price[-1]:.3f}' for price in highest)
    rules = ', '.join(day['rules']) or 'kept'
    score = day['score'] if day['score'] is not None else ''
    return (
        f'| {site} | {day["name"]} | {score} | {day["G"]:.3f} | {day["top"]} | {rules}'
        f' | {day["served"]:.3f} | {day["refused"]:.3f} | {day["failed"]:.3f} | {prices} |'
    )


def main() -> None:
    """Print the table."""
    journal = Path(sys.argv[1] if len(sys.argv) > 1 else 'journal')
    print('| site | day | score | value | mark | rules | served | refused | failed | prices |')
    print('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |')
    for entry in newest_scores(journal):
        for day in entry['days']:
            print(day_row(entry['site'], day))


if __name__ == '__main__':
    main()
