"""Measure costs at several sizes and fit lines: ``make slopes``."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_proof.slopes import configuration
from cardamompath_proof.slopes import dispatch
from cardamompath_proof.slopes import fit
from cardamompath_proof.slopes import gossip
from cardamompath_proof.slopes import journal
from cardamompath_proof.slopes import pool

__all__ = [
    "main",
]

REPEATS = 3
"""Runs at each size; the median is reported."""


class Measure(NamedTuple):
    """A cost to measure at several sizes."""

    name: str
    unit: str
    scale: float
    """Factor from the result of `measure_cost` to `unit`."""
    sizes: Sequence[int]
    target: int
    """Size at which the line is evaluated: the required capacity."""
    measure_cost: Callable[[int], float]


MEASURES = (
    Measure(
        "decisions per task start, by backend servers",
        "us",
        1e6,
        (24, 100, 300, 610),
        610,
        dispatch.measure_start_time,
    ),
    Measure(
        "memory of queued tasks",
        "KB",
        1e-3,
        (840, 4200, 8400, 16800),
        31_000,
        dispatch.measure_queue_memory,
    ),
    Measure(
        "one configuration change, by backend servers",
        "us",
        1e6,
        (24, 100, 300, 610),
        610,
        configuration.measure_update_time,
    ),
    Measure(
        "memory of the configuration, by backend servers",
        "KB",
        1e-3,
        (24, 100, 300, 610),
        610,
        configuration.measure_memory,
    ),
    Measure(
        "one gossip round, by instances",
        "us",
        1e6,
        (8, 16, 32, 64, 100),
        40,
        lambda size: gossip.measure_round(size).cpu_time,
    ),
    Measure(
        "one digest, by instances",
        "bytes",
        1.0,
        (8, 16, 32, 64, 100),
        40,
        lambda size: gossip.measure_round(size).digest_size,
    ),
    Measure(
        "reading the journal, by ended jobs",
        "us",
        1e6,
        (100, 400, 1600, 6400),
        155,
        lambda size: journal.measure_reading(size).cpu_time,
    ),
    Measure(
        "size of journal records, by ended jobs",
        "bytes",
        1.0,
        (100, 400, 1600, 6400),
        155,
        lambda size: journal.measure_reading(size).record_size,
    ),
    Measure(
        "heartbeats of a planner per second, by instances",
        "messages",
        1.0,
        (40, 100, 300, 610),
        610,
        lambda size: pool.measure_heartbeats(size, True).message_rate,
    ),
    Measure(
        "heartbeat bytes per second, by instances",
        "KB",
        1e-3,
        (40, 100, 300, 610),
        610,
        lambda size: pool.measure_heartbeats(size, True).byte_rate,
    ),
    Measure(
        "heartbeats of another instance per second, by instances",
        "messages",
        1.0,
        (40, 100, 300, 610),
        610,
        lambda size: pool.measure_heartbeats(size, False).message_rate,
    ),
    Measure(
        "heartbeat bytes per second, by instances",
        "KB",
        1e-3,
        (40, 100, 300, 610),
        610,
        lambda size: pool.measure_heartbeats(size, False).byte_rate,
    ),
    Measure(
        "processor time of heartbeats per second, by instances",
        "us",
        1e6,
        (40, 100, 300, 610),
        610,
        lambda size: pool.measure_heartbeats(size, False).cpu_time,
    ),
    Measure(
        "decisions of a planner per start, by its executors",
        "us",
        1e6,
        (12, 24, 48, 96),
        24,
        pool.measure_start_time,
    ),
)


def main() -> None:
    """Measure all costs and print samples, lines and residuals."""
    for measure in MEASURES:
        samples = [_take_sample(measure, size) for size in measure.sizes]
        line = fit.fit_line(samples)
        print(f"{measure.name} [{measure.unit}]")
        for sample in samples:
            print(f"  at {sample.size:>6}: {sample.cost:12.2f}")
        print(
            f"  line: {line.intercept:.2f} + {line.slope:.4f} x size, "
            f"residual {line.residual:.0%}; "
            f"at {measure.target}: {line.cost_at(measure.target):.2f}"
        )


def _take_sample(measure, size):
    costs = [
        measure.measure_cost(size) * measure.scale for _ in range(REPEATS)
    ]
    return fit.Sample(size, statistics.median(costs))


if __name__ == "__main__":
    main()
