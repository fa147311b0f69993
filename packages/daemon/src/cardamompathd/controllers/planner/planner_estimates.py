"""Estimates of run times, of the backlog and of when a batch starts."""

from __future__ import annotations

import math

from cardamompath_core import batch_order
from cardamompath_core import executors
from cardamompathd.controllers.planner import planner_order
from cardamompathd.controllers.planner import planner_placement
from cardamompathd.controllers.planner import planner_roles

__all__ = [
    "EMPTY_POOL_BACKLOG",
    "estimate_plan",
    "expected_start",
    "record_demand",
    "refresh_estimates",
    "report_backlog",
]

BACKLOG_STEP = 0.02
"""Seconds to whose multiple a backlog is rounded up; a finer value would be
reported again with each heartbeat."""
EMPTY_POOL_BACKLOG = 10.0
"""Backlog in seconds of a planner without a usable executor; longer than
callers wait for short tasks."""


def refresh_estimates(state, now):
    """Count the usable executors, and estimate all batches again."""
    state.pool.clear()
    for executor in state.executors.values():
        if planner_placement.is_usable(executor, now):
            spec = executor.spec
            state.pool[spec.service, spec.model, spec.capacity] += 1
    for plan in state.plans.values():
        estimate_plan(state, plan, now)


def report_backlog(state):
    """Report how long the waiting tasks take, if that has changed."""
    seconds = sum(
        len(plan.waiting) * plan.pool_time for plan in state.plans.values()
    )
    if not state.pool:
        seconds = EMPTY_POOL_BACKLOG
    backlog = math.ceil(seconds / BACKLOG_STEP) * BACKLOG_STEP
    return planner_roles.report_backlog(state, backlog)


def estimate_plan(state, plan, now):
    """Estimate the run time and the pool time of the tasks of a batch."""
    policy = plan.batch.policy
    step = plan.batch.steps[0]
    rate = 0.0
    best_time = math.inf
    for (service, model, capacity), count in state.pool.items():
        if service != policy.service:
            continue
        run_time = state.run_times.expected(
            policy.route, model, step.estimate, now
        )
        best_time = min(best_time, run_time)
        rate += (
            count
            * executors.count_fitting(step.resources, capacity)
            / run_time
        )
    if best_time is math.inf:
        best_time = state.run_times.expected(
            policy.route, "", step.estimate, now
        )
    plan.expected_time = best_time
    plan.pool_time = 1.0 / rate if rate > 0.0 else 0.0


def expected_start(state, plan, now):
    """Return when the tasks of a new batch are expected to start."""
    key = planner_order.rank(state, plan, now)
    # On average half of its own tasks are ahead of one of them.
    work_ahead = len(plan.waiting) * plan.pool_time / 2.0
    for other in state.plans.values():
        if other.waiting and planner_order.rank(state, other, now) <= key:
            work_ahead += len(other.waiting) * other.pool_time
    demand = state.demand.above(plan.batch.policy.priority, now)
    return now + batch_order.expected_wait(work_ahead, demand)


def record_demand(state, plan, now):
    """Count a new batch as part of the load."""
    work = len(plan.waiting) * plan.pool_time
    state.demand.add(plan.batch.policy.priority, work, now)
