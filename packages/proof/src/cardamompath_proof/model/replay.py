"""Replays a trace of the job's model on the real controllers.

A step of the model is a message to the controllers of the owner or of
the peer.  The task waits until the configuration has a backend server;
what settles it is held back until the model ends the job.
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

HELD = (messages.TaskSettled,)
SUBSTEPS = 8
"""Reads of the log in one tick of the model."""

SPEC = types.JobSpec(
    "team", (types.TaskSpec("booking", "reserve", b"payload"),), 60.0, "one"
)
BACKEND = types.BackendSpec("x1", "booking", "alpha", "10.1.0.1", 80, 1)
CLOSED = types.Configuration(
    1, 0, (types.ServiceSpec("booking"),), (BACKEND._replace(leaving=True),)
)
"""Tasks wait: their backend server is leaving."""
SERVED = CLOSED._replace(revision=2, backends=(BACKEND,))


class Party:
    """The controllers of one instance, and what came out of them."""

    def __init__(self, name: str, held: Sequence[type]):
        self.owner = identity.Incarnation("alpha", name, "00000001")
        made = instances.make_controllers(
            instances.ControllerFactories(
                journal=functools.partial(
                    controllers.journal.make_controller,
                    settings=controllers.journal_store.JournalSettings(
                        lease=job_rules.TERMS
                    ),
                )
            ),
            self.owner,
            (),
            lambda: "00000002",
            lambda: random.Random(1),
        )
        self.receive = {one.name: one.receive for one in made}
        self.held_types = tuple(held)
        self.held: list[messages.Send] = []
        self.out: list[messages.Send] = []
        self.read = 0
        self.up = True

    def tell(self, to: str, msg: Any, now: float) -> None:
        """Deliver a message and all that follows inside."""
        pending = collections.deque([messages.Send(to, msg)])
        while pending:
            send = pending.popleft()
            if send.to not in self.receive:
                self.out.append(send)
                continue
            for one in self.receive[send.to](send.msg, now):
                if isinstance(one.msg, self.held_types):
                    self.held.append(one)
                else:
                    pending.append(one)

    def release(self, kind: type, now: float) -> None:
        """Deliver what was held back of a kind."""
        due = [one for one in self.held if isinstance(one.msg, kind)]
        self.held = [one for one in self.held if one not in due]
        for one in due:
            self.tell(one.to, one.msg, now)

    def take(self, kind: type) -> list[Any]:
        """Take the messages of a kind that came out."""
        taken = [one.msg for one in self.out if isinstance(one.msg, kind)]
        self.out = [one for one in self.out if not isinstance(one.msg, kind)]
        return taken


class Rig:
    """An owner, a peer, a log and a backend server."""

    def __init__(self):
        self.now = 0.0
        self.owner = Party("a1", HELD)
        self.peer = Party("b1", (messages.Enqueue,))
        self.log: list[dict[str, Any]] = []
        self.appends: dict[str, tuple] = {}
        self.arrival: types.BackendAnswer | None = None
        self.flying: messages.StartTask | None = None
        self.starts = 0
        self.answers: list[tuple[str, types.Answer]] = []
        self.faults: list[str] = []
        self._begin()

    def _begin(self):
        for party in (self.owner, self.peer):
            self._configure(party, CLOSED)
        self.owner.tell(messages.JOBS, messages.IssueJobId("job"), 0.0)
        self.job = self.owner.take(messages.Reply)[0].answer
        for party in (self.owner, self.peer):
            self._tell_read(party, ())
        self._commit(self.owner, "owner")
        self._append("owner", self.owner)
        self._read(self.owner)
        self._read(self.peer)

    def step(self, label: str) -> None:
        """Carry out one step of the model and check what it led to."""
        for pattern, action in STEPS:
            match = re.fullmatch(pattern, label)
            if match:
                action(self, *match.groups())
                break
        else:
            raise LookupError(f"no step {label!r}")
        self._collect()
        self._check(label)

    def _collect(self):
        for start in self.owner.take(messages.StartTask):
            self.flying = start
            if self._is_dead():
                self.faults.append("started when dead")
        for name, party in (("owner", self.owner), ("peer", self.peer)):
            for reply in party.take(messages.Reply):
                if isinstance(reply.answer, types.Answer):
                    self.answers.append((name, reply.answer))

    def _is_dead(self):
        ledger = journal_fold.Ledger()
        for offset, record in enumerate(self.log):
            journal_fold.apply_record(ledger, offset, record)
        return ledger.incarnations[self.job.rpartition(".")[0]].dead

    def _check(self, label):
        if self.starts > 1:
            self.faults.append(f"started twice at {label!r}")
        for _, answer in self.answers:
            denied = isinstance(answer, types.Refused) or any(
                one.state == "not_started"
                for one in getattr(answer, "results", ())
            )
            if denied and self.starts:
                self.faults.append(f"not run is false at {label!r}")
        settled = [name for name, _ in self.answers]
        if "peer" in settled:
            later = self.answers[settled.index("peer") + 1 :]
            if any(isinstance(one, types.Complete) for _, one in later):
                self.faults.append(f"complete after settled at {label!r}")

    def _pass_time(self):
        for _ in range(SUBSTEPS):
            self.now += 1.0 / SUBSTEPS
            for party in (self.owner, self.peer):
                if party.up and party.read == len(self.log):
                    self._tell_read(party, ())

    def _live(self, what):
        self.owner.up = what == "resumes"

    def _tell_read(self, party, records):
        read = messages.RecordsRead("journal", records, 0, len(self.log))
        party.tell(messages.JOURNAL, read, self.now)

    def _read(self, party, kind="announce"):
        """Read on to the next record of a kind, or to the end."""
        while party.read < len(self.log):
            record = self.log[party.read]
            party.read += 1
            self._tell_read(party, ((party.read - 1, record),))
            if record["kind"] == kind:
                return

    def _commit(self, party, name):
        fired = messages.TimerFired(controllers.journal.COMMIT_TIMER)
        party.tell(messages.JOURNAL, fired, self.now)
        for append in party.take(messages.Append):
            self.appends[name] = append.records

    def _append(self, name, party, outcome="done"):
        records = self.appends.pop(name, ())
        if outcome == "done":
            self.log.extend(records)
        if records:
            ended = messages.AppendEnded(outcome)
            party.tell(messages.JOURNAL, ended, self.now)

    def _submit(self):
        msg = messages.Submit(self.job, SPEC, "caller")
        self.owner.tell(messages.JOBS, msg, self.now)

    def _submit_to_peer(self):
        msg = messages.Submit(self.job, SPEC, "caller")
        self.peer.tell(messages.JOBS, msg, self.now)
        if any(isinstance(one, messages.Enqueue) for one in self.peer.held):
            self.faults.append("another incarnation took the job")

    def _send(self):
        self._configure(self.owner, SERVED)

    def _configure(self, party, cfg):
        changed = messages.ConfigurationChanged(cfg)
        for to in (messages.JOBS, messages.BACKENDS):
            party.tell(to, changed, self.now)

    def _arrive(self, answer, ran):
        if self.flying is not None and self.arrival is None:
            self.starts += ran
            self.arrival = answer

    def _hear(self, answer=None):
        answer = answer or self.arrival
        if self.flying is None or answer is None:
            return
        ended = messages.AttemptEnded("x1", self.flying.task, answer)
        self.flying = self.arrival = None
        self.owner.tell(messages.BACKENDS, ended, self.now)

    def _end(self):
        self.owner.release(messages.TaskSettled, self.now)
        fired = messages.TimerFired(("deadline", self.job))
        self.owner.tell(messages.JOBS, fired, self.now)

    def _forget(self):
        fired = messages.TimerFired(("forget", self.job))
        self.owner.tell(messages.JOBS, fired, self.now)

    def _settle(self):
        ask = messages.ResolveForeignJob(self.job, 1, None, "caller")
        self.peer.tell(messages.JOURNAL, ask, self.now)


def _nothing(rig):
    pass


RAN = job_rules.EXCHANGES["answer"]

STEPS: tuple[tuple[str, Callable[[Rig], None]], ...] = (
    ("time passes", Rig._pass_time),
    ("owner (crashes|is paused|resumes)", Rig._live),
    ("owner (?:takes|refuses) the job", Rig._submit),
    ("another incarnation takes the job", Rig._submit_to_peer),
    ("another incarnation starts task 0", _nothing),
    ("owner sends task 0", Rig._send),
    ("backend server runs task 0", lambda rig: rig._arrive(RAN, 1)),
    (
        "backend server runs, .*",
        lambda rig: rig._arrive(job_rules.GIVEN_UP, 1),
    ),
    (
        "backend server refuses task 0",
        lambda rig: rig._arrive(job_rules.EXCHANGES["refuse"], 0),
    ),
    (
        "connection fails for task 0",
        lambda rig: rig._arrive(job_rules.EXCHANGES["unreachable"], 0),
    ),
    ("owner hears of task 0", Rig._hear),
    ("owner gives up task 0", lambda rig: rig._hear(job_rules.GIVEN_UP)),
    ("owner withdraws what waits", _nothing),
    ("owner ends the job", Rig._end),
    ("owner forgets the job", Rig._forget),
    ("owner sends .*", lambda rig: rig._commit(rig.owner, "owner")),
    ("log takes the append", lambda rig: rig._append("owner", rig.owner)),
    (
        "append is lost",
        lambda rig: rig._append("owner", rig.owner, "refused"),
    ),
    ("owner reads a (.*)", lambda rig, kind: rig._read(rig.owner, kind)),
    ("peer reads a (.*)", lambda rig, kind: rig._read(rig.peer, kind)),
    (
        "peer declares the owner dead",
        lambda rig: rig._commit(rig.peer, "peer"),
    ),
    ("log takes the death", lambda rig: rig._append("peer", rig.peer)),
    (
        "death is lost",
        lambda rig: rig._append("peer", rig.peer, "refused"),
    ),
    ("peer settles the job", Rig._settle),
)
"""From a label of the model to what is done; the first match counts."""


def replay(labels: Sequence[str]) -> Rig:
    """Replay the labels of a trace and return what came of it."""
    rig = Rig()
    for label in labels:
        rig.step(label)
    return rig
