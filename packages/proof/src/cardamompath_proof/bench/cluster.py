"""Discrete-event simulation of instances, backend servers and callers."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import time
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import identity
from cardamompath_core import types
from cardamompath_proof.bench import measures
from cardamompath_proof.bench import workloads
from cardamompathd import controllers
from cardamompathd import messages

__all__ = [
    "Policy",
    "run",
]

SAME_DOMAIN_DELAY = 0.00025
"""Seconds for one way to a backend server in the same failure domain."""
CROSS_DOMAIN_DELAY = SAME_DOMAIN_DELAY + 0.0015
"""Seconds for one way to a backend server in another failure domain."""
FAIL_TIME = 0.001
"""Seconds that a failing backend server takes for a task."""
SLOW_FACTOR = 10.0
"""Factor on the time that a slow backend server takes for a task."""
HINT_PERIOD = 0.25
"""Shortest time between load hints of one instance, in seconds."""
HINT_DELAY = 4.0
"""Seconds until the peers have a load hint: two rounds of gossip."""
MAX_DRAIN_TIME = 40.0
"""Seconds from the last arrival to the end of the simulation at the
latest."""
SERVICE = "booking"
SERVICE_TIMEOUT = 120.0
"""Seconds; longer than any straggler takes."""
TEAM = "box-office"


class Policy(NamedTuple):
    """A name and a factory of the controller that schedules tasks."""

    name: str
    make_controller: Callable[
        [identity.Incarnation, random.Random], messages.Controller
    ]


class _Backend:
    """A backend server with slots, an internal queue and faults."""

    def __init__(self, spec, speed):
        self.spec = spec
        self.speed = speed
        self.running = 0
        self.waiting = collections.deque()
        self.faults = []

    def fault_mode(self, now):
        for fault in self.faults:
            if fault.at <= now < fault.until:
                return fault.mode
        return ""


class _Instance:
    """The controllers of one instance, and its load hints."""

    def __init__(self, owner, jobs, backends):
        self.owner = owner
        self.receive = {
            messages.JOBS: jobs.receive,
            messages.BACKENDS: backends.receive,
        }
        self.load = types.LoadHint()
        self.sent_load = None


class _Cluster:
    """State of one simulation."""

    def __init__(self, workload, arrivals, policy):
        self.workload = workload
        self.arrivals = arrivals
        self.events = []
        self.sequence = itertools.count()
        self.now = 0.0
        self.results = {}
        self.start_times = {}
        self.message_counts = collections.Counter()
        self.cpu = 0.0
        self.backends = _make_backends(workload)
        self.instances = _make_instances(workload, policy)
        self.cfg = types.Configuration(
            1,
            0,
            (types.ServiceSpec(SERVICE, SERVICE_TIMEOUT),),
            tuple(backend.spec for backend in self.backends.values()),
            (types.TeamSpec(TEAM, 1e6),),
        )

    def schedule(self, at, callback, *args):
        """Schedule a call of `callback`."""
        heapq.heappush(self.events, (at, next(self.sequence), callback, args))


def _make_backends(workload):
    backends = {}
    per_domain = max(1, len(workload.speeds) // len(workloads.DOMAINS))
    for index, speed in enumerate(workload.speeds):
        spec = types.BackendSpec(
            f"b{index:03}",
            SERVICE,
            workloads.DOMAINS[index // per_domain],
            "127.0.0.1",
            7000 + index,
            workloads.SLOTS,
            workloads.CONNECTIONS,
        )
        backends[spec.name] = _Backend(spec, speed)
    names = list(backends)
    for fault in workload.faults:
        backends[names[fault.backend]].faults.append(fault)
    return backends


def _make_instances(workload, policy):
    instances = []
    for index in range(workload.instances):
        domain = workloads.DOMAINS[index % len(workloads.DOMAINS)]
        owner = identity.Incarnation(domain, f"entry-{index}", "0" * 12)
        rng = random.Random(workload.seed * 1000 + index)
        jobs = controllers.jobs.jobs.make_controller(owner)
        instances.append(
            _Instance(owner, jobs, policy.make_controller(owner, rng))
        )
    return instances


def run(
    workload: workloads.Workload,
    arrivals: Sequence[workloads.Arrival],
    policy: Policy,
) -> measures.Run:
    """Simulate a workload under a policy until every job is answered."""
    cluster = _Cluster(workload, arrivals, policy)
    _configure(cluster)
    for index, arrival in enumerate(arrivals):
        cluster.schedule(arrival.at, _arrive, index)
    end = arrivals[-1].at + MAX_DRAIN_TIME
    events = cluster.events
    while events and len(cluster.results) < len(arrivals):
        cluster.now, _, callback, args = heapq.heappop(events)
        if cluster.now > end:
            break
        callback(cluster, *args)
    return measures.Run(
        workload,
        arrivals,
        cluster.results,
        cluster.message_counts,
        cluster.cpu,
    )


def _configure(cluster):
    changed = messages.ConfigurationChanged(cluster.cfg)
    for index, instance in enumerate(cluster.instances):
        peers = messages.PeersChanged(_peers_of(cluster, index))
        for name in instance.receive:
            _deliver(cluster, index, messages.Send(name, changed))
        send = messages.Send(messages.BACKENDS, peers)
        _deliver(cluster, index, send)
        first_hint_at = HINT_PERIOD * index / len(cluster.instances)
        cluster.schedule(first_hint_at, _send_hint, index)


def _peers_of(cluster, own):
    return tuple(
        types.PeerView(
            identity.format_incarnation(instance.owner),
            "127.0.0.1",
            8000 + index,
            "alive",
            instance.load,
        )
        for index, instance in enumerate(cluster.instances)
        if index != own
    )


def _send_hint(cluster, index):
    cluster.schedule(cluster.now + HINT_PERIOD, _send_hint, index)
    instance = cluster.instances[index]
    if instance.sent_load == instance.load or instance.sent_load is None:
        instance.sent_load = instance.load
        return
    instance.sent_load = instance.load
    cluster.message_counts["hints"] += len(cluster.instances) - 1
    cluster.schedule(
        cluster.now + HINT_DELAY, _deliver_hint, index, instance.load
    )


def _deliver_hint(cluster, index, load):
    for other in range(len(cluster.instances)):
        if other != index:
            peers = messages.PeersChanged(_peers_of(cluster, other))
            _deliver(cluster, other, messages.Send(messages.BACKENDS, peers))


def _arrive(cluster, index):
    arrival = cluster.arrivals[index]
    tasks = tuple(
        types.TaskSpec(
            SERVICE, task.kind, b"%d.%d" % (index, number), task.declared
        )
        for number, task in enumerate(arrival.tasks)
    )
    spec = types.JobSpec(
        TEAM,
        tasks,
        arrival.timeout,
        str(index),
        arrival.idempotent,
        len(tasks) == 1,
    )
    instance = arrival.instance
    if arrival.cancel_at is None:
        submit = messages.Submit("", spec, index)
        _deliver(cluster, instance, messages.Send(messages.JOBS, submit))
        return
    issue = messages.IssueJobId(("issued", index, spec))
    _deliver(cluster, instance, messages.Send(messages.JOBS, issue))


def _deliver(cluster, index, send):
    instance = cluster.instances[index]
    pending = collections.deque([send])
    while pending:
        to, msg = pending.popleft()
        receive = instance.receive.get(to)
        if receive is not None:
            began = time.perf_counter()
            sends = receive(msg, cluster.now)
            cluster.cpu += time.perf_counter() - began
            pending.extend(sends)
            continue
        handler = _EXTERNAL_HANDLERS.get(to)
        if handler is not None:
            handler(cluster, index, msg)


def _record_answer(cluster, index, msg):
    if isinstance(msg.reply_to, tuple):
        _, arrival, spec = msg.reply_to
        submit = messages.Submit(msg.answer, spec, arrival)
        _deliver(cluster, index, messages.Send(messages.JOBS, submit))
        cancel_at = cluster.arrivals[arrival].cancel_at
        cancel = messages.CancelJob(msg.answer, arrival)
        send = messages.Send(messages.JOBS, cancel)
        cluster.schedule(cancel_at, _deliver, index, send)
        return
    if msg.reply_to not in cluster.results:
        state = type(msg.answer).__name__.lower()
        cluster.results[msg.reply_to] = measures.Result(cluster.now, state)


def _set_timer(cluster, index, msg):
    send = messages.Send(msg.to, messages.TimerFired(msg.key))
    cluster.schedule(msg.at, _deliver, index, send)


def _record_load(cluster, index, msg):
    if isinstance(msg, messages.LoadReport):
        cluster.instances[index].load = msg.load


def _network_delay(cluster, index, backend):
    is_same_domain = cluster.instances[index].owner.domain == backend.domain
    return SAME_DOMAIN_DELAY if is_same_domain else CROSS_DOMAIN_DELAY


def _send_task(cluster, index, msg):
    delay = _network_delay(cluster, index, msg.backend)
    attempt = (index, msg, cluster.now)
    cluster.message_counts["starts"] += 1
    cluster.start_times[msg.task] = cluster.now
    cluster.schedule(cluster.now + delay, _receive_task, attempt)
    timeout = types.BackendAnswer(
        "answer", elapsed=msg.timeout, error="timeout"
    )
    cluster.schedule(cluster.now + msg.timeout, _end_attempt, attempt, timeout)


def _receive_task(cluster, attempt):
    msg = attempt[1]
    backend = cluster.backends[msg.backend.name]
    if backend.running + len(backend.waiting) >= backend.spec.connections:
        cluster.message_counts["refused connections"] += 1
        refused = types.BackendAnswer("connect", error="refused")
        _send_answer(cluster, attempt, refused)
    elif backend.running < backend.spec.slots:
        _run_task(cluster, backend, attempt)
    else:
        backend.waiting.append(attempt)


def _run_task(cluster, backend, attempt):
    backend.running += 1
    mode = backend.fault_mode(cluster.now)
    if mode == "silent":
        return
    arrival, number = attempt[1].payload.split(b".")
    size = cluster.arrivals[int(arrival)].tasks[int(number)].size
    duration = size / backend.speed
    status = 200
    if mode == "slow":
        duration *= SLOW_FACTOR
    if mode == "fail":
        duration, status = FAIL_TIME, 500
    done = types.BackendAnswer("done", status)
    cluster.schedule(
        cluster.now + duration, _finish_task, backend, attempt, done
    )


def _finish_task(cluster, backend, attempt, answer):
    backend.running -= 1
    _send_answer(cluster, attempt, answer)
    if backend.waiting and backend.running < backend.spec.slots:
        _run_task(cluster, backend, backend.waiting.popleft())


def _send_answer(cluster, attempt, answer):
    index, msg, began = attempt
    delay = _network_delay(cluster, index, msg.backend)
    received_at = cluster.now + delay
    answer = answer._replace(elapsed=received_at - began)
    cluster.schedule(received_at, _end_attempt, attempt, answer)


def _end_attempt(cluster, attempt, answer):
    index, msg, began = attempt
    if cluster.start_times.get(msg.task) != began:
        return
    del cluster.start_times[msg.task]
    ended = messages.AttemptEnded(msg.backend.name, msg.task, answer)
    _deliver(cluster, index, messages.Send(messages.BACKENDS, ended))


_EXTERNAL_HANDLERS = {
    messages.CALLERS: _record_answer,
    messages.CONNECTIONS: _send_task,
    messages.MEMBERSHIP: _record_load,
    messages.TIMERS: _set_timer,
}
