"""Starts and stops the processes of a deployment on loopback.

Only for tests, benchmarks and the demo on one machine: in production the platform
starts each process.
"""

import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import httpx

__all__ = ['Processes', 'free_port']

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
STOP_TIMEOUT_S = 15.0
FIRST_PORT = 12_000
LAST_PORT = 30_000
# Processes that start one after the other begin this many ports apart.
PORTS_PER_PROCESS = 4099


_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
next(itertools.islice(_ports, os.getpid() * PORTS_PER_PROCESS % (LAST_PORT - FIRST_PORT), None))


def free_port() -> int:
    """Return a TCP port on loopback that is free now.

    Ports are taken from below the kernel's ephemeral range. An outgoing connection
    could take a port of that range before the process that is to listen on it has
    started, which then exits early (this happened with 96 nodes).
    """
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port
    raise RuntimeError(f'no free TCP port on loopback from {FIRST_PORT} to {LAST_PORT - 1}')


class Processes:
    """Child processes by name, with their logs in ``log_dir``."""

    def __init__(self, *, log_dir: Path) -> None:
        self.by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._args_by_name: dict[str, list[str]] = {}
        self._log_dir = log_dir
        log_dir.mkdir(parents=True, exist_ok=True)

    def start(self, name: str, args: list[str], *, ready_url: str) -> None:
        """Start ``python -m`` with ``args``; wait until ``ready_url`` answers."""
        self.spawn(name, args)
        self.wait_ready(name, ready_url)

    def spawn(self, name: str, args: list[str]) -> None:
        """Start ``python -m`` with ``args``; do not wait."""
        self._args_by_name[name] = args
        log_file = (self._log_dir / f'{name}.log').open('wb')
        env = dict(os.environ, PYTHONUNBUFFERED='1')
        self.by_name[name] = subprocess.Popen(
            [sys.executable, '-m', *args],
            stdout=log_file,
            stderr=subprocess.STDOUT,
            env=env,
        )

    def respawn(self, name: str) -> None:
        """Start ``name``, which has exited, again with the same arguments; do not wait."""
        self.spawn(name, self._args_by_name[name])

    def wait_ready(self, name: str, url: str) -> None:
        """Wait until ``url`` answers at all (any status)."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.by_name[name].poll() is not None:
                raise RuntimeError(f'{name} exited early; see {self._log_dir}/{name}.log')
            try:
                httpx.get(url, timeout=1.0)
            except httpx.HTTPError:
                time.sleep(READY_POLL_S)
                continue
            return
        raise RuntimeError(f'{name} did not answer at {url} within {READY_TIMEOUT_S:g} s')

    def restart(self, name: str, *, ready_url: str) -> None:
        """Kill ``name`` and start it again with the same arguments."""
        self.by_name[name].kill()
        self.by_name[name].wait()
        self.start(name, self._args_by_name[name], ready_url=ready_url)

    def signal(self, name: str, signum: int) -> None:
        """Send ``signum`` to process ``name``."""
        self.by_name[name].send_signal(signum)

    def stop(self, name: str) -> int:
        """Stop ``name`` gracefully; return its exit status."""
        process = self.by_name[name]
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        try:
            return process.wait(timeout=STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self) -> None:
        """Stop every process, the entry instances first."""
        names = sorted(self.by_name, key=lambda name: not name.startswith('entry'))
        for name in names:
            if self.by_name[name].poll() is None:
                self.signal(name, signal.SIGTERM)
        for name in names:
            self.stop(name)
