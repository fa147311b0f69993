"""Real controllers of instances with simulated executors and time."""

import collections
import heapq
import itertools
import random

from cardamompath_core import batches
from cardamompath_core import evacuation
from cardamompath_core import executors
from cardamompath_core import planner_election
from cardamompath_core import routes
from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.callers import watch
from cardamompathd.controllers.fleet import fleet
from cardamompathd.controllers.fleet import fleet_state
from cardamompathd.controllers.gateway import gateway
from cardamompathd.controllers.planner import planner
from cardamompathd.platform import cancellation_log
from cardamompathd.platform import errors
from cardamompathd.platform import store

LATENCY = 0.002
"""Seconds until a message arrives."""
LEASE = 1.0
"""Longest lease that an executor grants, in seconds."""
STOP_TIME = 0.04
"""Seconds from a stop until the run ends."""
LISTING_INTERVAL = 0.4
"""Seconds between listings of the executors."""
REQUEST_TIMEOUT = 0.25
"""Seconds after which a request to an executor counts as unanswered."""
ORDER_DELAYS = (2.0, 12.0)
"""Shortest and longest number of seconds after which an order that got no
answer is carried out."""
RESUBMIT_DELAY = 1.3
"""Seconds after which a caller without an answer submits its job again."""
CALLER_POLL_TIME = 0.02
"""Seconds between looks of a caller at its connection."""
FIRST_RESTART = 9000
"""Start times of restarted instances are later than this."""
GATEWAY_MESSAGES = (
    pool_messages.BatchEnded,
    pool_messages.BatchQuery,
    pool_messages.BatchQueryAnswered,
    pool_messages.CancellationsReported,
    pool_messages.EvacuationRead,
    pool_messages.LossesReported,
)
"""Messages between instances that their gateways receive."""
HOST = "desk.example"
POLICY = batches.RoutePolicy("r-1", "desk", 0, 2, 1.6, 0.06)
TABLE = routes.make_table(
    1, [routes.Route(HOST, "/jobs/", 1.5, POLICY)], ["desk"]
)


def make_steps(count=2, cpu=4000):
    return (batches.Step(count, executors.Resources(cpu, 64), 0.2),)


class FakeExecutor:
    """An executor that runs tasks under leases, as executors must."""

    def __init__(self, simulation, name, domain, cpu=8000):
        self.simulation = simulation
        capacity = executors.Resources(cpu, 32768)
        self.spec = executors.Executor(
            name, "desk", domain, (name, 1), 1, "ready", capacity, ("a",)
        )
        self.token = 0
        self.lease_until = 0.0
        self.runs = {}
        self.ended_runs = []
        self.sequence = itertools.count(1)
        self.highest_attempts = {}
        """Highest attempt of each task that ended or was stopped."""
        self.pending_holds = []
        """Functions that answer the holds that wait for an end."""
        self.unreachable = False
        self.fails_runs = False
        self.stalls_runs = False
        self.answers_to_lose = 0
        """Number of answers to lose, from the next one on."""
        self.accepts_all = False
        """Whether it starts also what does not fit."""
        self.start_count = 0
        self.started_tasks = set()
        """Names of the batches, steps and indexes of all started tasks."""
        self.booted_at = 50.0
        self.clock_rate = 1.0
        """Seconds that its clock shows for a second."""
        self.late_shares = {}
        """Share of the orders of each type that get no answer and are
        carried out late."""

    def clock(self):
        """Return the executor's clock, which differs from those of others."""
        return (self.simulation.now - self.booted_at) * self.clock_rate

    def slow_clock(self, rate):
        """Let its clock run slower from now on."""
        self.booted_at = self.simulation.now - self.clock() / rate
        self.clock_rate = rate

    def crash(self, down_time):
        """Lose all runs, and start again under the same name."""
        self.unreachable = True
        self.runs.clear()
        self.pending_holds.clear()
        self.simulation.schedule(down_time, self.boot)

    def boot(self):
        """Start anew: nothing of before is known, and counts begin again."""
        self.unreachable = False
        self.booted_at = self.simulation.now
        self.spec = self.spec._replace(incarnation=self.spec.incarnation + 1)
        self.token = 0
        self.lease_until = 0.0
        self.runs.clear()
        self.ended_runs.clear()
        self.highest_attempts.clear()
        self.pending_holds.clear()
        self.sequence = itertools.count(1)

    def is_late(self, request):
        """Return whether an order gets no answer and is carried out late."""
        share = self.late_shares.get(type(request), 0.0)
        return share > 0.0 and self.simulation.rng.random() < share

    def expire_leases(self):
        if self.runs and self.clock() > self.lease_until:
            for run in list(self.runs):
                self.end_run(run, "lapsed")

    def end_run(self, run, state, started_at=None):
        if run not in self.runs:
            return
        if started_at is not None and self.runs[run] != started_at:
            return
        del self.runs[run]
        ended = pool_messages.EndedRun(next(self.sequence), run, state)
        self.ended_runs.append(ended)
        self.highest_attempts[run[:3]] = max(
            self.highest_attempts.get(run[:3], 0), run.attempt
        )
        answers, self.pending_holds = self.pending_holds, []
        for answer in answers:
            answer()

    def start(self, request):
        now = self.clock()
        if request.token < self.token:
            return "fenced"
        self.token = request.token
        if request.expires <= now:
            return "late"
        self.extend_leases(request.expires)
        if request.run in self.runs:
            return "started"
        if request.run.attempt <= self.highest_attempts.get(
            request.run[:3], 0
        ):
            return "old"
        free = self.spec.capacity.cpu - 4000 * len(self.runs)
        if free < 4000 and not self.accepts_all:
            return "room"
        started_at = self.simulation.now
        self.runs[request.run] = started_at
        self.start_count += 1
        self.started_tasks.add(request.run[:3])
        self.simulation.check_duplicates(request.run)
        if not self.stalls_runs:
            state = "failed" if self.fails_runs else "done"
            self.simulation.schedule(
                self.simulation.run_time,
                lambda: self.end_run(request.run, state, started_at),
            )
        return "started"

    def extend_leases(self, expires):
        lease_end = min(expires, self.clock() + LEASE)
        self.lease_until = max(self.lease_until, lease_end)
        time_left = (lease_end - self.clock()) / self.clock_rate
        self.simulation.schedule(time_left + 0.001, self.expire_leases)

    def stop(self, request):
        if request.token < self.token:
            return False
        self.token = request.token
        key = request.run[:3]
        highest = self.highest_attempts.get(key, 0)
        self.highest_attempts[key] = max(highest, request.run.attempt)
        self.simulation.schedule(
            STOP_TIME, lambda: self.end_run(request.run, "stopped")
        )
        return True

    def hold(self, request):
        """Take over what a hold says; return whether it is not fenced."""
        if request.token < self.token:
            return False
        self.token = request.token
        self.ended_runs = [
            ended
            for ended in self.ended_runs
            if ended.number > request.acknowledged
        ]
        if request.expires is not None:
            self.extend_leases(request.expires)
        return True

    def carry_out(self, request):
        """Carry out an order whose sender has given up on an answer.

        A process that has not seen a token takes any order, whatever its
        sender does; so an order of before waits for the first token.
        """
        if self.unreachable or self.token == 0:
            self.simulation.schedule(LATENCY, lambda: self.carry_out(request))
            return
        if isinstance(request, pool_messages.StartRun):
            self.start(request)
        elif isinstance(request, pool_messages.StopRun):
            self.stop(request)
        elif isinstance(request, pool_messages.HoldExecutor):
            self.hold(request)

    def make_hold_answer(self, token):
        return pool_messages.HoldAnswered(
            self.spec.name,
            token,
            self.spec.incarnation,
            self.clock(),
            tuple(self.runs),
            tuple(self.ended_runs),
        )


class FakeLogClient:
    """The connection of an instance to the simulated log."""

    def __init__(self, simulation, instance):
        self.simulation = simulation
        self.instance = instance

    def append(self, _, records):
        log = self.read_page("", 0, 0.0).records
        self.simulation.log = log + records
        self.simulation.append_times.append(self.simulation.now)
        if self.simulation.appends_to_lose > 0:
            self.simulation.appends_to_lose -= 1
            raise errors.StoreUnavailable("the answer was lost")

    def read_page(self, _, offset, __):
        is_up = self.simulation.log_up
        if not (is_up and self.simulation.serves(self.instance)):
            raise errors.StoreUnavailable("simulated")
        log = self.simulation.log
        return store.Page(log[offset:], len(log))


class Instance:
    """An instance with its controllers."""

    def __init__(self, simulation, name, domain, started):
        self.simulation = simulation
        self.name = name
        self.domain = domain
        self.member = planner_election.Member(name, domain, (name, 1), started)
        self.alive = True
        self.decisions = []
        suffix = len(simulation.instances)
        known = evacuation.OFF
        if simulation.evacuation is not None:
            known = evacuation.UNKNOWN
        controllers = (
            fleet.make_controller(self.member, known),
            gateway.make_controller(
                name,
                domain,
                policy=simulation.policy,
                known_evacuation=known,
                logs_cancellations=simulation.log is not None,
            ),
            planner.make_controller(
                name,
                lambda: int(simulation.now * 1000.0) * 1000 + suffix,
                simulation.now,
                policy=simulation.policy,
                known_evacuation=known,
            ),
        )
        self.controllers = {
            controller.name: controller.receive for controller in controllers
        }
        for address in (pool_messages.FLEET, pool_messages.PLANNER):
            self.receive(address, messages.TimerFired("start"))
        self.receive(
            pool_messages.GATEWAY,
            pool_messages.RoutesConfigured(TABLE, b"", "store"),
        )
        if simulation.log is not None:
            self.log_task = cancellation_log.CancellationLog(
                FakeLogClient(simulation, self),
                simulation.rng.getrandbits(64),
                lambda msg: simulation.schedule(
                    LATENCY, lambda: self.receive(pool_messages.GATEWAY, msg)
                ),
                lambda: simulation.now,
            )
            simulation.schedule(LATENCY, self.step_log)

    def step_log(self):
        """Let the task of the log make its calls, and again when due."""
        if self.alive:
            pause = self.log_task.step()
            if pause is not None:
                self.simulation.schedule(max(pause, 0.001), self.step_log)

    def receive(self, to, msg):
        lag = self.simulation.lags.get(self.name, 0.0)
        if lag > 0.0 and self.alive:
            self.simulation.schedule(lag, lambda: self.handle(to, msg))
        else:
            self.handle(to, msg)

    def handle(self, to, msg):
        if not self.alive or self.simulation.is_frozen(self):
            if self.alive:
                self.simulation.schedule(0.1, lambda: self.handle(to, msg))
            return
        pending = [messages.Send(to, msg)]
        while pending:
            send = pending.pop(0)
            if send.to in self.controllers:
                receive = self.controllers[send.to]
                pending += receive(send.msg, self.simulation.now)
            else:
                self.simulation.route(self, send)

    def decisions_of(self, event):
        return [
            decision for decision in self.decisions if decision.event == event
        ]


class Simulation:
    """Simulated clock, links, executors and instances.

    Parameters
    ----------
    domains : sequence of str
        Failure domains, with an instance and two executors in each.
    seed : int
        Seed of what happens by chance.
    evacuations : bool
        Whether the instances follow evacuations.
    policy : PoolPolicy, optional
        How batches share the executors.
    cancellation_log : bool
        Whether they keep cancellations in a log of the store.
    """

    def __init__(
        self,
        domains=("a", "b", "c"),
        seed=0,
        evacuations=False,
        policy=None,
        cancellation_log=False,
    ):
        self.policy = policy
        self.now = 100.0
        self.log = [] if cancellation_log else None
        """The records of cancellations."""
        self.log_up = True
        """Whether the store answers calls for them, as far as it is up."""
        self.append_times = []
        """When records were appended."""
        self.appends_to_lose = 0
        """Number of appends whose answers are lost next."""
        self.evacuation = evacuation.make(0, ()) if evacuations else None
        """The evacuated domains by the store."""
        self.rng = random.Random(seed)
        self.run_time = 0.2
        """Seconds for which a task runs."""
        self.events = []
        self.sequence = itertools.count()
        self.partitions = set()
        """Pairs of domains or names between which messages are lost."""
        self.frozen_until = {}
        self.lags = {}
        """Seconds by which instances handle all that arrives too late."""
        self.store_up = True
        self.expired_entries = set()
        """Names of executors whose entries the store has lost."""
        self.rejected_by_store = set()
        """Names of the instances that the store turns away."""
        self.duplicate_runs = []
        """Times, runs and executors of tasks that ran more than once at the
        same time."""
        self.answers = {}
        """Answers to callers, by their `reply_to`."""
        self.submitted = []
        """The `reply_to` of each submission."""
        self.unanswered = []
        """Those that have no answer yet."""
        self.departed = set()
        """The `reply_to` of each caller that has left."""
        self.hides_departures = False
        """Whether no instance sees that a caller has left at its time limit,
        as in a cut."""
        self.broken_replies = set()
        """The `reply_to` of each submission whose connection broke."""
        self.restart_count = 0
        self.order_delays = ORDER_DELAYS
        self.executors = {}
        for domain in domains:
            for index in range(2):
                name = f"x-{domain}{index}"
                self.executors[name] = FakeExecutor(self, name, domain)
        self.instances = {}
        for index, domain in enumerate(domains):
            self.add_instance(f"n-{domain}", domain, 1000 + index)
        self.send_listings()
        self.check_callers()
        self.advance(1.5)

    def send_listings(self):
        """Send the list of executors to every instance, now and regularly."""
        for instance in list(self.instances.values()):
            self.send_listing(instance)
            self.send_evacuation(instance)
        self.schedule(LISTING_INTERVAL, self.send_listings)

    def add_instance(self, name, domain, started):
        instance = self.instances[name] = Instance(self, name, domain, started)
        found = tuple((known, 1) for known in self.instances)
        instance.receive(
            pool_messages.FLEET, pool_messages.AddressesFound(found, "seeds")
        )
        self.send_listing(instance)
        self.send_evacuation(instance)
        return instance

    def evacuate(self, *domains):
        """Have the store accept that just these domains are evacuated."""
        self.evacuation = evacuation.make(self.evacuation.offset + 1, domains)
        for instance in list(self.instances.values()):
            self.send_evacuation(instance)

    def send_evacuation(self, instance):
        if self.evacuation is not None and self.serves(instance):
            read = pool_messages.EvacuationRead(self.evacuation, "store")
            instance.receive(pool_messages.GATEWAY, read)

    def serves(self, instance):
        """Return whether the store answers an instance."""
        return self.store_up and instance.name not in self.rejected_by_store

    def send_listing(self, instance):
        if self.serves(instance):
            specs = tuple(
                executor.spec
                for executor in self.executors.values()
                if not executor.unreachable
                and executor.spec.name not in self.expired_entries
            )
            instance.receive(
                pool_messages.PLANNER,
                pool_messages.ExecutorsListed(specs),
            )

    def schedule(self, delay, action):
        heapq.heappush(
            self.events, (self.now + delay, next(self.sequence), action)
        )

    def advance(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def is_frozen(self, instance):
        return self.frozen_until.get(instance.name, 0.0) > self.now

    def freeze(self, instance, seconds):
        self.frozen_until[instance.name] = self.now + seconds

    def partition(self, left, right):
        self.partitions.add(frozenset((left, right)))

    def heal(self):
        self.partitions.clear()

    def reaches(self, sender, receiver):
        pairs = itertools.product(sender, receiver)
        return not any(
            frozenset((left, right)) in self.partitions
            for left, right in pairs
        )

    def check_duplicates(self, run):
        executor_names = [
            executor.spec.name
            for executor in self.executors.values()
            for other in executor.runs
            if other[:3] == run[:3]
        ]
        if len(executor_names) > 1:
            self.duplicate_runs.append((self.now, run, executor_names))

    def submit(self, instance, name, count=2, timeout=5.0, steps=()):
        reply_to = f"{name}@{instance.name}"
        if reply_to in self.submitted:
            reply_to = f"{name}+{len(self.submitted)}@{instance.name}"
        self.submitted.append(reply_to)
        self.unanswered.append(reply_to)
        msg = pool_messages.SubmitBatch(
            HOST,
            f"/jobs/{name}",
            "s",
            steps or make_steps(count),
            timeout,
            reply_to,
            self.now,
            self.now,
        )
        self._read_submission(instance, msg)
        return reply_to

    def _read_submission(self, instance, msg):
        """Have an instance read a request once it is not frozen."""
        if not instance.alive or self._sees_departure(msg.reply_to):
            return
        if self.is_frozen(instance):
            self.schedule(0.05, lambda: self._read_submission(instance, msg))
            return
        msg = msg._replace(seen_at=self.now)
        instance.receive(pool_messages.GATEWAY, msg)

    def _sees_departure(self, reply_to):
        return reply_to in self.departed and (
            reply_to in self.broken_replies or not self.hides_departures
        )

    def check_callers(self):
        """Have the instances look at their callers, now and regularly."""
        self.unanswered = [
            each for each in self.unanswered if each not in self.answers
        ]
        by_name = collections.defaultdict(list)
        for reply_to in self.unanswered:
            by_name[reply_to.rpartition("@")[2]].append(reply_to)
        for name, waiting in by_name.items():
            instance = self.instances.get(name)
            if instance is not None and not self.is_frozen(instance):
                self._check_callers_of(instance, waiting)
        self.schedule(watch.CHECK_INTERVAL, self.check_callers)

    def _check_callers_of(self, instance, waiting):
        gone = [each for each in waiting if self._sees_departure(each)]
        for reply_to in gone:
            withdrawal = pool_messages.WithdrawBatch(reply_to)
            instance.receive(pool_messages.GATEWAY, withdrawal)
        present = tuple(each for each in waiting if each not in gone)
        checked = pool_messages.CallersChecked(self.now, present)
        instance.receive(pool_messages.GATEWAY, checked)

    def cancel(self, instance, name):
        """Cancel a batch at an instance; return the `reply_to`."""
        return self._look_up(instance, name, pool_messages.CancelBatch)

    def find(self, instance, name):
        """Ask an instance for a batch; return the `reply_to`."""
        return self._look_up(instance, name, pool_messages.FindBatch)

    def _look_up(self, instance, name, message_type):
        reply_to = f"{message_type.__name__}{next(self.sequence)}"
        msg = message_type(HOST, f"/jobs/{name}", reply_to)
        instance.receive(pool_messages.GATEWAY, msg)
        return reply_to

    def call(self, names, name, count=2, timeout=1.5):
        """Submit a batch, and again if no answer comes, as callers do.

        Parameters
        ----------
        names : sequence of str
            The instances to which it is submitted, one after the other.
        """
        names = [each for each in names if self.instances[each].alive]
        if not names:
            return
        instance = self.instances[names[0]]
        reply_to = self.submit(instance, name, count, timeout)
        gives_up_at = self.now + timeout + LATENCY

        def poll():
            answer = self.answers.get(reply_to)
            if answer is not None and answer.state != batches.TIMED_OUT:
                return
            is_broken = not instance.alive or reply_to in self.broken_replies
            if not is_broken and answer is None and self.now < gives_up_at:
                self.schedule(CALLER_POLL_TIME, poll)
                return
            self.departed.add(reply_to)
            self.schedule(
                RESUBMIT_DELAY,
                lambda: self.call(names[1:], name, count, timeout),
            )

        poll()

    def break_connections(self, instance):
        """Break the connections of the callers of an instance."""
        self.broken_replies.update(
            reply_to
            for reply_to in self.submitted
            if reply_to.endswith(f"@{instance.name}")
        )

    def restart_instance(self, name, down_time):
        """Kill an instance, and start it again under its name."""
        former = self.instances[name]
        former.alive = False
        self.lags.pop(name, None)
        self.frozen_until.pop(name, None)
        self.restart_count += 1
        started = FIRST_RESTART + self.restart_count

        def restart():
            if self.instances[name] is former:
                self.add_instance(name, former.domain, started)

        self.schedule(down_time, restart)

    def route(self, instance, send):
        msg = send.msg
        if send.to == messages.TIMERS:
            fired = messages.TimerFired(msg.key)
            self.schedule(
                msg.at - self.now, lambda: instance.receive(msg.to, fired)
            )
        elif send.to == messages.CALLERS:
            self.answers[msg.reply_to] = msg.answer
        elif send.to == pool_messages.DECISION_LOG:
            instance.decisions.append(msg)
        elif send.to == pool_messages.CANCELLATION_LOG:
            instance.log_task.append(msg)
            self.schedule(LATENCY, instance.step_log)
        elif send.to == pool_messages.LISTINGS:
            self.send_listing(instance)
        elif isinstance(msg, pool_messages.SendToMember):
            self.schedule(
                LATENCY, lambda: self._deliver_to_peer(instance, msg)
            )
        elif isinstance(msg, pool_messages.SendToMembers):
            for address in msg.addresses:
                to_member = pool_messages.SendToMember(address, msg.msg)
                self.schedule(
                    LATENCY,
                    lambda to_member=to_member: self._deliver_to_peer(
                        instance, to_member
                    ),
                )
        elif send.to == pool_messages.EXECUTORS:
            self.schedule(LATENCY, lambda: self._send_request(instance, msg))

    def _deliver_to_peer(self, instance, msg):
        target = self.instances.get(msg.address[0])
        if target is None or not target.alive:
            if instance.alive:
                failed = pool_messages.LinkFailed(msg.address, False)
                instance.receive(pool_messages.FLEET, failed)
            return
        if not self.reaches(
            (instance.name, instance.domain), (target.name, target.domain)
        ):
            return
        payload = msg.msg
        if isinstance(payload, fleet_state.Heartbeat):
            heartbeat = pool_messages.HeartbeatReceived(*payload)
            target.receive(pool_messages.FLEET, heartbeat)
        elif isinstance(payload, GATEWAY_MESSAGES):
            target.receive(pool_messages.GATEWAY, payload)
        elif not isinstance(payload, pool_messages.ConfigurationOffered):
            target.receive(pool_messages.PLANNER, payload)

    def _send_request(self, instance, request):
        name = request.executor.name
        executor = self.executors.get(name)
        is_reached = executor is not None and not executor.unreachable
        if is_reached:
            location = (name, executor.spec.domain)
            is_reached = self.reaches(
                (instance.name, instance.domain), location
            )
        if not is_reached:
            self._time_out(instance, request)
            return
        if executor.is_late(request):
            self.schedule(
                self.rng.uniform(*self.order_delays),
                lambda: executor.carry_out(request),
            )
            self._time_out(instance, request)
            return
        if isinstance(request, pool_messages.HoldExecutor):
            self._answer_hold(instance, executor, request)
            return
        answer = _handle_request(executor, request)
        if executor.answers_to_lose > 0:
            executor.answers_to_lose -= 1
            self._time_out(instance, request)
            return
        self.schedule(LATENCY, lambda: self._deliver_answer(instance, answer))

    def _time_out(self, instance, request):
        """Tell the sender of a request that no answer came."""
        timeout = REQUEST_TIMEOUT
        if isinstance(request, pool_messages.HoldExecutor):
            timeout += request.wait
        answer = _make_timeout(request)
        self.schedule(timeout, lambda: self._deliver_answer(instance, answer))

    def _answer_hold(self, instance, executor, request):
        if not executor.hold(request):
            fenced = pool_messages.HoldFailed(
                executor.spec.name, request.token, True, False, "fence"
            )
            self.schedule(
                LATENCY, lambda: self._deliver_answer(instance, fenced)
            )
            return
        booted_at = executor.booted_at
        answered = []

        def answer():
            if answered:
                return
            answered.append(True)
            msg = executor.make_hold_answer(request.token)
            if executor.unreachable or executor.booted_at != booted_at:
                msg = _make_timeout(request)
            self.schedule(LATENCY, lambda: self._deliver_answer(instance, msg))

        if executor.ended_runs or request.wait <= 0.0:
            answer()
            return
        executor.pending_holds.append(answer)
        self.schedule(request.wait, answer)

    def _deliver_answer(self, instance, msg):
        executor = self.executors.get(msg.executor)
        if executor is not None and not self.reaches(
            (instance.name, instance.domain),
            (msg.executor, executor.spec.domain),
        ):
            if not isinstance(msg, pool_messages.HoldAnswered):
                instance.receive(pool_messages.PLANNER, msg)
                return
            failed = pool_messages.HoldFailed(
                msg.executor, msg.token, False, False, "cut"
            )
            self.schedule(
                0.25, lambda: instance.receive(pool_messages.PLANNER, failed)
            )
            return
        instance.receive(pool_messages.PLANNER, msg)


def _handle_request(executor, request):
    name = executor.spec.name
    if isinstance(request, pool_messages.StartRun):
        result = executor.start(request)
        return pool_messages.StartAnswered(
            name, request.run, result, result, executor.clock()
        )
    if isinstance(request, pool_messages.StopRun):
        stopped = executor.stop(request)
        return pool_messages.StopAnswered(name, request.run, stopped, "")
    return pool_messages.ProbeAnswered(name, True)


def _make_timeout(request):
    name = request.executor.name
    if isinstance(request, pool_messages.StartRun):
        return pool_messages.StartAnswered(
            name, request.run, "unknown", "timed out", None
        )
    if isinstance(request, pool_messages.StopRun):
        return pool_messages.StopAnswered(
            name, request.run, False, "timed out"
        )
    if isinstance(request, pool_messages.HoldExecutor):
        return pool_messages.HoldFailed(
            name, request.token, False, False, "timed out"
        )
    return pool_messages.ProbeAnswered(name, False)
