"""Runs of a planner: orders to start and stop, and what came of them."""

from __future__ import annotations

import math

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers import planner_log

__all__ = [
    "LEASE",
    "adopt",
    "drop_plan",
    "end_run",
    "finish",
    "lose",
    "release",
    "send_start",
    "send_stop",
    "start_answered",
    "stop_answered",
]

LEASE = 1.0
"""Seconds of the lease of a run, the longest that executors give."""
CLOCK_ERROR = 0.02
"""Share by which an executor's clock may be slow, by its contract."""
LEASE_MARGIN = 0.05
"""Seconds for the way of an order, beyond the lease."""
OLD_STEP = 8
"""Attempts skipped when an executor knows a later one of the task."""
PACE_GAIN = 0.3
"""Weight of one more run in the pace of an executor."""
PACE_STEP = 1.0
"""Largest surprise that counts, in logarithmic units."""
LEAST_TIME = 1e-3
"""Shortest run time that is learned from, in seconds."""
SCORE_GAIN = 0.25
"""Weight of one more run in the share of an executor's failures."""


def send_start(state, held, plan, task, now):
    """Order an executor to start a task; return the messages."""
    task.attempt += 1
    task.status = "sent"
    task.executor = held.spec.name
    task.since = now
    task.stopping = False
    task.adopted = False
    task.expires = now + LEASE * (1.0 + CLOCK_ERROR) + LEASE_MARGIN
    task.run = pool_messages.Run(
        plan.name, task.step, task.index, task.attempt
    )
    plan.started = True
    held.runs[task.run] = (plan, task)
    held.free = executors.subtract(held.free, room_of(plan, task))
    held.lease_until = max(held.lease_until, task.expires)
    order = pool_messages.StartRun(
        held.spec,
        held.token,
        task.run,
        plan.batch.spec,
        held.executor_clock(now) + LEASE,
    )
    return [messages.Send(pool_messages.EXECUTORS, order)]


def room_of(plan, task):
    """Return the room that a task takes."""
    return plan.batch.steps[task.step].room


def send_stop(held, run):
    """Order an executor to stop a run."""
    order = pool_messages.StopRun(held.spec, held.token, run)
    return [messages.Send(pool_messages.EXECUTORS, order)]


def release(held, run):
    """Take a run off an executor's books; return its plan and task."""
    entry = held.runs.pop(run, None)
    if entry is not None:
        held.free = executors.add(held.free, room_of(*entry))
    return entry


def adopt(held, plan, task, run, now):
    """Take over a run that another planner started."""
    task.attempt = max(task.attempt, run.attempt)
    task.status = "running"
    task.executor = held.spec.name
    task.since = now
    task.adopted = True
    task.run = run
    if task in plan.waiting:
        plan.waiting.remove(task)
    held.runs[run] = (plan, task)
    held.free = executors.subtract(held.free, room_of(plan, task))


def start_answered(state, msg, now):
    """Deal with the answer to an order to start."""
    held = state.held.get(msg.executor)
    if held is None:
        return []
    if msg.clock is not None:
        held.heard_at = now
    if msg.run not in held.runs:
        return []
    plan, task = held.runs[msg.run]
    if msg.result == "started":
        if task.status == "sent":
            task.status = "running"
        return []
    note = planner_log.note(
        "start not confirmed",
        plan.name,
        run=_label(msg.run),
        executor=msg.executor,
        result=msg.result,
        detail=msg.detail,
        age_ms=round((now - task.since) * 1000.0),
    )
    if msg.result == "unknown":
        return [note, *_doubt(held, task, msg.run)]
    release(held, msg.run)
    if msg.result == "invalid":
        reason = f"executor {msg.executor} rejects the task: {msg.detail}"
        outcome = batches.Outcome(batches.FAILED, reason)
        return [note, *finish(state, plan, outcome, now)]
    _take_refusal(held, task, msg.result)
    requeue(plan, task)
    return [note]


def _doubt(held, task, run):
    """Keep a run on the books that may have started, and stop it."""
    if task.status != "sent":
        return []
    task.status = "unknown"
    task.stopping = True
    held.suspect = True
    return send_stop(held, run)


def _take_refusal(held, task, result):
    """Take in why an executor did not start a run."""
    if result in ("unhealthy", "unsent", "room"):
        # What it holds, or whether it answers, the next listing tells.
        held.suspect = True
    elif result == "old":
        task.attempt += OLD_STEP


def stop_answered(state, msg, now):
    """Deal with the answer to an order to stop.

    The run is off the executor when its end is listed.  A run that was
    never there has no end, but can no longer start.
    """
    held = state.held.get(msg.executor)
    if held is None or not msg.stopped:
        return []
    held.heard_at = now
    entry = held.runs.get(msg.run)
    if entry is not None and entry[1].status == "unknown":
        entry[1].expires = min(entry[1].expires, now)
    return []


def requeue(plan, task):
    """Let a task wait for another run."""
    if task.status == "done" or task.status == "waiting":
        return
    task.status = "waiting"
    task.executor = ""
    task.run = None
    plan.waiting.appendleft(task)


def end_run(state, held, ended, now):
    """Deal with the end of a run that its executor listed."""
    held.orphans.pop(ended.run, None)
    entry = release(held, ended.run)
    if entry is None:
        return _end_unbooked(state, ended, now)
    plan, task = entry
    if task.run != ended.run or state.plans.get(plan.name) is not plan:
        return []
    elapsed = now - task.since
    held.ended_at = now
    if ended.state == "done":
        if not task.adopted and not task.stopping:
            _learn(state, held, plan, task, elapsed)
        return _complete_task(state, plan, task, now)
    sends = [
        planner_log.note(
            "run ended without success",
            plan.name,
            run=_label(ended.run),
            executor=held.spec.name,
            how=ended.state,
            elapsed_ms=round(elapsed * 1000.0),
            failures=task.failures + (ended.state == "failed"),
        )
    ]
    if ended.state == "failed":
        held.score += SCORE_GAIN * (1.0 - held.score)
        task.failures += 1
        if task.failures >= plan.batch.terms.max_attempts:
            reason = f"task failed {task.failures} times"
            outcome = batches.Outcome(batches.FAILED, reason)
            return sends + finish(state, plan, outcome, now)
    requeue(plan, task)
    return sends


def _learn(state, held, plan, task, elapsed):
    """Learn from a run that ended well.

    Tasks of one batch are of like size.  The pace of an executor is
    learned from how its run compares with others of the batch, so that
    a large batch does not make it look slow.
    """
    held.score -= SCORE_GAIN * held.score
    route = plan.batch.terms.route
    estimate = plan.batch.steps[task.step].estimate
    usual = state.times.expected(route, held.spec.kind, estimate)
    size = math.log(max(elapsed, LEAST_TIME) / usual) - held.log_pace
    if plan.sized:
        surprise = max(-PACE_STEP, min(PACE_STEP, size - plan.log_size))
        held.log_pace += PACE_GAIN * surprise
    plan.sized += 1
    plan.log_size += (size - plan.log_size) / plan.sized
    typical = elapsed / math.exp(held.log_pace)
    state.times.observe(route, held.spec.kind, typical)


def _end_unbooked(state, ended, now):
    plan = state.plans.get(ended.run.batch)
    if plan is None or ended.state != "done":
        return []
    task = plan.find(ended.run.step, ended.run.index)
    if task is None or task.status != "waiting":
        return []
    plan.waiting.remove(task)
    return _complete_task(state, plan, task, now)


def _complete_task(state, plan, task, now):
    task.status = "done"
    plan.done += 1
    plan.step_left[task.step] -= 1
    if plan.done < len(plan.tasks):
        if plan.step_left[task.step] == 0:
            for step in plan.unlocked_by(task.step):
                plan.release_step(step)
        return []
    outcome = batches.Outcome(batches.COMPLETE, "all tasks are done")
    return finish(state, plan, outcome, now)


def finish(state, plan, outcome, now):
    """End a batch: tell its origins, and stop what still runs."""
    state.remember(plan.name, outcome)
    sends = [
        planner_log.note(
            "batch ended",
            plan.name,
            state=outcome.state,
            reason=outcome.reason,
            tasks=len(plan.tasks),
            done=plan.done,
            age_ms=round((now - plan.submitted) * 1000.0),
        )
    ]
    for origin in plan.origins:
        ended = pool_messages.BatchEnded(plan.name, origin, outcome, state.own)
        sends.append(to_member(state, origin, ended))
    return sends + drop_plan(state, plan)


def drop_plan(state, plan):
    """Forget a batch and stop what still runs of it."""
    state.plans.pop(plan.name, None)
    if plan.started:
        state.remember_dropped(plan.name)
    sends = []
    for task in plan.tasks:
        held = state.held.get(task.executor)
        if held is None or task.run not in held.runs:
            continue
        task.stopping = True
        sends += send_stop(held, task.run)
    return sends


def to_member(state, name, msg):
    """Return the message to the instance of a name."""
    if name == state.own:
        return messages.Send(pool_messages.GATEWAY, msg)
    for member in state.fleet.alive:
        if member.name == name:
            one = pool_messages.SendToMember(member.address, msg)
            return messages.Send(pool_messages.LINKS, one)
    return planner_log.note("origin is not alive", msg.name, origin=name)


def lose(state, held, reason, now):
    """Take all runs off an executor that surely runs them no longer."""
    sends = [
        planner_log.note(
            "executor lost",
            executor=held.spec.name,
            reason=reason,
            runs=len(held.runs),
            heard_ms=round((now - held.heard_at) * 1000.0),
        )
    ]
    for run in list(held.runs):
        plan, task = release(held, run)
        if task.run == run and plan.name in state.plans:
            requeue(plan, task)
    held.orphans.clear()
    return sends


def _label(run):
    return f"{run.step}.{run.index}#{run.attempt}"
