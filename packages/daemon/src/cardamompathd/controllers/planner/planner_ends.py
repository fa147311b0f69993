"""Forecast of when the runs of a planner end and what is free then."""

from __future__ import annotations

import math
import operator

from cardamompath_core import executors
from cardamompath_core import placement
from cardamompath_core import run_ends
from cardamompathd.controllers.planner import planner_health

__all__ = [
    "EndForecasts",
    "book",
    "find_room",
    "free_at",
    "list_upcoming",
    "take_decisions",
    "usual_time",
]

FORECAST_TIME = 0.02
"""Seconds for which the forecast of an executor is kept unless its runs
change; a third of the run time of a short task."""
LIST_TIME = 0.001
"""Seconds for which the list of all ends is kept, as events follow one another
within a millisecond; executors whose runs have changed are passed over."""


class EndForecasts:
    """Forecasts that are kept for a while, as each event needs them."""

    __slots__ = (
        "booked",
        "by_executor",
        "decisions",
        "logged",
        "upcoming",
        "upcoming_at",
    )

    def __init__(self):
        self.by_executor: dict[str, tuple] = {}
        """Free resources of each executor, when its runs were forecast, and
        their ends.  Each start and end replaces the free resources."""
        self.upcoming: list[tuple] = []
        """When room gets free on each executor, and how much."""
        self.upcoming_at = -math.inf
        """When that was listed."""
        self.booked: dict[str, executors.Resources] = {}
        """Room that tasks wait for, by executor, as of this dispatch."""
        self.logged: set[str] = set()
        """Batches of which it was logged that they wait for an executor."""
        self.decisions: list = []
        """Log lines that are not sent yet."""


def take_decisions(state):
    """Return the log lines of the tasks that wait for an executor."""
    decisions = state.end_forecasts.decisions
    if decisions:
        state.end_forecasts.decisions = []
    return decisions


def list_upcoming(state, is_usable, now):
    """Return when room gets free on the usable executors, in order.

    Each item has the expected time, the executor, its free resources now and
    those from then on.  It does not hold if those of now have been replaced,
    as each start and end does.
    """
    forecasts = state.end_forecasts
    if now - forecasts.upcoming_at >= LIST_TIME:
        forecasts.upcoming_at = now
        upcoming = []
        for executor in state.executors.values():
            if (
                executor.runs
                and executor.spec.name not in state.isolated
                and is_usable(state, executor, now)
            ):
                free_now = free = executor.free_resources
                for ends_at, resources in _list_ends(state, executor, now):
                    free = executors.add(free, resources)
                    upcoming.append((ends_at, executor, free_now, free))
        upcoming.sort(key=operator.itemgetter(0))
        forecasts.upcoming = upcoming
    return forecasts.upcoming


def book(state, executor, resources):
    """Book room on an executor for a task that waits for it."""
    booked = state.end_forecasts.booked
    name = executor.spec.name
    known = booked.get(name, executors.Resources())
    booked[name] = executors.add(known, resources)


def find_room(state, executor, resources, now):
    """Return when a task is expected to fit on an executor, or None."""
    runs = [
        placement.RunLeft(freed, max(0.0, ends_at - now))
        for ends_at, freed in _list_ends(state, executor, now)
    ]
    return placement.find_room(resources, executor.free_resources, runs)


def free_at(state, executor, at, now):
    """Return the resources that are expected to be free at a time."""
    free = executor.free_resources
    for ends_at, freed in _list_ends(state, executor, now):
        if ends_at <= at:
            free = executors.add(free, freed)
    return free


def usual_time(state, executor, plan, task, now):
    """Return the usual time of a run, and whether its batch is the source.

    Returns
    -------
    tuple of float and bool
        Seconds on that executor, and whether they are learned from other
        tasks of the same batch.
    """
    step = plan.batch.steps[task.step]
    usual = planner_health.slowdown(executor) * state.run_times.expected(
        plan.batch.policy.route, executor.spec.model, step.estimate, now
    )
    if not plan.size_samples:
        return usual, False
    return usual * math.exp(plan.log_size), True


def _list_ends(state, executor, now):
    """Return when runs are expected to end and what they free, in order."""
    free = executor.free_resources
    by_executor = state.end_forecasts.by_executor
    if len(by_executor) > placement.MAX_REMEMBERED:
        by_executor.clear()
    known = by_executor.get(executor.spec.name)
    if (
        known is not None
        and known[0] is free
        and now - known[1] < FORECAST_TIME
    ):
        return known[2]
    ends = []
    for plan, task in executor.runs.values():
        usual, known_size = usual_time(state, executor, plan, task, now)
        left = run_ends.remaining(now - task.started_at, usual, known_size)
        resources = plan.batch.steps[task.step].resources
        ends.append((now + left.expected, resources))
    ends.sort(key=operator.itemgetter(0))
    by_executor[executor.spec.name] = (free, now, ends)
    return ends
