"""Order in which batches start, and when one is refused.

Answers bursts and waves in which more work arrives than the executors can
do.  Three rules keep what they do of use to callers:

- A batch with started tasks comes first while its answer is still of use.
  Otherwise many batches start a few of their tasks and none ends in time.
- Among the others the priority of the route decides, then the time by which
  they have to start; those that can only be late come after all that can be
  in time.
- A batch that would be late by the work ahead of it is refused as it
  arrives, before it has waited.  Work of higher priority that keeps arriving
  counts as a share of the executors that is not there.  While executors are
  free, as after a hand-over between planners, a late answer is still given.
"""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = [
    "Demand",
    "Urgency",
    "expected_wait",
    "is_too_late",
    "is_useless",
    "retry_delay",
    "sort_key",
]

LATE_FACTOR = 3.0
"""Multiple of the objective up to which a late answer is of use, by the
users' rules."""
OVERLOAD_FACTOR = 1.5
"""The same while no executor is free: as long as late batches wait, none of
those behind them can be in time."""
DEMAND_TIME = 0.5
"""Seconds over which the arriving work is averaged; a few times the
objective of short batches, and a fraction of a burst."""
MIN_SHARE = 0.05
"""Smallest share of the executors that is taken to be left for a priority."""
MIN_RETRY_DELAY = 0.5
MAX_RETRY_DELAY = 5.0
"""Bounds on the seconds after which a refused caller may retry; bursts last
some seconds."""


class Urgency(NamedTuple):
    """What decides when a batch starts.  Times are in seconds."""

    priority: int
    """Priority of its route; lower ones come first."""
    submitted_at: float
    objective: float
    """Time from its submission within which the caller wants the answer."""
    run_time: float
    """Expected run time of a task where it is fastest."""
    deadline: float
    """When the caller stops waiting."""
    is_started: bool
    """Whether an executor may have started any of its tasks."""

    @property
    def latest_start(self) -> float:
        """Return when it has to start to meet its objective."""
        return self.submitted_at + self.objective - self.run_time


def sort_key(urgency: Urgency, now: float) -> tuple[int, int, float]:
    """Return the sort key of a batch; the one to start next comes first."""
    latest_start = urgency.latest_start
    if urgency.is_started and not is_useless(urgency, now):
        return (0, 0, latest_start)
    if now <= latest_start:
        group = 1
    elif not is_useless(urgency, now):
        group = 2
    else:
        group = 3
    return (group, urgency.priority, latest_start)


def is_useless(urgency: Urgency, now: float) -> bool:
    """Return whether the answer of a batch that starts now is of no use."""
    limit = urgency.submitted_at + LATE_FACTOR * urgency.objective
    return now + urgency.run_time > limit


def is_too_late(urgency: Urgency, start: float, is_full: bool) -> bool:
    """Return whether a batch has to be refused if it starts at a time.

    A batch with started tasks never is, as it may not be said not to have
    run.

    Parameters
    ----------
    start : float
        When its tasks can start, in seconds.
    is_full : bool
        Whether no executor has room for a task of it at present.
    """
    factor = OVERLOAD_FACTOR if is_full else LATE_FACTOR
    limit = urgency.submitted_at + factor * urgency.objective
    return not urgency.is_started and (
        start + urgency.run_time > min(limit, urgency.deadline)
    )


def expected_wait(work_ahead: float, demand_above: float) -> float:
    """Return the expected wait of a new batch in seconds.

    Parameters
    ----------
    work_ahead : float
        Seconds that all executors need for the tasks that start before it.
    demand_above : float
        Share of the executors that arriving batches of higher priority take.
    """
    return work_ahead / max(1.0 - demand_above, MIN_SHARE)


def retry_delay(urgency: Urgency, start: float) -> float:
    """Return after how many seconds a refused caller may retry.

    It is the time by which the expected start misses the objective.
    """
    excess = start - urgency.latest_start
    return max(MIN_RETRY_DELAY, min(MAX_RETRY_DELAY, excess))


class Demand:
    """Share of the executors that arriving work takes, by priority."""

    def __init__(self):
        self._averages: dict[int, tuple[float, float]] = {}
        """Average by priority, and when it was computed."""

    def add(self, priority: int, work: float, now: float) -> None:
        """Add a batch that has arrived.

        Parameters
        ----------
        priority : int
            Its priority.
        work : float
            Seconds that all executors need for its tasks.
        now : float
            Present time in seconds.
        """
        average = self._average(priority, now) + work / DEMAND_TIME
        self._averages[priority] = (average, now)

    def above(self, priority: int, now: float) -> float:
        """Return the share that batches of higher priority take."""
        return sum(
            self._average(other, now)
            for other in self._averages
            if other < priority
        )

    def _average(self, priority, now):
        average, computed_at = self._averages.get(priority, (0.0, now))
        return average * math.exp((computed_at - now) / DEMAND_TIME)
