"""Queued tasks and the backend servers that take them.

Tasks wait here until a backend server has a free place: a task is bound
to a backend server only when it starts.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from cardamompath_core import identity
from cardamompath_core import leases
from cardamompath_core import outcomes
from cardamompath_core import queueing
from cardamompath_core import subsets
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers import fence
from cardamompathd.controllers import service_state

__all__ = [
    "BackendsState",
    "make_controller",
]


_SHARING = ("alive", "suspect")
"""Status of the peers that have a share of the backend servers."""


class _Work(NamedTuple):
    """A job whose tasks are queued or in flight."""

    enqueued: messages.Enqueue
    queued: dict[str, queueing.QueuedJob]
    """What waits of it, by service."""
    held: list[int]
    """Tasks taken out of the queue because the lease lapsed."""


class BackendsState:
    """The services, their backend servers and the jobs with tasks here."""

    def __init__(self, owner: identity.Incarnation, rng: random.Random):
        self.own = subsets.Member(owner.instance, owner.domain)
        self.rng = rng
        self.services: dict[str, service_state.Service] = {}
        self.backends: dict[str, service_state.Backend] = {}
        self.jobs: dict[str, _Work] = {}
        self.instances: tuple[subsets.Member, ...] = (self.own,)
        self.leases: dict[str, float] = {}


def make_controller(
    owner: identity.Incarnation, rng: random.Random
) -> messages.Controller:
    """Make the controller of the queue and the backend servers.

    Parameters
    ----------
    owner : Incarnation
        This instance.
    rng : random.Random
        Where choices among equals come from.
    """
    state = BackendsState(owner, rng)

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.BACKENDS, receive)


def _service(state, name):
    known = state.services.get(name)
    if known is None:
        known = service_state.Service(name, state.rng)
        state.services[name] = known
    return known


def _enqueue(state, msg, now):
    work = _Work(msg, {}, [])
    state.jobs[msg.job] = work
    by_service = {}
    for index, task in enumerate(msg.spec.tasks):
        by_service.setdefault(task.service, []).append((index, task))
    sends = []
    for name, tasks in by_service.items():
        service = _service(state, name)
        queued = queueing.QueuedJob(msg.job, now, msg.deadline)
        work.queued[name] = queued
        found = [_queued_task(service, index, task) for index, task in tasks]
        service.queue.add(queued, found, service.width)
        sends += _start_ready(state, service, now)
    return sends


def _queued_task(service, index, task):
    size = service.learned.size(task.kind, task.declared)
    return queueing.QueuedTask(size, index, queueing.SHORT)


def _start_ready(state, service, now):
    sends = []
    while True:
        head = service.queue.head(queueing.SHORT)
        if head is None:
            return sends
        queued = head[1]
        until = fence.start_by(state.leases, queued.job)
        if not leases.may_start(until, now):
            held = service.queue.withdraw(queued)
            state.jobs[queued.job].held.extend(held)
            sends += fence.lapse(state.leases, queued.job)
            continue
        first = queued.lanes[queueing.SHORT][-1]
        server = service.choose(first, now)
        if server is None:
            return sends
        task = service.queue.take(queueing.SHORT, service.width)
        sends.append(_start(state, queued, task, server.name, now))


def _start(state, queued, chosen, name, now):
    backend = state.backends[name]
    enqueued = state.jobs[queued.job].enqueued
    task = enqueued.spec.tasks[chosen.index]
    ref = types.TaskRef(queued.job, chosen.index)
    queued.started = True
    backend.start(ref, task, chosen, now)
    timeout = min(queued.deadline - now, backend.service.timeout)
    return messages.Send(
        messages.CONNECTIONS,
        messages.StartTask(
            backend.spec,
            ref,
            task.service,
            task.kind,
            task.payload,
            timeout,
            fence.start_by(state.leases, queued.job),
        ),
    )


def _ended(state, msg, now):
    backend = state.backends.get(msg.backend)
    flight = backend.end(msg.task) if backend else None
    verdict = outcomes.judge(msg.answer)
    if flight is not None:
        _learn(backend, flight, msg.answer, verdict, now)
    work = state.jobs.get(msg.task.job)
    sends = []
    if work is not None:
        sends += _settle(state, work, msg, verdict)
    else:
        sends.append(_settle_withdrawn(msg, verdict))
    if backend is not None:
        sends += _start_ready(state, backend.service, now)
    return sends


def _learn(backend, flight, answer, verdict, now):
    service = backend.service
    if verdict == "not_run" and flight.borrowed:
        service.borrow.shrink(flight.began, now)
    if verdict != "finished":
        return
    name = backend.spec.name
    if flight.borrowed:
        expected = flight.size / backend.server.speed
        expected += backend.server.extra
        elapsed = answer.elapsed
        service.borrow.observe(expected, elapsed, flight.began, now)
    service.learned.observe(flight.task.kind, name, answer.elapsed)
    backend.server.speed = service.learned.speed(name)


def _settle(state, work, msg, verdict):
    task = work.enqueued.spec.tasks[msg.task.index]
    if verdict == "not_run":
        _requeue(state, work, msg.task, task)
        return []
    answer = msg.answer
    result = types.TaskResult(
        verdict, answer.status, answer.payload, msg.backend
    )
    settled = messages.TaskSettled(msg.task, result)
    return [messages.Send(messages.JOBS, settled)]


def _settle_withdrawn(msg, verdict):
    """Settle a task that was in flight when its job was withdrawn."""
    known = "not_started" if verdict == "not_run" else verdict
    answer = msg.answer
    result = types.TaskResult(
        known, answer.status, answer.payload, msg.backend
    )
    settled = messages.TaskSettled(msg.task, result)
    return messages.Send(messages.JOBS, settled)


def _requeue(state, work, ref, task):
    service = _service(state, task.service)
    queued = work.queued[task.service]
    again = _queued_task(service, ref.index, task)
    service.queue.add(queued, [again], service.width)


def _withdraw(state, msg, now):
    work = state.jobs.pop(msg.job, None)
    left = []
    if work is not None:
        left += work.held
        for name, queued in work.queued.items():
            left += state.services[name].queue.withdraw(queued)
    withdrawn = messages.Withdrawn(msg.job, tuple(left))
    return [messages.Send(messages.JOBS, withdrawn)]


def _configure(state, msg, now):
    known = state.backends
    state.backends = {}
    for one in msg.cfg.services:
        _service(state, one.name).timeout = one.timeout
    for spec in msg.cfg.backends:
        service = _service(state, spec.service)
        backend = known.get(spec.name)
        if backend is None or backend.service is not service:
            backend = service_state.Backend(spec, service)
        backend.spec = spec
        state.backends[spec.name] = backend
    return _assign(state, now)


def _assign(state, now):
    sends = []
    for service in state.services.values():
        backends = [
            one for one in state.backends.values() if one.service is service
        ]
        service.assign(backends, state.own, state.instances)
        sends += _start_ready(state, service, now)
    return sends


def _take_lease(state, msg, now):
    fence.take_lease(state.leases, msg)
    return []


def _take_peers(state, msg, now):
    instances = {state.own}
    for peer in msg.peers:
        if peer.status in _SHARING:
            owner = identity.parse_incarnation(peer.incarnation)
            instances.add(subsets.Member(owner.instance, owner.domain))
    found = tuple(sorted(instances))
    if found == state.instances:
        return []
    state.instances = found
    return _assign(state, now)


def _status(state, msg, now):
    status = {
        "queued": sum(len(one.queue) for one in state.services.values()),
        "in_flight": {
            name: one.server.in_flight for name, one in state.backends.items()
        },
    }
    reply = messages.Reply(msg.reply, status)
    return [messages.Send(messages.CALLERS, reply)]


_HANDLERS = {
    messages.ConfigurationChanged: _configure,
    messages.Enqueue: _enqueue,
    messages.GetStatus: _status,
    messages.LeaseChanged: _take_lease,
    messages.PeersChanged: _take_peers,
    messages.TaskEnded: _ended,
    messages.Withdraw: _withdraw,
}
