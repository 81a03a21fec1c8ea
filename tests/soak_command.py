"""The command by which soaks are run by hand, seed after seed."""

import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
from platform_standin import EntryProcessHandle

__all__ = ['run_seeds']

RunSoak = Callable[[int, Path, list[EntryProcessHandle]], Awaitable[object]]


def run_seeds(run_soak: RunSoak, first_seed: int, count: int) -> None:
    """Run ``count`` soaks and print what each has seen."""
    for seed in range(first_seed, first_seed + count):
        processes: list[EntryProcessHandle] = []
        try:
            with tempfile.TemporaryDirectory() as work_dir:
                result = anyio.run(run_soak, seed, Path(work_dir), processes)
        finally:
            for handle in processes:
                handle.kill()
        print(seed, result, flush=True)
