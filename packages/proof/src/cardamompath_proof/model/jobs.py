"""Model of one job: its owner, a peer, the backend servers and the log.

docs/MODEL.md gives the specification.  Each transition calls the
project's own decision functions, which `job_rules.Rules` lists; a broken
variant replaces one of them.  Sent messages stay in the network: a lost
message is never delivered, and a duplicated one is delivered again.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import minicheck

from cardamompath_core import leases
from cardamompath_proof.model import job_properties
from cardamompath_proof.model import job_rules

__all__ = [
    "WITNESSES",
    "Bounds",
    "JobState",
    "make_protocol",
]

WITNESSES = job_properties.WITNESSES


class Bounds(NamedTuple):
    """Bounds of the search: numbers of events, and which events occur."""

    tasks: int = 1
    ticks: int = 5
    renewals: int = 1
    progress: int = 1
    crash: bool = True
    pause: bool = True
    late_appends: bool = False
    """Whether an append that timed out may still reach the log."""


class JobState(NamedTuple):
    """One state of the model."""

    now: int
    owner_state: str
    """``up``, ``paused`` or ``gone``."""
    lease_end: int
    """End of the owner's lease."""
    job_state: str
    """State at the owner: ``new``, ``open``, ``ended`` or ``forgotten``."""
    task_states: str
    """One letter per task: w waiting, s sent, f finished, u unknown, n not
    started."""
    requests: str
    """One letter per task: - none, r sent, a answered, n refused, c connection
    failed, l answer lost."""
    start_counts: tuple[int, ...]
    """Starts of each task at its backend server, counted up to 2."""
    pending_append: tuple | None
    """Kind and detail of the owner's record on its way to the log; the detail
    of a renewal is the time at which it was sent."""
    late_append: tuple | None
    """Append that timed out at the owner and may still reach the log."""
    log: tuple
    """Records in the log after the announcement at offset 0."""
    owner_read: int
    """Number of records that the owner has read."""
    peer_read: int
    """Number of records that the peer has read."""
    renewal_read_at: int
    """Time at which the peer read the last renewal."""
    pending_death: int | None
    """Number of records that the peer had read when it declared the owner
    dead, while the declaration is on its way to the log."""
    taken_elsewhere: bool
    """Whether another incarnation accepted the job."""
    owner_answer: str
    """Answer of the owner: ``complete``, ``refused``, ``failed`` or none."""
    owner_task_states: str
    """States of the tasks, as letters, in a failed answer of the owner."""
    peer_answer: tuple | None
    """Answer of the peer: an outcome and the states of the tasks."""
    started_when_dead: bool
    """Whether a task was sent after the owner's death was in the log."""
    completed_after_settlement: bool
    """Whether the owner answered ``complete`` after the peer had answered."""


def make_protocol(
    rules: job_rules.Rules = job_rules.RULES,
    bounds: Bounds | None = None,
    name: str = "job",
) -> minicheck.Protocol:
    """Make the protocol that minicheck explores."""
    bounds = bounds or Bounds()
    total = bounds.tasks
    initial = JobState(
        0, "up", 2, "new", "w" * total, "-" * total, (0,) * total, None, None,
        (), 0, 0, 0, None, False, "", "", None, False, False,
    )  # fmt: skip

    def transitions(raw):
        state = JobState(*raw)
        successors = []
        for generate in _STEP_GENERATORS:
            successors += generate(state, rules, bounds)
        return [(label, tuple(next_state)) for label, next_state in successors]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=JobState._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants=job_properties.INVARIANTS,
    )


def _is_dead(log):
    return job_rules.fold_ledger(log).incarnations[job_rules.OWNER].dead


def _set_letter(letters, index, letter):
    return letters[:index] + letter + letters[index + 1 :]


def _add_start(starts, index):
    count = min(2, starts[index] + 1)
    return (*starts[:index], count, *starts[index + 1 :])


def _owner_steps(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    if state.now < bounds.ticks:
        yield "time passes", state._replace(now=state.now + 1)
    if bounds.crash and state.owner_state != "gone":
        yield "owner crashes", state._replace(owner_state="gone")
    if bounds.pause and state.owner_state == "up":
        yield "owner is paused", state._replace(owner_state="paused")
    if state.owner_state == "paused":
        yield "owner resumes", state._replace(owner_state="up")


def _submission_steps(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    foreign = rules.foreign_identifier_state()
    if job_rules.may_run_job(foreign) and not state.taken_elsewhere:
        yield (
            "another incarnation takes the job",
            state._replace(taken_elsewhere=True),
        )
    if state.owner_state != "up":
        return
    forgotten = state.job_state == "forgotten"
    own = rules.own_identifier_state(state.job_state != "new", forgotten)
    if not job_rules.may_run_job(own):
        return
    if not rules.may_start(state.lease_end, state.now, _is_dead(state.log)):
        refused = state._replace(job_state="ended", owner_answer="refused")
        yield "owner refuses the job", refused
        return
    tasks = "w" * bounds.tasks
    requests = "-" * bounds.tasks
    opened = state._replace(
        job_state="open", task_states=tasks, requests=requests, owner_answer=""
    )
    yield "owner takes the job", opened


def _start_steps(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    for index in range(bounds.tasks):
        if state.taken_elsewhere and state.start_counts[index] < 2:
            starts = _add_start(state.start_counts, index)
            label = f"another incarnation starts task {index}"
            yield label, state._replace(start_counts=starts)
        if state.owner_state != "up" or state.job_state != "open":
            continue
        if state.task_states[index] != "w":
            continue
        dead = _is_dead(state.log)
        if rules.may_start(state.lease_end, state.now, dead):
            yield (
                f"owner sends task {index}",
                state._replace(
                    task_states=_set_letter(state.task_states, index, "s"),
                    requests=_set_letter(state.requests, index, "r"),
                    started_when_dead=state.started_when_dead or dead,
                ),
            )


def _backend_steps(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    for index in range(bounds.tasks):
        if state.requests[index] != "r":
            continue
        ran = state._replace(
            start_counts=_add_start(state.start_counts, index)
        )
        for letter, label in _BACKEND_LABELS.items():
            arrived = ran if letter in "al" else state
            requests = _set_letter(state.requests, index, letter)
            yield f"{label} task {index}", arrived._replace(requests=requests)


_BACKEND_LABELS = {
    "a": "backend server runs",
    "l": "backend server runs, its answer is lost:",
    "n": "backend server refuses",
    "c": "connection fails for",
}

_ANSWER_NAMES = {"a": "answer", "n": "refuse", "c": "unreachable"}


def _answer_steps(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    if state.owner_state != "up" or state.job_state != "open":
        return
    for index in range(bounds.tasks):
        if state.task_states[index] != "s":
            continue
        request = state.requests[index]
        if request in _ANSWER_NAMES:
            verdict = rules.classify(job_rules.ANSWERS[_ANSWER_NAMES[request]])
            label = f"owner hears of task {index}"
            yield label, _apply_verdict(state, index, verdict)
        else:
            verdict = rules.classify(job_rules.TIMED_OUT)
            label = f"owner gives up task {index}"
            yield label, _apply_verdict(state, index, verdict)


def _apply_verdict(state, index, verdict):
    letter = {"finished": "f", "not_run": "w", "unknown": "u"}[verdict]
    return state._replace(
        task_states=_set_letter(state.task_states, index, letter)
    )


def _end_steps(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    if state.owner_state != "up":
        return
    if state.job_state == "ended":
        yield "owner forgets the job", state._replace(job_state="forgotten")
    if state.job_state != "open":
        return
    if "w" in state.task_states:
        tasks = state.task_states.replace("w", "n")
        yield "owner withdraws what waits", state._replace(task_states=tasks)
    # At the deadline, or when the lease has expired, the owner waits for
    # no task.
    tasks = state.task_states.replace("w", "n").replace("s", "u")
    ended = state._replace(task_states=tasks, job_state="ended")
    yield "owner ends the job", _answer_caller(ended, rules)


def _answer_caller(ended, rules):
    may_complete = rules.may_complete(ended.lease_end, ended.now)
    if set(ended.task_states) == {"f"} and may_complete:
        completed_late = (
            ended.completed_after_settlement or ended.peer_answer is not None
        )
        return ended._replace(
            owner_answer="complete", completed_after_settlement=completed_late
        )
    if set(ended.task_states) == {"n"}:
        return ended._replace(owner_answer="refused")
    return ended._replace(
        owner_answer="failed", owner_task_states=ended.task_states
    )


def _journal_steps(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    if state.owner_state == "up" and state.pending_append is None:
        kinds = [kind for kind, _ in state.log]
        if kinds.count("renew") < bounds.renewals:
            append = ("renew", state.now)
            yield (
                "owner sends a renewal",
                state._replace(pending_append=append),
            )
        if kinds.count("progress") < bounds.progress and state.job_state in (
            "open",
            "ended",
        ):
            detail = _make_detail(state, rules)
            append = ("progress", detail)
            yield "owner sends progress", state._replace(pending_append=append)
    if state.late_append is not None:
        landed = state._replace(
            log=(*state.log, state.late_append), late_append=None
        )
        yield "an append that was given up lands", landed
    if state.pending_append is None:
        return
    log = (*state.log, state.pending_append)
    yield "log takes the append", state._replace(log=log, pending_append=None)
    yield "append is lost", state._replace(pending_append=None)
    if bounds.late_appends and state.late_append is None:
        given_up = state._replace(
            pending_append=None, late_append=state.pending_append
        )
        yield "owner gives an append up", given_up


def _make_detail(state, rules):
    states = tuple(
        rules.journal_states[letter] for letter in state.task_states
    )
    return states, state.job_state == "ended"


def _read_steps(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    read = state.owner_read
    if state.owner_state == "up" and read < len(state.log):
        kind, sent = state.log[read]
        next_state = state._replace(owner_read=read + 1)
        ledger = job_rules.fold_ledger(state.log[: read + 1])
        if kind == "renew" and rules.extends_lease(ledger, read + 1):
            lease_end = int(leases.lease_end(sent, job_rules.LEASE_TIMES))
            next_state = next_state._replace(
                lease_end=max(lease_end, state.lease_end)
            )
        if kind == "death" and ledger.incarnations[job_rules.OWNER].dead:
            next_state = next_state._replace(lease_end=-1)
        yield f"owner reads a {kind}", next_state
    if state.peer_read < len(state.log):
        kind, _ = state.log[state.peer_read]
        next_state = state._replace(peer_read=state.peer_read + 1)
        if kind == "renew":
            next_state = next_state._replace(renewal_read_at=state.now)
        yield f"peer reads a {kind}", next_state


def _peer_steps(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    ledger = job_rules.fold_ledger(state.log[: state.peer_read])
    lease_expired = leases.may_declare_dead(
        state.renewal_read_at, job_rules.LEASE_TIMES, state.now
    )
    deaths = sum(kind == "death" for kind, _ in state.log)
    if lease_expired and state.pending_death is None and deaths == 0:
        declared = state._replace(
            pending_death=rules.records_seen(state.peer_read)
        )
        yield "peer declares the owner dead", declared
    if state.pending_death is not None:
        log = (*state.log, ("death", state.pending_death))
        yield (
            "log takes the death",
            state._replace(log=log, pending_death=None),
        )
        yield "death is lost", state._replace(pending_death=None)
    answer = rules.settle(ledger, bounds.tasks, lease_expired)
    if answer is not None and state.peer_answer is None:
        yield (
            "peer settles the job",
            state._replace(peer_answer=job_rules.summarize_answer(answer)),
        )


_STEP_GENERATORS = (
    _owner_steps,
    _submission_steps,
    _start_steps,
    _backend_steps,
    _answer_steps,
    _end_steps,
    _journal_steps,
    _read_steps,
    _peer_steps,
)
