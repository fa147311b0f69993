"""Controller of the task queues and the backend servers.

Tasks wait in the queue of their service until a backend server has a
free slot: a task is bound to a backend server only when it starts.
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
from cardamompathd.controllers.backends import backend_admission
from cardamompathd.controllers.backends import backend_health
from cardamompathd.controllers.backends import backend_results
from cardamompathd.controllers.backends import backend_retries
from cardamompathd.controllers.backends import removed_backends
from cardamompathd.controllers.backends import service_state
from cardamompathd.controllers.fleet import load_reports
from cardamompathd.controllers.jobs import fence

__all__ = [
    "BackendsState",
    "make_controller",
]


_SHARING_STATUSES = ("alive", "suspect")
"""Statuses of the peers that get a share of the backend servers."""


TICK_INTERVAL = 0.25
"""Seconds between reviews of the backend servers."""
PROBE_TIMEOUT = 0.5
"""Fixed part of a probe's timeout, in seconds."""
PROBE_TIMEOUT_FACTOR = 4.0
"""Part of a probe's timeout in multiples of the task's expected size."""


class _ActiveJob(NamedTuple):
    """A job with tasks that are queued or in flight."""

    submission: messages.Enqueue
    queue_entries: dict[str, queueing.QueuedJob]
    """Its entry in the queue of each service, by service name."""
    fenced: list[int]
    """Indexes of tasks that were dequeued as the lease had lapsed."""
    wasted_attempts: dict[int, int]
    """Number of attempts that did not run their task, by task index."""


class BackendsState:
    """State of the services, their backend servers and active jobs.

    Parameters
    ----------
    owner : Incarnation
        This instance.
    rng : random.Random
        Samples servers and draws jitter.
    """

    def __init__(self, owner: identity.Incarnation, rng: random.Random):
        self.own = subsets.Node(owner.instance, owner.domain)
        self.rng = rng
        self.services: dict[str, service_state.Service] = {}
        self.backends: dict[str, service_state.Backend] = {}
        self.jobs: dict[str, _ActiveJob] = {}
        self.retries = backend_retries.Retries(rng)
        self.team_quotas = quotas.Quotas()
        self.leaving: frozenset[str] = frozenset()
        self.removed: dict[str, list[service_state.Backend]] = {}
        """Backend servers that are no longer in the configuration but
        have tasks in flight, by name."""
        self.busy_peers: frozenset[str] = frozenset()
        self.tick_scheduled = False
        self.reported_load = types.LoadHint()
        self.instances: tuple[subsets.Node, ...] = (self.own,)
        self.leases: dict[str, float] = {}


def make_controller(
    owner: identity.Incarnation, rng: random.Random
) -> messages.Controller:
    """Make the controller of the task queues and the backend servers.

    Parameters
    ----------
    owner : Incarnation
        This instance.
    rng : random.Random
        Samples servers and draws jitter.
    """
    state = BackendsState(owner, rng)

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.BACKENDS, receive)


def _get_service(state, name):
    service = state.services.get(name)
    if service is None:
        service = service_state.Service(name, state.rng, state.team_quotas)
        service.busy_peers = state.busy_peers
        state.services[name] = service
    return service


def _enqueue(state, msg, now):
    by_service = {}
    for index, task in enumerate(msg.spec.tasks):
        service = _get_service(state, task.service)
        queued = backend_results.make_queued_task(service, index, task)
        by_service.setdefault(service, []).append(queued)
    for service, tasks in by_service.items():
        refusal = backend_admission.check(service, tasks, now, msg)
        if refusal is not None:
            job_refused = messages.JobRefused(msg.job, refusal)
            return [messages.Send(messages.JOBS, job_refused)]
    return _queue_tasks(state, msg, by_service, now)


def _queue_tasks(state, msg, by_service, now):
    job = _ActiveJob(msg, {}, [], {})
    state.jobs[msg.job] = job
    team = state.team_quotas.charged_team(msg.spec.team)
    sends = []
    for service, tasks in by_service.items():
        queued = queueing.QueuedJob(msg.job, now, msg.deadline, team)
        job.queue_entries[service.name] = queued
        service.queue.add(queued, tasks, service.parallelism)
        state.retries.count_submission(service.name)
        sends += _start_tasks(state, service, now)
    return sends


def _start_tasks(state, service, now):
    sends = []
    if not len(service.queue):
        return sends
    lanes = [queueing.SHORT, queueing.LONG]
    while lanes:
        lane = _next_lane(service, lanes)
        if lane is None:
            break
        queued = service.queue.head(lane)[1]
        lease_end = fence.lease_end(state.leases, queued.job)
        if not leases.may_start(lease_end, now):
            sends += _fence_job(state, service, queued)
            continue
        next_task = queued.lanes[lane][-1]
        server = _choose_server(state, service, queued, next_task, now)
        if server is None:
            lanes.remove(lane)
            continue
        task = service.queue.pop(queued, lane, service.parallelism)
        sends.append(_start_task(state, queued, task, server.name, now))
    return sends


def _next_lane(service, lanes):
    """Return the lane whose first job starts before the others'.

    Jobs of teams that have reached their share come last.  Returns None
    if no lane has a job that may start.
    """
    best = None
    best_key = (True, float("inf"))
    for lane in lanes:
        head = service.queue.head(lane)
        if head is None or not service.may_start(lane):
            continue
        key = (
            service.team_quotas.is_at_share(head[1].team, service.name),
            head[0],
        )
        if best is None or key < best_key:
            best, best_key = lane, key
    return best


def _fence_job(state, service, queued):
    withdrawn = service.queue.withdraw(queued)
    state.jobs[queued.job].fenced.extend(withdrawn)
    return fence.mark_lapsed(state.leases, queued.job)


def _choose_server(state, service, queued, task, now):
    if service.ejected:
        spec = state.jobs[queued.job].submission.spec
        retryable = backend_results.is_retryable(spec)
        backend = backend_health.find_probe_target(service, retryable, now)
        if backend is not None:
            backend.health.probing = True
            return backend.server
    return service.choose_server(task, queued.team, now)


def _start_task(state, queued, queued_task, name, now):
    backend = state.backends[name]
    submission = state.jobs[queued.job].submission
    task = submission.spec.tasks[queued_task.index]
    ref = types.TaskRef(queued.job, queued_task.index)
    queued.started = True
    backend.start_attempt(ref, task, queued_task, now)
    state.team_quotas.record_start(ref, queued.team)
    timeout = min(queued.deadline - now, backend.service.timeout)
    if backend.health.probing:
        timeout = min(
            timeout, PROBE_TIMEOUT + PROBE_TIMEOUT_FACTOR * queued_task.size
        )
    return messages.Send(
        messages.CONNECTIONS,
        messages.StartTask(
            backend.spec,
            ref,
            task.service,
            task.kind,
            task.payload,
            timeout,
            fence.lease_end(state.leases, queued.job),
        ),
    )


def _end_attempt(state, msg, now):
    backend = removed_backends.find_backend(state, msg)
    attempt = backend.end_attempt(msg.task, now) if backend else None
    state.team_quotas.record_end(msg.task)
    verdict = outcomes.classify(msg.answer)
    if attempt is not None:
        _update_estimates(backend, attempt, msg.answer, verdict, now)
        job_id = msg.task.job
        backend_health.record_outcome(
            backend, attempt, job_id, msg.answer, verdict, now
        )
    job = state.jobs.get(msg.task.job)
    sends = []
    if job is not None:
        sends += backend_results.settle_attempt(
            state, job, msg, verdict, attempt, now
        )
    else:
        sends.append(backend_results.settle_withdrawn(state, msg, verdict))
    if backend is not None:
        sends += _start_tasks(state, backend.service, now)
    if msg.answer.leaving and msg.backend not in state.leaving:
        leaving = messages.BackendsLeaving(frozenset({msg.backend}))
        sends.append(messages.Send(messages.MEMBERSHIP, leaving))
    return sends


def _update_estimates(backend, attempt, answer, verdict, now):
    service = backend.service
    if verdict == "not_run" and attempt.borrowed:
        service.borrow_limit.shrink(attempt.started_at, now)
    if verdict != "finished":
        return
    name = backend.spec.name
    if attempt.borrowed:
        expected = attempt.size / backend.server.speed
        expected += backend.server.extra_latency
        elapsed = answer.elapsed
        service.borrow_limit.observe(
            expected, elapsed, attempt.started_at, now
        )
    service.estimates.observe(attempt.task.kind, name, answer.elapsed)
    backend.server.speed = service.estimates.speed(name)


def _retry(state, ref, now):
    job = state.jobs.get(ref.job)
    if job is None:
        return []
    task = job.submission.spec.tasks[ref.index]
    backend_results.requeue(state, job, ref, task)
    return _start_tasks(state, _get_service(state, task.service), now)


def _withdraw(state, msg, now):
    job = state.jobs.pop(msg.job, None)
    withdrawn = []
    wasted_attempts = 0
    if job is not None:
        wasted_attempts = sum(job.wasted_attempts.values())
        withdrawn += job.fenced
        for name, queued in job.queue_entries.items():
            withdrawn += state.services[name].queue.withdraw(queued)
    sends = []
    if job is not None and job.submission.spec.single:
        sends += backend_results.settle_waiting_retry(
            state, types.TaskRef(msg.job, 0)
        )
    tasks_withdrawn = messages.TasksWithdrawn(
        msg.job, tuple(withdrawn), wasted_attempts
    )
    return [*sends, messages.Send(messages.JOBS, tasks_withdrawn)]


def _configure(state, msg, now):
    previous = state.backends
    state.backends = {}
    for entry in msg.cfg.services:
        _get_service(state, entry.name).timeout = entry.timeout
    for spec in msg.cfg.backends:
        service = _get_service(state, spec.service)
        backend = previous.get(spec.name)
        if backend is None or backend.service is not service:
            backend = service_state.Backend(spec, service)
        backend.spec = spec
        backend.leaving = spec.leaving or spec.name in state.leaving
        state.backends[spec.name] = backend
    removed_backends.keep_removed(state, previous)
    sends = _assign_slots(state, now)
    if not state.tick_scheduled:
        state.tick_scheduled = True
        sends.append(_set_tick(now))
    return sends


def _set_tick(now):
    tick = messages.SetTimer(now + TICK_INTERVAL, messages.BACKENDS, "tick")
    return messages.Send(messages.TIMERS, tick)


def _handle_timer(state, msg, now):
    if msg.key == "tick":
        return _review_backends(state, now)
    return _retry(state, msg.key[1], now)


def _review_backends(state, now):
    for backend in state.backends.values():
        backend_health.review(backend, now)
    sends = [_set_tick(now), *load_reports.report(state)]
    for service in state.services.values():
        sends += _start_tasks(state, service, now)
    return sends


def _set_leaving(state, msg, now):
    state.leaving = msg.names
    for name, backend in state.backends.items():
        backend.leaving = backend.spec.leaving or name in msg.names
        backend.update_slots(now)
    return []


def _assign_slots(state, now):
    sends = []
    for service in state.services.values():
        backends = [
            backend
            for backend in state.backends.values()
            if backend.service is service
        ]
        service.assign(backends, state.own, state.instances, now)
        sends += _start_tasks(state, service, now)
    return sends


def _update_lease(state, msg, now):
    fence.update_lease(state.leases, msg)
    return []


def _update_team_shares(state, msg, now):
    state.team_quotas.shares = msg.shares
    return []


def _update_peers(state, msg, now):
    instances = {state.own}
    for peer in msg.peers:
        if peer.status in _SHARING_STATUSES:
            owner = identity.parse_incarnation(peer.incarnation)
            instances.add(subsets.Node(owner.instance, owner.domain))
    nodes = tuple(sorted(instances))
    sends = []
    if nodes != state.instances:
        state.instances = nodes
        sends += _assign_slots(state, now)
    return sends + _update_busy_peers(state, msg.peers, now)


def _update_busy_peers(state, peers, now):
    busy_peers = frozenset(
        identity.parse_incarnation(peer.incarnation).instance
        for peer in peers
        if peer.load.queued
    )
    state.busy_peers = busy_peers
    sends = []
    for service in state.services.values():
        if service.set_busy_peers(busy_peers, now):
            sends += _start_tasks(state, service, now)
    return sends


def _report_status(state, msg, now):
    status = {
        "queued": sum(
            len(service.queue) for service in state.services.values()
        ),
        "in_flight": {
            name: backend.server.in_flight
            for name, backend in state.backends.items()
        },
        "teams": dict(state.team_quotas.in_flight),
        "retrying": len(state.retries),
    }
    reply = messages.Reply(msg.reply_to, status)
    return [messages.Send(messages.CALLERS, reply)]


_HANDLERS = {
    messages.BackendsLeaving: _set_leaving,
    messages.ConfigurationChanged: _configure,
    messages.Enqueue: _enqueue,
    messages.GetStatus: _report_status,
    messages.LeaseChanged: _update_lease,
    messages.TeamSharesChanged: _update_team_shares,
    messages.PeersChanged: _update_peers,
    messages.AttemptEnded: _end_attempt,
    messages.TimerFired: _handle_timer,
    messages.Withdraw: _withdraw,
}
