"""Reports of the capacity of a planner, for the gateways of all instances.

A report counts what the planner holds: executors that it has claimed, that
answer, and on which a start gets a lease.  What its waiting tasks will take
is not reported as expected capacity.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import offers
from cardamompath_core import room_reports
from cardamompath_core import run_ends
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.planner import planner_dispatch
from cardamompathd.controllers.planner import planner_estimates
from cardamompathd.controllers.planner import planner_health
from cardamompathd.controllers.planner import planner_placement
from cardamompathd.controllers.planner import planner_runs

__all__ = [
    "ForecastEnd",
    "is_new_offer",
    "make_report",
    "note_report",
    "note_sizes",
    "repeat_rejection",
    "report_room",
    "withdraw_report",
]

MEASURE_INTERVAL = 0.1
"""Minimum number of seconds between two reports; as long as the shortest
interval between heartbeats."""


class ForecastEnd(NamedTuple):
    """Whether a run is expected to end soon, and for how long that holds.

    A run that goes on is never expected to end earlier than before, so that
    it need not be forecast again until the horizon reaches its end.  One that
    is expected to end soon counts as such until nine of ten would have ended.
    """

    due: float
    """When it is forecast again."""
    is_soon: bool
    size_samples: int
    """Number of ended tasks of its batch that the forecast rests on."""
    started_at: float
    usual: float
    """Its usual run time there, in seconds."""


def report_room(state, now):
    """Report the capacity to the gateways, at most once in an interval."""
    if not state.policy.room.reports or (
        now < state.room_measured_at + MEASURE_INTERVAL
    ):
        return []
    state.room_measured_at = now
    report = make_report(state, now)
    own = state.fleet.own_member
    reported = pool_messages.RoomReported(own.name, own.started, now, report)
    return [
        messages.Send(pool_messages.FLEET, pool_messages.RoomMeasured(report)),
        messages.Send(pool_messages.GATEWAY, reported),
    ]


def withdraw_report(state):
    """End the reports once this instance no longer plans."""
    if state.room_measured_at == -math.inf:
        return []
    state.room_measured_at = -math.inf
    state.forecast_ends.clear()
    measured = pool_messages.RoomMeasured(None)
    return [messages.Send(pool_messages.FLEET, measured)]


def note_sizes(state, plan, now):
    """Note the sizes of the tasks of a new batch that can start at first."""
    if not state.policy.room.reports:
        return
    service = plan.batch.policy.service
    for step in plan.batch.steps:
        if not step.after:
            state.recent_sizes.add(service, *step.resources, now)


def note_report(state, msg, now):
    """Note the sizes of the tasks that another planner is asked for."""
    if state.policy.room.reports and msg.report is not None:
        state.recent_sizes.add_elsewhere(msg.report, now)
    return []


def make_report(state, now):
    """Return what can start at this planner now, and what waits."""
    sizes, asked = state.recent_sizes.find_recent(now)
    sizes = sizes[: room_reports.MAX_ENTRIES]
    usable = []
    if planner_dispatch.is_listing_current(state, now):
        usable = planner_placement.find_usable(state, 0, now)
    free, soon = _count_room(state, sizes, usable, now)
    waiting_cpu, queued = _sum_waiting(state)
    rooms = []
    for number, (service, cpu, *_) in enumerate(sizes):
        # Work that waits takes what becomes free before a new batch does.
        taken = -(-waiting_cpu.get(service, 0) // cpu)
        gained = max(0, soon[number] - free[number] - taken)
        rooms.append(
            room_reports.SizeRoom(
                service, cpu, free[number], free[number] + gained
            )
        )
    return room_reports.trim(
        room_reports.Report(
            now, tuple(rooms), queued if usable else _NO_EXECUTOR, asked
        )
    )


_NO_EXECUTOR = (
    room_reports.QueuedWork(0, planner_estimates.EMPTY_POOL_BACKLOG),
)


def _count_room(state, sizes, usable, now):
    """Return how many tasks of each size fit now, and soon.

    The loops call few functions: with 200 executors and 450 runs, calls would
    take most of the time of a report.
    """
    by_service = _group_sizes(state, sizes)
    free = [0] * len(sizes)
    soon = [0] * len(sizes)
    forecasts = {}
    usual_times = {}
    for executor in usable:
        classes = by_service.get(executor.spec.service)
        if classes is None:
            continue
        can_start, ending = _sum_ending(
            state, executor, forecasts, usual_times, now
        )
        if not can_start and not _has_lease(executor, now):
            continue
        left_cpu, left_memory, left_accelerators = executor.free_resources
        later_cpu = left_cpu + ending.cpu
        for number, needed_cpu, needed_memory, needed_accelerators in classes:
            if later_cpu < needed_cpu:
                # The sizes are in ascending order.
                break
            count = left_cpu // needed_cpu
            gained = later_cpu // needed_cpu
            if (
                gained * needed_memory > left_memory
                or gained * needed_accelerators > left_accelerators
            ):
                needed = executors.Resources(
                    needed_cpu, needed_memory, needed_accelerators
                )
                count = executors.count_fitting(
                    needed, executor.free_resources
                )
                gained = executors.count_fitting(
                    needed,
                    executors.Resources(
                        later_cpu,
                        left_memory + ending.memory,
                        left_accelerators + ending.accelerators,
                    ),
                )
            free[number] += count
            soon[number] += gained
    state.forecast_ends = forecasts
    return free, soon


def _sum_ending(state, executor, forecasts, usual_times, now):
    """Return whether a start may renew the leases, and what gets free soon.

    The forecasts of the runs are added to `forecasts`.
    """
    can_start, cpu, memory, accelerators = True, 0, 0, 0
    for plan, task in executor.runs.values():
        if task.stopping or plan.unpermitted_since is not None:
            can_start = False
        forecast = state.forecast_ends.get(task)
        if (
            forecast is None
            or now >= forecast.due
            or forecast.size_samples != plan.size_samples
            or forecast.started_at != task.started_at
        ):
            forecast = _forecast_end(
                state, executor, plan, task, forecast, usual_times, now
            )
        forecasts[task] = forecast
        if forecast.is_soon:
            resources = plan.batch.steps[task.step].resources
            cpu += resources.cpu
            memory += resources.memory
            accelerators += resources.accelerators
    return can_start, executors.Resources(cpu, memory, accelerators)


def _group_sizes(state, sizes):
    """Return number, CPU, memory and accelerators of the sizes by service.

    They are in ascending order of the CPU.  A class may be larger than every
    executor, unlike the tasks in it.
    """
    by_service = {}
    for number, (service, cpu, memory, accelerators) in enumerate(sizes):
        largest = max(
            (each.cpu for each in state.largest_capacities.get(service, ())),
            default=cpu,
        )
        entry = (min(cpu, largest), number, memory, accelerators)
        by_service.setdefault(service, []).append(entry)
    return {
        service: [
            (number, cpu, memory, accelerators)
            for cpu, number, memory, accelerators in sorted(entries)
        ]
        for service, entries in by_service.items()
    }


def _has_lease(executor, now):
    """Return whether a start gets a lease where none can be renewed."""
    clock = executor.executor_clock(now)
    return executor.lease_end >= clock + planner_runs.MIN_LEASE


def _forecast_end(state, executor, plan, task, former, usual_times, now):
    """Forecast whether a run is expected to end soon.

    Parameters
    ----------
    former : ForecastEnd, optional
        The last forecast of the task.
    usual_times : dict
        Usual run times that are known, by batch, step and model.
    """
    samples, started_at = plan.size_samples, task.started_at
    if task.adopted:
        # When another planner started it is not known.
        return ForecastEnd(math.inf, False, samples, started_at, 0.0)
    if (
        former is not None
        and former.size_samples == samples
        and former.started_at == started_at
    ):
        usual = former.usual
    else:
        key = (plan, task.step, executor.spec.model)
        usual = usual_times.get(key)
        if usual is None:
            usual = usual_times[key] = _usual_time(state, *key, now)
        usual *= planner_health.slowdown(executor)
    due = started_at + usual - room_reports.HORIZON
    if now < due:
        # At its start a run is expected to take the usual time.
        return ForecastEnd(due, False, samples, started_at, usual)
    left = run_ends.remaining(now - started_at, usual, samples > 0)
    is_soon = left.expected <= room_reports.HORIZON
    due = now + (
        left.bound if is_soon else left.expected - room_reports.HORIZON
    )
    return ForecastEnd(due, is_soon, samples, started_at, usual)


def _usual_time(state, plan, step, model, now):
    """Return the usual seconds of a run of a batch on executors of a model."""
    usual = state.run_times.expected(
        plan.batch.policy.route, model, plan.batch.steps[step].estimate, now
    )
    if plan.size_samples:
        usual *= math.exp(plan.log_size)
    return usual


def _sum_waiting(state):
    """Return the CPU that waiting tasks need by service, and their work.

    Returns
    -------
    tuple of dict and tuple of QueuedWork
        Thousandths of a core by service, and the work by ascending priority.
    """
    cpu_sums = {}
    work_sums = {}
    for plan in state.plans.values():
        if not plan.waiting:
            continue
        policy, steps = plan.batch.policy, plan.batch.steps
        if len(steps) == 1:
            cpu = len(plan.waiting) * steps[0].resources.cpu
        else:
            cpu = sum(steps[task.step].resources.cpu for task in plan.waiting)
        cpu_sums[policy.service] = cpu_sums.get(policy.service, 0) + cpu
        work = len(plan.waiting) * plan.pool_time
        work_sums[policy.priority] = work_sums.get(policy.priority, 0.0) + work
    queued = tuple(
        room_reports.QueuedWork(priority, work_sums[priority])
        for priority in sorted(work_sums)
    )
    return cpu_sums, queued


def is_new_offer(state, msg, ended_outcome):
    """Return whether a batch is offered again that was rejected here.

    Nothing of it has started here then.  `repeat_rejection` has answered the
    hand-over that was rejected, so that this is a later one.
    """
    return (
        state.policy.room.reports
        and ended_outcome.state == batches.REFUSED
        and msg.handover > 0
    )


def repeat_rejection(state, msg):
    """Return the answer to a hand-over that was rejected, None otherwise.

    A message that was sent twice must not start what was rejected once.
    """
    origin = state.origin_of(msg)
    rejected = state.rejections.get((origin, msg.batch.name))
    if rejected is None or not offers.is_rejected(
        msg.handover, rejected.handover
    ):
        return None
    return planner_runs.report_outcome(
        state, msg.batch.name, origin, rejected.outcome, msg.handover
    )
