"""Start of the waiting tasks for which executors have room."""

from __future__ import annotations

import collections
import operator

from cardamompath_core import executor_readings
from cardamompath_core import executors
from cardamompathd.controllers.planner import planner_crashes
from cardamompathd.controllers.planner import planner_ends
from cardamompathd.controllers.planner import planner_leases
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_order
from cardamompathd.controllers.planner import planner_permissions
from cardamompathd.controllers.planner import planner_placement
from cardamompathd.controllers.planner import planner_readings
from cardamompathd.controllers.planner import planner_reservations
from cardamompathd.controllers.planner import planner_runs
from cardamompathd.controllers.planner import planner_shares

__all__ = [
    "dispatch",
    "is_listing_current",
]

HEAL_TIME = 1.5
"""Seconds after the end of a partition for which a claim proves nothing: a
lease, and the time until an instance counts as missing."""
LISTING_TIMEOUT = 0.3
"""Seconds until the executors are listed; after that the store counts as down,
and the last known list is used, unless another instance can read the store."""


def dispatch(state, now):
    """Start the tasks that can start now; return the messages."""
    sends = planner_reservations.drop_expired(state, now)
    waiting_plans = [
        candidate for candidate in state.plans.values() if candidate.waiting
    ]
    if not waiting_plans or not is_listing_current(state, now):
        return sends
    planner_crashes.release_isolated(state, now)
    min_cpu = min(candidate.min_cpu for candidate in waiting_plans)
    usable = planner_placement.find_usable(state, min_cpu, now)
    if not usable and not state.isolated:
        return sends
    keeps_room = state.policy.placement.reservations
    max_cpu = _max_free_cpu(usable)
    ranked = [
        (planner_order.rank(state, plan, now), plan)
        for plan in waiting_plans
        if (
            keeps_room
            or _next_cpu(plan) <= max_cpu
            or planner_crashes.has_losses(state, plan)
        )
        and _may_start(state, plan, now)
    ]
    ranked.sort(key=operator.itemgetter(0))
    state.end_forecasts.booked.clear()
    mean_cpu = sum(each.min_cpu for each in waiting_plans) / len(waiting_plans)
    for _, plan in ranked:
        if planner_crashes.has_losses(state, plan):
            sends += _start_apart(state, plan, usable, min_cpu, now)
        elif usable:
            if _next_cpu(plan) <= max_cpu:
                started = _start_tasks(state, plan, usable, min_cpu, now)
                if started:
                    sends += started
                    max_cpu = _max_free_cpu(usable)
            if keeps_room and plan.waiting and usable:
                sends += planner_reservations.reserve(
                    state, plan, mean_cpu, now
                )
        elif not state.isolated:
            break
    return sends + planner_ends.take_decisions(state)


def _next_cpu(plan):
    """Return the CPU that the next waiting task of a batch needs."""
    return plan.batch.steps[plan.waiting[0].step].resources.cpu


def _max_free_cpu(usable):
    """Return the most CPU that is free on one executor.

    Most waiting batches need more; they are not ranked, as ranking takes
    most of the time of a dispatch.
    """
    return max((executor.free_resources.cpu for executor in usable), default=0)


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
        if planner_placement.is_usable(state, executor, now)
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


def is_listing_current(state, now):
    """Return whether the executors were listed since planning began.

    An older list may show executors as ready that are draining by now.  A
    list without the time of its reading counts as read when it arrived.
    """
    if state.readings.own_state == executor_readings.UNSUPPORTED:
        is_listed = (
            state.listed_at is not None and state.listed_at >= state.began_at
        )
    else:
        is_listed = state.readings.read_at >= state.began_at
    if is_listed:
        return True
    return now > state.began_at + LISTING_TIMEOUT and (
        planner_readings.is_listed(state, now)
    )


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


def _start_tasks(state, plan, usable, min_cpu, now):
    """Start the waiting tasks of a batch that fit; return the messages."""
    sends = []
    placements = []
    candidates = planner_reservations.admit(state, plan, usable, now)
    # A suspect task that waited would have an executor kept for it.
    may_wait = not planner_crashes.has_losses(state, plan)
    while plan.waiting:
        task = plan.waiting[0]
        executor = planner_placement.choose_executor(
            state, plan, task, candidates, now, may_wait
        )
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
        if executor.spec.name in state.reservations:
            # It has less room beside the reservation than before.
            candidates = planner_reservations.admit(
                state, plan, candidates, now
            )
    if placements:
        sends.append(_log_sent_tasks(state, plan, placements, now))
        if state.reservations:
            sends += planner_reservations.note_starts(
                state, plan, placements, now
            )
    return sends


def _log_sent_tasks(state, plan, placements, now):
    """Log where tasks of a batch were sent, and how urgent they are."""
    return planner_log.decision(
        "tasks sent",
        plan.name,
        executors=placements,
        waiting=len(plan.waiting),
        spare_ms=round(
            (planner_order.urgency_of(plan).latest_start - now) * 1000.0
        ),
        expected_ms=round(plan.expected_time * 1000.0),
        listing_changed_ms=_age_ms(state.listed_at, now),
        **planner_shares.decision_fields(state, plan, now),
    )


def _age_ms(since, now):
    return None if since is None else round((now - since) * 1000.0)
