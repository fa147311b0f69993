"""How executors do, by the results of their runs.

An executor's own reports are not used: one that fails or stalls all that
it starts has free room, and would get ever more.
"""

from __future__ import annotations

import collections
import math
import statistics

from cardamompathd.controllers import planner_log
from cardamompathd.controllers import planner_runs

__all__ = [
    "eject_unhealthy",
    "is_ejected",
    "slowdown",
]

MAX_FAILURE_RATE = 0.6
"""Share of failed runs from which an executor rests."""
EJECTION_TIME = 2.0
"""Seconds of the first rest; each further one is longer by as much."""
MAX_EJECTION_TIME = 10.0
OVERDUE_FACTOR = 4.0
"""Multiple of its expected time after which a run is overdue.  All tasks
of one batch in thirty take longer, so that overdue runs of two batches
are hardly an accident."""
MIN_OVERDUE_TIME = 0.3
"""Seconds that an overdue run has taken at least; moving a shorter one
gains nothing."""
MIN_OVERDUE_BATCHES = 2
"""Batches with overdue runs on an executor that stalls."""
HIGH_LOG_SLOWDOWN = 0.8
"""Logarithmic pace of an executor that is slower than others that were
bought with it; the users' differ by up to 2.4 times."""
SLOWDOWN_DECAY = 0.99
"""Share of such a pace that is left after each look; half of it is
forgotten in 3.5 s, so that a slow executor is tried again."""


def slowdown(executor):
    """Return how many times longer runs take than on its kind."""
    return math.exp(executor.log_slowdown)


def is_ejected(executor, now):
    """Return whether an executor gets no work because of its results."""
    return now < executor.ejected_until


def eject_unhealthy(state, now):
    """Let executors rest that fail or stall; return the messages."""
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
        several = len({run.batch for run in overdue}) >= MIN_OVERDUE_BATCHES
        if several and len(overdue) == len(executor.runs):
            sends += _eject(executor, "runs stall", now)
            sends += _stop_runs(executor, overdue)
    return sends


def _normalize_slowdowns(state):
    """Keep paces relative to the median of their kind.

    Batches compare executors, no more; how long runs take on a kind is
    learned apart from that.
    """
    kinds = collections.defaultdict(list)
    for executor in state.executors.values():
        kinds[executor.spec.model].append(executor)
    for group in kinds.values():
        median = statistics.median(one.log_slowdown for one in group)
        for executor in group:
            executor.log_slowdown -= median


def _find_overdue(state, executor, now):
    found = []
    for run, (plan, task) in executor.runs.items():
        step = plan.batch.steps[task.step]
        expected = state.run_times.expected(
            plan.batch.policy.route, executor.spec.model, step.estimate
        )
        usual = max(
            OVERDUE_FACTOR * expected * slowdown(executor), MIN_OVERDUE_TIME
        )
        late = now - task.started_at > usual
        if (
            late
            and executor.last_end_at < task.started_at
            and not task.adopted
        ):
            found.append(run)
    return found


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
    """Stop runs, so that their tasks start elsewhere."""
    sends = []
    for run in runs:
        task = executor.runs[run][1]
        if not task.stopping:
            task.stopping = True
            sends += planner_runs.send_stop(executor, run)
    return sends
