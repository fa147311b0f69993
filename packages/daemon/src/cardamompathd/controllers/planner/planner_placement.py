"""Choice of the executor on which a task starts."""

from __future__ import annotations

from cardamompath_core import evacuation
from cardamompath_core import executors
from cardamompathd.controllers.planner import planner_health
from cardamompathd.controllers.planner import planner_readings

__all__ = [
    "choose_executor",
    "find_usable",
    "has_room",
    "is_available",
    "is_usable",
]


def is_usable(state, executor, now):
    """Return whether tasks may be started on an executor."""
    if (
        not executor.claimed
        or not executor.described
        or executor.suspect
        or executor.orphans
    ):
        return False
    if planner_readings.is_too_old(state, now):
        return False
    return is_available(state, executor, now)


def is_available(state, executor, now):
    """Return whether an executor gets tasks once it answers its holds."""
    if executor.unregistered or executor.spec.state != executors.READY:
        return False
    if not evacuation.may_start_in(state.evacuation, executor.spec.domain):
        return False
    return not planner_health.is_ejected(executor, now)


def find_usable(state, min_cpu, now):
    """Return the usable executors that have some CPU left."""
    return [
        executor
        for executor in state.executors.values()
        if executor.free_resources.cpu >= min_cpu
        and executor.spec.name not in state.isolated
        and is_usable(state, executor, now)
    ]


def has_room(state, plan, now):
    """Return whether a task of a batch fits on an executor at present."""
    usable = find_usable(state, plan.min_cpu, now)
    return bool(plan.waiting) and (
        choose_executor(state, plan, plan.waiting[0], usable, now) is not None
    )


def choose_executor(state, plan, task, usable, now):
    """Return the usable executor that is expected to run a task fastest.

    Among equal ones, return the one that has the least CPU left over.
    """
    step = plan.batch.steps[task.step]
    route = plan.batch.policy.route
    service = plan.batch.policy.service
    best = None
    best_key = None
    run_times = {}
    for executor in usable:
        spec = executor.spec
        if spec.service != service or not executors.fits(
            step.resources, executor.free_resources
        ):
            continue
        if step.label and step.label not in spec.labels:
            continue
        if step.max_per_executor and _count_runs(executor, plan, task) >= (
            step.max_per_executor
        ):
            continue
        run_time = run_times.get(spec.model)
        if run_time is None:
            run_time = state.run_times.expected(
                route, spec.model, step.estimate, now
            )
            run_times[spec.model] = run_time
        run_time *= planner_health.slowdown(executor) * (
            1.0 + executor.failure_rate
        )
        if step.rack and step.rack not in spec.labels:
            run_time *= state.remote_rack_factor
        key = (run_time, executor.free_resources.cpu - step.resources.cpu)
        if best is None or key < best_key:
            best, best_key = executor, key
    return best


def _count_runs(executor, plan, task):
    return sum(
        1
        for run in executor.runs
        if run.batch == plan.name and run.step == task.step
    )
