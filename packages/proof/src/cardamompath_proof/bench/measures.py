"""Measures of a run."""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_proof.bench import workloads

__all__ = [
    "Result",
    "Run",
    "failed_share",
    "in_time_share",
    "measured_submissions",
    "percentile",
    "recovery_time",
    "response_times",
    "slowdowns",
    "wasted_per_task",
]

BUCKET_SECONDS = 0.25
"""Length of the intervals in which slowdown is compared after a swing."""
NORMAL_PERCENTILE = 0.95
"""Percentile of slowdown that shows whether service is normal."""
NORMAL_FACTOR = 1.5
"""Factor on its value before the swing up to which it is normal."""


class Result(NamedTuple):
    """Time and state of the answer to a submission."""

    at: float
    state: str
    """Type of the answer, in lower case."""


class Run(NamedTuple):
    """Inputs and results of one run."""

    workload: workloads.Workload
    arrivals: Sequence[workloads.Arrival]
    results: Mapping[int, Result]
    message_counts: Mapping[str, int] = collections.Counter()
    cpu: float = 0.0
    """Seconds that the controllers took."""
    oracle_run: Run | None = None
    """The oracle's run of the same workload."""


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile, or NaN if there are no values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    rank = math.ceil(share * len(ordered)) - 1
    return ordered[min(max(rank, 0), len(ordered) - 1)]


def measured_submissions(run: Run) -> list[int]:
    """Return the indices of the submissions to measure.

    Those in the warm-up, cancelled ones, and those that even the oracle
    does not complete by the deadline are left out.
    """
    return _submissions_between(
        run, run.workload.warm_up, run.workload.seconds
    )


def response_times(
    run: Run, indices: Sequence[int] | None = None
) -> list[float]:
    """Return the response times of completed submissions in seconds."""
    selected = measured_submissions(run) if indices is None else indices
    return [
        run.results[index].at - run.arrivals[index].at
        for index in selected
        if _is_complete(run, index)
    ]


def _is_complete(run, index):
    result = run.results.get(index)
    return result is not None and result.state == "complete"


def slowdowns(
    run: Run, kind: str = "", indices: Sequence[int] | None = None
) -> list[float]:
    """Return response times over service times on the fastest server.

    The slowdown of a submission that was not completed is infinite.
    """
    fastest = max(run.workload.speeds)
    values = []
    for index in measured_submissions(run) if indices is None else indices:
        arrival = run.arrivals[index]
        if kind and arrival.tasks[0].kind != kind:
            continue
        if not _is_complete(run, index):
            values.append(math.inf)
            continue
        ideal = max(task.size for task in arrival.tasks) / fastest
        values.append((run.results[index].at - arrival.at) / ideal)
    return values


def _is_in_time(run, index):
    arrival = run.arrivals[index]
    return (
        _is_complete(run, index)
        and run.results[index].at <= arrival.at + arrival.timeout
    )


def in_time_share(run: Run) -> float:
    """Return the share of submissions during a swing completed in time."""
    start, end, _ = run.workload.swing
    during = _submissions_between(run, start, end)
    return sum(_is_in_time(run, index) for index in during) / len(during)


def recovery_time(run: Run) -> float:
    """Return the seconds after the swing until service is normal again.

    It is normal if the 95th percentile of slowdown of a quarter second's
    arrivals is at most 1.5 times that before the swing, and stays so for
    a second.
    """
    start, end, _ = run.workload.swing
    before = _submissions_between(run, run.workload.warm_up, start)
    bound = NORMAL_FACTOR * percentile(
        slowdowns(run, indices=before), NORMAL_PERCENTILE
    )
    last_slow = 0.0
    elapsed = 0.0
    while end + elapsed + BUCKET_SECONDS <= run.workload.seconds:
        selected = _submissions_between(
            run, end + elapsed, end + elapsed + BUCKET_SECONDS
        )
        elapsed += BUCKET_SECONDS
        values = slowdowns(run, indices=selected)
        if values and percentile(values, NORMAL_PERCENTILE) > bound:
            last_slow = elapsed
        if elapsed - last_slow >= 1.0:
            break
    return last_slow


def _submissions_between(run, start, end):
    return [
        index
        for index, arrival in enumerate(run.arrivals)
        if start <= arrival.at < end and _is_feasible(run, index)
    ]


def _is_feasible(run, index):
    if run.arrivals[index].cancel_at is not None:
        return False
    return run.oracle_run is None or _is_in_time(run.oracle_run, index)


def failed_share(run: Run, start: float, end: float) -> float:
    """Return the share of arrivals in an interval that were not completed."""
    selected = _submissions_between(run, start, end)
    failed = sum(not _is_complete(run, index) for index in selected)
    return failed / len(selected)


def wasted_per_task(run: Run) -> float:
    """Return the number of overhead messages per task.

    These are starts beyond the first of a task, and load hints.
    """
    tasks = sum(len(arrival.tasks) for arrival in run.arrivals)
    restarts = max(0, run.message_counts["starts"] - tasks)
    return (restarts + run.message_counts["hints"]) / tasks
