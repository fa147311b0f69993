"""Model of one job: its owner, a peer, the backend servers and the log.

docs/MODEL.md gives the specification.  Each transition calls the
project's own decision functions, which `Rules` names; a broken variant
replaces one of them.  Messages that were sent stay in the network, so
that loss is a message never delivered and duplication one delivered
again.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

import minicheck

from cardamompath_core import leases
from cardamompath_core import outcomes
from cardamompath_core import ownership
from cardamompath_core import settlement
from cardamompath_core import types

__all__ = [
    "RULES",
    "Bounds",
    "JobState",
    "Rules",
    "WITNESSES",
    "make_protocol",
]

OWNER = "alpha.a1.00000001"
JOB = f"{OWNER}.1"
TERMS = leases.Terms(length=2.0, margin=1.0)

EXCHANGES = {
    "refuse": types.BackendAnswer("done", 503, not_run=True),
    "unreachable": types.BackendAnswer("connect", error="refused"),
    "answer": types.BackendAnswer("done", 200),
}
"""What reaches the owner of an exchange, by what happened."""

GIVEN_UP = types.BackendAnswer("answer", error="timed out")
"""The owner waited in vain: the request may run yet."""

LETTERS = {
    "f": "finished",
    "u": "unknown",
    "n": "not_started",
    "w": "unknown",
    "s": "unknown",
}
"""From the state of a task at its owner to what the journal says."""


def owner_may_start(until: float, now: float, dead: bool) -> bool:
    """Decide whether the owner starts a task; it never asks the log."""
    return leases.may_start(until, now)


def may_complete(until: float, now: float) -> bool:
    """Decide whether the owner may answer that the job is complete."""
    return leases.may_start(until, now)


def claims_job(standing: ownership.Standing) -> bool:
    """Decide whether an instance runs what it was submitted."""
    return standing == "open"


def confirms(ledger: settlement.Ledger, offset: int) -> bool:
    """Decide whether a renewal read at an offset extends the lease."""
    return not ledger.lives[OWNER].dead


def settle(
    ledger: settlement.Ledger, total: int, silent: bool
) -> types.Answer | None:
    """Answer for the job from what a peer read."""
    return settlement.settle(ledger, OWNER, JOB, total)


def own_standing(submitted: bool, forgotten: bool) -> ownership.Standing:
    """Return the standing of the identifier at its owner."""
    book = ownership.Book(OWNER, 10.0)
    ownership.issue(book, 0.0)
    if submitted:
        ownership.take(book, JOB)
    return ownership.standing(book, JOB, 0.0)


def other_standing() -> ownership.Standing:
    """Return the standing at another incarnation, also a later one."""
    book = ownership.Book("alpha.a1.00000002", 10.0)
    ownership.issue(book, 0.0)
    return ownership.standing(book, JOB, 0.0)


class Rules(NamedTuple):
    """The decisions of the protocol."""

    judge: Callable[[types.BackendAnswer], str] = outcomes.judge
    may_start: Callable[[float, float, bool], bool] = owner_may_start
    may_complete: Callable[[float, float], bool] = may_complete
    confirms: Callable[..., bool] = confirms
    settle: Callable[..., types.Answer | None] = settle
    own_standing: Callable[..., str] = own_standing
    other_standing: Callable[[], str] = other_standing
    letters: dict[str, str] = LETTERS
    seen: Callable[[int], int] = int
    """What a declaration quotes, from the records that were read."""


RULES = Rules()


class Bounds(NamedTuple):
    """How far the search goes."""

    tasks: int = 1
    ticks: int = 5
    renewals: int = 1
    progress: int = 1
    crash: bool = True
    pause: bool = True


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
    rules: Rules = RULES, bounds: Bounds | None = None, name: str = "job"
) -> minicheck.Protocol:
    """Make the protocol that minicheck explores."""
    bounds = bounds or Bounds()
    count = bounds.tasks
    initial = JobState(
        0, "up", 2, "new", "w" * count, "-" * count, (0,) * count, None,
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
        invariants=INVARIANTS,
    )


@functools.lru_cache(maxsize=1 << 16)
def ledger(log: tuple) -> settlement.Ledger:
    """Fold the announcement and some records."""
    folded = settlement.Ledger()
    settlement.apply(folded, 0, settlement.announce(OWNER, "r0"))
    for offset, (kind, detail) in enumerate(log, 1):
        settlement.apply(folded, offset, _record(kind, detail, offset))
    return folded


def _record(kind, detail, offset):
    name = f"r{offset}"
    if kind == "renew":
        return settlement.renew(OWNER, name)
    if kind == "death":
        return settlement.death(OWNER, detail, name)
    packed = settlement.pack_states(detail[0])
    progress = settlement.Progress(packed, detail[1])
    return settlement.progress(OWNER, {JOB: progress}, name)


def _is_dead(log):
    return ledger(log).lives[OWNER].dead


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
    if claims_job(other) and not state.taken:
        yield "another incarnation takes the job", state._replace(taken=True)
    if state.owner != "up":
        return
    forgotten = state.job == "forgotten"
    standing = rules.own_standing(state.job != "new", forgotten)
    if not claims_job(standing):
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
            verdict = rules.judge(EXCHANGES[_ANSWERS[wire]])
            label = f"owner hears of task {place}"
            yield label, _judged(state, place, verdict)
        else:
            verdict = rules.judge(GIVEN_UP)
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
    state = ended
    holds = rules.may_complete(state.until, state.now)
    if set(state.tasks) == {"f"} and holds:
        crossed = state.crossed or state.settled is not None
        return ended._replace(told="complete", crossed=crossed)
    if set(state.tasks) == {"n"}:
        return ended._replace(told="refused")
    return ended._replace(told="failed", owner_said=state.tasks)


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
    if state.append is None:
        return
    log = (*state.log, state.append)
    yield "log takes the append", state._replace(log=log, append=None)
    yield "append is lost", state._replace(append=None)


def _progress(state, rules):
    states = tuple(rules.letters[letter] for letter in state.tasks)
    return states, state.job == "ended"


def _read(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    read = state.owner_read
    if state.owner == "up" and read < len(state.log):
        kind, sent = state.log[read]
        after = state._replace(owner_read=read + 1)
        known = ledger(state.log[: read + 1])
        if kind == "renew" and rules.confirms(known, read + 1):
            until = int(leases.lasts_until(sent, TERMS))
            after = after._replace(until=max(until, state.until))
        if kind == "death" and known.lives[OWNER].dead:
            after = after._replace(until=-1)
        yield f"owner reads a {kind}", after
    if state.peer_read < len(state.log):
        kind, _ = state.log[state.peer_read]
        after = state._replace(peer_read=state.peer_read + 1)
        if kind == "renew":
            after = after._replace(heard=state.now)
        yield f"peer reads a {kind}", after


def _declare(state, rules, bounds) -> Iterator[tuple[str, JobState]]:
    known = ledger(state.log[: state.peer_read])
    silent = leases.is_silent(state.heard, TERMS, state.now)
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
        yield "peer settles the job", state._replace(settled=_said(answer))


def _said(answer):
    if isinstance(answer, types.Refused):
        return ("refused", ())
    return ("failed", tuple(one.state for one in answer.results))


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


def _starts_once(state):
    return max(state["starts"]) <= 1


def _complete_is_whole(state):
    return state["told"] != "complete" or set(state["starts"]) == {1}


def _not_run_is_true(state):
    settled = state["settled"] or ("", ())
    if "refused" in (state["told"], settled[0]) and max(state["starts"]):
        return False
    said = state["owner_said"] if state["told"] == "failed" else ""
    return not any(
        start and denied
        for start, denied in [
            *zip(state["starts"], (one == "n" for one in said), strict=False),
            *zip(
                state["starts"],
                (one == "not_started" for one in settled[1]),
                strict=False,
            ),
        ]
    )


def _finished_is_true(state):
    said = (state["settled"] or ("", ()))[1]
    return all(
        start or one != "finished"
        for start, one in zip(state["starts"], said, strict=False)
    )


def _dead_starts_nothing(state):
    return not state["late"]


def _settlement_is_final(state):
    return not state["crossed"]


def _settlement_is_one(state):
    log = state["log"]
    answers = {
        _said(answer)
        for end in range(len(log) + 1)
        if (answer := settlement.settle(ledger(log[:end]), OWNER, JOB, 1))
        is not None
    }
    return len(answers) <= 1


INVARIANTS = {
    "no task starts twice": _starts_once,
    "complete means that every task ran once": _complete_is_whole,
    "not run and not started are true": _not_run_is_true,
    "finished is true": _finished_is_true,
    "a dead owner starts nothing": _dead_starts_nothing,
    "no complete answer after a settlement": _settlement_is_final,
    "every reader settles alike": _settlement_is_one,
}
"""Properties of every reachable state."""

WITNESSES = {
    "complete": lambda state: state["told"] == "complete",
    "failed": lambda state: state["told"] == "failed",
    "refused": lambda state: state["told"] == "refused",
    "run after it was given up": lambda state: (
        "u" in state["tasks"] and "r" not in state["wires"]
    ),
    "settled": lambda state: state["settled"] is not None,
    "declared dead": lambda state: any(
        kind == "death" for kind, _ in state["log"]
    ),
}
"""What has to be reachable, so that the properties are not empty."""
