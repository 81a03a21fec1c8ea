"""CPU time and memory of the processes that benchmarks measure, from /proc."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of process ``pid`` in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8').rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of process ``pid`` in MB."""
    pages = int(Path(f'/proc/{pid}/statm').read_text(encoding='utf-8').split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1e6
