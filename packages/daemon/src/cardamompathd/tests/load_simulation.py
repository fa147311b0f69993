"""A planner under load: simulated callers, executors and time.

Plays the traffic of a site on the real planner and counts what callers get,
by the users' measure: an answer within the objective counts in full, one
within three times the objective a fifth, a later one nothing.
"""

import heapq
import itertools
import math
import random
from typing import NamedTuple

from cardamompath_core import batches
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.controllers.fleet import fleet_views
from cardamompathd.controllers.planner import planner

LATENCY = 0.003
"""Seconds until a request arrives at an executor, or its answer here."""
EXECUTOR_CPU = 16000
"""Thousandths of a core of an executor."""
SPEEDS = {"slow": 0.55, "fast": 1.2}
"""Speed of an executor by its model."""
SPREAD = 0.4
"""Standard deviation of the logarithm of the run time of a batch."""
TASK_SPREAD = 0.15
"""The same for the tasks within a batch."""
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7.0
"""Share of the batches that take longer, and how many times as long."""
STRETCH = 1.6
SLACK = 0.06
"""Objective: a multiple of the longest task, and seconds on top of it."""
LATE_FACTOR = 3.0
"""Multiple of the objective up to which an answer is of use."""
PERMIT_INTERVAL = 0.1
"""Seconds between permissions of the other instances."""


class Kind(NamedTuple):
    """A kind of request."""

    route: str
    rate: float
    """Requests per second."""
    width: float
    """Mean number of tasks."""
    run_time: float
    """Mean seconds of a task at speed 1."""
    worth: float
    priority: int
    patience: float
    """Seconds until the caller gives up."""
    max_width: int = 1000


KINDS = (
    Kind("short", 15.1, 8.0, 0.051, 0.0291, 0, 2.0),
    Kind("usual", 44.0, 2.0, 0.17, 0.01, 1, 2.2),
    Kind("long", 2.75, 4.0, 0.76, 0.16, 2, 4.5),
)
"""Those of the users' sites, at their mean rates."""


class Site(NamedTuple):
    """The executors, and the sizes of the tasks."""

    capacities: tuple[int, ...] = (EXECUTOR_CPU,)
    """Thousandths of a core; executors have them in turn."""
    models: tuple[str, ...] = ("slow", "fast", "fast", "fast")
    """Models that executors have in turn."""
    speeds: dict[str, float] = SPEEDS
    """Speed of an executor by its model."""
    task_cpu: float = 6800
    """Mean thousandths of a core of a task."""
    max_task_cpu: int = 10000
    kinds: tuple[Kind, ...] = KINDS


def make_uneven_site(slow: float, fast: float, executor_count: int) -> Site:
    """Return a site of uneven executors, loaded to what can be packed.

    Two of three executors are slow, and independently of that two of three
    have 32 cores, the others 48.  The routes share the work as in `KINDS`.
    """
    speed = (2.0 * slow + fast) / 3.0
    capacity = executor_count * speed * (2 * 32 + 48) / 3.0
    straggling = 1.0 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1.0)
    rate = PACKED_SHARE * capacity / (16.0 * straggling)
    kinds = (
        Kind("short", 0.21 * rate / 0.44, 8.0, 0.055, 0.0, 0, 1.5, 32),
        Kind("usual", 0.51 * rate / 0.37, 2.0, 0.185, 0.0, 1, 1.5, 8),
        Kind("long", 0.28 * rate / 3.32, 4.0, 0.83, 0.0, 2, 1.5, 16),
    )
    return Site(
        (32000, 32000, 48000),
        ("slow",) * 6 + ("fast",) * 3,
        {"slow": slow, "fast": fast},
        16000,
        24000,
        kinds,
    )


PACKED_SHARE = 0.8
"""Share of all cores that tasks of 16 cores on average can take, as two of
them do not always fit into 32 cores."""


class Count(NamedTuple):
    """What the callers of one kind got, as shares of its requests."""

    in_time: float
    late: float
    refused: float
    failed: float
    worth: float
    """Share of the worth that was asked for."""
    refusal_time: float
    """Mean seconds until a refusal."""


SITE = Site()


class _Request:
    def __init__(self, kind, tasks, cpu, best_speed, at, origin):
        self.kind = kind
        self.origin = origin
        self.tasks = tasks
        """Seconds of each task at speed 1."""
        self.cpu = cpu
        self.best_speed = best_speed
        self.starts = {}
        """When each task first started, by its index."""
        self.submitted_at = at
        self.ended_at = math.inf
        self.state = "open"

    @property
    def objective(self):
        return STRETCH * max(self.tasks) / self.best_speed + SLACK

    @property
    def work(self):
        """Return its core-seconds at speed 1, which are its worth."""
        return sum(self.tasks) * self.cpu / 1000.0

    @property
    def worth(self):
        """Return the share of its worth that its caller got."""
        elapsed = self.ended_at - self.submitted_at
        if self.state != batches.COMPLETE:
            return 0.0
        if elapsed <= self.objective:
            return 1.0
        return 0.2 if elapsed <= LATE_FACTOR * self.objective else 0.0


class _Executor:
    def __init__(self, number, site):
        model = site.models[number % len(site.models)]
        cpu = site.capacities[number % len(site.capacities)]
        capacity = executors.Resources(cpu, 32768)
        self.speed = site.speeds[model]
        self.spec = executors.Executor(
            f"x{number}",
            "desk",
            "a",
            ("x", number),
            1,
            "ready",
            capacity,
            (model,),
        )
        self.runs = set()
        self.ended = []
        self.numbers = itertools.count(1)
        self.pending_hold = None


class LoadSimulation:
    """A planner, its executors and its callers.

    Parameters
    ----------
    seed : int
        Seed of the requests.
    load : float
        Factor on the rates of the requests.
    executor_count : int
        Number of executors.
    site : Site
        The executors, the kinds of requests and the sizes of their tasks.
    policy : PoolPolicy, optional
        How batches share the executors.
    origins : mapping, optional
        Relative number of requests at each instance; each is of a failure
        domain of its own.  By default all are at the planner's instance.
    """

    def __init__(
        self,
        seed=1,
        load=1.0,
        executor_count=24,
        site=SITE,
        policy=None,
        origins=None,
    ):
        self.rng = random.Random(seed)
        self.load = load
        self.site = site
        self.kinds = site.kinds
        self.decisions = []
        """The lines of the decision log and their times, in order."""
        self.now = 100.0
        self.events = []
        self.sequence = itertools.count()
        self.requests = {}
        self.start_count = 0
        self.cut_off = set()
        """Instances that do not reach the planner."""
        self.started = set()
        """Names of the batches of which a task has started."""
        self.stalled = set()
        """Names of the executors whose runs do not end."""
        self.executors = {
            executor.spec.name: executor
            for executor in (
                _Executor(number, site) for number in range(executor_count)
            )
        }
        tokens = itertools.count(7)
        controller = planner.make_controller(
            "n-a", lambda: next(tokens), 0.0, policy=policy
        )
        self.receive = controller.receive
        self.origins = dict(origins or {"n-a": 1.0})
        self.members = tuple(
            planner_election.Member(name, name[2:], (name, 1), 1)
            for name in sorted({"n-a", *self.origins})
        )
        self.list_executors(self.executors)
        self.tell(fleet_views.make_view(self.members[0], self.members, ()))
        self.tell(messages.TimerFired("start"))
        for member in self.members[1:]:
            self._permit(member.name)

    def _permit(self, name):
        """Leave the batches of an instance with the planner."""
        until = self.now + 1.0
        permitted = pool_messages.PlanningPermitted(
            name, 1, 0, until, self.now, self.now
        )
        if name not in self.cut_off:
            self.tell(permitted)
        self.schedule(PERMIT_INTERVAL, self._permit, name)

    def list_executors(self, names):
        """Tell the planner which executors are registered."""
        specs = tuple(self.executors[name].spec for name in names)
        self.tell(pool_messages.ExecutorsListed(specs, self.now))

    def schedule(self, delay, action, *args):
        entry = (self.now + delay, next(self.sequence), action, args)
        heapq.heappush(self.events, entry)

    def play(self, seconds):
        """Let callers send requests for some seconds, then let all end."""
        for kind in self.kinds:
            self._schedule_next(kind, self.now + seconds)
        self.run_until(self.now + seconds + 6.0)

    def run_until(self, end):
        """Let time pass."""
        while self.events and self.events[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = end

    def _schedule_next(self, kind, until):
        delay = self.rng.expovariate(kind.rate * self.load)
        if self.now + delay < until:
            self.schedule(delay, self._submit, kind, until)

    def _submit(self, kind, until):
        rng = self.rng
        width = max(1, round(kind.width * _lognormal(rng, SPREAD)))
        width = min(width, kind.max_width)
        size = kind.run_time * _lognormal(rng, SPREAD)
        if rng.random() < STRAGGLER_SHARE:
            size *= STRAGGLER_FACTOR
        tasks = [size * _lognormal(rng, TASK_SPREAD) for _ in range(width)]
        cpu = round(self.site.task_cpu * _lognormal(rng, 0.2))
        cpu = min(self.site.max_task_cpu, cpu)
        origin = "n-a"
        if len(self.origins) > 1:
            weights = self.origins.values()
            origin = rng.choices([*self.origins], [*weights])[0]
        estimate = size * _lognormal(rng, SPREAD)
        self.submit(kind, tasks, cpu, estimate, origin)
        self._schedule_next(kind, until)

    def submit(self, kind, tasks, cpu, estimate, origin="n-a"):
        """Have the planner told of a request; return its name."""
        name = f"{kind.route}{len(self.requests)}"
        best_speed = max(self.site.speeds.values())
        self.requests[name] = _Request(
            kind, tasks, cpu, best_speed, self.now, origin
        )
        step = batches.Step(len(tasks), executors.Resources(cpu, 64), estimate)
        policy = batches.RoutePolicy(
            kind.route, "desk", kind.priority, 3, STRETCH, SLACK
        )
        batch = batches.Batch(name, "", (step,), policy)
        msg = pool_messages.PlanBatch(batch, origin, 0.0, kind.patience, 0)
        if origin not in self.cut_off:
            self.tell(msg._replace(origin_started=1))
        self.schedule(kind.patience, self._give_up, name)
        return name

    def _give_up(self, name):
        if self.requests[name].state == "open":
            origin = self.requests[name].origin
            self.tell(pool_messages.DropBatch(name, origin, 1))

    def tell(self, msg):
        for send in self.receive(msg, self.now):
            self._route(send)

    def _route(self, send):
        msg = send.msg
        if isinstance(msg, pool_messages.SendToMember):
            msg = msg.msg
        if isinstance(msg, pool_messages.Decision):
            self.decisions.append((self.now, msg))
        elif send.to == messages.TIMERS:
            fired = messages.TimerFired(msg.key)
            self.schedule(msg.at - self.now, self.tell, fired)
        elif isinstance(msg, pool_messages.BatchEnded):
            request = self.requests[msg.name]
            request.state = msg.outcome.state
            request.retry_after = msg.outcome.retry_after
            request.ended_at = self.now
        elif isinstance(msg, pool_messages.StartRun):
            self.schedule(LATENCY, self._start, msg)
        elif isinstance(msg, pool_messages.StopRun):
            self.schedule(LATENCY, self._end, msg.executor.name, msg.run, "")
        elif isinstance(msg, pool_messages.HoldExecutor):
            self.schedule(LATENCY, self._hold, msg)

    def _start(self, msg):
        executor = self.executors[msg.executor.name]
        executor.runs.add(msg.run)
        self.started.add(msg.run.batch)
        self.start_count += 1
        request = self.requests[msg.run.batch]
        request.starts.setdefault(msg.run.index, self.now)
        run_time = request.tasks[msg.run.index]
        self.schedule(
            run_time / executor.speed,
            self._end,
            msg.executor.name,
            msg.run,
            "done",
        )
        answer = pool_messages.StartAnswered(
            msg.executor.name, msg.run, "started", "", self.now
        )
        self.schedule(LATENCY, self.tell, answer)

    def _end(self, name, run, state):
        executor = self.executors[name]
        if run not in executor.runs or (name in self.stalled and state):
            return
        executor.runs.remove(run)
        executor.ended.append(
            pool_messages.EndedRun(
                next(executor.numbers), run, state or "stopped"
            )
        )
        self._answer_hold(executor)

    def _hold(self, msg):
        executor = self.executors[msg.executor.name]
        executor.ended = [
            ended
            for ended in executor.ended
            if ended.number > msg.acknowledged
        ]
        executor.pending_hold = msg
        if executor.ended or msg.wait <= 0.0:
            self._answer_hold(executor)
        else:
            self.schedule(msg.wait, self._answer_hold, executor, msg)

    def _answer_hold(self, executor, msg=None):
        hold = executor.pending_hold
        if hold is None or msg not in (None, hold):
            return
        executor.pending_hold = None
        answer = pool_messages.HoldAnswered(
            executor.spec.name,
            hold.token,
            1,
            self.now,
            tuple(executor.runs),
            tuple(executor.ended),
        )
        self.schedule(LATENCY, self.tell, answer)

    def largest(self, route):
        """Return the names of the largest tenth of the batches of a route."""
        sizes = sorted(
            (sum(each.tasks), name)
            for name, each in self.requests.items()
            if each.kind.route == route
        )
        return {name for _, name in sizes[len(sizes) * 9 // 10 :]}

    def total_worth(self):
        """Return the share of the work that was asked for and is of use."""
        requests = self.requests.values()
        given = sum(each.work * each.worth for each in requests)
        return given / sum(each.work for each in requests)

    def share_of(self, route):
        """Return the share of the batches of a route that are in time."""
        worths = [
            each.worth
            for each in self.requests.values()
            if each.kind.route == route
        ]
        return worths.count(1.0) / len(worths)

    def count(self, route, origin=None, names=None):
        """Return what the callers of a kind got, or some of them."""
        requests = [
            each
            for name, each in self.requests.items()
            if each.kind.route == route
            and origin in (None, each.origin)
            and (names is None or name in names)
        ]
        in_time = late = refused = 0
        refusal_time = 0.0
        for each in requests:
            elapsed = each.ended_at - each.submitted_at
            if each.state == batches.REFUSED:
                refused += 1
                refusal_time += elapsed
            elif each.state == batches.COMPLETE:
                in_time += elapsed <= each.objective
                late += (
                    each.objective < elapsed <= LATE_FACTOR * each.objective
                )
        total = len(requests)
        return Count(
            in_time / total,
            late / total,
            refused / total,
            1.0 - (in_time + late + refused) / total,
            (in_time + late / 5.0) / total,
            refusal_time / max(refused, 1),
        )


def share_of_worth(requests):
    """Return the share of the worth of requests that callers got."""
    asked = sum(each.work for each in requests)
    return sum(each.work * each.worth for each in requests) / asked


def find_waits(requests):
    """Return the waits of the started tasks in order, in seconds."""
    return sorted(
        start - each.submitted_at
        for each in requests
        for start in each.starts.values()
    )


def group_by_size(requests):
    """Return those with the largest tenth of the tasks, and a fifth below."""
    ordered = sorted(requests, key=lambda each: each.cpu, reverse=True)
    largest, below = [], []
    total = sum(len(each.tasks) for each in ordered)
    seen = 0
    for each in ordered:
        if seen < 0.1 * total:
            largest.append(each)
        elif seen < 0.3 * total:
            below.append(each)
        seen += len(each.tasks)
    return largest, below


def _lognormal(rng, spread):
    """Draw a factor with a mean of 1."""
    return math.exp(rng.gauss(-spread * spread / 2.0, spread))
