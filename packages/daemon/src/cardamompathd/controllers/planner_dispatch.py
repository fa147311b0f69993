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
    "comes_too_late",
    "dispatch",
    "estimate",
    "refuse",
    "refuse_hopeless",
    "survey",
    "tell_backlog",
]

TAKE_OVER = planner_runs.LEASE * 1.02 + planner_runs.LEASE_MARGIN
"""Seconds after which no run of an earlier planner is left, unless
somebody still holds its executor."""
HEAL_TIME = 1.5
"""Seconds after the end of a cut in which a claim proves nothing: a
lease, and the silence after which an instance counts as missing."""
LISTING_TIME = 0.3
"""Seconds for a listing of the executors; after that the store counts
as down and the last one known is used."""
LATE_LIMIT = 3.0
"""Multiple of the objective up to which a late answer has some worth,
by the users' rules."""
BACKLOG_STEP = 0.02
"""Seconds to which a backlog is rounded; a finer one would be told anew
with each sign of life."""
NO_POOL = 10.0
"""Seconds that count as the backlog of a planner that has no executor in
use; longer than callers wait for short tasks."""
RETRY_AFTER = 1.0
"""Seconds after which a refused caller may try again."""


def survey(state, now):
    """Count the executors in use, and estimate the batches anew."""
    state.pool.clear()
    for held in state.held.values():
        if _usable(held, now):
            spec = held.spec
            state.pool[spec.service, spec.kind, spec.capacity] += 1
    for plan in state.plans.values():
        estimate(state, plan)


def tell_backlog(state):
    """Tell how long the waiting work takes, when that has changed."""
    seconds = sum(len(one.waiting) * one.drain for one in state.plans.values())
    if not state.pool:
        seconds = NO_POOL
    backlog = math.ceil(seconds / BACKLOG_STEP) * BACKLOG_STEP
    return planner_roles.tell_backlog(state, backlog)


def estimate(state, plan):
    """Estimate the work of a batch, and what it takes of the pool."""
    terms = plan.batch.terms
    step = plan.batch.steps[0]
    rate = 0.0
    best = math.inf
    for (service, kind, capacity), count in state.pool.items():
        if service != terms.service:
            continue
        took = state.times.expected(terms.route, kind, step.estimate)
        best = min(best, took)
        rate += count * executors.times_fitting(step.room, capacity) / took
    if best is math.inf:
        best = state.times.expected(terms.route, "", step.estimate)
    plan.work = best
    plan.drain = 1.0 / rate if rate > 0.0 else 0.0


def comes_too_late(state, plan, now):
    """Return whether a new batch would be answered too late to count.

    What has to start sooner, and can still be in time, goes first.
    """
    latest = _latest_start(plan)
    ahead = len(plan.waiting) * plan.drain
    for other in state.plans.values():
        if other.waiting and now <= _latest_start(other) <= latest:
            ahead += len(other.waiting) * other.drain
    end = now + ahead + plan.work
    return end > min(plan.left_until, _late_limit(plan))


def dispatch(state, now):
    """Start the tasks that can start now; return the messages."""
    waiting = [one for one in state.plans.values() if one.waiting]
    if not waiting or not _knows_leaving(state, now):
        return []
    least = min(one.least for one in waiting)
    usable = [
        one
        for one in state.held.values()
        if one.free.cpu >= least and _usable(one, now)
    ]
    if not usable:
        return []
    ranked = [
        (_rank(plan, now), plan)
        for plan in waiting
        if _may_start(state, plan, now)
    ]
    ranked.sort(key=operator.itemgetter(0))
    sends = []
    for _, plan in ranked:
        if not usable:
            break
        sends += _start_tasks(state, plan, usable, least, now)
    return sends


def _knows_leaving(state, now):
    """Return whether the executors were listed since this planner began.

    Before that, some may have said that they leave.
    """
    listed = state.listed_at is not None and state.listed_at >= state.began
    return listed or now > state.began + LISTING_TIME


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
    if not plan.moved and not healing:
        mine = functools.partial(planner_roles.is_mine, state)
        if planner_leases.all_claimed(state, mine, now):
            return True
    return now >= max(state.began, plan.arrived) + TAKE_OVER


def _usable(held, now):
    if not held.claimed or held.suspect or held.gone or held.orphans:
        return False
    if held.spec.state != executors.READY:
        return False
    return not planner_health.is_resting(held, now)


def _rank(plan, now):
    """Return the sort key of a batch: least time to spare first."""
    latest = _latest_start(plan)
    return (latest < now, latest, plan.arrived)


def _latest_start(plan):
    """Return when a batch has to start to be answered in time."""
    return plan.submitted + _objective(plan) - plan.work


def _objective(plan):
    terms = plan.batch.terms
    return terms.stretch * plan.work + terms.slack


def _late_limit(plan):
    """Return when an answer is worth nothing any more."""
    return plan.submitted + LATE_LIMIT * _objective(plan)


def _start_tasks(state, plan, usable, least, now):
    sends = []
    places = []
    while plan.waiting:
        task = plan.waiting[0]
        held = _choose(state, plan, task, usable)
        if held is None:
            break
        plan.waiting.popleft()
        places.append([held.spec.name, f"{task.step}.{task.index}"])
        sends += planner_runs.send_start(state, held, plan, task, now)
        if held.free.cpu < least:
            usable.remove(held)
    if places:
        sends.append(_note_started(state, plan, places, now))
    return sends


def _note_started(state, plan, places, now):
    """Return the line of where tasks of a batch were sent, and why now."""
    return planner_log.note(
        "tasks sent",
        plan.name,
        executors=places,
        waiting=len(plan.waiting),
        spare_ms=round((_latest_start(plan) - now) * 1000.0),
        expected_ms=round(plan.work * 1000.0),
        listing_changed_ms=_age_ms(state.listed_at, now),
    )


def _age_ms(since, now):
    return None if since is None else round((now - since) * 1000.0)


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
        took *= planner_health.pace(held) * (1.0 + held.score)
        if step.rack and step.rack not in spec.labels:
            took *= state.far_rack
        key = (took, held.free.cpu - step.room.cpu)
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
        late = now + plan.work > min(plan.left_until, _late_limit(plan))
        if late and not plan.started:
            sends += refuse(state, plan, now)
    return sends


def refuse(state, plan, now):
    """Refuse a batch of which nothing started."""
    reason = "no room before the answer would be too late"
    note = planner_log.note(
        "refusal",
        plan.name,
        waiting_batches=len(state.plans),
        work_ms=round(plan.work * 1000.0),
        waited_ms=round((now - plan.arrived) * 1000.0),
        left_ms=round((plan.left_until - now) * 1000.0),
        executors=sum(state.pool.values()),
    )
    outcome = batches.Outcome(batches.REFUSED, reason, RETRY_AFTER)
    return [note, *planner_runs.finish(state, plan, outcome, now)]
