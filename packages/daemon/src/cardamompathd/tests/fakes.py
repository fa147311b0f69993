"""Simulated instances: real controllers on a fake log and clock."""

import collections
import heapq
import itertools
import random

from cardamompath_core import identity
from cardamompath_core import types
from cardamompathd import controllers
from cardamompathd import messages

POLL_INTERVAL = 0.25
"""Seconds between reads of the log."""
TASK_TIME = 1.0
"""Seconds that a task takes on a backend server."""
CFG = types.Configuration(
    1,
    0,
    (types.ServiceSpec("booking"),),
    tuple(
        types.BackendSpec(f"e-{index}", "booking", "pocitos", "::1", 1, 2)
        for index in (1, 2)
    ),
)


def make_spec(count=6, digest="one"):
    task = types.TaskSpec("booking", "reserve", b"payload")
    return types.JobSpec("box-office", (task,) * count, 30.0, digest)


class Simulation:
    """Simulated clock, log, backend servers and instances."""

    def __init__(self, count=3):
        self.now = 100.0
        self.events = []
        self.sequence = itertools.count()
        self.records = []
        self.log_mode = "up"
        """``up``, ``slow``, ``down`` (appends are refused), ``silent`` (they
        fail, outcome unknown) or ``lost`` (they succeed, outcome unknown)."""
        self.log_delay = 0.0
        self.starts = collections.Counter()
        self.failing_tasks = set()
        """Indexes of the tasks that fail."""
        self.duplicate_results = False
        """Whether each task's result is delivered a second time."""
        self.answers = []
        self.instances = [
            Instance(self, f"entry-{index}") for index in range(count)
        ]

    def schedule(self, when, action):
        heapq.heappush(self.events, (when, next(self.sequence), action))

    def advance(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            when, _, action = heapq.heappop(self.events)
            self.now = max(self.now, when)
            action()
        self.now = end

    def ask(self, instance, message):
        """Send a request to an instance; return the list of its answers.

        The instance relays a request for another owner's job once.
        """
        answers = []
        reply_to = (self, message, answers, instance)
        instance.receive(messages.JOBS, message._replace(reply_to=reply_to))
        return answers

    def reply(self, message, answers, instance, answer):
        if isinstance(answer, messages.NotOwner):
            instance.relay(answer.job, message, answers)
            return
        answers.append(answer)
        job = getattr(message, "job", "")
        self.answers.append((job, answer))

    def submit(self, instance, job, spec=None):
        return self.ask(
            instance, messages.Submit(job, spec or make_spec(), None)
        )

    def submit_named(self, instance, name, spec=None):
        message = messages.SubmitNamed(name, spec or make_spec(), None)
        return self.ask(instance, message)

    def issue_job_id(self, instance):
        return self.ask(instance, messages.IssueJobId(None))[0]

    def check_answers(self, test):
        """Check every answer given so far against the recorded starts."""
        test.assertLessEqual(max(self.starts.values(), default=0), 1)
        for job, answer in self.answers:
            if isinstance(answer, types.Refused) and answer.code != "conflict":
                started_tasks = [
                    task for task in self.starts if task[0] == job
                ]
                test.assertEqual([], started_tasks, answer)
            for index, result in enumerate(getattr(answer, "results", ())):
                started = self.starts[job, index]
                if result.state in ("finished", "failed"):
                    test.assertEqual(1, started, answer)
                if result.state == "not_started":
                    test.assertEqual(0, started, answer)


class Instance:
    """A simulated instance."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.alive = True
        self.paused = False
        self.partitioned = False
        """Whether the log and the other instances cannot be reached."""
        self.deferred = []
        self.next_offset = 0
        nonces = (f"{name}n{number:08d}" for number in itertools.count())
        owner = identity.Incarnation(
            "pocitos", name, next(nonces).replace("-", "")
        )
        self.controllers = {
            controller.name: controller.receive
            for controller in (
                controllers.jobs.jobs.make_controller(owner),
                controllers.backends.backends.make_controller(
                    owner, random.Random(1)
                ),
                controllers.journal.journal.make_controller(
                    owner, lambda: next(nonces).replace("-", "")
                ),
            )
        }
        self.receive(messages.JOBS, messages.ConfigurationChanged(CFG))
        self.receive(messages.BACKENDS, messages.ConfigurationChanged(CFG))
        commit = messages.TimerFired(controllers.journal.journal.COMMIT_TIMER)
        self.receive(messages.JOURNAL, commit)
        simulation.schedule(simulation.now + POLL_INTERVAL / 2, self.poll)

    def receive(self, name, msg):
        if not self.alive:
            return
        if self.paused:
            self.deferred.append((name, msg))
            return
        pending = collections.deque([messages.Send(name, msg)])
        while pending:
            send = pending.popleft()
            receive = self.controllers.get(send.to)
            if receive is not None:
                pending.extend(receive(send.msg, self.simulation.now))
            elif send.to in self.EXTERNAL_TASKS:
                self.EXTERNAL_TASKS[send.to](self, send.msg)

    def send_later(self, seconds, name, msg):
        when = self.simulation.now + seconds
        self.simulation.schedule(when, lambda: self.receive(name, msg))

    def set_timer(self, msg):
        delay = msg.at - self.simulation.now
        self.send_later(delay, msg.to, messages.TimerFired(msg.key))

    def reply(self, msg):
        simulation, message, answers, instance = msg.reply_to
        simulation.reply(message, answers, instance, msg.answer)

    def start_task(self, msg):
        """Check the lease and run the task, as a connection does."""
        answer = types.BackendAnswer("connect")
        if self.simulation.now < msg.start_by:
            self.simulation.starts[msg.task.job, msg.task.index] += 1
            answer = types.BackendAnswer("done", 200, b"result")
        duration = TASK_TIME
        if msg.task.index in self.simulation.failing_tasks:
            answer, duration = answer._replace(status=500), TASK_TIME / 4
        ended = messages.AttemptEnded(msg.backend.name, msg.task, answer)
        self.send_later(duration, messages.BACKENDS, ended)
        if self.simulation.duplicate_results:
            settled = messages.TaskSettled(
                msg.task, types.TaskResult("finished", 200, b"result")
            )
            self.send_later(TASK_TIME + 0.1, messages.JOBS, settled)

    def log_mode(self):
        return "silent" if self.partitioned else self.simulation.log_mode

    def append(self, msg):
        mode, simulation = self.log_mode(), self.simulation
        if isinstance(msg, messages.ReadBack):
            records = None
            if mode in ("up", "lost", "slow"):
                records = tuple(simulation.records[msg.offset :])
            ended = messages.ReadBackEnded(records)
            self.send_later(
                0.01 + simulation.log_delay, messages.JOURNAL, ended
            )
            return
        if mode in ("up", "lost"):
            simulation.records.extend(msg.records)
        if mode == "slow":
            simulation.schedule(
                simulation.now + simulation.log_delay,
                lambda: simulation.records.extend(msg.records),
            )
        outcome = {"up": "done", "slow": "done", "down": "refused"}
        ended = messages.AppendEnded(outcome.get(mode, "unknown"))
        self.send_later(0.01 + simulation.log_delay, messages.JOURNAL, ended)

    def poll(self):
        self.simulation.schedule(
            self.simulation.now + POLL_INTERVAL, self.poll
        )
        if self.paused or self.log_mode() in ("down", "silent"):
            return
        records = self.simulation.records
        read = messages.RecordsRead(
            "journal",
            tuple(enumerate(records[self.next_offset :], self.next_offset)),
            0,
            len(records),
        )
        self.next_offset = len(records)
        self.receive(messages.JOURNAL, read)

    def relay(self, job, message, answers):
        """Relay a request to the owner's instance if it can be reached."""
        owner_name = job.split(".")[1]
        for owner in self.simulation.instances:
            reachable = owner.alive and not (
                owner.partitioned or self.partitioned
            )
            if owner.name == owner_name and owner is not self and reachable:
                reply_to = (self.simulation, message, answers, owner)
                owner.receive(
                    messages.JOBS, message._replace(reply_to=reply_to)
                )
                return
        answers.append(types.Pending(0, 0, "the owner cannot be reached"))

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False
        deferred, self.deferred = self.deferred, []
        for name, msg in deferred:
            self.receive(name, msg)

    EXTERNAL_TASKS = {
        messages.APPENDER: append,
        messages.CALLERS: reply,
        messages.CONNECTIONS: start_task,
        messages.TIMERS: set_timer,
    }
