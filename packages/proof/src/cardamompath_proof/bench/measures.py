"""What a run is judged by."""

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
    "crest_share",
    "failed_share",
    "measured",
    "percentile",
    "response_times",
    "slowdowns",
    "until_normal",
    "wasted",
]

BUCKET = 0.25
"""Seconds of arrivals that are judged together after a swing."""
NORMAL_SHARE = 0.95
NORMAL_FACTOR = 1.5


class Result(NamedTuple):
    """How and when a submission was answered."""

    at: float
    state: str
    """Name of the answer's type in lower case."""


class Run(NamedTuple):
    """What one run left behind."""

    load: workloads.Workload
    arrivals: Sequence[workloads.Arrival]
    results: Mapping[int, Result]
    waste: Mapping[str, int] = collections.Counter()
    cpu: float = 0.0
    """Seconds spent in the controllers."""
    best: Run | None = None
    """The oracle's run of the same workload."""


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile; NaN for no values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    rank = math.ceil(share * len(ordered)) - 1
    return ordered[min(max(rank, 0), len(ordered) - 1)]


def measured(run: Run) -> list[int]:
    """Return the submissions after the warm-up that count.

    What was cancelled does not count, nor what even the oracle cannot
    answer within its deadline.
    """
    return _arrived(run, run.load.warm_up, run.load.seconds)


def response_times(
    run: Run, among: Sequence[int] | None = None
) -> list[float]:
    """Return the seconds until each complete answer."""
    chosen = measured(run) if among is None else among
    return [
        run.results[index].at - run.arrivals[index].at
        for index in chosen
        if _is_complete(run, index)
    ]


def _is_complete(run, index):
    result = run.results.get(index)
    return result is not None and result.state == "complete"


def slowdowns(
    run: Run, kind: str = "", among: Sequence[int] | None = None
) -> list[float]:
    """Return response time over the service time on the fastest server.

    What was not answered completely counts as infinitely slow.
    """
    fastest = max(run.load.speeds)
    found = []
    for index in measured(run) if among is None else among:
        arrival = run.arrivals[index]
        if kind and arrival.tasks[0].kind != kind:
            continue
        if not _is_complete(run, index):
            found.append(math.inf)
            continue
        ideal = max(task.size for task in arrival.tasks) / fastest
        found.append((run.results[index].at - arrival.at) / ideal)
    return found


def _in_time(run, index):
    arrival = run.arrivals[index]
    return (
        _is_complete(run, index)
        and run.results[index].at <= arrival.at + arrival.timeout
    )


def crest_share(run: Run) -> float:
    """Return the share of a swing's work that is answered in time."""
    start, end, _ = run.load.swing
    during = _arrived(run, start, end)
    return sum(_in_time(run, index) for index in during) / len(during)


def until_normal(run: Run) -> float:
    """Return the seconds after the swing until service is normal again.

    Normal means that the 95th percentile of slowdown of a quarter
    second's arrivals is at most 1.5 times that before the swing, and
    stays so for a second.
    """
    start, end, _ = run.load.swing
    before = _arrived(run, run.load.warm_up, start)
    bound = NORMAL_FACTOR * percentile(
        slowdowns(run, among=before), NORMAL_SHARE
    )
    late = 0.0
    waited = 0.0
    while end + waited + BUCKET <= run.load.seconds:
        chosen = _arrived(run, end + waited, end + waited + BUCKET)
        waited += BUCKET
        values = slowdowns(run, among=chosen)
        if values and percentile(values, NORMAL_SHARE) > bound:
            late = waited
        if waited - late >= 1.0:
            break
    return late


def _arrived(run, start, end):
    return [
        index
        for index, one in enumerate(run.arrivals)
        if start <= one.at < end and _is_possible(run, index)
    ]


def _is_possible(run, index):
    if run.arrivals[index].cancel_at is not None:
        return False
    return run.best is None or _in_time(run.best, index)


def failed_share(run: Run, start: float, end: float) -> float:
    """Return the share of arrivals in a time that were not completed."""
    chosen = _arrived(run, start, end)
    failed = sum(not _is_complete(run, index) for index in chosen)
    return failed / len(chosen)


def wasted(run: Run) -> float:
    """Return the messages per task that changed no outcome.

    Starts beyond the first of a task, and load hints.
    """
    tasks = sum(len(one.tasks) for one in run.arrivals)
    again = max(0, run.waste["starts"] - tasks)
    return (again + run.waste["hints"]) / tasks
