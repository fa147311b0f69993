"""Health of executors, judged by the results of their runs.

What an executor reports about itself is not used: one that fails or stalls
all its runs reports free resources, and would get more and more of them.
"""

from __future__ import annotations

import collections
import math
import statistics

from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_runs

__all__ = [
    "eject_unhealthy",
    "is_ejected",
    "slowdown",
]

MAX_FAILURE_RATE = 0.6
"""Failure rate above which an executor is ejected."""
EJECTION_TIME = 2.0
"""Seconds of the first ejection; each further one is longer by as much."""
MAX_EJECTION_TIME = 10.0
"""Maximum duration of an ejection, in seconds."""
OVERDUE_FACTOR = 4.0
"""Multiple of its expected time after which a run is overdue.  One batch in
thirty has only tasks that take longer, so overdue runs of two batches on an
executor are unlikely to be chance."""
MIN_OVERDUE_TIME = 0.3
"""Seconds for which a run is never overdue; moving such a short one gains
nothing."""
MIN_OVERDUE_BATCHES = 2
"""Minimum number of batches with overdue runs for which an executor counts as
stalled."""
HIGH_LOG_SLOWDOWN = 0.8
"""Logarithm of the slowdown of an executor that is clearly slower than others
of its model.  At the users' sites these differ by up to 2.4 times."""
SLOWDOWN_DECAY = 0.96
"""Share of a logarithm above `HIGH_LOG_SLOWDOWN` that a review leaves.  Half
of it is forgotten in 3.5 s, so that a slow executor is tried again."""


def slowdown(executor):
    """Return the run time on an executor relative to others of its model."""
    return math.exp(executor.log_slowdown)


def is_ejected(executor, now):
    """Return whether an executor gets no tasks because of its results."""
    return now < executor.ejected_until


def eject_unhealthy(state, now):
    """Eject executors whose runs fail or stall; return the messages."""
    sends = []
    _normalize_slowdowns(state)
    for executor in state.executors.values():
        if executor.log_slowdown > HIGH_LOG_SLOWDOWN:
            executor.log_slowdown *= SLOWDOWN_DECAY
        if is_ejected(executor, now):
            continue
        if executor.failure_rate > MAX_FAILURE_RATE:
            sends += _eject(executor, "runs fail", now)
            continue
        overdue = _find_overdue(state, executor, now)
        many_batches = (
            len({run.batch for run in overdue}) >= MIN_OVERDUE_BATCHES
        )
        if many_batches and len(overdue) == len(executor.runs):
            sends += _eject(executor, "runs stall", now)
            sends += _stop_runs(executor, overdue)
    return sends


def _normalize_slowdowns(state):
    """Divide slowdowns by the median slowdown of their model.

    Slowdowns only compare executors with one another; how long runs take on
    a model is learned separately.
    """
    groups = collections.defaultdict(list)
    for executor in state.executors.values():
        groups[executor.spec.model].append(executor)
    for group in groups.values():
        median = statistics.median(item.log_slowdown for item in group)
        for executor in group:
            executor.log_slowdown -= median


def _find_overdue(state, executor, now):
    """Return the overdue runs that started after the last end there."""
    overdue = []
    for run, (plan, task) in executor.runs.items():
        step = plan.batch.steps[task.step]
        expected = state.run_times.expected(
            plan.batch.policy.route, executor.spec.model, step.estimate, now
        )
        limit = max(
            OVERDUE_FACTOR * expected * slowdown(executor), MIN_OVERDUE_TIME
        )
        is_overdue = now - task.started_at > limit
        if (
            is_overdue
            and executor.last_end_at < task.started_at
            and not task.adopted
        ):
            overdue.append(run)
    return overdue


def _eject(executor, reason, now):
    executor.ejections += 1
    duration = min(EJECTION_TIME * executor.ejections, MAX_EJECTION_TIME)
    executor.ejected_until = now + duration
    executor.failure_rate = 0.0
    return [
        planner_log.decision(
            "executor rests",
            executor=executor.spec.name,
            reason=reason,
            rest_s=duration,
            runs=len(executor.runs),
        )
    ]


def _stop_runs(executor, runs):
    """Stop runs, so that their tasks start on other executors."""
    sends = []
    for run in runs:
        task = executor.runs[run][1]
        if not task.stopping:
            task.stopping = True
            sends += planner_runs.send_stop(executor, run)
    return sends
