"""Starts, stops and ends of the runs of a planner."""

from __future__ import annotations

import math

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.planner import planner_crashes
from cardamompathd.controllers.planner import planner_executors
from cardamompathd.controllers.planner import planner_log

__all__ = [
    "END_TIME",
    "LAPSE_TIME",
    "LEASE",
    "MIN_COMMON_LEASE",
    "MIN_LEASE",
    "TOKEN_STEP",
    "adopt_run",
    "doubt_claim",
    "drop_plan",
    "finish_batch",
    "handle_run_end",
    "handle_start_answer",
    "handle_stop_answer",
    "lose_runs",
    "record_lease",
    "release_run",
    "report_outcome",
    "resources_of",
    "send_start",
    "send_stop",
]

LEASE = 1.0
"""Seconds of the lease of a run; the longest that executors grant."""
STOP_TIME = 0.05
"""Seconds for which a run may go on after a stop, by contract; also after its
lease, if the stop came just before the end of that."""
LEASE_MARGIN = 0.05
"""Seconds within which an executor ends a run whose lease has lapsed."""
END_TIME = STOP_TIME + LEASE_MARGIN
"""Seconds for which a run may go on after its lease, by the true clock."""
LAPSE_TIME = LEASE / (1.0 - planner_executors.CLOCK_ERROR) + END_TIME
"""Seconds after a start or a renewal after which its runs have surely ended.
The end of a lease is a time of the executor's clock, so that a request that
arrives late changes nothing."""
MIN_LEASE = 0.6
"""Seconds of the shortest lease with which a run is started; the first hold
that renews it is sent before."""
TOKEN_STEP = 1000
"""Increase of the token with which a planner repeats a claim of its own: one
millisecond of the clock from which tokens are made, so that the later claim
of another planner stays above it."""
MIN_COMMON_LEASE = 0.75
"""Seconds of the shortest lease to which those of other batches are shortened
for one with an older permission; time for a second hold after one without an
answer."""
ATTEMPT_SKIP = 8
"""Attempt numbers skipped for each earlier planner of a batch, and if an
executor has seen a later attempt of the task."""
SLOWDOWN_GAIN = 0.3
"""Weight of a run in the moving average of an executor's slowdown."""
MAX_SLOWDOWN_STEP = 1.0
"""Maximum deviation of a run that counts, as a natural logarithm."""
MIN_RUN_TIME = 1e-3
"""Lower bound on run times from which sizes and slowdowns are learned, in
seconds."""
FAILURE_RATE_GAIN = 0.25
"""Weight of a run in the moving average of an executor's failure rate."""


def record_lease(executor, lease_end, now):
    """Record that leases end at a time of an executor's clock."""
    executor.lease_end = max(executor.lease_end, lease_end)
    executor.lease_until = max(executor.lease_until, now + LAPSE_TIME)


def send_start(executor, plan, task, lease_end, now):
    """Start a task on an executor; its lease ends at a time of that clock."""
    task.attempt += 1
    task.status = "sent"
    task.executor_name = executor.spec.name
    task.started_at = now
    task.stopping = False
    task.adopted = False
    task.start_deadline = now + LAPSE_TIME
    task.token = executor.token
    task.run = pool_messages.Run(
        plan.name, task.step, task.index, task.attempt
    )
    plan.may_have_started = True
    executor.runs[task.run] = (plan, task)
    executor.free_resources = executors.subtract(
        executor.free_resources, resources_of(plan, task)
    )
    record_lease(executor, lease_end, now)
    start = pool_messages.StartRun(
        executor.spec,
        executor.token,
        task.run,
        plan.batch.spec,
        lease_end,
    )
    return [messages.Send(pool_messages.EXECUTORS, start)]


def resources_of(plan, task):
    """Return the resources that a task takes."""
    return plan.batch.steps[task.step].resources


def send_stop(executor, run):
    """Stop a run on an executor; return the messages."""
    stop = pool_messages.StopRun(executor.spec, executor.token, run)
    return [messages.Send(pool_messages.EXECUTORS, stop)]


def release_run(executor, run):
    """Stop tracking a run; return its plan and task, None if untracked."""
    entry = executor.runs.pop(run, None)
    if entry is not None:
        executor.free_resources = executors.add(
            executor.free_resources, resources_of(*entry)
        )
    return entry


def adopt_run(executor, plan, task, run, now):
    """Track a run that another planner started as that of a task."""
    task.attempt = max(task.attempt, run.attempt)
    task.status = "running"
    task.executor_name = executor.spec.name
    task.started_at = now
    task.adopted = True
    task.token = executor.token
    task.run = run
    if task in plan.waiting:
        plan.waiting.remove(task)
    # The other planner may have renewed its lease until now.
    executor.lease_until = max(executor.lease_until, now + LAPSE_TIME)
    executor.runs[run] = (plan, task)
    executor.free_resources = executors.subtract(
        executor.free_resources, resources_of(plan, task)
    )


def handle_start_answer(state, msg, now):
    """Process the result of a start."""
    executor = state.executors.get(msg.executor)
    if executor is None:
        return []
    if msg.clock is not None:
        executor.answered_at = now
    if msg.run not in executor.runs:
        return []
    plan, task = executor.runs[msg.run]
    if msg.result == "started":
        if task.status == "sent":
            task.status = "running"
        return []
    decision = planner_log.decision(
        "start not confirmed",
        plan.name,
        run=_label(msg.run),
        executor=msg.executor,
        result=msg.result,
        detail=msg.detail,
        age_ms=round((now - task.started_at) * 1000.0),
    )
    if msg.result == "unknown":
        if task.status == "sent":
            task.status = "unknown"
            if task.token == executor.token:
                doubt_claim(state, executor, now)
        return [decision]
    release_run(executor, msg.run)
    if msg.result == "invalid":
        reason = f"executor {msg.executor} rejects the task: {msg.detail}"
        outcome = batches.Outcome(batches.FAILED, reason)
        return [decision, *finish_batch(state, plan, outcome, now)]
    _record_refusal(executor, task, msg.result)
    requeue_task(plan, task)
    return [decision]


def doubt_claim(state, executor, now):
    """Have an executor claimed again, with a higher token.

    Once it has answered that hold it refuses all starts that were sent
    before, and it has listed those that it has carried out.
    """
    name = executor.spec.name
    executor.token = state.remember_token(name, executor.token + TOKEN_STEP)
    executor.claimed = False
    executor.suspect = True
    executor.hold_pending = False
    executor.retry_at = now


def _record_refusal(executor, task, result):
    """Update the state for the reason why an executor did not start a run."""
    if result == "old":
        task.attempt += ATTEMPT_SKIP
    else:
        # The next hold shows whether it answers, who holds it, and what
        # runs there.  Until then it would refuse the task again and again.
        executor.suspect = True


def handle_stop_answer(state, msg, now):
    """Process the result of a stop.

    A stopped run is tracked until the executor reports its end.
    """
    executor = state.executors.get(msg.executor)
    if executor is not None and msg.stopped:
        executor.answered_at = now
    return []


def requeue_task(plan, task):
    """Put a task back at the head of its queue for another run."""
    if task.status == "done" or task.status == "waiting":
        return
    task.status = "waiting"
    task.executor_name = ""
    task.run = None
    if not plan.is_blocked(task.step):
        plan.waiting.appendleft(task)


def handle_run_end(state, executor, ended, now):
    """Process the end of a run that its executor reports."""
    executor.orphans.pop(ended.run, None)
    entry = release_run(executor, ended.run)
    if entry is None:
        return _handle_untracked_end(state, ended, now)
    plan, task = entry
    if task.run != ended.run or state.plans.get(plan.name) is not plan:
        return []
    elapsed = now - task.started_at
    executor.last_end_at = now
    if ended.state == "done":
        if not task.adopted and not task.stopping:
            _learn_run_time(state, executor, plan, task, elapsed, now)
        return _complete_task(state, plan, task, now)
    sends = [
        planner_log.decision(
            "run ended without success",
            plan.name,
            run=_label(ended.run),
            executor=executor.spec.name,
            how=ended.state,
            elapsed_ms=round(elapsed * 1000.0),
            failures=task.failures + (ended.state == "failed"),
        )
    ]
    if ended.state == "failed":
        executor.failure_rate += FAILURE_RATE_GAIN * (
            1.0 - executor.failure_rate
        )
        task.failures += 1
        if task.failures >= plan.batch.policy.max_attempts:
            reason = f"task failed {task.failures} times"
            outcome = batches.Outcome(batches.FAILED, reason)
            return sends + finish_batch(state, plan, outcome, now)
    requeue_task(plan, task)
    return sends


def _learn_run_time(state, executor, plan, task, elapsed, now):
    """Learn from the run time of a successful run.

    Tasks of a batch are of similar size.  The slowdown of an executor is
    learned from its runs compared with others of the same batch, so that a
    large batch does not make its executor look slow.
    """
    executor.failure_rate -= FAILURE_RATE_GAIN * executor.failure_rate
    route = plan.batch.policy.route
    estimate = plan.batch.steps[task.step].estimate
    model = executor.spec.model
    usual = state.run_times.expected(route, model, estimate, now)
    size = math.log(max(elapsed, MIN_RUN_TIME) / usual) - executor.log_slowdown
    if plan.size_samples:
        deviation = max(
            -MAX_SLOWDOWN_STEP, min(MAX_SLOWDOWN_STEP, size - plan.log_size)
        )
        executor.log_slowdown += SLOWDOWN_GAIN * deviation
    plan.size_samples += 1
    plan.log_size += (size - plan.log_size) / plan.size_samples
    normal = elapsed / math.exp(executor.log_slowdown)
    state.run_times.observe(route, model, estimate, normal, now)


def _handle_untracked_end(state, ended, now):
    """Complete a waiting task if a run that is not tracked has done it."""
    plan = state.plans.get(ended.run.batch)
    if plan is None or ended.state != "done":
        return []
    task = plan.find_task(ended.run.step, ended.run.index)
    if task is None or task.status != "waiting":
        return []
    if task in plan.waiting:
        plan.waiting.remove(task)
    return _complete_task(state, plan, task, now)


def _complete_task(state, plan, task, now):
    task.status = "done"
    plan.done_count += 1
    plan.step_remaining[task.step] -= 1
    if plan.done_count < len(plan.tasks):
        if plan.step_remaining[task.step] == 0:
            for step in plan.steps_unblocked_by(task.step):
                plan.enqueue_step(step)
        return []
    outcome = batches.Outcome(batches.COMPLETE, "all tasks are done")
    return finish_batch(state, plan, outcome, now)


def finish_batch(state, plan, outcome, now):
    """End a batch: report its outcome to its origins and stop its runs."""
    state.remember_outcome(plan.name, outcome)
    state.unreported_outcomes[plan.name] = outcome
    sends = [
        planner_log.decision(
            "batch ended",
            plan.name,
            state=outcome.state,
            reason=outcome.reason,
            tasks=len(plan.tasks),
            done=plan.done_count,
            age_ms=round((now - plan.submitted_at) * 1000.0),
        )
    ]
    for origin in plan.origins:
        handover = 0
        if outcome.state == batches.REFUSED:
            handover = state.remember_rejection(
                origin, plan.name, plan.handovers.get(origin, 0), outcome
            )
        sends.append(
            report_outcome(state, plan.name, origin, outcome, handover)
        )
    return sends + drop_plan(state, plan)


def drop_plan(state, plan):
    """Remove a batch and stop its runs; return the messages."""
    state.plans.pop(plan.name, None)
    if plan.may_have_started:
        state.remember_dropped_batch(plan.name)
    sends = []
    for task in plan.tasks:
        executor = state.executors.get(task.executor_name)
        if executor is None or task.run not in executor.runs:
            continue
        task.stopping = True
        sends += send_stop(executor, task.run)
    return sends


def report_outcome(state, name, origin, outcome, handover=0):
    """Return the message that tells an origin how its batch ended."""
    msg = pool_messages.BatchEnded(
        name, origin.name, outcome, state.name, handover
    )
    if origin.name == state.name:
        return messages.Send(pool_messages.GATEWAY, msg)
    for member in state.fleet.alive:
        if (member.name, member.started) == origin:
            to_member = pool_messages.SendToMember(member.address, msg)
            return messages.Send(pool_messages.LINKS, to_member)
    return planner_log.decision(
        "origin is not alive", name, origin=origin.name
    )


def lose_runs(state, executor, reason, now):
    """Requeue all tasks of an executor on which no run can be left."""
    sends = [
        planner_log.decision(
            "executor lost",
            executor=executor.spec.name,
            reason=reason,
            runs=len(executor.runs),
            heard_ms=round((now - executor.answered_at) * 1000.0),
        ),
        *planner_crashes.record_losses(state, executor, now),
    ]
    for run in list(executor.runs):
        plan, task = release_run(executor, run)
        if task.run == run and plan.name in state.plans:
            requeue_task(plan, task)
    executor.orphans.clear()
    return sends


def _label(run):
    return f"{run.step}.{run.index}#{run.attempt}"
