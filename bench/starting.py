"""Processor time and memory of an entry process from its start to ready.

Builds nothing: run `sh deploy/build.sh` first. Starts the deployed
process beside a stand-in of the platform's store, as its template does.

    PYTHONPATH=tests .venv/bin/python bench/starting.py
"""

import os
import statistics
import subprocess
import tempfile
import time
from pathlib import Path

import anyio
from platform_standin import OPERATOR, EntryProcessHandle, config, running_store

STARTS = 7
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class DeployedProcess(EntryProcessHandle):
    """An entry process started as the deploy file says."""

    def start(self) -> None:
        """Start it with the libraries of ``target/deps`` only."""
        self._process = subprocess.Popen(
            ['python3', '-S', '-m', 'plantainloft_platform'],
            env={
                'PATH': os.environ['PATH'],
                'PYTHONPATH': 'target/deps',
                'PLANTAINLOFT_CONFIG': str(self.settings),
            },
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def spent_s(self) -> float:
        """Return the processor time so far, in seconds."""
        fields = Path(f'/proc/{self._process.pid}/stat').read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def peak_mb(self) -> float:
        """Return the largest resident set so far."""
        status = Path(f'/proc/{self._process.pid}/status').read_text()
        line = next(line for line in status.splitlines() if line.startswith('VmHWM'))
        return int(line.split()[1]) / 1024


async def measure() -> None:
    """Print the medians over some starts."""
    spent, waited, peaks = [], [], []
    async with running_store() as (store, _):
        store.put(OPERATOR, 'config', config(3))
        for _ in range(STARTS):
            work_dir = Path(tempfile.mkdtemp())
            entry = DeployedProcess(number=99, store=store.address, work_dir=work_dir)
            began = time.monotonic()
            entry.start()
            await entry.until_ready()
            waited.append(time.monotonic() - began)
            spent.append(entry.spent_s())
            peaks.append(entry.peak_mb())
            entry.kill()
    print(f'processor time to ready: {statistics.median(spent):.2f} s')
    print(f'wall time to ready: {statistics.median(waited):.2f} s')
    print(f'peak memory at ready: {statistics.median(peaks):.1f} MB')


if __name__ == '__main__':
    anyio.run(measure)
