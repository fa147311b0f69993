"""Choice of the tasks that start next and of the batches to refuse."""

from __future__ import annotations

import collections
import math
import operator

from cardamompath_core import batch_order
from cardamompath_core import batches
from cardamompath_core import executors
from cardamompathd.controllers.planner import planner_crashes
from cardamompathd.controllers.planner import planner_health
from cardamompathd.controllers.planner import planner_leases
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_permissions
from cardamompathd.controllers.planner import planner_roles
from cardamompathd.controllers.planner import planner_runs

__all__ = [
    "dispatch",
    "estimate_plan",
    "record_demand",
    "refresh_estimates",
    "refuse_batch",
    "refuse_late",
    "report_backlog",
    "would_be_late",
]

HEAL_TIME = 1.5
"""Seconds after the end of a partition for which a claim proves nothing: a
lease, and the time until an instance counts as missing."""
LISTING_TIMEOUT = 0.3
"""Seconds until the executors are listed; after that the store counts as down,
and the last known list is used."""
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
        if _is_usable(executor, now):
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
    urgency = _urgency_of(plan)
    key = batch_order.sort_key(urgency, now)
    # On average half of its own tasks are ahead of one of them.
    work_ahead = len(plan.waiting) * plan.pool_time / 2.0
    for other in state.plans.values():
        if other.waiting and (
            batch_order.sort_key(_urgency_of(other), now) <= key
        ):
            work_ahead += len(other.waiting) * other.pool_time
    demand = state.demand.above(urgency.priority, now)
    return now + batch_order.expected_wait(work_ahead, demand)


def would_be_late(state, plan, now):
    """Return whether a new batch has to be refused, as it would be late."""
    urgency = _urgency_of(plan)
    if _has_room(state, plan, now):
        # Whatever waits did not fit there.
        return batch_order.is_too_late(urgency, now, False)
    start = expected_start(state, plan, now)
    return batch_order.is_too_late(urgency, start, True)


def _has_room(state, plan, now):
    """Return whether a task of a batch fits on an executor at present."""
    usable = _find_usable(state, plan.min_cpu, now)
    return bool(plan.waiting) and (
        _choose_executor(state, plan, plan.waiting[0], usable, now) is not None
    )


def _find_usable(state, min_cpu, now):
    """Return the usable executors that have some CPU left."""
    return [
        executor
        for executor in state.executors.values()
        if executor.free_resources.cpu >= min_cpu
        and executor.spec.name not in state.isolated
        and _is_usable(executor, now)
    ]


def record_demand(state, plan, now):
    """Count a new batch as part of the load."""
    work = len(plan.waiting) * plan.pool_time
    state.demand.add(plan.batch.policy.priority, work, now)


def dispatch(state, now):
    """Start the tasks that can start now; return the messages."""
    waiting_plans = [
        candidate for candidate in state.plans.values() if candidate.waiting
    ]
    if not waiting_plans or not _is_listing_current(state, now):
        return []
    planner_crashes.release_isolated(state, now)
    min_cpu = min(candidate.min_cpu for candidate in waiting_plans)
    usable = _find_usable(state, min_cpu, now)
    if not usable and not state.isolated:
        return []
    ranked = [
        (batch_order.sort_key(_urgency_of(plan), now), plan)
        for plan in waiting_plans
        if _may_start(state, plan, now)
    ]
    ranked.sort(key=operator.itemgetter(0))
    sends = []
    for _, plan in ranked:
        if planner_crashes.has_losses(state, plan):
            sends += _start_apart(state, plan, usable, min_cpu, now)
        elif usable:
            sends += _start_tasks(state, plan, usable, min_cpu, now)
        elif not state.isolated:
            break
    return sends


def _start_apart(state, plan, usable, min_cpu, now):
    """Start the tasks of a batch of which runs were lost with executors.

    Those that may have crashed them start where no other batch runs.  If
    there is no such executor, one is kept for them until its runs have ended.
    """
    modes = {
        task: planner_crashes.start_mode(state, plan, task, now)
        for task in plan.waiting
    }
    suspects = [task for task in plan.waiting if modes[task] == "alone"]
    held = [task for task in plan.waiting if modes[task] == "not yet"]
    shared = [task for task in plan.waiting if modes[task] == "shared"]
    plan.waiting = collections.deque(shared)
    sends = _start_tasks(state, plan, usable, min_cpu, now)
    left = list(plan.waiting)
    plan.waiting = collections.deque(suspects)
    sends += _start_alone(state, plan, usable, min_cpu, now)
    plan.waiting = collections.deque([*plan.waiting, *left, *held])
    return sends


def _start_alone(state, plan, usable, min_cpu, now):
    """Start waiting tasks of a batch where no other batch runs."""
    kept = [
        state.executors[name]
        for name, batch in state.isolated.items()
        if batch == plan.name
    ]
    candidates = [executor for executor in usable if not executor.runs]
    candidates += [
        executor
        for executor in kept
        if _is_usable(executor, now)
        and all(run.batch == plan.name for run in executor.runs)
    ]
    suspects = list(plan.waiting)
    sends = _start_tasks(state, plan, candidates, min_cpu, now)
    for task in suspects:
        if task.executor_name:
            state.isolated[task.executor_name] = plan.name
    if plan.waiting and not kept:
        _keep_executor(state, plan, plan.waiting[0], usable)
    usable[:] = [
        executor
        for executor in usable
        if executor.spec.name not in state.isolated
    ]
    return sends


def _keep_executor(state, plan, task, usable):
    """Keep the executor with the fewest runs for a suspect task.

    One executor at a time is kept while other batches still run there.
    """
    for name, batch in state.isolated.items():
        if any(run.batch != batch for run in state.executors[name].runs):
            return
    for executor in sorted(usable, key=lambda item: len(item.runs)):
        spec = executor.spec
        step = plan.batch.steps[task.step]
        if (
            spec.service == plan.batch.policy.service
            and executors.fits(step.resources, spec.capacity)
            and (not step.label or step.label in spec.labels)
        ):
            state.isolated[spec.name] = plan.name
            return


def _is_listing_current(state, now):
    """Return whether the executors were listed since planning began.

    An older list may show executors as ready that are draining by now.
    """
    is_listed = (
        state.listed_at is not None and state.listed_at >= state.began_at
    )
    return is_listed or now > state.began_at + LISTING_TIMEOUT


def _may_start(state, plan, now):
    """Return whether only this planner can have runs of a batch.

    If the earlier planners had the same shard, this planner has claimed
    every executor on which such runs may be.
    """
    lease = planner_permissions.lease_time(state, plan, now)
    if lease < planner_runs.MIN_LEASE:
        return False
    if plan.round == 0:
        return True
    # After a partition two planners may fence each other in turn until both
    # see the whole fleet.
    is_healing = state.healed_at is not None and (
        now < state.healed_at + HEAL_TIME
    )
    if (
        not plan.shard_changed
        and not is_healing
        and planner_leases.all_claimed(state, plan)
    ):
        return True
    last_start = max(state.began_at, plan.received_at, plan.permitted_until)
    return now >= last_start + planner_runs.LAPSE_TIME


def _is_usable(executor, now):
    """Return whether tasks may be started on an executor."""
    if (
        not executor.claimed
        or not executor.described
        or executor.suspect
        or executor.unregistered
        or executor.orphans
    ):
        return False
    if executor.spec.state != executors.READY:
        return False
    return not planner_health.is_ejected(executor, now)


def _urgency_of(plan):
    """Return what decides when a batch starts."""
    policy = plan.batch.policy
    return batch_order.Urgency(
        policy.priority,
        plan.submitted_at,
        policy.stretch * plan.expected_time + policy.slack,
        plan.expected_time,
        plan.deadline,
        plan.may_have_started,
    )


def _start_tasks(state, plan, usable, min_cpu, now):
    """Start the waiting tasks of a batch that fit; return the messages."""
    sends = []
    placements = []
    candidates = usable
    while plan.waiting:
        task = plan.waiting[0]
        executor = _choose_executor(state, plan, task, candidates, now)
        if executor is None:
            break
        lease_end = None
        if planner_permissions.is_announced(state, executor, plan):
            lease_end = planner_permissions.start_lease_end(
                state, executor, plan, now
            )
        if lease_end is None:
            candidates = [item for item in candidates if item is not executor]
            continue
        plan.waiting.popleft()
        placements.append([executor.spec.name, f"{task.step}.{task.index}"])
        sends += planner_runs.send_start(executor, plan, task, lease_end, now)
        if executor.free_resources.cpu < min_cpu:
            usable.remove(executor)
            candidates = [item for item in candidates if item is not executor]
    if placements:
        sends.append(_log_sent_tasks(state, plan, placements, now))
    return sends


def _log_sent_tasks(state, plan, placements, now):
    """Log where tasks of a batch were sent, and how urgent they are."""
    return planner_log.decision(
        "tasks sent",
        plan.name,
        executors=placements,
        waiting=len(plan.waiting),
        spare_ms=round((_urgency_of(plan).latest_start - now) * 1000.0),
        expected_ms=round(plan.expected_time * 1000.0),
        listing_changed_ms=_age_ms(state.listed_at, now),
    )


def _age_ms(since, now):
    return None if since is None else round((now - since) * 1000.0)


def _choose_executor(state, plan, task, usable, now):
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


def refuse_late(state, now):
    """Refuse batches that would be too late and have not started."""
    sends = []
    for plan in list(state.plans.values()):
        urgency = _urgency_of(plan)
        is_late = batch_order.is_too_late(urgency, now, True)
        if is_late and batch_order.is_too_late(
            urgency, now, not _has_room(state, plan, now)
        ):
            sends += refuse_batch(state, plan, now)
    return sends


def refuse_batch(state, plan, now):
    """Refuse a batch that has not started; return the messages."""
    reason = "no executor is free before the answer would be too late"
    decision = planner_log.decision(
        "refusal",
        plan.name,
        waiting_batches=len(state.plans),
        work_ms=round(plan.expected_time * 1000.0),
        waited_ms=round((now - plan.received_at) * 1000.0),
        left_ms=round((plan.deadline - now) * 1000.0),
        executors=sum(state.pool.values()),
    )
    delay = batch_order.retry_delay(
        _urgency_of(plan), expected_start(state, plan, now)
    )
    outcome = batches.Outcome(batches.REFUSED, reason, delay)
    return [decision, *planner_runs.finish_batch(state, plan, outcome, now)]
