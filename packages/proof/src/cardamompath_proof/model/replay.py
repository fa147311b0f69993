"""Replay of traces of the job model on the real controllers.

A step of the model becomes a message to the controllers of the owner or
of the peer.  The task waits in the queue until the configuration has a
backend server; the message that settles it is deferred until the model
ends the job.
"""

from __future__ import annotations

import collections
import functools
import random
import re
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from cardamompath_core import identity
from cardamompath_core import journal_fold
from cardamompath_core import types
from cardamompath_proof.harness import instances
from cardamompath_proof.model import job_rules
from cardamompathd import controllers
from cardamompathd import messages

__all__ = [
    "Rig",
    "replay",
]

DEFERRED_TYPES = (messages.TaskSettled,)
READS_PER_TICK = 8
"""Reads of the log per tick of the model."""

JOB_SPEC = types.JobSpec(
    "team", (types.TaskSpec("booking", "reserve", b"payload"),), 60.0, "one"
)
BACKEND = types.BackendSpec("x1", "booking", "alpha", "10.1.0.1", 80, 1)
LEAVING_CFG = types.Configuration(
    1, 0, (types.ServiceSpec("booking"),), (BACKEND._replace(leaving=True),)
)
"""Tasks wait in the queue, as the backend server is leaving."""
SERVING_CFG = LEAVING_CFG._replace(revision=2, backends=(BACKEND,))


class Instance:
    """Controllers of one instance, with their deferred and sent messages."""

    def __init__(self, name: str, deferred_types: Sequence[type]):
        self.incarnation = identity.Incarnation("alpha", name, "00000001")
        created = instances.make_controllers(
            instances.ControllerFactories(
                journal=functools.partial(
                    controllers.journal.journal.make_controller,
                    settings=controllers.journal.journal_store.JournalSettings(
                        lease=job_rules.LEASE_TIMES
                    ),
                )
            ),
            self.incarnation,
            (),
            lambda: "00000002",
            lambda: random.Random(1),
        )
        self.receivers = {
            controller.name: controller.receive for controller in created
        }
        self.deferred_types = tuple(deferred_types)
        self.deferred: list[messages.Send] = []
        self.sent: list[messages.Send] = []
        self.next_offset = 0
        self.is_running = True

    def deliver(self, to: str, msg: Any, now: float) -> None:
        """Deliver a message and the internal messages that follow from it."""
        pending = collections.deque([messages.Send(to, msg)])
        while pending:
            send = pending.popleft()
            if send.to not in self.receivers:
                self.sent.append(send)
                continue
            for next_send in self.receivers[send.to](send.msg, now):
                if isinstance(next_send.msg, self.deferred_types):
                    self.deferred.append(next_send)
                else:
                    pending.append(next_send)

    def deliver_deferred(self, kind: type, now: float) -> None:
        """Deliver the deferred messages of a type."""
        due = [send for send in self.deferred if isinstance(send.msg, kind)]
        self.deferred = [send for send in self.deferred if send not in due]
        for send in due:
            self.deliver(send.to, send.msg, now)

    def take_sent(self, kind: type) -> list[Any]:
        """Remove and return the sent messages of a type."""
        matching = [
            send.msg for send in self.sent if isinstance(send.msg, kind)
        ]
        self.sent = [
            send for send in self.sent if not isinstance(send.msg, kind)
        ]
        return matching


class Rig:
    """An owner, a peer, a log and a backend server with one task."""

    def __init__(self):
        self.now = 0.0
        self.owner = Instance("a1", DEFERRED_TYPES)
        self.peer = Instance("b1", (messages.Enqueue,))
        self.log: list[dict[str, Any]] = []
        self.appends: dict[str, tuple] = {}
        self.backend_answer: types.BackendAnswer | None = None
        self.in_flight: messages.StartTask | None = None
        self.starts = 0
        self.answers: list[tuple[str, types.Answer]] = []
        self.violations: list[str] = []
        self._set_up()

    def _set_up(self):
        for instance in (self.owner, self.peer):
            self._configure(instance, LEAVING_CFG)
        self.owner.deliver(messages.JOBS, messages.IssueJobId("job"), 0.0)
        self.job = self.owner.take_sent(messages.Reply)[0].answer
        for instance in (self.owner, self.peer):
            self._deliver_records(instance, ())
        self._commit_journal(self.owner, "owner")
        self._finish_append("owner", self.owner)
        self._read_to(self.owner)
        self._read_to(self.peer)

    def step(self, label: str) -> None:
        """Carry out one step of the model and check the result."""
        for pattern, action in ACTIONS:
            match = re.fullmatch(pattern, label)
            if match:
                action(self, *match.groups())
                break
        else:
            raise LookupError(f"no action for step {label!r}")
        self._collect_sent()
        self._check_properties(label)

    def _collect_sent(self):
        for start in self.owner.take_sent(messages.StartTask):
            self.in_flight = start
            if self._is_dead():
                self.violations.append("dead owner started the task")
        for name, instance in (("owner", self.owner), ("peer", self.peer)):
            for reply in instance.take_sent(messages.Reply):
                if isinstance(reply.answer, types.Answer):
                    self.answers.append((name, reply.answer))

    def _is_dead(self):
        ledger = journal_fold.Ledger()
        for offset, record in enumerate(self.log):
            journal_fold.apply_record(ledger, offset, record)
        return ledger.incarnations[self.job.rpartition(".")[0]].dead

    def _check_properties(self, label):
        if self.starts > 1:
            self.violations.append(f"task started twice at {label!r}")
        for _, answer in self.answers:
            denied = isinstance(answer, types.Refused) or any(
                result.state == "not_started"
                for result in getattr(answer, "results", ())
            )
            if denied and self.starts:
                self.violations.append(
                    f"task reported as not run had started, at {label!r}"
                )
        answerers = [name for name, _ in self.answers]
        if "peer" in answerers:
            later = self.answers[answerers.index("peer") + 1 :]
            if any(isinstance(reply, types.Complete) for _, reply in later):
                self.violations.append(
                    f"complete after a settlement, at {label!r}"
                )

    def _pass_time(self):
        for _ in range(READS_PER_TICK):
            self.now += 1.0 / READS_PER_TICK
            for instance in (self.owner, self.peer):
                if instance.is_running and instance.next_offset == len(
                    self.log
                ):
                    self._deliver_records(instance, ())

    def _set_running(self, event):
        self.owner.is_running = event == "resumes"

    def _deliver_records(self, instance, records):
        msg = messages.RecordsRead("journal", records, 0, len(self.log))
        instance.deliver(messages.JOURNAL, msg, self.now)

    def _read_to(self, instance, kind="announce"):
        """Read through the next record of a kind, or to the end."""
        while instance.next_offset < len(self.log):
            record = self.log[instance.next_offset]
            instance.next_offset += 1
            self._deliver_records(
                instance, ((instance.next_offset - 1, record),)
            )
            if record["kind"] == kind:
                return

    def _commit_journal(self, instance, name):
        timer = messages.TimerFired(controllers.journal.journal.COMMIT_TIMER)
        instance.deliver(messages.JOURNAL, timer, self.now)
        for append in instance.take_sent(messages.Append):
            self.appends[name] = append.records

    def _finish_append(self, name, instance, outcome="done"):
        records = self.appends.pop(name, ())
        if outcome == "done":
            self.log.extend(records)
        if records:
            ended = messages.AppendEnded(outcome)
            instance.deliver(messages.JOURNAL, ended, self.now)

    def _submit(self):
        msg = messages.Submit(self.job, JOB_SPEC, "caller")
        self.owner.deliver(messages.JOBS, msg, self.now)

    def _submit_to_peer(self):
        msg = messages.Submit(self.job, JOB_SPEC, "caller")
        self.peer.deliver(messages.JOBS, msg, self.now)
        if any(
            isinstance(send, messages.Enqueue) for send in self.peer.deferred
        ):
            self.violations.append("another incarnation accepted the job")

    def _enable_backend(self):
        self._configure(self.owner, SERVING_CFG)

    def _configure(self, instance, cfg):
        changed = messages.ConfigurationChanged(cfg)
        for to in (messages.JOBS, messages.BACKENDS):
            instance.deliver(to, changed, self.now)

    def _receive_task(self, answer, ran):
        if self.in_flight is not None and self.backend_answer is None:
            self.starts += ran
            self.backend_answer = answer

    def _deliver_answer(self, answer=None):
        answer = answer or self.backend_answer
        if self.in_flight is None or answer is None:
            return
        ended = messages.AttemptEnded("x1", self.in_flight.task, answer)
        self.in_flight = self.backend_answer = None
        self.owner.deliver(messages.BACKENDS, ended, self.now)

    def _end_job(self):
        self.owner.deliver_deferred(messages.TaskSettled, self.now)
        timer = messages.TimerFired(("deadline", self.job))
        self.owner.deliver(messages.JOBS, timer, self.now)

    def _forget_job(self):
        timer = messages.TimerFired(("forget", self.job))
        self.owner.deliver(messages.JOBS, timer, self.now)

    def _resolve_job(self):
        msg = messages.ResolveForeignJob(self.job, 1, None, "caller")
        self.peer.deliver(messages.JOURNAL, msg, self.now)


def _ignore(rig):
    pass


ANSWERED = job_rules.ANSWERS["answer"]

ACTIONS: tuple[tuple[str, Callable[[Rig], None]], ...] = (
    ("time passes", Rig._pass_time),
    ("owner (crashes|is paused|resumes)", Rig._set_running),
    ("owner (?:takes|refuses) the job", Rig._submit),
    ("another incarnation takes the job", Rig._submit_to_peer),
    ("another incarnation starts task 0", _ignore),
    ("owner sends task 0", Rig._enable_backend),
    ("backend server runs task 0", lambda rig: rig._receive_task(ANSWERED, 1)),
    (
        "backend server runs, .*",
        lambda rig: rig._receive_task(job_rules.TIMED_OUT, 1),
    ),
    (
        "backend server refuses task 0",
        lambda rig: rig._receive_task(job_rules.ANSWERS["refuse"], 0),
    ),
    (
        "connection fails for task 0",
        lambda rig: rig._receive_task(job_rules.ANSWERS["unreachable"], 0),
    ),
    ("owner hears of task 0", Rig._deliver_answer),
    (
        "owner gives up task 0",
        lambda rig: rig._deliver_answer(job_rules.TIMED_OUT),
    ),
    ("owner withdraws what waits", _ignore),
    ("owner ends the job", Rig._end_job),
    ("owner forgets the job", Rig._forget_job),
    ("owner sends .*", lambda rig: rig._commit_journal(rig.owner, "owner")),
    (
        "log takes the append",
        lambda rig: rig._finish_append("owner", rig.owner),
    ),
    (
        "append is lost",
        lambda rig: rig._finish_append("owner", rig.owner, "refused"),
    ),
    ("owner reads a (.*)", lambda rig, kind: rig._read_to(rig.owner, kind)),
    ("peer reads a (.*)", lambda rig, kind: rig._read_to(rig.peer, kind)),
    (
        "peer declares the owner dead",
        lambda rig: rig._commit_journal(rig.peer, "peer"),
    ),
    ("log takes the death", lambda rig: rig._finish_append("peer", rig.peer)),
    (
        "death is lost",
        lambda rig: rig._finish_append("peer", rig.peer, "refused"),
    ),
    ("peer settles the job", Rig._resolve_job),
)
"""Actions by pattern of the model's labels; the first match counts."""


def replay(labels: Sequence[str]) -> Rig:
    """Replay the labels of a trace and return the rig in its final state."""
    rig = Rig()
    for label in labels:
        rig.step(label)
    return rig
