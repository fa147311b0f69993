"""Choice of the executor on which a task starts."""

from __future__ import annotations

from cardamompath_core import evacuation
from cardamompath_core import executors
from cardamompath_core import placement
from cardamompathd.controllers.planner import planner_ends
from cardamompathd.controllers.planner import planner_health
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_readings

__all__ = [
    "choose_executor",
    "expected_time",
    "find_usable",
    "has_room",
    "is_available",
    "is_usable",
    "list_rooms",
    "make_target",
    "record_demand",
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


def choose_executor(state, plan, task, usable, now, may_wait=False):
    """Return the usable executor on which a task starts, None if none fits.

    It is the one that is expected to run the task fastest, and among equal
    ones the one that has the least CPU left over; or, if the policy is to
    fit, the one with the lowest `placement.score`.  If the task may wait, it
    is None as well if a better executor is expected to have room in time.
    """
    step = plan.batch.steps[task.step]
    route = plan.batch.policy.route
    service = plan.batch.policy.service
    best = None
    best_key = None
    run_times = {}
    is_fitting = state.policy.placement.fitting
    score = None
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
        cpu_left = executor.free_resources.cpu - step.resources.cpu
        if not is_fitting:
            key = (run_time, cpu_left)
        else:
            if score is None:
                # Made only if anything fits, as most tasks wait for room.
                score = _make_score(state, plan, task, now)
            key = score(spec.model, run_time, cpu_left)
        if best is None or key < best_key:
            best, best_key = executor, key
    if (
        may_wait
        and score is not None
        and _awaits_better(state, plan, task, best_key, score, now)
    ):
        return None
    return best


def _count_runs(executor, plan, task):
    return sum(
        1
        for run in executor.runs
        if run.batch == plan.name and run.step == task.step
    )


def record_demand(state, plan, now):
    """Count how much a new batch gains by faster executors."""
    if not state.policy.placement.fitting:
        return
    step = plan.batch.steps[0]
    service = plan.batch.policy.service
    models = _order_models(state, plan, step, now)
    target = make_target(state, plan, plan.tasks[0], now)
    chances = [
        placement.chance_in_time(target, 0.0, run_time)
        for run_time, _ in models
    ]
    rate = 0.0
    for number, (run_time, model) in enumerate(models[:-1]):
        rate += (
            sum(
                count * executors.count_fitting(step.resources, capacity)
                for (name, other, capacity), count in state.pool.items()
                if other == model and name == service
            )
            / run_time
        )
        if rate > 0.0:
            gain = chances[number] - chances[number + 1]
            work = max(0.0, gain) * len(plan.waiting) / rate
            state.fast_demand.add(service, model, work, now)


def expected_time(state, plan, task, executor, now):
    """Return the expected seconds of a task on an executor."""
    step = plan.batch.steps[task.step]
    usual = state.run_times.expected(
        plan.batch.policy.route, executor.spec.model, step.estimate, now
    )
    return _time_on(state, step, executor, usual)


def _time_on(state, step, executor, usual):
    """Return the seconds on an executor of a step usual for its model."""
    run_time = usual * planner_health.slowdown(executor)
    if step.rack and step.rack not in executor.spec.labels:
        run_time *= state.remote_rack_factor
    return run_time


def make_target(state, plan, task, now):
    """Return the time objective of a task."""
    policy = plan.batch.policy
    best_time, since = plan.expected_time, plan.submitted_at
    if task.step > 0:
        # When the earlier steps should have ended is not known.
        step = plan.batch.steps[task.step]
        times = _order_models(state, plan, step, now)
        best_time, since = times[0][0] if times else best_time, now
    return placement.Target(
        now - since, best_time, policy.stretch, policy.slack
    )


def list_rooms(state, plan, task, now):
    """Return the run time of a task on each executor, and when it fits."""
    step = plan.batch.steps[task.step]
    rooms = []
    for executor in state.executors.values():
        spec = executor.spec
        if (
            spec.service != plan.batch.policy.service
            or spec.name in state.isolated
            or spec.name in state.reservations
            or not executors.fits(step.resources, spec.capacity)
            or (step.label and step.label not in spec.labels)
            or not is_usable(state, executor, now)
        ):
            continue
        room = planner_ends.find_room(state, executor, step.resources, now)
        if room is not None:
            run_time = expected_time(state, plan, task, executor, now)
            rooms.append((spec.name, run_time, executor.free_resources, room))
    return rooms


def _make_score(state, plan, task, now):
    """Return the function that scores an executor for a task."""
    step = plan.batch.steps[task.step]
    service = plan.batch.policy.service
    prices = {}
    price = 0.0
    for _, model in reversed(_order_models(state, plan, step, now)):
        if prices:
            price = max(price, state.fast_demand.price(service, model, now))
        prices[model] = price
    target = make_target(state, plan, task, now)

    def score(model, run_time, cpu_left, wait=0.0):
        chance = placement.chance_in_time(target, wait, run_time)
        return placement.score(
            chance, prices.get(model, 0.0), run_time, cpu_left
        )

    return score


def _order_models(state, plan, step, now):
    """Return the run times of a step by model, the fastest first."""
    policy = plan.batch.policy
    names = {
        model for service, model, _ in state.pool if service == policy.service
    }
    return sorted(
        (
            state.run_times.expected(policy.route, name, step.estimate, now),
            name,
        )
        for name in names
    )


def _awaits_better(state, plan, task, key, score, now):
    """Return whether a task waits for an executor that is busy.

    The room that it waits for is booked, so that those behind it do not wait
    for the same.
    """
    loss = key[0] - placement.MIN_WAIT_GAIN
    if loss < 0.0:
        return False
    step = plan.batch.steps[task.step]
    service = plan.batch.policy.service
    forecasts = state.end_forecasts
    if len(forecasts.booked) >= placement.MAX_BOOKED:
        return False
    usual_times = {}
    for ends_at, executor, free_now, free in planner_ends.list_upcoming(
        state, is_usable, now
    ):
        wait = max(0.0, ends_at - now)
        if wait > placement.MAX_WAIT:
            break
        spec = executor.spec
        if (
            spec.service != service
            or not executors.fits(step.resources, free)
            or free_now is not executor.free_resources
        ):
            continue
        booked = forecasts.booked.get(spec.name)
        if booked is not None and not executors.fits(
            executors.add(step.resources, booked), free
        ):
            continue
        if step.label and step.label not in spec.labels:
            continue
        usual = usual_times.get(spec.model)
        if usual is None:
            usual = usual_times[spec.model] = state.run_times.expected(
                plan.batch.policy.route, spec.model, step.estimate, now
            )
        run_time = _time_on(state, step, executor, usual)
        if run_time >= key[1]:
            continue
        if score(spec.model, run_time, 0, wait)[0] <= loss:
            planner_ends.book(state, executor, step.resources)
            _log_wait(state, plan, executor, wait, run_time, key, now)
            return True
    return False


def _log_wait(state, plan, executor, wait, run_time, key, now):
    """Log once for each batch that it waits for a busy executor."""
    forecasts = state.end_forecasts
    if plan.name in forecasts.logged:
        return
    if len(forecasts.logged) > placement.MAX_REMEMBERED:
        forecasts.logged.clear()
    forecasts.logged.add(plan.name)
    forecasts.decisions.append(
        planner_log.decision(
            "waits for executor",
            plan.name,
            executor=executor.spec.name,
            expected_ms=round(wait * 1000.0),
            run_ms=round(run_time * 1000.0),
            run_elsewhere_ms=round(key[1] * 1000.0),
            loss_elsewhere=key[0],
            age_ms=round((now - plan.submitted_at) * 1000.0),
        )
    )
