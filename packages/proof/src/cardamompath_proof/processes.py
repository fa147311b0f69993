"""Starts processes for tests and measurements, and reads their usage.

Only drivers of tests and measurements start processes; the system itself
never does.
"""

from __future__ import annotations

import os
import pathlib
import random
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

import urllib3

__all__ = [
    "ManagedProcess",
    "ProcessUsage",
    "await_ready",
    "free_port",
    "read_usage",
    "start",
    "stop",
    "stop_all",
]

START_TIMEOUT = 20.0
"""Seconds that a process may take until it is ready."""

STOP_TIMEOUT = 20.0
"""Seconds that a process may take to exit after SIGTERM."""

STOP_ALL_TIMEOUT = 5.0
"""Seconds that several processes together may take to exit."""

PORT_RANGE = (12_000, 30_000)
"""Range of the ports that `free_port` returns."""

_RNG = random.SystemRandom()


class ManagedProcess(NamedTuple):
    """A process that `start` started, and its name for messages."""

    name: str
    popen: subprocess.Popen


class ProcessUsage(NamedTuple):
    """Resources that a process has used so far."""

    cpu: float
    """Processor seconds, user and system."""
    resident: int
    """Resident memory in bytes."""
    threads: int


def free_port() -> int:
    """Return a free port of the loopback address.

    It lies below the range of ephemeral ports, so that no outgoing
    connection takes it before a process binds it.
    """
    while True:
        port = _RNG.randrange(*PORT_RANGE)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def start(
    name: str,
    module: str,
    args: Sequence[str],
    log=None,
    env: Mapping[str, str] | None = None,
) -> ManagedProcess:
    """Start a Python module as a process.

    Parameters
    ----------
    name : str
        Name for messages.
    module : str
        Module that ``python -m`` runs.
    args : sequence of str
        Arguments of the module.
    log : file, optional
        File for stdout and stderr; without one they are discarded.
    env : mapping, optional
        Environment variables besides those of this process.
    """
    output = subprocess.DEVNULL if log is None else log
    popen = subprocess.Popen(
        [sys.executable, "-m", module, *args],
        stdout=output,
        stderr=output,
        env={**os.environ, **(env or {})},
    )
    return ManagedProcess(name, popen)


def stop(process: ManagedProcess) -> int:
    """Terminate a process and return its exit code.

    It gets SIGKILL if it does not exit within `STOP_TIMEOUT`.
    """
    process.popen.terminate()
    try:
        return process.popen.wait(STOP_TIMEOUT)
    except subprocess.TimeoutExpired:
        process.popen.kill()
        return process.popen.wait()


def stop_all(started: Sequence[ManagedProcess]) -> None:
    """Terminate processes; kill those alive after `STOP_ALL_TIMEOUT`."""
    for process in started:
        process.popen.terminate()
    deadline = time.monotonic() + STOP_ALL_TIMEOUT
    for process in started:
        try:
            process.popen.wait(max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.popen.kill()
            process.popen.wait()


def await_ready(url: str, timeout: float = START_TIMEOUT) -> None:
    """Wait until GET `url` returns status 200.

    Raises
    ------
    TimeoutError
        If it does not do so within `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            if urllib3.request("GET", url, retries=False).status == 200:
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{url!r} did not return 200 within {timeout:g} s")


def read_usage(pid: int) -> ProcessUsage:
    """Read the resource usage of a process from ``/proc``.

    Raises
    ------
    OSError
        If there is no such process.
    """
    folder = pathlib.Path("/proc", str(pid))
    stat = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = os.sysconf("SC_CLK_TCK")
    cpu = (int(stat[11]) + int(stat[12])) / ticks
    resident = int(stat[21]) * os.sysconf("SC_PAGE_SIZE")
    return ProcessUsage(cpu, resident, int(stat[17]))
