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
from cardamompath_core import quotas
from cardamompath_core import subsets
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers import backend_admission
from cardamompathd.controllers import backend_health
from cardamompathd.controllers import backend_results
from cardamompathd.controllers import backend_retries
from cardamompathd.controllers import backend_withdrawal
from cardamompathd.controllers import fence
from cardamompathd.controllers import load_reports
from cardamompathd.controllers import service_state

__all__ = [
    "BackendsState",
    "make_controller",
]


_SHARING = ("alive", "suspect")
"""Status of the peers that have a share of the backend servers."""


TICK = 0.25
"""Seconds between reviews of the backend servers."""
PROBE_SECONDS = 0.5
PROBE_FACTOR = 4.0
"""A probe is given up after so many times its expected size."""


class _Work(NamedTuple):
    """A job whose tasks are queued or in flight."""

    enqueued: messages.Enqueue
    queued: dict[str, queueing.QueuedJob]
    """What waits of it, by service."""
    held: list[int]
    """Tasks taken out of the queue because the lease lapsed."""
    wasted: dict[int, int]
    """Exchanges that did not run their task, by its index."""


class BackendsState:
    """The services, their backend servers and the jobs with tasks here."""

    def __init__(self, owner: identity.Incarnation, rng: random.Random):
        self.own = subsets.Node(owner.instance, owner.domain)
        self.rng = rng
        self.services: dict[str, service_state.Service] = {}
        self.backends: dict[str, service_state.Backend] = {}
        self.jobs: dict[str, _Work] = {}
        self.retries = backend_retries.Retries(rng)
        self.teams = quotas.Quotas()
        self.leaving: frozenset[str] = frozenset()
        self.withdrawn: dict[str, list[service_state.Backend]] = {}
        """Left the configuration with tasks in flight, by name."""
        self.busy: frozenset[str] = frozenset()
        self.ticking = False
        self.reported = types.LoadHint()
        self.instances: tuple[subsets.Node, ...] = (self.own,)
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
        known = service_state.Service(name, state.rng, state.teams)
        known.busy = state.busy
        state.services[name] = known
    return known


def _enqueue(state, msg, now):
    by_service = {}
    for index, task in enumerate(msg.spec.tasks):
        service = _service(state, task.service)
        queued = backend_results.queued_task(service, index, task)
        by_service.setdefault(service, []).append(queued)
    for service, tasks in by_service.items():
        refusal = backend_admission.refuse(service, tasks, now, msg)
        if refusal is not None:
            declined = messages.Declined(msg.job, refusal)
            return [messages.Send(messages.JOBS, declined)]
    return _queue(state, msg, by_service, now)


def _queue(state, msg, by_service, now):
    work = _Work(msg, {}, [], {})
    state.jobs[msg.job] = work
    team = state.teams.charged_team(msg.spec.team)
    sends = []
    for service, tasks in by_service.items():
        queued = queueing.QueuedJob(msg.job, now, msg.deadline, team)
        work.queued[service.name] = queued
        service.queue.add(queued, tasks, service.width)
        state.retries.first_try(service.name)
        sends += _start_ready(state, service, now)
    return sends


def _start_ready(state, service, now):
    sends = []
    if not len(service.queue):
        return sends
    lanes = [queueing.SHORT, queueing.LONG]
    while lanes:
        lane = _next_lane(service, lanes)
        if lane is None:
            break
        queued = service.queue.head(lane)[1]
        until = fence.start_by(state.leases, queued.job)
        if not leases.may_start(until, now):
            sends += _hold(state, service, queued)
            continue
        first = queued.lanes[lane][-1]
        server = _choose(state, service, queued, first, now)
        if server is None:
            lanes.remove(lane)
            continue
        task = service.queue.pop(queued, lane, service.width)
        sends.append(_start(state, queued, task, server.name, now))
    return sends


def _next_lane(service, lanes):
    """Return the lane whose first job goes before the others'."""
    best = None
    best_key = (True, float("inf"))
    for lane in lanes:
        head = service.queue.head(lane)
        if head is None or not service.may_start(lane):
            continue
        key = (service.teams.is_at_share(head[1].team, service.name), head[0])
        if best is None or key < best_key:
            best, best_key = lane, key
    return best


def _hold(state, service, queued):
    held = service.queue.withdraw(queued)
    state.jobs[queued.job].held.extend(held)
    return fence.lapse(state.leases, queued.job)


def _choose(state, service, queued, task, now):
    if service.ejected:
        spec = state.jobs[queued.job].enqueued.spec
        harmless = backend_results.is_harmless(spec)
        backend = backend_health.find_probe(service, harmless, now)
        if backend is not None:
            backend.health.probing = True
            return backend.server
    return service.choose(task, queued.team, now)


def _start(state, queued, chosen, name, now):
    backend = state.backends[name]
    enqueued = state.jobs[queued.job].enqueued
    task = enqueued.spec.tasks[chosen.index]
    ref = types.TaskRef(queued.job, chosen.index)
    queued.started = True
    backend.start(ref, task, chosen, now)
    state.teams.record_start(ref, queued.team)
    timeout = min(queued.deadline - now, backend.service.timeout)
    if backend.health.probing:
        timeout = min(timeout, PROBE_SECONDS + PROBE_FACTOR * chosen.size)
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
    backend = backend_withdrawal.find(state, msg)
    flight = backend.end(msg.task, now) if backend else None
    state.teams.record_end(msg.task)
    verdict = outcomes.classify(msg.answer)
    if flight is not None:
        _learn(backend, flight, msg.answer, verdict, now)
        job = msg.task.job
        backend_health.observe(backend, flight, job, msg.answer, verdict, now)
    work = state.jobs.get(msg.task.job)
    sends = []
    if work is not None:
        sends += backend_results.settle(state, work, msg, verdict, flight, now)
    else:
        sends.append(backend_results.settle_withdrawn(state, msg, verdict))
    if backend is not None:
        sends += _start_ready(state, backend.service, now)
    if msg.answer.leaving and msg.backend not in state.leaving:
        sign = messages.BackendsLeaving(frozenset({msg.backend}))
        sends.append(messages.Send(messages.MEMBERSHIP, sign))
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
        expected += backend.server.extra_latency
        elapsed = answer.elapsed
        service.borrow.observe(expected, elapsed, flight.began, now)
    service.learned.observe(flight.task.kind, name, answer.elapsed)
    backend.server.speed = service.learned.speed(name)


def _retry(state, ref, now):
    work = state.jobs.get(ref.job)
    if work is None:
        return []
    task = work.enqueued.spec.tasks[ref.index]
    backend_results.requeue(state, work, ref, task)
    return _start_ready(state, _service(state, task.service), now)


def _withdraw(state, msg, now):
    work = state.jobs.pop(msg.job, None)
    left = []
    wasted = 0
    if work is not None:
        wasted = sum(work.wasted.values())
        left += work.held
        for name, queued in work.queued.items():
            left += state.services[name].queue.withdraw(queued)
    sends = []
    if work is not None and work.enqueued.spec.single:
        sends += backend_results.settle_tried(state, types.TaskRef(msg.job, 0))
    withdrawn = messages.Withdrawn(msg.job, tuple(left), wasted)
    return [*sends, messages.Send(messages.JOBS, withdrawn)]


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
        backend.leaving = spec.leaving or spec.name in state.leaving
        state.backends[spec.name] = backend
    backend_withdrawal.keep(state, known)
    sends = _assign(state, now)
    if not state.ticking:
        state.ticking = True
        sends.append(_set_tick(now))
    return sends


def _set_tick(now):
    tick = messages.SetTimer(now + TICK, messages.BACKENDS, "tick")
    return messages.Send(messages.TIMERS, tick)


def _timer(state, msg, now):
    if msg.key == "tick":
        return _tick(state, now)
    return _retry(state, msg.key[1], now)


def _tick(state, now):
    for backend in state.backends.values():
        backend_health.review(backend, now)
    sends = [_set_tick(now), *load_reports.report(state)]
    for service in state.services.values():
        sends += _start_ready(state, service, now)
    return sends


def _leave(state, msg, now):
    state.leaving = msg.names
    for name, backend in state.backends.items():
        backend.leaving = backend.spec.leaving or name in msg.names
        backend.update_room(now)
    return []


def _assign(state, now):
    sends = []
    for service in state.services.values():
        backends = [
            one for one in state.backends.values() if one.service is service
        ]
        service.assign(backends, state.own, state.instances, now)
        sends += _start_ready(state, service, now)
    return sends


def _take_lease(state, msg, now):
    fence.take_lease(state.leases, msg)
    return []


def _take_parts(state, msg, now):
    state.teams.shares = msg.parts
    return []


def _take_peers(state, msg, now):
    instances = {state.own}
    for peer in msg.peers:
        if peer.status in _SHARING:
            owner = identity.parse_incarnation(peer.incarnation)
            instances.add(subsets.Node(owner.instance, owner.domain))
    found = tuple(sorted(instances))
    sends = []
    if found != state.instances:
        state.instances = found
        sends += _assign(state, now)
    return sends + _take_busy(state, msg.peers, now)


def _take_busy(state, peers, now):
    busy = frozenset(
        identity.parse_incarnation(peer.incarnation).instance
        for peer in peers
        if peer.load.queued
    )
    state.busy = busy
    sends = []
    for service in state.services.values():
        if service.take_busy(busy, now):
            sends += _start_ready(state, service, now)
    return sends


def _status(state, msg, now):
    status = {
        "queued": sum(len(one.queue) for one in state.services.values()),
        "in_flight": {
            name: one.server.in_flight for name, one in state.backends.items()
        },
        "teams": dict(state.teams.in_flight),
        "retrying": len(state.retries),
    }
    reply = messages.Reply(msg.reply, status)
    return [messages.Send(messages.CALLERS, reply)]


_HANDLERS = {
    messages.BackendsLeaving: _leave,
    messages.ConfigurationChanged: _configure,
    messages.Enqueue: _enqueue,
    messages.GetStatus: _status,
    messages.LeaseChanged: _take_lease,
    messages.PartsChanged: _take_parts,
    messages.PeersChanged: _take_peers,
    messages.TaskEnded: _ended,
    messages.TimerFired: _timer,
    messages.Withdraw: _withdraw,
}
