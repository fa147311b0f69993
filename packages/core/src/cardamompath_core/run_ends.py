"""Forecast of when a run that is going on ends.

Answers loads in which all executors are busy: what counts for a batch that
waits is when the present runs end.  Run times of batches spread
log-normally, and a few batches take several times as long as usual.  The
longer a run has been going on, the likelier it is one of these.
"""

from __future__ import annotations

import bisect
import functools
import math
from typing import NamedTuple

__all__ = [
    "Remaining",
    "remaining",
]

BATCH_SPREAD = 0.43
"""Standard deviation of the logarithm of a run time relative to the usual one
of its kind: 0.4 between batches and 0.15 within one, by the users' sheets."""
TASK_SPREAD = 0.15
"""The same relative to other tasks of its batch."""
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7.0
"""Share of the batches that take longer, and how many times as long, by the
users' sheets."""
BOUND_QUANTILE = 0.9
"""Share of the runs that have ended after the bound."""
ELAPSED_GRID = tuple(1.3**step / 8.0 for step in range(-4, 21))
"""Multiples of the usual run time for which forecasts are tabulated, 0.04 to
24; a third of difference changes a forecast by less than the spread."""
BISECTIONS = 40
"""Halvings of an interval; enough for an error below a millionth."""


class Remaining(NamedTuple):
    """What is left of a run, in seconds."""

    expected: float
    """Median."""
    bound: float
    """Time after which `BOUND_QUANTILE` of such runs have ended."""


def remaining(
    elapsed: float, usual: float, known_size: bool = False
) -> Remaining:
    """Return the forecast of the time that is left of a run.

    Parameters
    ----------
    elapsed : float
        Seconds since the run started.
    usual : float
        Usual seconds of such a run on this executor; positive.
    known_size : bool
        Whether `usual` comes from other tasks of the same batch.
    """
    table = _tabulate(known_size)
    ratio = elapsed / usual
    index = min(bisect.bisect_left(ELAPSED_GRID, ratio), len(table) - 1)
    if index == 0 or ratio >= ELAPSED_GRID[-1]:
        expected, bound = table[index]
    else:
        low, high = ELAPSED_GRID[index - 1], ELAPSED_GRID[index]
        weight = (ratio - low) / (high - low)
        before, after = table[index - 1], table[index]
        expected = before[0] + weight * (after[0] - before[0])
        bound = before[1] + weight * (after[1] - before[1])
    if index == 0:
        expected = max(0.0, expected + ELAPSED_GRID[0] - ratio)
        bound = max(0.0, bound + ELAPSED_GRID[0] - ratio)
    return Remaining(expected * usual, bound * usual)


@functools.cache
def _tabulate(known_size):
    """Return the medians and bounds at the grid, in usual run times."""
    return [
        (
            _quantile(elapsed, 0.5, known_size),
            _quantile(elapsed, BOUND_QUANTILE, known_size),
        )
        for elapsed in ELAPSED_GRID
    ]


def _quantile(elapsed, share, known_size):
    """Return how much longer it takes until a share of the runs has ended."""
    target = (1.0 - share) * _survival(elapsed, known_size)
    low, high = elapsed, 8.0 * max(elapsed, STRAGGLER_FACTOR)
    for _ in range(BISECTIONS):
        middle = (low + high) / 2.0
        if _survival(middle, known_size) > target:
            low = middle
        else:
            high = middle
    return (low + high) / 2.0 - elapsed


def _survival(elapsed, known_size):
    """Return the share of the runs that take longer, in usual run times."""
    if known_size:
        return _tail(math.log(elapsed) / TASK_SPREAD)
    log_time = math.log(elapsed)
    usual = _tail(log_time / BATCH_SPREAD)
    straggler = _tail((log_time - math.log(STRAGGLER_FACTOR)) / BATCH_SPREAD)
    return (1.0 - STRAGGLER_SHARE) * usual + STRAGGLER_SHARE * straggler


def _tail(deviation):
    return 0.5 * math.erfc(deviation / math.sqrt(2.0))
