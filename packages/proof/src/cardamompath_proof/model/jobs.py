"""Model of one job: its owner, a peer, the backend servers and the log.

docs/MODEL.md gives the specification.  Each transition calls the
project's own decision functions, which `job_rules.Rules` names; a broken
variant replaces one of them.  Messages that were sent stay in the
network, so that loss is a message never delivered and duplication one
delivered again.
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
    """How far the search goes."""

    tasks: int = 1
    ticks: int = 5
    renewals: int = 1
    progress: int = 1
    crash: bool = True
    pause: bool = True
    stray: bool = False
    """Whether an append that was given up may land later."""


class JobState(NamedTuple):
    """One state of the model."""

    now: int
    owner: str
    """``up``, ``paused`` or ``gone``."""
    until: int
    """End of the owner's lease."""
    job: str
    """``new``, ``open``, ``ended`` or ``forgotten``, at the owner."""
    tasks: str
    """A letter a task: waiting, sent, finished, unknown, not started."""
    wires: str
    """A letter a task: - none, r request, a answered, n refused, c not
    reached, l answer lost."""
    starts: tuple[int, ...]
    append: tuple | None
    """Record of the owner on its way to the log, and when it was sent."""
    stray: tuple | None
    """Append that the owner gave up, and that may land yet."""
    log: tuple
    """Records in the log, behind the announcement at offset 0."""
    owner_read: int
    """Records that the owner read."""
    peer_read: int
    heard: int
    """When the peer read the last renewal."""
    death: int | None
    """Records that the peer had read when it declared the owner dead,
    while the declaration is on its way."""
    taken: bool
    """Whether another incarnation took the job."""
    told: str
    """What the owner answered: ``complete``, ``refused``, ``failed``."""
    owner_said: str
    """What it said of each task when it failed the job."""
    settled: tuple | None
    """What the peer answered: an outcome and the states of the tasks."""
    late: bool
    """Whether a task was started after the death was in force."""
    crossed: bool
    """Whether the owner answered complete after the settlement."""


def make_protocol(
    rules: job_rules.Rules = job_rules.RULES,
    bounds: Bounds | None = None,
    name: str = "job",
) -> minicheck.Protocol:
    """Make the protocol that minicheck explores."""
    bounds = bounds or Bounds()
    count = bounds.tasks
    initial = JobState(
        0, "up", 2, "new", "w" * count, "-" * count, (0,) * count, None, None,
        (), 0, 0, 0, None, False, "", "", None, False, False,
    )  # fmt: skip

    def transitions(raw):
        state = JobState(*raw)
        moves = []
        for source in _SOURCES:
            moves += source(state, rules, bounds)
        return [(label, tuple(after)) for label, after in moves]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=JobState._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants=job_properties.INVARIANTS,
    )


def _is_dead(log):
    return job_rules.ledger(log).incarnations[job_rules.OWNER].dead


def _put(text, place, letter):
    return text[:place] + letter + text[place + 1 :]


def _bump(starts, place):
    count = min(2, starts[place] + 1)
    return (*starts[:place], count, *starts[place + 1 :])


def _life(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    if state.now < bounds.ticks:
        yield "time passes", state._replace(now=state.now + 1)
    if bounds.crash and state.owner != "gone":
        yield "owner crashes", state._replace(owner="gone")
    if bounds.pause and state.owner == "up":
        yield "owner is paused", state._replace(owner="paused")
    if state.owner == "paused":
        yield "owner resumes", state._replace(owner="up")


def _submit(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    other = rules.other_standing()
    if job_rules.claims_job(other) and not state.taken:
        yield "another incarnation takes the job", state._replace(taken=True)
    if state.owner != "up":
        return
    forgotten = state.job == "forgotten"
    standing = rules.own_standing(state.job != "new", forgotten)
    if not job_rules.claims_job(standing):
        return
    if not rules.may_start(state.until, state.now, _is_dead(state.log)):
        refused = state._replace(job="ended", told="refused")
        yield "owner refuses the job", refused
        return
    tasks = "w" * bounds.tasks
    wires = "-" * bounds.tasks
    opened = state._replace(job="open", tasks=tasks, wires=wires, told="")
    yield "owner takes the job", opened


def _start(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    for place in range(bounds.tasks):
        if state.taken and state.starts[place] < 2:
            starts = _bump(state.starts, place)
            label = f"another incarnation starts task {place}"
            yield label, state._replace(starts=starts)
        if state.owner != "up" or state.job != "open":
            continue
        if state.tasks[place] != "w":
            continue
        dead = _is_dead(state.log)
        if rules.may_start(state.until, state.now, dead):
            yield (
                f"owner sends task {place}",
                state._replace(
                    tasks=_put(state.tasks, place, "s"),
                    wires=_put(state.wires, place, "r"),
                    late=state.late or dead,
                ),
            )


def _backend(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    for place in range(bounds.tasks):
        if state.wires[place] != "r":
            continue
        ran = state._replace(starts=_bump(state.starts, place))
        for letter, label in _ARRIVALS.items():
            after = ran if letter in "al" else state
            wires = _put(state.wires, place, letter)
            yield f"{label} task {place}", after._replace(wires=wires)


_ARRIVALS = {
    "a": "backend server runs",
    "l": "backend server runs, its answer is lost:",
    "n": "backend server refuses",
    "c": "connection fails for",
}

_ANSWERS = {"a": "answer", "n": "refuse", "c": "unreachable"}


def _exchange(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    if state.owner != "up" or state.job != "open":
        return
    for place in range(bounds.tasks):
        if state.tasks[place] != "s":
            continue
        wire = state.wires[place]
        if wire in _ANSWERS:
            verdict = rules.judge(job_rules.EXCHANGES[_ANSWERS[wire]])
            label = f"owner hears of task {place}"
            yield label, _judged(state, place, verdict)
        else:
            verdict = rules.judge(job_rules.GIVEN_UP)
            label = f"owner gives up task {place}"
            yield label, _judged(state, place, verdict)


def _judged(state, place, verdict):
    letter = {"finished": "f", "not_run": "w", "unknown": "u"}[verdict]
    return state._replace(tasks=_put(state.tasks, place, letter))


def _end(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    if state.owner != "up":
        return
    if state.job == "ended":
        yield "owner forgets the job", state._replace(job="forgotten")
    if state.job != "open":
        return
    if "w" in state.tasks:
        tasks = state.tasks.replace("w", "n")
        yield "owner withdraws what waits", state._replace(tasks=tasks)
    # At the deadline, or when the lease lapsed, nothing is waited for.
    tasks = state.tasks.replace("w", "n").replace("s", "u")
    ended = state._replace(tasks=tasks, job="ended")
    yield "owner ends the job", _answer(ended, rules)


def _answer(ended, rules):
    holds = rules.may_complete(ended.until, ended.now)
    if set(ended.tasks) == {"f"} and holds:
        crossed = ended.crossed or ended.settled is not None
        return ended._replace(told="complete", crossed=crossed)
    if set(ended.tasks) == {"n"}:
        return ended._replace(told="refused")
    return ended._replace(told="failed", owner_said=ended.tasks)


def _journal(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    if state.owner == "up" and state.append is None:
        kinds = [kind for kind, _ in state.log]
        if kinds.count("renew") < bounds.renewals:
            append = ("renew", state.now)
            yield "owner sends a renewal", state._replace(append=append)
        if kinds.count("progress") < bounds.progress and state.job in (
            "open",
            "ended",
        ):
            detail = _progress(state, rules)
            append = ("progress", detail)
            yield "owner sends progress", state._replace(append=append)
    if state.stray is not None:
        late = state._replace(log=(*state.log, state.stray), stray=None)
        yield "an append that was given up lands", late
    if state.append is None:
        return
    log = (*state.log, state.append)
    yield "log takes the append", state._replace(log=log, append=None)
    yield "append is lost", state._replace(append=None)
    if bounds.stray and state.stray is None:
        given_up = state._replace(append=None, stray=state.append)
        yield "owner gives an append up", given_up


def _progress(state, rules):
    states = tuple(rules.letters[letter] for letter in state.tasks)
    return states, state.job == "ended"


def _read(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    read = state.owner_read
    if state.owner == "up" and read < len(state.log):
        kind, sent = state.log[read]
        after = state._replace(owner_read=read + 1)
        known = job_rules.ledger(state.log[: read + 1])
        if kind == "renew" and rules.confirms(known, read + 1):
            until = int(leases.lease_end(sent, job_rules.TERMS))
            after = after._replace(until=max(until, state.until))
        if kind == "death" and known.incarnations[job_rules.OWNER].dead:
            after = after._replace(until=-1)
        yield f"owner reads a {kind}", after
    if state.peer_read < len(state.log):
        kind, _ = state.log[state.peer_read]
        after = state._replace(peer_read=state.peer_read + 1)
        if kind == "renew":
            after = after._replace(heard=state.now)
        yield f"peer reads a {kind}", after


def _declare(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    known = job_rules.ledger(state.log[: state.peer_read])
    silent = leases.may_declare_dead(state.heard, job_rules.TERMS, state.now)
    deaths = sum(kind == "death" for kind, _ in state.log)
    if silent and state.death is None and deaths == 0:
        declared = state._replace(death=rules.seen(state.peer_read))
        yield "peer declares the owner dead", declared
    if state.death is not None:
        log = (*state.log, ("death", state.death))
        yield "log takes the death", state._replace(log=log, death=None)
        yield "death is lost", state._replace(death=None)
    answer = rules.settle(known, bounds.tasks, silent)
    if answer is not None and state.settled is None:
        yield (
            "peer settles the job",
            state._replace(settled=job_rules.said(answer)),
        )


_SOURCES = (
    _life,
    _submit,
    _start,
    _backend,
    _exchange,
    _end,
    _journal,
    _read,
    _declare,
)
