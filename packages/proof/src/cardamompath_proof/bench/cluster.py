"""Instances, backend servers and callers on one queue of events."""

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

ONE_WAY_NEAR = 0.00025
"""Seconds to a backend server in the same failure domain."""
ONE_WAY_FAR = ONE_WAY_NEAR + 0.0015
FAIL_TIME = 0.001
"""Seconds that a failing backend server takes for a task."""
SLOW_FACTOR = 10.0
HINT_PERIOD = 0.25
"""Shortest time between load hints of one instance, in seconds."""
HINT_DELAY = 4.0
"""Seconds until a load hint is known: two rounds of the digests."""
GRACE = 40.0
"""Seconds after the last arrival at which a run is cut off."""
SERVICE = "booking"
SERVICE_TIMEOUT = 120.0
"""Seconds; longer than any straggler."""
TEAM = "box-office"


class Policy(NamedTuple):
    """A name and the factory of the controller that decides."""

    name: str
    make: Callable[[identity.Incarnation, random.Random], messages.Controller]


class _Executor:
    """A backend server: slots, a queue inside, connections."""

    def __init__(self, spec, speed):
        self.spec = spec
        self.speed = speed
        self.running = 0
        self.waiting = collections.deque()
        self.faults = []

    def fault(self, now):
        for one in self.faults:
            if one.at <= now < one.until:
                return one.what
        return ""


class _Instance:
    """The controllers of one instance, as their actor owns them."""

    def __init__(self, owner, jobs, backends):
        self.owner = owner
        self.receive = {
            messages.JOBS: jobs.receive,
            messages.BACKENDS: backends.receive,
        }
        self.load = types.LoadHint()
        self.told = None


class _Cluster:
    """The state of one run."""

    def __init__(self, load, arrivals, policy):
        self.load = load
        self.arrivals = arrivals
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.results = {}
        self.started = {}
        self.waste = collections.Counter()
        self.cpu = 0.0
        self.executors = _make_executors(load)
        self.instances = _make_instances(load, policy)
        self.cfg = types.Configuration(
            1,
            0,
            (types.ServiceSpec(SERVICE, SERVICE_TIMEOUT),),
            tuple(one.spec for one in self.executors.values()),
            (types.TeamSpec(TEAM, 1e6),),
        )

    def at(self, when, what, *args):
        """Have `what` called at a time."""
        heapq.heappush(self.events, (when, next(self.order), what, args))


def _make_executors(load):
    found = {}
    per_domain = max(1, len(load.speeds) // len(workloads.DOMAINS))
    for index, speed in enumerate(load.speeds):
        spec = types.BackendSpec(
            f"b{index:03}",
            SERVICE,
            workloads.DOMAINS[index // per_domain],
            "127.0.0.1",
            7000 + index,
            workloads.SLOTS,
            workloads.CONNECTIONS,
        )
        found[spec.name] = _Executor(spec, speed)
    names = list(found)
    for fault in load.faults:
        found[names[fault.backend]].faults.append(fault)
    return found


def _make_instances(load, policy):
    found = []
    for index in range(load.instances):
        domain = workloads.DOMAINS[index % len(workloads.DOMAINS)]
        owner = identity.Incarnation(domain, f"entry-{index}", "0" * 12)
        rng = random.Random(load.seed * 1000 + index)
        jobs = controllers.jobs.make_controller(owner)
        found.append(_Instance(owner, jobs, policy.make(owner, rng)))
    return found


def run(
    load: workloads.Workload,
    arrivals: Sequence[workloads.Arrival],
    policy: Policy,
) -> measures.Run:
    """Run a workload under a policy until everything is answered."""
    cluster = _Cluster(load, arrivals, policy)
    _configure(cluster)
    for index, arrival in enumerate(arrivals):
        cluster.at(arrival.at, _arrive, index)
    end = arrivals[-1].at + GRACE
    events = cluster.events
    while events and len(cluster.results) < len(arrivals):
        cluster.now, _, what, args = heapq.heappop(events)
        if cluster.now > end:
            break
        what(cluster, *args)
    return measures.Run(
        load, arrivals, cluster.results, cluster.waste, cluster.cpu
    )


def _configure(cluster):
    changed = messages.ConfigurationChanged(cluster.cfg)
    for index, instance in enumerate(cluster.instances):
        peers = messages.PeersChanged(_peers_of(cluster, index))
        for name in instance.receive:
            _tell(cluster, index, messages.Send(name, changed))
        backends = messages.Send(messages.BACKENDS, peers)
        _tell(cluster, index, backends)
        first = HINT_PERIOD * index / len(cluster.instances)
        cluster.at(first, _send_hint, index)


def _peers_of(cluster, own):
    return tuple(
        types.PeerView(
            identity.format_incarnation(one.owner),
            "127.0.0.1",
            8000 + index,
            "alive",
            one.load,
        )
        for index, one in enumerate(cluster.instances)
        if index != own
    )


def _send_hint(cluster, index):
    cluster.at(cluster.now + HINT_PERIOD, _send_hint, index)
    instance = cluster.instances[index]
    if instance.told == instance.load or instance.told is None:
        instance.told = instance.load
        return
    instance.told = instance.load
    cluster.waste["hints"] += len(cluster.instances) - 1
    cluster.at(cluster.now + HINT_DELAY, _take_hint, index, instance.load)


def _take_hint(cluster, index, load):
    for other in range(len(cluster.instances)):
        if other != index:
            peers = messages.PeersChanged(_peers_of(cluster, other))
            _tell(cluster, other, messages.Send(messages.BACKENDS, peers))


def _arrive(cluster, index):
    arrival = cluster.arrivals[index]
    tasks = tuple(
        types.TaskSpec(
            SERVICE, one.kind, b"%d.%d" % (index, number), one.declared
        )
        for number, one in enumerate(arrival.tasks)
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
        _tell(cluster, instance, messages.Send(messages.JOBS, submit))
        return
    issue = messages.IssueJobId(("issued", index, spec))
    _tell(cluster, instance, messages.Send(messages.JOBS, issue))


def _tell(cluster, index, send):
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
        deliver = _DELIVER.get(to)
        if deliver is not None:
            deliver(cluster, index, msg)


def _reply(cluster, index, msg):
    if isinstance(msg.reply_to, tuple):
        _, arrival, spec = msg.reply_to
        submit = messages.Submit(msg.answer, spec, arrival)
        _tell(cluster, index, messages.Send(messages.JOBS, submit))
        when = cluster.arrivals[arrival].cancel_at
        cancel = messages.CancelJob(msg.answer, arrival)
        send = messages.Send(messages.JOBS, cancel)
        cluster.at(when, _tell, index, send)
        return
    if msg.reply_to not in cluster.results:
        state = type(msg.answer).__name__.lower()
        cluster.results[msg.reply_to] = measures.Result(cluster.now, state)


def _set_timer(cluster, index, msg):
    send = messages.Send(msg.to, messages.TimerFired(msg.key))
    cluster.at(msg.at, _tell, index, send)


def _take_load(cluster, index, msg):
    if isinstance(msg, messages.LoadReport):
        cluster.instances[index].load = msg.load


def _one_way(cluster, index, backend):
    near = cluster.instances[index].owner.domain == backend.domain
    return ONE_WAY_NEAR if near else ONE_WAY_FAR


def _send_task(cluster, index, msg):
    way = _one_way(cluster, index, msg.backend)
    exchange = (index, msg, cluster.now)
    cluster.waste["starts"] += 1
    cluster.started[msg.task] = cluster.now
    cluster.at(cluster.now + way, _task_arrives, exchange)
    timeout = types.BackendAnswer(
        "answer", elapsed=msg.timeout, error="timeout"
    )
    cluster.at(cluster.now + msg.timeout, _answer, exchange, timeout)


def _task_arrives(cluster, exchange):
    msg = exchange[1]
    executor = cluster.executors[msg.backend.name]
    if executor.running + len(executor.waiting) >= executor.spec.connections:
        cluster.waste["refused connections"] += 1
        refused = types.BackendAnswer("connect", error="refused")
        _answer_later(cluster, exchange, refused)
    elif executor.running < executor.spec.slots:
        _run_task(cluster, executor, exchange)
    else:
        executor.waiting.append(exchange)


def _run_task(cluster, executor, exchange):
    executor.running += 1
    what = executor.fault(cluster.now)
    if what == "silent":
        return
    arrival, number = exchange[1].payload.split(b".")
    size = cluster.arrivals[int(arrival)].tasks[int(number)].size
    took = size / executor.speed
    status = 200
    if what == "slow":
        took *= SLOW_FACTOR
    if what == "fail":
        took, status = FAIL_TIME, 500
    done = types.BackendAnswer("done", status)
    cluster.at(cluster.now + took, _finish_task, executor, exchange, done)


def _finish_task(cluster, executor, exchange, answer):
    executor.running -= 1
    _answer_later(cluster, exchange, answer)
    if executor.waiting and executor.running < executor.spec.slots:
        _run_task(cluster, executor, executor.waiting.popleft())


def _answer_later(cluster, exchange, answer):
    index, msg, began = exchange
    way = _one_way(cluster, index, msg.backend)
    when = cluster.now + way
    answer = answer._replace(elapsed=when - began)
    cluster.at(when, _answer, exchange, answer)


def _answer(cluster, exchange, answer):
    index, msg, began = exchange
    if cluster.started.get(msg.task) != began:
        return
    del cluster.started[msg.task]
    ended = messages.AttemptEnded(msg.backend.name, msg.task, answer)
    _tell(cluster, index, messages.Send(messages.BACKENDS, ended))


_DELIVER = {
    messages.CALLERS: _reply,
    messages.CONNECTIONS: _send_task,
    messages.MEMBERSHIP: _take_load,
    messages.TIMERS: _set_timer,
}
