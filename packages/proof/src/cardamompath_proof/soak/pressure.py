"""How long processes wait for the processor while a soak runs.

Printed with the result, to tell on what machine it was reached; no check
depends on it.
"""

from __future__ import annotations

import bisect
import math
import pathlib
import threading
from collections.abc import Callable
from typing import NamedTuple

from cardamompathd.runtime import clocks

__all__ = [
    "Sample",
    "longest_gap",
    "measure",
    "waited",
]

PRESSURE_FILE = pathlib.Path("/proc/pressure/cpu")
INTERVAL = 0.1
"""Seconds between two samples."""


class Sample(NamedTuple):
    """A reading of the kernel's measure."""

    at: float
    total: float
    """Seconds so far in which some process waited for the processor."""


def measure() -> Callable[[], list[Sample]]:
    """Start to take samples; return a function that stops and returns them.

    Where the kernel does not measure it, nobody has waited.
    """
    stop_event = threading.Event()
    samples = [_read()]

    def run():
        while not stop_event.wait(INTERVAL):
            samples.append(_read())

    thread = threading.Thread(target=run, daemon=True)
    thread.start()

    def stop():
        stop_event.set()
        thread.join()
        return [*samples, _read()]

    return stop


def _read():
    total = 0.0
    if PRESSURE_FILE.exists():
        some = PRESSURE_FILE.read_text().splitlines()[0]
        total = int(some.rpartition("=")[2]) / 1e6
    return Sample(clocks.boottime(), total)


def waited(samples: list[Sample], began: float, ended: float) -> float:
    """Return the seconds of a span in which some process waited."""
    total = _total_at(samples, ended) - _total_at(samples, began)
    return min(total, ended - began)


def _total_at(samples, at):
    number = bisect.bisect(samples, (at, math.inf))
    if number == 0 or number == len(samples):
        return samples[min(number, len(samples) - 1)].total
    before, after = samples[number - 1], samples[number]
    share = (at - before.at) / (after.at - before.at)
    return before.total + share * (after.total - before.total)


def longest_gap(samples: list[Sample]) -> float:
    """Return by how many seconds a sample was late at most."""
    times = [sample.at for sample in samples]
    gaps = zip(times, times[1:], strict=False)
    return max(second - first for first, second in gaps) - INTERVAL
