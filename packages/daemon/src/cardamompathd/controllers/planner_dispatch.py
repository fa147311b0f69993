"""Which task starts next, and where."""

from __future__ import annotations

import functools
import math
import operator

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompathd.controllers import planner_health
from cardamompathd.controllers import planner_leases
from cardamompathd.controllers import planner_log
from cardamompathd.controllers import planner_roles
from cardamompathd.controllers import planner_runs

__all__ = [
    "dispatch",
    "estimate_plan",
    "refresh_estimates",
    "refuse_batch",
    "refuse_late",
    "report_backlog",
    "would_be_late",
]

TAKEOVER_DELAY = planner_runs.LEASE * 1.02 + planner_runs.LEASE_MARGIN
"""Seconds after which no run of an earlier planner is left, unless
somebody still holds its executor."""
HEAL_TIME = 1.5
"""Seconds after the end of a cut in which a claim proves nothing: a
lease, and the silence after which an instance counts as missing."""
LISTING_TIMEOUT = 0.3
"""Seconds for a listing of the executors; after that the store counts
as down and the last one known is used."""
LATE_FACTOR = 3.0
"""Multiple of the objective up to which a late answer has some worth,
by the users' rules."""
BACKLOG_STEP = 0.02
"""Seconds to which a backlog is rounded; a finer one would be told anew
with each sign of life."""
EMPTY_POOL_BACKLOG = 10.0
"""Seconds that count as the backlog of a planner that has no executor in
use; longer than callers wait for short tasks."""
RETRY_AFTER = 1.0
"""Seconds after which a refused caller may try again."""


def refresh_estimates(state, now):
    """Count the executors in use, and estimate the batches anew."""
    state.pool.clear()
    for executor in state.executors.values():
        if _is_usable(executor, now):
            spec = executor.spec
            state.pool[spec.service, spec.model, spec.capacity] += 1
    for plan in state.plans.values():
        estimate_plan(state, plan)


def report_backlog(state):
    """Tell how long the waiting work takes, when that has changed."""
    seconds = sum(
        len(one.waiting) * one.pool_time for one in state.plans.values()
    )
    if not state.pool:
        seconds = EMPTY_POOL_BACKLOG
    backlog = math.ceil(seconds / BACKLOG_STEP) * BACKLOG_STEP
    return planner_roles.report_backlog(state, backlog)


def estimate_plan(state, plan):
    """Estimate the work of a batch, and what it takes of the pool."""
    terms = plan.batch.policy
    step = plan.batch.steps[0]
    rate = 0.0
    best = math.inf
    for (service, kind, capacity), count in state.pool.items():
        if service != terms.service:
            continue
        took = state.run_times.expected(terms.route, kind, step.estimate)
        best = min(best, took)
        rate += (
            count * executors.count_fitting(step.resources, capacity) / took
        )
    if best is math.inf:
        best = state.run_times.expected(terms.route, "", step.estimate)
    plan.expected_time = best
    plan.pool_time = 1.0 / rate if rate > 0.0 else 0.0


def would_be_late(state, plan, now):
    """Return whether a new batch would be answered too late to count.

    What has to start sooner, and can still be in time, goes first.
    """
    latest = _latest_start(plan)
    ahead = len(plan.waiting) * plan.pool_time
    for other in state.plans.values():
        if other.waiting and now <= _latest_start(other) <= latest:
            ahead += len(other.waiting) * other.pool_time
    end = now + ahead + plan.expected_time
    return end > min(plan.deadline, _late_limit(plan))


def dispatch(state, now):
    """Start the tasks that can start now; return the messages."""
    waiting = [one for one in state.plans.values() if one.waiting]
    if not waiting or not _is_listing_current(state, now):
        return []
    min_cpu = min(one.min_cpu for one in waiting)
    usable = [
        one
        for one in state.executors.values()
        if one.free.cpu >= min_cpu and _is_usable(one, now)
    ]
    if not usable:
        return []
    ranked = [
        (_sort_key(plan, now), plan)
        for plan in waiting
        if _may_start(state, plan, now)
    ]
    ranked.sort(key=operator.itemgetter(0))
    sends = []
    for _, plan in ranked:
        if not usable:
            break
        sends += _start_tasks(state, plan, usable, min_cpu, now)
    return sends


def _is_listing_current(state, now):
    """Return whether the executors were listed since this planner began.

    Before that, some may have said that they leave.
    """
    listed = state.listed_at is not None and state.listed_at >= state.began_at
    return listed or now > state.began_at + LISTING_TIMEOUT


def _may_start(state, plan, now):
    """Return whether no other planner can have runs of a batch left.

    This one holds every executor on which they may be, if the earlier
    planners had the same place.
    """
    if plan.round == 0:
        return True
    # After a cut two planners may claim in turn until both see the fleet.
    healing = state.healed_at is not None and (
        now < state.healed_at + HEAL_TIME
    )
    if not plan.shard_changed and not healing:
        is_assigned = functools.partial(planner_roles.is_assigned, state)
        if planner_leases.all_claimed(state, is_assigned, now):
            return True
    return now >= max(state.began_at, plan.received_at) + TAKEOVER_DELAY


def _is_usable(executor, now):
    if (
        not executor.claimed
        or executor.suspect
        or executor.unregistered
        or executor.orphans
    ):
        return False
    if executor.spec.state != executors.READY:
        return False
    return not planner_health.is_ejected(executor, now)


def _sort_key(plan, now):
    """Return the sort key of a batch: least time to spare first."""
    latest = _latest_start(plan)
    return (latest < now, latest, plan.received_at)


def _latest_start(plan):
    """Return when a batch has to start to be answered in time."""
    return plan.submitted_at + _objective(plan) - plan.expected_time


def _objective(plan):
    terms = plan.batch.policy
    return terms.stretch * plan.expected_time + terms.slack


def _late_limit(plan):
    """Return when an answer is worth nothing any more."""
    return plan.submitted_at + LATE_FACTOR * _objective(plan)


def _start_tasks(state, plan, usable, min_cpu, now):
    sends = []
    places = []
    while plan.waiting:
        task = plan.waiting[0]
        executor = _choose_executor(state, plan, task, usable)
        if executor is None:
            break
        plan.waiting.popleft()
        places.append([executor.spec.name, f"{task.step}.{task.index}"])
        sends += planner_runs.send_start(state, executor, plan, task, now)
        if executor.free.cpu < min_cpu:
            usable.remove(executor)
    if places:
        sends.append(_log_sent_tasks(state, plan, places, now))
    return sends


def _log_sent_tasks(state, plan, places, now):
    """Return the line of where tasks of a batch were sent, and why now."""
    return planner_log.decision(
        "tasks sent",
        plan.name,
        executors=places,
        waiting=len(plan.waiting),
        spare_ms=round((_latest_start(plan) - now) * 1000.0),
        expected_ms=round(plan.expected_time * 1000.0),
        listing_changed_ms=_age_ms(state.listed_at, now),
    )


def _age_ms(since, now):
    return None if since is None else round((now - since) * 1000.0)


def _choose_executor(state, plan, task, usable):
    step = plan.batch.steps[task.step]
    route = plan.batch.policy.route
    service = plan.batch.policy.service
    best = None
    best_key = None
    times = {}
    for executor in usable:
        spec = executor.spec
        if spec.service != service or not executors.fits(
            step.resources, executor.free
        ):
            continue
        if step.label and step.label not in spec.labels:
            continue
        if step.max_per_executor and _count_runs(executor, plan, task) >= (
            step.max_per_executor
        ):
            continue
        took = times.get(spec.model)
        if took is None:
            took = state.run_times.expected(route, spec.model, step.estimate)
            times[spec.model] = took
        took *= planner_health.slowdown(executor) * (
            1.0 + executor.failure_rate
        )
        if step.rack and step.rack not in spec.labels:
            took *= state.remote_rack_factor
        key = (took, executor.free.cpu - step.resources.cpu)
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
    """Refuse batches of which nothing started and that come too late."""
    sends = []
    for plan in list(state.plans.values()):
        late = now + plan.expected_time > min(plan.deadline, _late_limit(plan))
        if late and not plan.may_have_started:
            sends += refuse_batch(state, plan, now)
    return sends


def refuse_batch(state, plan, now):
    """Refuse a batch of which nothing started."""
    reason = "no room before the answer would be too late"
    decision = planner_log.decision(
        "refusal",
        plan.name,
        waiting_batches=len(state.plans),
        work_ms=round(plan.expected_time * 1000.0),
        waited_ms=round((now - plan.received_at) * 1000.0),
        left_ms=round((plan.deadline - now) * 1000.0),
        executors=sum(state.pool.values()),
    )
    outcome = batches.Outcome(batches.REFUSED, reason, RETRY_AFTER)
    return [decision, *planner_runs.finish_batch(state, plan, outcome, now)]
