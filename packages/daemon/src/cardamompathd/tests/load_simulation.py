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


KINDS = (
    Kind("short", 15.1, 8.0, 0.051, 0.0291, 0, 2.0),
    Kind("usual", 44.0, 2.0, 0.17, 0.01, 1, 2.2),
    Kind("long", 2.75, 4.0, 0.76, 0.16, 2, 4.5),
)
"""Those of the users' sites, at their mean rates."""


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


class _Request:
    def __init__(self, kind, tasks, at):
        self.kind = kind
        self.tasks = tasks
        """Seconds of each task at speed 1."""
        self.submitted_at = at
        self.ended_at = math.inf
        self.state = "open"

    @property
    def objective(self):
        return STRETCH * max(self.tasks) / SPEEDS["fast"] + SLACK


class _Executor:
    def __init__(self, number):
        model = "slow" if number % 4 == 0 else "fast"
        capacity = executors.Resources(EXECUTOR_CPU, 32768)
        self.speed = SPEEDS[model]
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
        Number of executors, a quarter of them slow.
    policy : PoolPolicy, optional
        How batches share the executors; by default, all choices are off.
    """

    def __init__(
        self,
        seed=1,
        load=1.0,
        executor_count=24,
        kinds=KINDS,
        policy=None,
    ):
        self.rng = random.Random(seed)
        self.load = load
        self.kinds = kinds
        self.now = 100.0
        self.events = []
        self.sequence = itertools.count()
        self.requests = {}
        self.start_count = 0
        self.started = set()
        """Names of the batches of which a task has started."""
        self.stalled = set()
        """Names of the executors whose runs do not end."""
        self.executors = {
            executor.spec.name: executor
            for executor in map(_Executor, range(executor_count))
        }
        tokens = itertools.count(7)
        self.decisions = []
        controller = planner.make_controller(
            "n-a", lambda: next(tokens), 0.0, policy=policy
        )
        self.receive = controller.receive
        member = planner_election.Member("n-a", "a", ("a", 1), 1)
        self.list_executors(self.executors)
        self.tell(fleet_views.make_view(member, (member,), ()))
        self.tell(messages.TimerFired("start"))

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
        self.run(seconds + 6.0)

    def run(self, seconds):
        """Let some seconds pass."""
        end = self.now + seconds
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
        size = kind.run_time * _lognormal(rng, SPREAD)
        if rng.random() < STRAGGLER_SHARE:
            size *= STRAGGLER_FACTOR
        tasks = [size * _lognormal(rng, TASK_SPREAD) for _ in range(width)]
        cpu = min(10000, round(6800 * _lognormal(rng, 0.2)))
        estimate = size * _lognormal(rng, SPREAD)
        self.submit(kind, tasks, cpu, estimate)
        self._schedule_next(kind, until)

    def submit(self, kind, tasks, cpu, estimate):
        """Send a request; return its name."""
        name = f"{kind.route}{len(self.requests)}"
        self.requests[name] = _Request(kind, tasks, self.now)
        resources = executors.Resources(cpu, 64)
        step = batches.Step(len(tasks), resources, estimate)
        policy = batches.RoutePolicy(
            kind.route, "desk", kind.priority, 3, STRETCH, SLACK
        )
        batch = batches.Batch(name, "", (step,), policy)
        self.tell(pool_messages.PlanBatch(batch, "n-a", 0.0, kind.patience, 0))
        self.schedule(kind.patience, self._give_up, name)
        return name

    def _give_up(self, name):
        if self.requests[name].state == "open":
            self.tell(pool_messages.DropBatch(name, "n-a"))

    def tell(self, msg):
        for send in self.receive(msg, self.now):
            self._route(send)

    def _route(self, send):
        msg = send.msg
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
        run_time = self.requests[msg.run.batch].tasks[msg.run.index]
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

    def count(self, route):
        """Return what the callers of a kind got."""
        requests = [
            each for each in self.requests.values() if each.kind.route == route
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


def _lognormal(rng, spread):
    """Draw a factor with a mean of 1."""
    return math.exp(rng.gauss(-spread * spread / 2.0, spread))
