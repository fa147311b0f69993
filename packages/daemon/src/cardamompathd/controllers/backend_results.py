"""What becomes of a task whose exchange with a backend server ended."""

from __future__ import annotations

from typing import Any

from cardamompath_core import outcomes
from cardamompath_core import queueing
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers import backend_retries
from cardamompathd.controllers import service_state

__all__ = [
    "is_harmless",
    "queued_task",
    "requeue",
    "settle",
    "settle_tried",
    "settle_withdrawn",
]


def settle(
    state: Any,
    work: Any,
    msg: messages.TaskEnded,
    verdict: outcomes.Verdict,
    flight: service_state.Flight | None,
    now: float,
) -> list[messages.Send]:
    """Settle a task, or let it run again where that is allowed.

    Parameters
    ----------
    state : BackendsState
        State of the backend servers.
    work : object
        What is known of the task's job.
    msg : TaskEnded
        The end of the exchange.
    verdict : str
        What the exchange proves.
    flight : Flight or None
        What was known of the task in flight.
    now : float
        The present time in seconds.
    """
    task = work.enqueued.spec.tasks[msg.task.index]
    if verdict == "not_run":
        _note_wasted(work, msg)
        requeue(state, work, msg.task, task)
        return []
    result = backend_retries.make_result(msg, verdict)
    if _is_spoilt_probe(work, verdict, flight):
        _note_wasted(work, msg)
        state.retries.note(msg.task, result)
        requeue(state, work, msg.task, task)
        return []
    if verdict != "finished":
        left = work.enqueued.deadline - now
        spec = work.enqueued.spec
        wait = state.retries.plan(msg.task, spec, result, left)
        if wait is not None:
            key = ("retry", msg.task)
            timer = messages.SetTimer(now + wait, messages.BACKENDS, key)
            return [messages.Send(messages.TIMERS, timer)]
    state.retries.forget(msg.task)
    ideal = _ideal(state, task) if verdict == "finished" else 0.0
    wasted = work.wasted.pop(msg.task.index, 0)
    settled = messages.TaskSettled(msg.task, result, ideal, wasted)
    return [messages.Send(messages.JOBS, settled)]


def _note_wasted(work, msg):
    if outcomes.may_have_sent(msg.answer):
        index = msg.task.index
        work.wasted[index] = work.wasted.get(index, 0) + 1


def _ideal(state, task):
    learned = state.services[task.service].learned
    if not learned.has_seen(task.kind):
        return 0.0
    return learned.size(task.kind, None)


def settle_withdrawn(
    state: Any, msg: messages.TaskEnded, verdict: outcomes.Verdict
) -> messages.Send:
    """Settle a task that was in flight when its job was withdrawn."""
    known = "not_started" if verdict == "not_run" else verdict
    result = backend_retries.make_result(msg, known)
    tried = state.retries.forget(msg.task)
    if tried is not None and known == "not_started":
        result = tried
    wasted = int(verdict == "not_run" and outcomes.may_have_sent(msg.answer))
    settled = messages.TaskSettled(msg.task, result, wasted=wasted)
    return messages.Send(messages.JOBS, settled)


def settle_tried(state: Any, ref: types.TaskRef) -> list[messages.Send]:
    """Settle a request that ran before and is not in flight now."""
    if state.teams.is_in_flight(ref):
        return []
    result = state.retries.forget(ref)
    if result is None:
        return []
    settled = messages.TaskSettled(ref, result)
    return [messages.Send(messages.JOBS, settled)]


def _is_spoilt_probe(work, verdict, flight):
    """Return whether a probe failed with a task that may run again."""
    if flight is None or not flight.probe or verdict == "finished":
        return False
    return is_harmless(work.enqueued.spec)


def is_harmless(spec: types.JobSpec) -> bool:
    """Return whether a failure on a doubtful server does no harm."""
    return spec.single and spec.idempotent


def requeue(
    state: Any, work: Any, ref: types.TaskRef, task: types.TaskSpec
) -> None:
    """Let a task wait again."""
    service = state.services[task.service]
    queued = work.queued[task.service]
    again = queued_task(service, ref.index, task)
    service.queue.add(queued, [again], service.width)


def queued_task(
    service: service_state.Service, index: int, task: types.TaskSpec
) -> queueing.QueuedTask:
    """Make the queue's view of a task, with its expected size."""
    size = service.learned.size(task.kind, task.declared)
    return queueing.QueuedTask(size, index, service.lane(task, size))
