"""The fold over the journal: who lives, who died, what is known of jobs.

Every reader of the same records comes to the same ledger, so that a job
whose owner died is settled alike whoever is asked, and nobody needs to
write the settlement down.

A death is valid only if no announcement or renewal of the incarnation
came after the offset that the declarer had read.  Records of a dead
incarnation change nothing any more.
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
    "Ledger",
    "Life",
    "Progress",
    "announce",
    "apply",
    "claim",
    "death",
    "live_owners",
    "pack_states",
    "progress",
    "prune",
    "renew",
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

MAX_NAMES = 100_000
"""Most claimed names that the ledger keeps."""

MAX_DEAD = 4096
"""Most dead incarnations that the ledger keeps."""


class Progress(NamedTuple):
    """What the journal says of one job."""

    states: str
    """Packed; see `pack_states`."""
    ended: bool = False


class Claim(NamedTuple):
    """The first claim of a caller's own identifier."""

    job: str
    digest: str


class Life:
    """What the journal says of one incarnation."""

    __slots__ = ("dead", "jobs", "renewed")

    def __init__(self, renewed: int):
        self.renewed = renewed
        """Offset of the last announcement or renewal."""
        self.dead = False
        self.jobs: dict[str, Progress] = {}


class Ledger:
    """The state of the fold.

    Parameters
    ----------
    limit : int
        Most bytes of progress that are kept; the oldest go first.
    """

    def __init__(self, limit: int = 32 << 20):
        self.limit = limit
        self.offset = -1
        self.lives: dict[str, Life] = {}
        self.names: dict[str, Claim] = {}
        self.order: collections.deque = collections.deque()
        self.size = 0


def announce(owner: str, record: str) -> dict[str, Any]:
    """Make the record with which an incarnation makes itself known."""
    return {"kind": "announce", "id": record, "owner": owner}


def renew(owner: str, record: str) -> dict[str, Any]:
    """Make the record that renews the lease of an incarnation."""
    return {"kind": "renew", "id": record, "owner": owner}


def death(owner: str, seen: int, record: str) -> dict[str, Any]:
    """Make the record that declares an incarnation dead.

    Parameters
    ----------
    seen : int
        Offset up to which the declarer had read.
    """
    return {"kind": "death", "id": record, "owner": owner, "seen": seen}


def progress(
    owner: str, jobs: dict[str, Progress], record: str
) -> dict[str, Any]:
    """Make the record of what is known of jobs of one incarnation."""
    packed = {job: [one.states, one.ended] for job, one in jobs.items()}
    return {"kind": "progress", "id": record, "owner": owner, "jobs": packed}


def claim(name: str, won: Claim, record: str) -> dict[str, Any]:
    """Make the record that claims a caller's own identifier."""
    return {"kind": "claim", "id": record, "name": name} | won._asdict()


def pack_states(states: Iterable[types.TaskState]) -> str:
    """Return the states of a job's tasks in run-length form."""
    return "".join(
        f"{_LETTERS[state]}{len(list(run))}"
        for state, run in itertools.groupby(states)
    )


def unpack_states(text: str) -> tuple[types.TaskState, ...]:
    """Read the run-length form; what cannot be read is left out."""
    states: list[types.TaskState] = []
    for letter, count in _RUN.findall(text):
        states += [_STATES[letter]] * min(int(count), types.MAX_TASKS)
    return tuple(states[: types.MAX_TASKS])


def apply(ledger: Ledger, offset: int, record: dict[str, Any]) -> bool:
    """Fold one record and return whether it was well-formed and new."""
    if offset <= ledger.offset:
        return False
    ledger.offset = offset
    try:
        _FOLDS[record["kind"]](ledger, offset, record)
    except (AttributeError, KeyError, TypeError, ValueError):
        return False
    return True


def _renewed(ledger, offset, record):
    owner = _text(record["owner"])
    life = ledger.lives.setdefault(owner, Life(offset))
    if not life.dead:
        life.renewed = offset


def _died(ledger, offset, record):
    life = ledger.lives.get(_text(record["owner"]))
    if life is None or life.renewed > int(record["seen"]):
        return
    life.dead = True
    dead = [name for name, one in ledger.lives.items() if one.dead]
    for name in dead[:-MAX_DEAD]:
        gone = ledger.lives.pop(name)
        ledger.size -= sum(_size(*item) for item in gone.jobs.items())


def _progressed(ledger, offset, record):
    owner = _text(record["owner"])
    life = ledger.lives.get(owner)
    if life is None or life.dead:
        return
    for job, (states, ended) in record["jobs"].items():
        known = life.jobs.pop(job, None)
        if known is not None:
            ledger.size -= _size(job, known)
        life.jobs[job] = Progress(_text(states), bool(ended))
        ledger.size += _size(job, life.jobs[job])
        ledger.order.append((offset, owner, job, life.jobs[job]))
    while ledger.size > ledger.limit:
        _drop_oldest(ledger)


def _claimed(ledger, offset, record):
    won = Claim(_text(record["job"]), _text(record["digest"]))
    ledger.names.setdefault(_text(record["name"]), won)
    if len(ledger.names) > MAX_NAMES:
        del ledger.names[next(iter(ledger.names))]


_FOLDS = {
    "announce": _renewed,
    "claim": _claimed,
    "death": _died,
    "progress": _progressed,
    "renew": _renewed,
}


def _text(value):
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value


def _size(job, one):
    return len(job) + len(one.states)


def _drop_oldest(ledger):
    _, owner, job, one = ledger.order.popleft()
    life = ledger.lives.get(owner)
    if life is not None and life.jobs.get(job) is one:
        del life.jobs[job]
        ledger.size -= _size(job, one)


def prune(ledger: Ledger, before: int) -> None:
    """Forget the progress of jobs that was journalled before an offset."""
    while ledger.order and ledger.order[0][0] < before:
        _drop_oldest(ledger)


def live_owners(ledger: Ledger) -> tuple[str, ...]:
    """Return the incarnations that are not dead."""
    return tuple(name for name, one in ledger.lives.items() if not one.dead)


def settle(
    ledger: Ledger, owner: str, job: str, total: int
) -> types.Answer | None:
    """Return the answer to a job of a dead incarnation.

    Parameters
    ----------
    ledger : Ledger
        The fold so far.
    owner, job : str
        The incarnation, and an identifier that it issued.
    total : int
        Number of tasks, 0 when it is not known.

    Returns
    -------
    Answer or None
        A refusal if the owner journalled that the job ended and none of
        its tasks started, else a failure with what is known; None while
        the incarnation is not known to be dead.
    """
    life = ledger.lives.get(owner)
    if life is None or not life.dead:
        return None
    known = life.jobs.get(job)
    if known is None:
        states: tuple[types.TaskState, ...] = ("unknown",) * total
    else:
        states = unpack_states(known.states)
    if known and known.ended and set(states) <= {"not_started"}:
        reason = "the owner died; it had ended the job before any start"
        return types.Refused("owner_died", reason)
    counts = ", ".join(
        f"{states.count(one)} {one}" for one in sorted(set(states))
    )
    reason = f"the owner died: {counts or 'no task was journalled'}"
    results = tuple(types.TaskResult(one) for one in states)
    return types.Failed("owner_died", reason, results)
