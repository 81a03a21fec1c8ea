"""CPU time and memory of an entry process from its start until it is ready.

Run `sh deploy/build.sh` first. Starts the process as the deployment template
does, with a stand-in for the platform's store.

    PYTHONPATH=tests .venv/bin/python bench/starting.py
"""

import os
import statistics
import subprocess
import tempfile
import time
from pathlib import Path

import anyio
from platform_standin import OPERATOR_TABLE, EntryProcessHandle, make_configuration, running_store

STARTS = 7
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class DeployedProcess(EntryProcessHandle):
    """An entry process started as in a deployment."""

    def start(self) -> None:
        """Start the process with only the libraries in ``target/deps``."""
        self._process = subprocess.Popen(
            ['python3', '-S', '-m', 'plantainloft_platform'],
            env={
                'PATH': os.environ['PATH'],
                'PYTHONPATH': 'target/deps',
                'PLANTAINLOFT_CONFIG': str(self.settings_path),
            },
            stdout=self._log_file,
            stderr=subprocess.STDOUT,
        )

    def cpu_seconds(self) -> float:
        """Return the CPU time used so far, in seconds."""
        fields = Path(f'/proc/{self._process.pid}/stat').read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def peak_mb(self) -> float:
        """Return the peak resident set size so far, in MB."""
        status = Path(f'/proc/{self._process.pid}/status').read_text()
        line = next(line for line in status.splitlines() if line.startswith('VmHWM'))
        return int(line.split()[1]) / 1024


async def measure() -> None:
    """Print medians over ``STARTS`` starts."""
    cpu_s, wall_s, peak_sizes_mb = [], [], []
    async with running_store() as (store, _):
        store.put(OPERATOR_TABLE, 'config', make_configuration(3))
        for _ in range(STARTS):
            work_dir = Path(tempfile.mkdtemp())
            entry = DeployedProcess(number=99, store_address=store.address, work_dir=work_dir)
            started_at = time.monotonic()
            entry.start()
            await entry.wait_until_ready()
            wall_s.append(time.monotonic() - started_at)
            cpu_s.append(entry.cpu_seconds())
            peak_sizes_mb.append(entry.peak_mb())
            entry.kill()
    print(f'CPU time to ready: {statistics.median(cpu_s):.2f} s')
    print(f'wall time to ready: {statistics.median(wall_s):.2f} s')
    print(f'peak memory at ready: {statistics.median(peak_sizes_mb):.1f} MB')


if __name__ == '__main__':
    anyio.run(measure)
