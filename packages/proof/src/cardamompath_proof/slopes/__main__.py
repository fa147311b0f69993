"""``make slopes``: costs at several sizes, the line through them."""

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
"""Runs at each size; the median counts."""


class Measure(NamedTuple):
    """A cost to be measured at several sizes."""

    name: str
    unit: str
    scale: float
    """Factor from the measured unit to `unit`."""
    sizes: Sequence[int]
    target: int
    """Size of the users' target."""
    run: Callable[[int], float]


MEASURES = (
    Measure(
        "decisions per task start, by backend servers",
        "us",
        1e6,
        (24, 100, 300, 610),
        610,
        dispatch.start_cost,
    ),
    Measure(
        "memory of queued tasks",
        "KB",
        1e-3,
        (840, 4200, 8400, 16800),
        31_000,
        dispatch.queued_memory,
    ),
    Measure(
        "one change of the configuration, by backend servers",
        "us",
        1e6,
        (24, 100, 300, 610),
        610,
        configuration.fold_cost,
    ),
    Measure(
        "memory of the configuration, by backend servers",
        "KB",
        1e-3,
        (24, 100, 300, 610),
        610,
        configuration.fold_memory,
    ),
    Measure(
        "one round of digests, by instances",
        "us",
        1e6,
        (8, 16, 32, 64, 100),
        40,
        lambda size: gossip.measure_round(size).cpu,
    ),
    Measure(
        "one digest, by instances",
        "bytes",
        1.0,
        (8, 16, 32, 64, 100),
        40,
        lambda size: gossip.measure_round(size).size,
    ),
    Measure(
        "reading the journal, by ended jobs",
        "us",
        1e6,
        (100, 400, 1600, 6400),
        155,
        lambda size: journal.measure_reading(size).cpu,
    ),
    Measure(
        "records of the journal, by ended jobs",
        "bytes",
        1.0,
        (100, 400, 1600, 6400),
        155,
        lambda size: journal.measure_reading(size).size,
    ),
    Measure(
        "signs of life of a planner a second, by instances",
        "messages",
        1.0,
        (40, 100, 300, 610),
        610,
        lambda size: pool.measure_signs(size, True).sent,
    ),
    Measure(
        "bytes of them, by instances",
        "KB",
        1e-3,
        (40, 100, 300, 610),
        610,
        lambda size: pool.measure_signs(size, True).size,
    ),
    Measure(
        "signs of life of another instance a second, by instances",
        "messages",
        1.0,
        (40, 100, 300, 610),
        610,
        lambda size: pool.measure_signs(size, False).sent,
    ),
    Measure(
        "bytes of them, by instances",
        "KB",
        1e-3,
        (40, 100, 300, 610),
        610,
        lambda size: pool.measure_signs(size, False).size,
    ),
    Measure(
        "work for the fleet a second, by instances",
        "us",
        1e6,
        (40, 100, 300, 610),
        610,
        lambda size: pool.measure_signs(size, False).cpu,
    ),
    Measure(
        "a planner's decisions for a start, by its executors",
        "us",
        1e6,
        (12, 24, 48, 96),
        24,
        pool.measure_planner,
    ),
)


def main() -> None:
    """Measure everything and print samples, lines and residuals."""
    for measure in MEASURES:
        samples = [_sample(measure, size) for size in measure.sizes]
        line = fit.fit_line(samples)
        print(f"{measure.name} [{measure.unit}]")
        for one in samples:
            print(f"  at {one.size:>6}: {one.cost:12.2f}")
        print(
            f"  line: {line.base:.2f} + {line.slope:.4f} x size, "
            f"residual {line.residual:.0%}; "
            f"at {measure.target}: {line.at(measure.target):.2f}"
        )


def _sample(measure, size):
    costs = [measure.run(size) * measure.scale for _ in range(REPEATS)]
    return fit.Sample(size, statistics.median(costs))


if __name__ == "__main__":
    main()
