"""Plays random days of one deployment after the other on one commit.

    .venv/bin/python bench/hunting.py PROGRAM JOBS SITE=DAYS [SITE=DAYS ...]
    .venv/bin/python bench/hunting.py --report COMMIT SITE=DAYS [SITE=DAYS ...]

Plays in a clone beside this repository, so that changes here don't matter, and brings back the
journal entries after every few days. Ends with the days that were played on the commit, and says
which deployment is short of the days that were asked for; ``--report`` prints only that. Fails
if one is short or a day broke a rule.
"""

import json
import shutil
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

__all__ = ['HuntedSite', 'main']

ROOT = Path(__file__).resolve().parent.parent
# An entry of the journal is written when all its days are played.
DAYS_PER_ENTRY = 8


class HuntedSite(NamedTuple):
    """The days played of one deployment, and those in which a rule was broken."""

    site: str
    days: int
    broken: int


def parse_targets(arguments: list[str]) -> dict[Path, int]:
    """Parse ``SITE=DAYS`` arguments."""
    pairs = (argument.rpartition('=') for argument in arguments)
    return {Path(site): int(days) for site, _, days in pairs}


def hunted_site(site: str, commit: str) -> HuntedSite:
    """Sum up the journal entries of ``site`` that were played on ``commit``."""
    days = broken = 0
    for path in (ROOT / 'journal').glob('*.json'):
        entry = json.loads(path.read_text())
        if entry['cmd'] == 'hunt' and entry['site'] == site and entry['head'] == commit:
            days += len(entry['days'])
            broken += sum(bool(day['rules'] or day['fault']) for day in entry['days'])
    return HuntedSite(site, days, broken)


def hunt(program: str, jobs: str, targets: dict[Path, int], *, commit: str) -> None:
    """Play the missing days of each deployment in a clone of ``commit``."""
    clone = ROOT.parent / f'hunt-{commit[:8]}'
    if not clone.exists():
        subprocess.run(['git', 'clone', '--quiet', ROOT, clone], check=True)
        subprocess.run(['git', 'checkout', '--quiet', commit], cwd=clone, check=True)
    for site, wanted in targets.items():
        while (left := wanted - hunted_site(site.stem, commit).days) > 0:
            days = str(min(left, DAYS_PER_ENTRY))
            command = [program, 'hunt', str(site), '--days', days, '--jobs', jobs]
            ended = subprocess.run([*command, '--why', f'{wanted} days on {commit}'], cwd=clone)
            if not bring_back(clone):
                print(f'{site.stem}: no entry was written, status {ended.returncode}', flush=True)
                break


def bring_back(clone: Path) -> int:
    """Copy the journal entries that are new or changed in ``clone``; return how many."""
    changed = [
        path
        for path in (clone / 'journal').rglob('*')
        if path.is_file() and not _is_same(path, ROOT / path.relative_to(clone))
    ]
    for path in changed:
        shutil.copyfile(path, ROOT / path.relative_to(clone))
    return len(changed)


def _is_same(path: Path, other: Path) -> bool:
    return other.exists() and other.read_bytes() == path.read_bytes()


def report(targets: dict[Path, int], *, commit: str) -> int:
    """Print what was played on ``commit``; return 1 if that is short or broken."""
    is_incomplete = False
    for site, wanted in targets.items():
        hunted = hunted_site(site.stem, commit)
        short = max(0, wanted - hunted.days)
        note = f', {short} short' if short else ''
        print(f'{hunted.site}: {hunted.days} of {wanted} days, {hunted.broken} broken{note}')
        is_incomplete = is_incomplete or bool(short or hunted.broken)
    return int(is_incomplete)


def main(arguments: list[str]) -> int:
    """Run the command line; return the exit status."""
    if arguments[0] == '--report':
        return report(parse_targets(arguments[2:]), commit=arguments[1])
    program, jobs = arguments[:2]
    targets = parse_targets(arguments[2:])
    head = subprocess.run(
        ['git', 'rev-parse', 'HEAD'], cwd=ROOT, check=True, capture_output=True, text=True
    )
    commit = head.stdout.strip()
    hunt(program, jobs, targets, commit=commit)
    return report(targets, commit=commit)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
