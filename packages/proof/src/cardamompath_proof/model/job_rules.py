"""The decisions that the model of a job makes, and its log.

They are the project's own functions, or one line around them; `Rules`
names them, so that a broken variant can replace one.
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
    "EXCHANGES",
    "GIVEN_UP",
    "JOB",
    "LETTERS",
    "OWNER",
    "RULES",
    "Rules",
    "TERMS",
    "claims_job",
    "ledger",
    "own_standing",
    "said",
    "settle",
]

OWNER = "alpha.a1.00000001"
JOB = f"{OWNER}.1"
TERMS = leases.LeaseTimes(duration=2.0, margin=1.0)

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


def claims_job(standing: issued_identifiers.IdentifierState) -> bool:
    """Decide whether an instance runs what it was submitted."""
    return standing == "open"


def confirms(ledger: journal_fold.Ledger, offset: int) -> bool:
    """Decide whether a renewal read at an offset extends the lease."""
    return not ledger.incarnations[OWNER].dead


def settle(
    ledger: journal_fold.Ledger, total: int, silent: bool
) -> types.Answer | None:
    """Answer for the job from what a peer read."""
    return journal_fold.settle(ledger, OWNER, JOB, total)


def own_standing(
    submitted: bool, forgotten: bool
) -> issued_identifiers.IdentifierState:
    """Return the standing of the identifier at its owner."""
    book = issued_identifiers.IssuedIdentifiers(OWNER, 10.0)
    issued_identifiers.issue(book, 0.0)
    if submitted:
        issued_identifiers.consume(book, JOB)
    return issued_identifiers.identifier_state(book, JOB, 0.0)


def other_standing() -> issued_identifiers.IdentifierState:
    """Return the standing at another incarnation, also a later one."""
    book = issued_identifiers.IssuedIdentifiers("alpha.a1.00000002", 10.0)
    issued_identifiers.issue(book, 0.0)
    return issued_identifiers.identifier_state(book, JOB, 0.0)


class Rules(NamedTuple):
    """The decisions of the protocol."""

    judge: Callable[[types.BackendAnswer], str] = outcomes.classify
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


@functools.lru_cache(maxsize=1 << 16)
def ledger(log: tuple) -> journal_fold.Ledger:
    """Fold the announcement and some records."""
    folded = journal_fold.Ledger()
    journal_fold.apply_record(
        folded, 0, journal_fold.make_announcement(OWNER, "r0")
    )
    for offset, (kind, detail) in enumerate(log, 1):
        journal_fold.apply_record(
            folded, offset, _record(kind, detail, offset)
        )
    return folded


def _record(kind, detail, offset):
    name = f"r{offset}"
    if kind == "renew":
        return journal_fold.make_renewal(OWNER, name)
    if kind == "death":
        return journal_fold.make_death(OWNER, detail, name)
    packed = journal_fold.pack_states(detail[0])
    progress = journal_fold.Progress(packed, detail[1])
    return journal_fold.make_progress(OWNER, {JOB: progress}, name)


def said(answer: types.Answer) -> tuple[str, tuple[str, ...]]:
    """Return the kind of an answer and the states of its tasks."""
    if isinstance(answer, types.Refused):
        return ("refused", ())
    return ("failed", tuple(one.state for one in answer.results))
