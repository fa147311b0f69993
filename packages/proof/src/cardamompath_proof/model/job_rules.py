"""Decision functions of the model of a job, and its log.

They are the project's own functions, or thin wrappers around them.  A
broken variant replaces one of the functions in `Rules`.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import NamedTuple

from cardamompath_core import issued_identifiers
from cardamompath_core import journal_fold
from cardamompath_core import leases
from cardamompath_core import outcomes
from cardamompath_core import types

__all__ = [
    "ANSWERS",
    "JOB",
    "JOURNAL_STATES",
    "LEASE_TIMES",
    "OWNER",
    "RULES",
    "Rules",
    "TIMED_OUT",
    "fold_ledger",
    "may_run_job",
    "own_identifier_state",
    "settle",
    "summarize_answer",
]

OWNER = "alpha.a1.00000001"
JOB = f"{OWNER}.1"
LEASE_TIMES = leases.LeaseTimes(duration=2.0, margin=1.0)

ANSWERS = {
    "refuse": types.BackendAnswer("done", 503, not_run=True),
    "unreachable": types.BackendAnswer("connect", error="refused"),
    "answer": types.BackendAnswer("done", 200),
}
"""What the owner gets for a request, by what happened to the request."""

TIMED_OUT = types.BackendAnswer("answer", error="timed out")
"""The owner got no answer in time; the request may still run."""

JOURNAL_STATES = {
    "f": "finished",
    "u": "unknown",
    "n": "not_started",
    "w": "unknown",
    "s": "unknown",
}
"""State of a task in the journal by its letter at the owner."""


def owner_may_start(lease_end: float, now: float, dead: bool) -> bool:
    """Return whether the owner may start a task; it never reads the log."""
    return leases.may_start(lease_end, now)


def may_complete(lease_end: float, now: float) -> bool:
    """Return whether the owner may answer that the job is complete."""
    return leases.may_start(lease_end, now)


def may_run_job(state: issued_identifiers.IdentifierState) -> bool:
    """Return whether an instance may run a job submitted to it."""
    return state == "open"


def extends_lease(ledger: journal_fold.Ledger, offset: int) -> bool:
    """Return whether a renewal read at an offset extends the lease."""
    return not ledger.incarnations[OWNER].dead


def settle(
    ledger: journal_fold.Ledger, total: int, lease_expired: bool
) -> types.Answer | None:
    """Return the answer for the job from the records that a peer read."""
    return journal_fold.settle(ledger, OWNER, JOB, total)


def own_identifier_state(
    submitted: bool, forgotten: bool
) -> issued_identifiers.IdentifierState:
    """Return the state of the job identifier at its owner."""
    identifiers = issued_identifiers.IssuedIdentifiers(OWNER, 10.0)
    issued_identifiers.issue(identifiers, 0.0)
    if submitted:
        issued_identifiers.consume(identifiers, JOB)
    return issued_identifiers.identifier_state(identifiers, JOB, 0.0)


def foreign_identifier_state() -> issued_identifiers.IdentifierState:
    """Return its state at another incarnation, even a later one."""
    identifiers = issued_identifiers.IssuedIdentifiers(
        "alpha.a1.00000002", 10.0
    )
    issued_identifiers.issue(identifiers, 0.0)
    return issued_identifiers.identifier_state(identifiers, JOB, 0.0)


class Rules(NamedTuple):
    """Decision functions of the protocol."""

    classify: Callable[[types.BackendAnswer], str] = outcomes.classify
    may_start: Callable[[float, float, bool], bool] = owner_may_start
    may_complete: Callable[[float, float], bool] = may_complete
    extends_lease: Callable[..., bool] = extends_lease
    settle: Callable[..., types.Answer | None] = settle
    own_identifier_state: Callable[..., str] = own_identifier_state
    foreign_identifier_state: Callable[[], str] = foreign_identifier_state
    journal_states: dict[str, str] = JOURNAL_STATES
    records_seen: Callable[[int], int] = int
    """Number of records that a death record states, from the number read."""


RULES = Rules()


@functools.lru_cache(maxsize=1 << 16)
def fold_ledger(log: tuple) -> journal_fold.Ledger:
    """Fold the owner's announcement and the records of the log."""
    ledger = journal_fold.Ledger()
    journal_fold.apply_record(
        ledger, 0, journal_fold.make_announcement(OWNER, "r0")
    )
    for offset, (kind, detail) in enumerate(log, 1):
        journal_fold.apply_record(
            ledger, offset, _make_record(kind, detail, offset)
        )
    return ledger


def _make_record(kind, detail, offset):
    name = f"r{offset}"
    if kind == "renew":
        return journal_fold.make_renewal(OWNER, name)
    if kind == "death":
        return journal_fold.make_death(OWNER, detail, name)
    packed = journal_fold.pack_states(detail[0])
    progress = journal_fold.Progress(packed, detail[1])
    return journal_fold.make_progress(OWNER, {JOB: progress}, name)


def summarize_answer(answer: types.Answer) -> tuple[str, tuple[str, ...]]:
    """Return the outcome of an answer and the states of its tasks."""
    if isinstance(answer, types.Refused):
        return ("refused", ())
    return ("failed", tuple(result.state for result in answer.results))
