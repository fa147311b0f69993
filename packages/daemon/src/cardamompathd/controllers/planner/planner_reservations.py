"""Room on executors that is kept for large tasks that wait.

A batch that cannot start may get a reservation of an executor on which
several runs end soon.  Batches of the same priority, or of a later one, start
there only if they leave the room free, or if nine of ten such runs end before.
Batches of an earlier priority are never held up, and no batch is refused for
a reservation, as it does not count in `planner_placement.has_room`.
Reservations are lost with the planner; its successor makes its own.
"""

from __future__ import annotations

from cardamompath_core import executors
from cardamompath_core import placement
from cardamompathd.controllers.planner import planner_ends
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_placement
from cardamompathd.controllers.planner import planner_shares

__all__ = [
    "admit",
    "drop_expired",
    "note_starts",
    "reserve",
]

RETRY_INTERVAL = 0.02
"""Seconds until a batch is considered again; forecasts change as slowly."""


def drop_expired(state, now):
    """Drop the reservations that are over; return the log lines."""
    if not state.reservations:
        return []
    sends = []
    for made in list(state.reservations.values()):
        reason = _find_end(state, made, now)
        if reason:
            del state.reservations[made.executor]
            sends.append(_log("reservation expired", made, now, reason=reason))
    return sends


def _find_end(state, made, now):
    """Return why a reservation is over; empty if it is not."""
    executor = state.executors.get(made.executor)
    plan = state.plans.get(made.batch)
    if plan is None or not plan.waiting:
        return "no task waits"
    if (
        executor is None
        or made.executor in state.isolated
        or not planner_placement.is_usable(state, executor, now)
    ):
        return "executor not usable"
    if now >= made.expires_at:
        return "time limit"
    if now > made.expected_at:
        room = planner_ends.find_room(state, executor, made.resources, now)
        if room is None or now + room.wait > made.expires_at:
            return "room not in time"
    return ""


def reserve(state, plan, mean_cpu, now):
    """Keep room for the next task of a batch that waits, if that pays.

    A batch has one reservation at a time.  After one has expired it gets
    none for as long, so that it does not hold up others again and again.

    Parameters
    ----------
    state, plan
        The planner, and a batch that could not start.
    mean_cpu : float
        Mean CPU of the waiting tasks, in thousandths of a core.
    now : float
        Present time in seconds.
    """
    if (
        plan.min_cpu < placement.LARGE_FACTOR * mean_cpu
        or len(state.reservations)
        >= placement.max_reservations(len(state.executors))
        or state.reserve_after.get(plan.name, now) > now
    ):
        return []
    if len(state.reserve_after) > placement.MAX_REMEMBERED:
        state.reserve_after.clear()
    limits = state.policy.placement
    task = plan.waiting[0]
    target = planner_placement.make_target(state, plan, task, now)
    limit = min(limits.reservation_limit, target.objective)
    state.reserve_after[plan.name] = now + RETRY_INTERVAL
    resources = plan.batch.steps[task.step].resources
    rooms = planner_placement.list_rooms(state, plan, task, now)
    if any(room.wait <= 0.0 for *_, room in rooms):
        # It fits there and waits for another reason, as for a faster executor.
        return []
    priority = planner_shares.priority_of(state, plan)
    need = placement.Need(plan.name, resources, target, limit, priority)
    made = placement.choose_reservation(need, rooms, now)
    if made is None:
        return []
    state.reservations[made.executor] = made
    state.reserve_after[plan.name] = made.expires_at + limit
    return [_log("reservation made", made, now)]


def admit(state, plan, usable, now):
    """Return the executors that no reservation keeps from a batch."""
    if not state.reservations or not plan.waiting:
        return usable
    task = plan.waiting[0]
    priority = planner_shares.priority_of(state, plan)
    barred = {
        name
        for name, made in state.reservations.items()
        if made.batch != plan.name
        and priority >= made.priority
        and not _may_fill(state, plan, task, made, now)
    }
    if not barred:
        return usable
    return [
        executor for executor in usable if executor.spec.name not in barred
    ]


def _may_fill(state, plan, task, made, now):
    """Return whether a task may start on an executor that is reserved."""
    executor = state.executors[made.executor]
    resources = plan.batch.steps[task.step].resources
    if not executors.fits(resources, executor.free_resources):
        return False
    run_time = planner_placement.expected_time(
        state, plan, task, executor, now
    )
    if placement.ends_before(run_time, made.expected_at - now):
        return True
    free = planner_ends.free_at(state, executor, made.expected_at, now)
    return executors.fits(executors.add(resources, made.resources), free)


def note_starts(state, plan, placements, now):
    """Drop the reservation of a batch of which a task has started."""
    sends = []
    for made in list(state.reservations.values()):
        if made.batch == plan.name:
            started_on = [name for name, _ in placements]
            event = "reservation used"
            if made.executor not in started_on:
                if plan.waiting:
                    continue
                event = "reservation not needed"
            del state.reservations[made.executor]
            state.reserve_after.pop(plan.name, None)
            sends.append(_log(event, made, now))
    return sends


def _log(event, made, now, **fields):
    return planner_log.decision(
        event,
        made.batch,
        executor=made.executor,
        cpu=made.resources.cpu,
        expected_ms=round((made.expected_at - now) * 1000.0),
        left_ms=round((made.expires_at - now) * 1000.0),
        age_ms=round((now - made.made_at) * 1000.0),
        gain=round(made.gain, 2),
        cost=round(made.cost, 2),
        **fields,
    )
