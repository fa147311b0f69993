"""Which task starts next, and where."""

from __future__ import annotations

import operator

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompathd.controllers import planner_holds
from cardamompathd.controllers import planner_runs

__all__ = [
    "dispatch",
    "expected_time",
    "refuse_hopeless",
]

TAKE_OVER = planner_runs.LEASE * 1.02 + planner_runs.LEASE_MARGIN
"""Seconds after which no run of an earlier planner is left, unless
somebody still holds its executor."""
SCORE_LIMIT = 0.6
"""Share of failed runs from which an executor gets no more of them."""
SCORE_REST = 2.0
"""Seconds for which such an executor rests."""
LATE_LIMIT = 3.0
"""Multiple of the objective up to which a late answer has some worth,
by the users' rules."""
RETRY_AFTER = 1.0
"""Seconds after which a refused caller may try again."""


def dispatch(state, now):
    """Start the tasks that can start now; return the messages."""
    usable = [one for one in state.held.values() if _usable(one, now)]
    usable = [one for one in usable if one.free.cpu > 0]
    if not usable:
        return []
    waiting = [one for one in state.plans.values() if one.waiting]
    if not waiting:
        return []
    ranked = [
        (_rank(state, plan, now), plan)
        for plan in waiting
        if _may_start(state, plan, now)
    ]
    ranked.sort(key=operator.itemgetter(0))
    sends = []
    for _, plan in ranked:
        if not usable:
            break
        sends += _start_tasks(state, plan, usable, now)
    return sends


def _may_start(state, plan, now):
    """Return whether no other planner can have runs of a batch left."""
    if plan.round == 0 or planner_holds.all_claimed(state):
        return True
    return now >= max(state.began, plan.arrived) + TAKE_OVER


def _usable(held, now):
    if not held.claimed or held.suspect or held.gone or held.orphans:
        return False
    if held.spec.state != executors.READY:
        return False
    rests = held.score > SCORE_LIMIT
    return not rests or now - held.troubled_at > SCORE_REST


def _rank(state, plan, now):
    """Return the sort key of a batch: least time to spare first."""
    spare = _objective_at(state, plan) - expected_time(state, plan) - now
    return (spare < 0.0, spare, plan.arrived)


def _objective_at(state, plan):
    terms = plan.batch.terms
    work = expected_time(state, plan)
    return plan.submitted + terms.stretch * work + terms.slack


def expected_time(state, plan):
    """Return the seconds of a task of a batch where it is fastest."""
    step = plan.batch.steps[0]
    route = plan.batch.terms.route
    kinds = {one.spec.kind for one in state.held.values()}
    return min(
        (state.times.expected(route, kind, step.estimate) for kind in kinds),
        default=step.estimate,
    )


def _start_tasks(state, plan, usable, now):
    sends = []
    while plan.waiting:
        task = plan.waiting[0]
        held = _choose(state, plan, task, usable)
        if held is None:
            return sends
        plan.waiting.popleft()
        sends += planner_runs.send_start(state, held, plan, task, now)
        if held.free.cpu <= 0:
            usable.remove(held)
    return sends


def _choose(state, plan, task, usable):
    step = plan.batch.steps[task.step]
    route = plan.batch.terms.route
    service = plan.batch.terms.service
    best = None
    best_key = None
    times = {}
    for held in usable:
        spec = held.spec
        if spec.service != service or not executors.fits(step.room, held.free):
            continue
        if step.label and step.label not in spec.labels:
            continue
        if step.most_per_executor and _count(held, plan, task) >= (
            step.most_per_executor
        ):
            continue
        took = times.get(spec.kind)
        if took is None:
            took = state.times.expected(route, spec.kind, step.estimate)
            times[spec.kind] = took
        key = (took * (1.0 + held.score), held.free.cpu - step.room.cpu)
        if best is None or key < best_key:
            best, best_key = held, key
    return best


def _count(held, plan, task):
    return sum(
        1
        for run in held.runs
        if run.batch == plan.name and run.step == task.step
    )


def refuse_hopeless(state, now):
    """Refuse batches of which nothing started and that come too late."""
    sends = []
    for plan in list(state.plans.values()):
        if plan.started:
            continue
        work = expected_time(state, plan)
        if now + work <= min(plan.left_until, _late_limit(plan, work)):
            continue
        reason = "no room before the answer would be too late"
        outcome = batches.Outcome(batches.REFUSED, reason, RETRY_AFTER)
        sends += planner_runs.finish(state, plan, outcome, now)
    return sends


def _late_limit(plan, work):
    """Return when an answer is worth nothing any more."""
    terms = plan.batch.terms
    return plan.submitted + LATE_LIMIT * (terms.stretch * work + terms.slack)
