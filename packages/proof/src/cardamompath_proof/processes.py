"""Starts the processes of a measurement and reads what they use.

Only drivers of measurements and drills start processes; the system's
own processes never do.
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
    "ProcessUse",
    "Running",
    "await_ready",
    "free_port",
    "start",
    "stop",
    "stop_all",
    "use",
]

START_TIMEOUT = 20.0
"""Seconds that a process may take until it answers."""

STOP_TIMEOUT = 20.0
"""Seconds that a process may take to end after SIGTERM."""

STOP_ALL_TIMEOUT = 5.0
"""Seconds that several processes may take together to end."""

PORTS = (12_000, 30_000)
"""Range of the ports that are handed out."""

_RNG = random.SystemRandom()


class Running(NamedTuple):
    """A process started here."""

    name: str
    process: subprocess.Popen


class ProcessUse(NamedTuple):
    """What a process used so far."""

    cpu: float
    """Processor seconds, user and system."""
    resident: int
    """Resident memory in bytes."""
    threads: int


def free_port() -> int:
    """Return a free port of the loopback address.

    It lies below the range that outgoing connections take theirs from,
    so that it is still free when a process binds it.
    """
    while True:
        port = _RNG.randrange(*PORTS)
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
) -> Running:
    """Start a Python module as a process.

    Parameters
    ----------
    name : str
        For messages.
    module : str
        Module that ``python -m`` runs.
    args : sequence of str
        Its arguments.
    log : file, optional
        Takes its output; discarded without one.
    env : mapping, optional
        Variables beside those of this process.
    """
    output = subprocess.DEVNULL if log is None else log
    process = subprocess.Popen(
        [sys.executable, "-m", module, *args],
        stdout=output,
        stderr=output,
        env={**os.environ, **(env or {})},
    )
    return Running(name, process)


def stop(running: Running) -> int:
    """Send SIGTERM, wait for the end and return the exit code."""
    running.process.terminate()
    try:
        return running.process.wait(STOP_TIMEOUT)
    except subprocess.TimeoutExpired:
        running.process.kill()
        return running.process.wait()


def stop_all(started: Sequence[Running]) -> None:
    """Send SIGTERM to all, and SIGKILL to those that stay for long."""
    for one in started:
        one.process.terminate()
    until = time.monotonic() + STOP_ALL_TIMEOUT
    for one in started:
        try:
            one.process.wait(max(0.0, until - time.monotonic()))
        except subprocess.TimeoutExpired:
            one.process.kill()
            one.process.wait()


def await_ready(url: str) -> None:
    """Wait until a GET of `url` answers 200.

    Raises
    ------
    TimeoutError
        If it does not within `START_TIMEOUT`.
    """
    until = time.monotonic() + START_TIMEOUT
    while time.monotonic() < until:
        try:
            if urllib3.request("GET", url, retries=False).status == 200:
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{url!r} did not answer 200 in {START_TIMEOUT:g} s")


def use(pid: int) -> ProcessUse:
    """Read from ``/proc`` what a process used.

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
    return ProcessUse(cpu, resident, int(stat[17]))
