"""Instances made of the real controllers, on a fake log and clock."""

import collections
import heapq
import itertools
import random

from cardamompath_core import identity
from cardamompath_core import types
from cardamompathd import controllers
from cardamompathd import messages

STEP = 0.25
WORK = 1.0
CFG = types.Configuration(
    1,
    0,
    (types.ServiceSpec("booking"),),
    tuple(
        types.BackendSpec(f"e-{one}", "booking", "pocitos", "::1", 1, 2)
        for one in (1, 2)
    ),
)


def make_spec(count=6, digest="one"):
    task = types.TaskSpec("booking", "reserve", b"payload")
    return types.JobSpec("box-office", (task,) * count, 30.0, digest)


class World:
    """A clock, a log, backend servers and instances."""

    def __init__(self, count=3):
        self.now = 100.0
        self.events = []
        self.order = itertools.count()
        self.records = []
        self.log_mode = "up"
        self.log_delay = 0.0
        self.starts = collections.Counter()
        self.failing_tasks = set()
        """Tasks that fail, by index."""
        self.duplicate_results = False
        self.answers = []
        self.instances = [
            Instance(self, f"entry-{one}") for one in range(count)
        ]

    def at(self, when, action):
        heapq.heappush(self.events, (when, next(self.order), action))

    def advance(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            when, _, action = heapq.heappop(self.events)
            self.now = max(self.now, when)
            action()
        self.now = end

    def ask(self, node, message):
        """Ask one instance, which relays once; return the answer list."""
        got = []
        reply_to = (self, message, got, node)
        node.receive(messages.JOBS, message._replace(reply_to=reply_to))
        return got

    def reply(self, message, got, node, answer):
        if isinstance(answer, messages.NotOwner):
            node.relay(answer.job, message, got)
            return
        got.append(answer)
        job = getattr(message, "job", "")
        self.answers.append((job, answer))

    def submit(self, node, job, spec=None):
        return self.ask(node, messages.Submit(job, spec or make_spec(), None))

    def submit_named(self, node, name, spec=None):
        message = messages.SubmitNamed(name, spec or make_spec(), None)
        return self.ask(node, message)

    def issue_job_id(self, node):
        return self.ask(node, messages.IssueJobId(None))[0]

    def check_answers(self, test):
        """Check every answer given against the starts recorded."""
        test.assertLessEqual(max(self.starts.values(), default=0), 1)
        for job, answer in self.answers:
            if isinstance(answer, types.Refused) and answer.code != "conflict":
                ran = [one for one in self.starts if one[0] == job]
                test.assertEqual([], ran, answer)
            for index, one in enumerate(getattr(answer, "results", ())):
                started = self.starts[job, index]
                if one.state in ("finished", "failed"):
                    test.assertEqual(1, started, answer)
                if one.state == "not_started":
                    test.assertEqual(0, started, answer)


class Instance:
    """One instance."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.alive = True
        self.paused = False
        self.partitioned = False
        self.inbox = []
        self.read_to = 0
        nonces = (f"{name}n{one:08d}" for one in itertools.count())
        owner = identity.Incarnation(
            "pocitos", name, next(nonces).replace("-", "")
        )
        self.controllers = {
            one.name: one.receive
            for one in (
                controllers.jobs.make_controller(owner),
                controllers.backends.make_controller(owner, random.Random(1)),
                controllers.journal.make_controller(
                    owner, lambda: next(nonces).replace("-", "")
                ),
            )
        }
        self.receive(messages.JOBS, messages.ConfigurationChanged(CFG))
        self.receive(messages.BACKENDS, messages.ConfigurationChanged(CFG))
        commit = messages.TimerFired(controllers.journal.COMMIT_TIMER)
        self.receive(messages.JOURNAL, commit)
        world.at(world.now + STEP / 2, self.poll)

    def receive(self, name, msg):
        if not self.alive:
            return
        if self.paused:
            self.inbox.append((name, msg))
            return
        pending = collections.deque([messages.Send(name, msg)])
        while pending:
            send = pending.popleft()
            run = self.controllers.get(send.to)
            if run is not None:
                pending.extend(run(send.msg, self.world.now))
            elif send.to in self.EXTERNAL_TASKS:
                self.EXTERNAL_TASKS[send.to](self, send.msg)

    def later(self, seconds, name, msg):
        when = self.world.now + seconds
        self.world.at(when, lambda: self.receive(name, msg))

    def set_timer(self, msg):
        left = msg.at - self.world.now
        self.later(left, msg.to, messages.TimerFired(msg.key))

    def reply(self, msg):
        world, message, got, node = msg.reply_to
        world.reply(message, got, node, msg.answer)

    def start(self, msg):
        """Do what a connection does: check the lease, then send."""
        answer = types.BackendAnswer("connect")
        if self.world.now < msg.start_by:
            self.world.starts[msg.task.job, msg.task.index] += 1
            answer = types.BackendAnswer("done", 200, b"result")
        work = WORK
        if msg.task.index in self.world.failing_tasks:
            answer, work = answer._replace(status=500), WORK / 4
        ended = messages.AttemptEnded(msg.backend.name, msg.task, answer)
        self.later(work, messages.BACKENDS, ended)
        if self.world.duplicate_results:
            settled = messages.TaskSettled(
                msg.task, types.TaskResult("finished", 200, b"result")
            )
            self.later(WORK + 0.1, messages.JOBS, settled)

    def log_mode(self):
        return "silent" if self.partitioned else self.world.log_mode

    def append(self, msg):
        mode, world = self.log_mode(), self.world
        if isinstance(msg, messages.ReadBack):
            records = None
            if mode in ("up", "lost", "slow"):
                records = tuple(world.records[msg.offset :])
            ended = messages.ReadBackEnded(records)
            self.later(0.01 + world.log_delay, messages.JOURNAL, ended)
            return
        if mode in ("up", "lost"):
            world.records.extend(msg.records)
        if mode == "slow":
            world.at(
                world.now + world.log_delay,
                lambda: world.records.extend(msg.records),
            )
        outcome = {"up": "done", "slow": "done", "down": "refused"}
        ended = messages.AppendEnded(outcome.get(mode, "unknown"))
        self.later(0.01 + world.log_delay, messages.JOURNAL, ended)

    def poll(self):
        self.world.at(self.world.now + STEP, self.poll)
        if self.paused or self.log_mode() in ("down", "silent"):
            return
        records = self.world.records
        read = messages.RecordsRead(
            "journal",
            tuple(enumerate(records[self.read_to :], self.read_to)),
            0,
            len(records),
        )
        self.read_to = len(records)
        self.receive(messages.JOURNAL, read)

    def relay(self, job, message, got):
        """Ask the owner's instance when it can be reached."""
        place = job.split(".")[1]
        for owner in self.world.instances:
            reachable = owner.alive and not (
                owner.partitioned or self.partitioned
            )
            if owner.name == place and owner is not self and reachable:
                reply_to = (self.world, message, got, owner)
                owner.receive(
                    messages.JOBS, message._replace(reply_to=reply_to)
                )
                return
        got.append(types.Pending(0, 0, "the owner cannot be reached"))

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False
        inbox, self.inbox = self.inbox, []
        for name, msg in inbox:
            self.receive(name, msg)

    EXTERNAL_TASKS = {
        messages.APPENDER: append,
        messages.CALLERS: reply,
        messages.CONNECTIONS: start,
        messages.TIMERS: set_timer,
    }
