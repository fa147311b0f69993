"""Settles or requeues a task after an attempt to run it."""

from __future__ import annotations

from typing import Any

from cardamompath_core import outcomes
from cardamompath_core import queueing
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers.backends import backend_retries
from cardamompathd.controllers.backends import service_state

__all__ = [
    "is_retryable",
    "make_queued_task",
    "requeue",
    "settle_attempt",
    "settle_waiting_retry",
    "settle_withdrawn",
]


def settle_attempt(
    state: Any,
    job: Any,
    msg: messages.AttemptEnded,
    verdict: outcomes.Verdict,
    attempt: service_state.Attempt | None,
    now: float,
) -> list[messages.Send]:
    """Settle a task, or queue it again if it may run again.

    Parameters
    ----------
    state : BackendsState
        State of the backend servers.
    job : object
        The task's active job.
    msg : AttemptEnded
        The end of the attempt.
    verdict : str
        State of the task that the answer proves.
    attempt : Attempt or None
        The attempt; None if it is not known here.
    now : float
        The present time in seconds.
    """
    task = job.submission.spec.tasks[msg.task.index]
    if verdict == "not_run":
        _count_wasted(job, msg)
        requeue(state, job, msg.task, task)
        return []
    result = backend_retries.make_result(msg, verdict)
    if _is_failed_probe(job, verdict, attempt):
        _count_wasted(job, msg)
        state.retries.record_result(msg.task, result)
        requeue(state, job, msg.task, task)
        return []
    if verdict != "finished":
        time_left = job.submission.deadline - now
        spec = job.submission.spec
        wait = state.retries.plan_retry(msg.task, spec, result, time_left)
        if wait is not None:
            key = ("retry", msg.task)
            timer = messages.SetTimer(now + wait, messages.BACKENDS, key)
            return [messages.Send(messages.TIMERS, timer)]
    state.retries.pop_result(msg.task)
    ideal_time = _ideal_time(state, task) if verdict == "finished" else 0.0
    wasted_attempts = job.wasted_attempts.pop(msg.task.index, 0)
    settled = messages.TaskSettled(
        msg.task, result, ideal_time, wasted_attempts
    )
    return [messages.Send(messages.JOBS, settled)]


def _count_wasted(job, msg):
    if outcomes.may_have_sent(msg.answer):
        index = msg.task.index
        job.wasted_attempts[index] = job.wasted_attempts.get(index, 0) + 1


def _ideal_time(state, task):
    estimates = state.services[task.service].estimates
    if not estimates.has_seen(task.kind):
        return 0.0
    return estimates.size(task.kind, None)


def settle_withdrawn(
    state: Any, msg: messages.AttemptEnded, verdict: outcomes.Verdict
) -> messages.Send:
    """Settle a task that was in flight when its job was withdrawn."""
    task_state = "not_started" if verdict == "not_run" else verdict
    result = backend_retries.make_result(msg, task_state)
    earlier = state.retries.pop_result(msg.task)
    if earlier is not None and task_state == "not_started":
        result = earlier
    wasted_attempts = int(
        verdict == "not_run" and outcomes.may_have_sent(msg.answer)
    )
    settled = messages.TaskSettled(
        msg.task, result, wasted_attempts=wasted_attempts
    )
    return messages.Send(messages.JOBS, settled)


def settle_waiting_retry(
    state: Any, ref: types.TaskRef
) -> list[messages.Send]:
    """Settle a request that waits for its retry with its last result.

    Returns no messages if the request is in flight or was not retried.
    """
    if state.team_quotas.is_in_flight(ref):
        return []
    result = state.retries.pop_result(ref)
    if result is None:
        return []
    settled = messages.TaskSettled(ref, result)
    return [messages.Send(messages.JOBS, settled)]


def _is_failed_probe(job, verdict, attempt):
    """Return whether this was a failed probe with a retryable task."""
    if attempt is None or not attempt.is_probe or verdict == "finished":
        return False
    return is_retryable(job.submission.spec)


def is_retryable(spec: types.JobSpec) -> bool:
    """Return whether a failed request may run again."""
    return spec.single and spec.idempotent


def requeue(
    state: Any, job: Any, ref: types.TaskRef, task: types.TaskSpec
) -> None:
    """Put a task back in the queue."""
    service = state.services[task.service]
    entry = job.queue_entries[task.service]
    queued = make_queued_task(service, ref.index, task)
    service.queue.add(entry, [queued], service.parallelism)


def make_queued_task(
    service: service_state.Service, index: int, task: types.TaskSpec
) -> queueing.QueuedTask:
    """Make the queue entry of a task, with its expected size and lane."""
    size = service.estimates.size(task.kind, task.declared)
    return queueing.QueuedTask(size, index, service.lane(task, size))
