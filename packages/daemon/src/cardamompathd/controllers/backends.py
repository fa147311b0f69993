"""Queued tasks and the backend servers that take them.

Tasks wait here until a backend server has a free place: a task is bound
to a backend server only when it starts.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
from typing import Any

from cardamompath_core import leases
from cardamompath_core import outcomes
from cardamompath_core import routing
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers import fence

__all__ = [
    "BackendsState",
    "make_controller",
]


class Backend:
    """One backend server and what is in flight to it."""

    __slots__ = ("in_flight", "spec")

    def __init__(self, spec: types.BackendSpec):
        self.spec = spec
        self.in_flight = 0


class BackendsState:
    """The queue of each service and the state of each backend server."""

    def __init__(self, choose: routing.Chooser):
        self.choose = choose
        self.backends: dict[str, Backend] = {}
        self.timeouts: dict[str, float] = {}
        self.queues: dict[str, collections.deque] = {}
        self.queued: dict[str, dict[int, types.TaskSpec]] = {}
        self.jobs: dict[str, messages.Enqueue] = {}
        self.leases: dict[str, float] = {}


def make_controller(choose: routing.Chooser) -> messages.Controller:
    """Make the controller of the queue and the backend servers."""
    state = BackendsState(choose)

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.BACKENDS, receive)


def _enqueue(state, msg, now):
    state.jobs[msg.job] = msg
    state.queued[msg.job] = dict(enumerate(msg.spec.tasks))
    for index, task in enumerate(msg.spec.tasks):
        queue = state.queues.setdefault(task.service, collections.deque())
        queue.append(types.TaskRef(msg.job, index))
    sends = []
    for service in {task.service for task in msg.spec.tasks}:
        sends += _start_ready(state, service, now)
    return sends


def _start_ready(state, service, now):
    sends = []
    queue = state.queues.get(service, ())
    while queue:
        ref = queue[0]
        task = state.queued.get(ref.job, {}).get(ref.index)
        if task is None:
            queue.popleft()
            continue
        until = fence.start_by(state.leases, ref.job)
        if not leases.may_start(until, now):
            queue.popleft()
            sends += fence.lapse(state.leases, ref.job)
            continue
        chosen = state.choose(_candidates(state, service), task, now)
        if chosen is None:
            break
        queue.popleft()
        sends.append(_start(state, ref, task, chosen.name, now))
    return sends


def _candidates(state, service):
    return [
        routing.Candidate(
            one.spec.name, one.spec.domain, one.in_flight, one.spec.slots
        )
        for one in state.backends.values()
        if one.spec.service == service and one.in_flight < one.spec.slots
    ]


def _start(state, ref, task, name, now):
    del state.queued[ref.job][ref.index]
    backend = state.backends[name]
    backend.in_flight += 1
    left = state.jobs[ref.job].deadline - now
    timeout = min(left, state.timeouts.get(task.service, left))
    return messages.Send(
        messages.CONNECTIONS,
        messages.StartTask(
            backend.spec,
            ref,
            task.service,
            task.kind,
            task.payload,
            timeout,
            fence.start_by(state.leases, ref.job),
        ),
    )


def _ended(state, msg, now):
    backend = state.backends.get(msg.backend)
    if backend is not None:
        backend.in_flight -= 1
    verdict = outcomes.judge(msg.answer)
    enqueued = state.jobs.get(msg.task.job)
    sends = []
    if enqueued is not None:
        sends += _settle(state, enqueued, msg, verdict)
    for service in state.queues:
        sends += _start_ready(state, service, now)
    return sends


def _settle(state, enqueued, msg, verdict):
    task = enqueued.spec.tasks[msg.task.index]
    if verdict == "not_run":
        state.queued[msg.task.job][msg.task.index] = task
        state.queues[task.service].append(msg.task)
        return []
    answer = msg.answer
    result = types.TaskResult(
        verdict, answer.status, answer.payload, msg.backend
    )
    settled = messages.TaskSettled(msg.task, result)
    return [messages.Send(messages.JOBS, settled)]


def _withdraw(state, msg, now):
    state.jobs.pop(msg.job, None)
    left = state.queued.pop(msg.job, {})
    withdrawn = messages.Withdrawn(msg.job, tuple(left))
    return [messages.Send(messages.JOBS, withdrawn)]


def _configure(state, msg, now):
    known = state.backends
    state.backends = {}
    for spec in msg.cfg.backends:
        backend = known.get(spec.name) or Backend(spec)
        backend.spec = spec
        state.backends[spec.name] = backend
    state.timeouts = {one.name: one.timeout for one in msg.cfg.services}
    sends = []
    for service in state.queues:
        sends += _start_ready(state, service, now)
    return sends


def _take_lease(state, msg, now):
    fence.take_lease(state.leases, msg)
    return []


def _status(state, msg, now):
    status = {
        "queued": sum(len(left) for left in state.queued.values()),
        "in_flight": {
            name: one.in_flight for name, one in state.backends.items()
        },
    }
    reply = messages.Reply(msg.reply, status)
    return [messages.Send(messages.CALLERS, reply)]


_HANDLERS = {
    messages.ConfigurationChanged: _configure,
    messages.Enqueue: _enqueue,
    messages.GetStatus: _status,
    messages.LeaseChanged: _take_lease,
    messages.TaskEnded: _ended,
    messages.Withdraw: _withdraw,
}
