"""Fold over the journal: live and dead incarnations, progress of jobs.

Every reader of the same records computes the same ledger.  Any instance
therefore gives the same answer for a job whose owner died, and the answer
need not be stored.

A death record takes effect only if no announcement or renewal of the
incarnation follows the offset that the declaring instance had read.
Records of a dead incarnation have no effect.
"""

from __future__ import annotations

import collections
import itertools
import re
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from cardamompath_core import types

__all__ = [
    "Claim",
    "IncarnationState",
    "Ledger",
    "Progress",
    "apply_record",
    "live_owners",
    "make_announcement",
    "make_claim",
    "make_death",
    "make_progress",
    "make_renewal",
    "pack_states",
    "prune",
    "settle",
    "unpack_states",
]

_LETTERS = {
    "finished": "f",
    "failed": "x",
    "not_started": "n",
    "unknown": "u",
}
_STATES = {letter: state for state, letter in _LETTERS.items()}
_RUN = re.compile(r"([fxnu])(\d{1,4})")

MAX_CLAIMS = 100_000
"""Maximum number of claims that the ledger keeps."""

MAX_DEAD = 4096
"""Maximum number of dead incarnations that the ledger keeps."""


class Progress(NamedTuple):
    """Journalled progress of a job."""

    states: str
    """States of the tasks in the form of `pack_states`."""
    ended: bool = False


class Claim(NamedTuple):
    """The first claim of a name that a caller chose for a job."""

    job: str
    """Job identifier to which the name refers."""
    digest: str
    """Hash of the submission."""


class IncarnationState:
    """Journalled state of one incarnation."""

    __slots__ = ("dead", "jobs", "renewed")

    def __init__(self, renewed: int):
        self.renewed = renewed
        """Log offset of the last announcement or renewal."""
        self.dead = False
        self.jobs: dict[str, Progress] = {}


class Ledger:
    """State of the fold.

    Parameters
    ----------
    limit : int
        Maximum size of the kept progress in bytes; the oldest is dropped
        first.
    """

    def __init__(self, limit: int = 32 << 20):
        self.limit = limit
        self.offset = -1
        self.incarnations: dict[str, IncarnationState] = {}
        self.claims: dict[str, Claim] = {}
        """First claim of each name."""
        self.order: collections.deque = collections.deque()
        """Offset, owner, job and progress, in log order."""
        self.size = 0
        """Size of the kept progress in bytes."""


def make_announcement(owner: str, record: str) -> dict[str, Any]:
    """Make the record that announces a new incarnation."""
    return {"kind": "announce", "id": record, "owner": owner}


def make_renewal(owner: str, record: str) -> dict[str, Any]:
    """Make the record that renews the lease of an incarnation."""
    return {"kind": "renew", "id": record, "owner": owner}


def make_death(owner: str, seen: int, record: str) -> dict[str, Any]:
    """Make the record that declares an incarnation dead.

    Parameters
    ----------
    seen : int
        Last log offset that the declaring instance had read.
    """
    return {"kind": "death", "id": record, "owner": owner, "seen": seen}


def make_progress(
    owner: str, jobs: dict[str, Progress], record: str
) -> dict[str, Any]:
    """Make the record of the progress of an incarnation's jobs."""
    packed = {
        job: [progress.states, progress.ended]
        for job, progress in jobs.items()
    }
    return {"kind": "progress", "id": record, "owner": owner, "jobs": packed}


def make_claim(name: str, claim: Claim, record: str) -> dict[str, Any]:
    """Make the record that claims a name that a caller chose for a job."""
    return {"kind": "claim", "id": record, "name": name} | claim._asdict()


def pack_states(states: Iterable[types.TaskState]) -> str:
    """Return the states of a job's tasks, run-length encoded."""
    return "".join(
        f"{_LETTERS[state]}{len(list(run))}"
        for state, run in itertools.groupby(states)
    )


def unpack_states(text: str) -> tuple[types.TaskState, ...]:
    """Decode run-length encoded states, skipping malformed parts."""
    states: list[types.TaskState] = []
    for letter, count in _RUN.findall(text):
        states += [_STATES[letter]] * min(int(count), types.MAX_TASKS)
    return tuple(states[: types.MAX_TASKS])


def apply_record(ledger: Ledger, offset: int, record: dict[str, Any]) -> bool:
    """Fold in one record; return whether it was well-formed and new."""
    if offset <= ledger.offset:
        return False
    ledger.offset = offset
    try:
        _APPLY[record["kind"]](ledger, offset, record)
    except (AttributeError, KeyError, TypeError, ValueError):
        return False
    return True


def _apply_renewal(ledger, offset, record):
    owner = _text(record["owner"])
    state = ledger.incarnations.setdefault(owner, IncarnationState(offset))
    if not state.dead:
        state.renewed = offset


def _apply_death(ledger, offset, record):
    state = ledger.incarnations.get(_text(record["owner"]))
    if state is None or state.renewed > int(record["seen"]):
        return
    state.dead = True
    dead = [
        owner for owner, other in ledger.incarnations.items() if other.dead
    ]
    for owner in dead[:-MAX_DEAD]:
        dropped = ledger.incarnations.pop(owner)
        ledger.size -= sum(_size(*item) for item in dropped.jobs.items())


def _apply_progress(ledger, offset, record):
    owner = _text(record["owner"])
    state = ledger.incarnations.get(owner)
    if state is None or state.dead:
        return
    for job, (states, ended) in record["jobs"].items():
        previous = state.jobs.pop(job, None)
        if previous is not None:
            ledger.size -= _size(job, previous)
        state.jobs[job] = Progress(_text(states), bool(ended))
        ledger.size += _size(job, state.jobs[job])
        ledger.order.append((offset, owner, job, state.jobs[job]))
    while ledger.size > ledger.limit:
        _drop_oldest(ledger)


def _apply_claim(ledger, offset, record):
    claim = Claim(_text(record["job"]), _text(record["digest"]))
    ledger.claims.setdefault(_text(record["name"]), claim)
    if len(ledger.claims) > MAX_CLAIMS:
        del ledger.claims[next(iter(ledger.claims))]


_APPLY = {
    "announce": _apply_renewal,
    "claim": _apply_claim,
    "death": _apply_death,
    "progress": _apply_progress,
    "renew": _apply_renewal,
}


def _text(value):
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value


def _size(job, progress):
    return len(job) + len(progress.states)


def _drop_oldest(ledger):
    _, owner, job, progress = ledger.order.popleft()
    state = ledger.incarnations.get(owner)
    if state is not None and state.jobs.get(job) is progress:
        del state.jobs[job]
        ledger.size -= _size(job, progress)


def prune(ledger: Ledger, before: int) -> None:
    """Drop the progress of jobs that was journalled before an offset."""
    while ledger.order and ledger.order[0][0] < before:
        _drop_oldest(ledger)


def live_owners(ledger: Ledger) -> tuple[str, ...]:
    """Return the incarnations that are not dead."""
    return tuple(
        owner for owner, state in ledger.incarnations.items() if not state.dead
    )


def settle(
    ledger: Ledger, owner: str, job: str, total: int
) -> types.Answer | None:
    """Return the answer to a job of a dead incarnation.

    Parameters
    ----------
    ledger : Ledger
        State of the fold.
    owner, job : str
        The incarnation, and the identifier of a job that it owned.
    total : int
        Number of tasks; 0 if unknown.

    Returns
    -------
    Answer or None
        A refusal if the owner journalled that the job ended before any of
        its tasks started, else a failure with the known states.  None
        while the incarnation is not known to be dead.
    """
    state = ledger.incarnations.get(owner)
    if state is None or not state.dead:
        return None
    progress = state.jobs.get(job)
    if progress is None:
        states: tuple[types.TaskState, ...] = ("unknown",) * total
    else:
        states = unpack_states(progress.states)
    if progress and progress.ended and set(states) <= {"not_started"}:
        reason = "the owner died after ending the job; no task had started"
        return types.Refused("owner_died", reason)
    counts = ", ".join(
        f"{states.count(value)} {value}" for value in sorted(set(states))
    )
    reason = f"the owner died: {counts or 'no task was journalled'}"
    results = tuple(types.TaskResult(value) for value in states)
    return types.Failed("owner_died", reason, results)
