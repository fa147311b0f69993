"""Model of release notes: racing operators, readers, peers, retention.

docs/MODEL.md gives the specification.  Readers fold with the project's
own functions; the model adds the log, the network and the operators.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import minicheck

from cardamompath_core import config_fold
from cardamompath_core import release_notes
from cardamompath_core import snapshots
from cardamompath_core import types

__all__ = [
    "RULES",
    "Bounds",
    "NoteState",
    "Rules",
    "WITNESSES",
    "make_protocol",
]

READERS = (0, 1)
FIRST = ("note", "first", 0)
"""The note that is in the log from the beginning; revision 1."""


class Rules(NamedTuple):
    """The decisions of the protocol."""

    read: Callable[..., config_fold.FoldResult] = config_fold.read_records
    take_body: Callable[..., config_fold.FoldResult] = config_fold.apply_update
    make_body: Callable[..., config_fold.ConfigUpdate] = (
        config_fold.make_update
    )
    snapshot_offset: Callable[[int, int], int] = min
    """From the offset folded through and the head: what it claims."""
    reads_back: bool = True
    """Whether a lost answer is resolved before another append."""


RULES = Rules()


class Bounds(NamedTuple):
    """How far the search goes."""

    operators: int = 2
    snapshots: int = 1
    restarts: int = 1
    forgotten: int = 2
    """Records that may leave the log."""
    attempts: int = 2
    """Appends of one note."""
    bodies: int = 1
    """Answers of a peer that may be made."""


class NoteState(NamedTuple):
    """One state of the model."""

    log: tuple
    """Every record ever appended, by offset."""
    oldest: int
    readers: tuple
    """What each reader knows, by number; see `_known`."""
    high: tuple
    """Highest revision that each reader had in force in this life."""
    operators: tuple
    """What each operator waits for, or was told."""
    body: tuple | None
    """A peer's answer on its way: to whom, and its number."""
    restarts: int
    bodies: int


_FOLDS: list[Any] = []
_NUMBERS: dict[str, int] = {}


def _number(known: Any) -> int:
    """Return the number that stands for a value in the model's states."""
    text = repr(known)
    if text not in _NUMBERS:
        _NUMBERS[text] = len(_FOLDS)
        _FOLDS.append(known)
    return _NUMBERS[text]


def _known(number: int) -> Any:
    return _FOLDS[number]


def make_protocol(
    rules: Rules = RULES, bounds: Bounds | None = None, name: str = "notes"
) -> minicheck.Protocol:
    """Make the protocol that minicheck explores."""
    bounds = bounds or Bounds()
    empty = _number(config_fold.FoldState())
    initial = NoteState(
        (FIRST,),
        0,
        (empty,) * len(READERS),
        (0,) * len(READERS),
        (("idle",),) * bounds.operators,
        None,
        0,
        0,
    )

    def transitions(raw):
        state = NoteState(*raw)
        moves = []
        for source in _SOURCES:
            moves += source(state, rules, bounds)
        return [(label, tuple(after)) for label, after in moves]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=NoteState._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants=INVARIANTS,
    )


def _put(values, place, value):
    return (*values[:place], value, *values[place + 1 :])


@functools.lru_cache(maxsize=1 << 12)
def _decode(token: tuple) -> dict[str, Any]:
    kind, what, detail = token
    if kind == "snapshot":
        cfg = _known(what)._replace(offset=detail)
        return dict(snapshots.make_record(cfg))
    return {
        "kind": "note",
        "id": what,
        "base": detail,
        "operator": what,
        "added": {"teams": {what: {"share": 1.0}}},
    }


@functools.lru_cache(maxsize=1 << 14)
def truth(log: tuple) -> tuple[types.Configuration, frozenset[str]]:
    """Fold every record: the configuration and the notes accepted."""
    if not log:
        return types.Configuration(), frozenset()
    cfg, accepted = truth(log[:-1])
    offset = len(log) - 1
    if log[-1][0] != "note":
        return cfg._replace(offset=offset), accepted
    result = release_notes.apply_note(cfg, _decode(log[-1]), offset)
    if result.cfg.revision > cfg.revision:
        accepted |= {log[-1][1]}
    return result.cfg, accepted


def _operators(state, rules, bounds) -> Iterator[tuple[str, NoteState]]:
    for place, (phase, *detail) in enumerate(state.operators):
        label = f"operator {place}"
        step = functools.partial(_step, state, place)
        if phase == "idle":
            for base in {_revision(state, one) for one in READERS} - {0}:
                sent = ("sent", base, 1)
                yield f"{label} sends against {base}", step(sent)
        elif phase == "sent":
            base, attempt = detail
            log = (*state.log, ("note", f"by-{place}", base))
            taken = state._replace(log=log)
            offset = len(state.log)
            done = ("at", offset)
            yield f"log takes note of {label}", _step(taken, place, done)
            lost = ("lost", base, attempt)
            text = f"log takes note of {label}, its answer is lost"
            yield text, _step(taken, place, lost)
            yield f"append of {label} is lost", step(lost)
        elif phase == "lost":
            yield from _resolve(state, rules, bounds, place, detail)
        elif phase == "at":
            told = _outcome(state.log, detail[0])
            yield f"{label} is told {told}", step(("told", told))


def _step(state, place, phase):
    return state._replace(operators=_put(state.operators, place, phase))


def _resolve(state, rules, bounds, place, detail):
    """Find out what became of an append whose answer was lost."""
    base, attempt = detail
    label = f"operator {place}"
    names = [one[1] for one in state.log]
    found = f"by-{place}" in names and rules.reads_back
    if found:
        offset = names.index(f"by-{place}")
        after = _step(state, place, ("at", offset))
        yield f"{label} reads its note back", after
    elif attempt < bounds.attempts:
        again = _step(state, place, ("sent", base, attempt + 1))
        yield f"{label} appends again", again


def _outcome(log, offset):
    before, _ = truth(log[:offset])
    after, _ = truth(log[: offset + 1])
    return "accepted" if after.revision > before.revision else "refused"


def _revision(state, reader):
    return _known(state.readers[reader]).cfg.revision


def _log(state, rules, bounds) -> Iterator[tuple[str, NoteState]]:
    if state.oldest < min(bounds.forgotten, len(state.log)):
        after = state._replace(oldest=state.oldest + 1)
        yield f"log forgets offset {state.oldest}", after
    count = sum(one[0] == "snapshot" for one in state.log)
    for place in READERS if count < bounds.snapshots else ():
        known = _known(state.readers[place])
        if known.cfg.revision == 0 or config_fold.has_gap(known):
            continue
        head = len(state.log)
        through = rules.snapshot_offset(known.cfg.offset, head - 1)
        token = ("snapshot", _number(known.cfg), through)
        after = state._replace(log=(*state.log, token))
        yield f"reader {place} appends a snapshot", after


def _read(state, rules, bounds) -> Iterator[tuple[str, NoteState]]:
    head = len(state.log)
    for place in READERS:
        known = _known(state.readers[place])
        first = max(known.read_through + 1, state.oldest)
        for end in {first + 1, head} if first < head else ():
            after = _read_step(
                rules.read,
                state.readers[place],
                first,
                state.log[first:end],
                state.oldest,
                head,
            )
            label = f"reader {place} reads {end - first} from {first}"
            yield label, _know(state, place, after)
        if state.restarts < bounds.restarts and known.read_through >= 0:
            empty = _know(state, place, _number(config_fold.FoldState()))
            fresh = empty._replace(
                high=_put(state.high, place, 0), restarts=state.restarts + 1
            )
            yield f"reader {place} restarts", fresh


@functools.lru_cache(maxsize=1 << 16)
def _read_step(read, number, first, tokens, oldest, head):
    records = tuple(
        (offset, _decode(token)) for offset, token in enumerate(tokens, first)
    )
    return _number(read(_known(number), records, oldest, head).state)


@functools.lru_cache(maxsize=1 << 16)
def _take_step(take_body, number, body):
    return _number(take_body(_known(number), _known(body)).state)


def _know(state, place, number):
    known = _known(number)
    high = max(state.high[place], known.cfg.revision)
    return state._replace(
        readers=_put(state.readers, place, number),
        high=_put(state.high, place, high),
    )


def _peers(state, rules, bounds) -> Iterator[tuple[str, NoteState]]:
    for place in READERS if state.bodies < bounds.bodies else ():
        other = 1 - place
        known = _known(state.readers[other])
        after = _known(state.readers[place]).cfg.offset
        if known.cfg.revision:
            made = _number(rules.make_body(known, after))
            sent = state._replace(body=(place, made), bodies=state.bodies + 1)
            yield f"reader {other} hands over to reader {place}", sent
    if state.body is not None:
        place, made = state.body
        after = _take_step(rules.take_body, state.readers[place], made)
        label = f"reader {place} takes what it was handed"
        yield label, _know(state, place, after)


_SOURCES = (_operators, _log, _read, _peers)


def _readers_agree(state):
    return all(_agrees(one, state["log"]) for one in state["readers"])


@functools.lru_cache(maxsize=1 << 16)
def _agrees(number, log):
    cfg = _known(number).cfg
    true, _ = truth(log[: cfg.offset + 1])
    return cfg._replace(offset=0) == true._replace(offset=0)


def _never_back(state):
    return all(
        _known(number).cfg.revision >= high
        for number, high in zip(state["readers"], state["high"], strict=True)
    )


def _one_wins(state):
    log = state["log"]
    bases = [
        one[2]
        for offset, one in enumerate(log)
        if one[0] == "note" and _outcome(log, offset) == "accepted"
    ]
    return len(bases) == len(set(bases))


def _told_is_true(state):
    _, accepted = truth(state["log"])
    return all(
        phase[0] != "told"
        or (phase[1] == "accepted") == (f"by-{place}" in accepted)
        for place, phase in enumerate(state["operators"])
    )


INVARIANTS = {
    "a configuration is the fold of the log": _readers_agree,
    "no reader goes back": _never_back,
    "of racing notes one wins": _one_wins,
    "operators are told the truth": _told_is_true,
}
"""Properties of every reachable state."""


def _told(word):
    return lambda state: ("told", word) in state["operators"]


WITNESSES = {
    "accepted": _told("accepted"),
    "both accepted": lambda state: (
        set(state["operators"]) == {("told", "accepted")}
    ),
    "taken from a peer": lambda state: any(
        _known(one).cfg.offset > _known(one).read_through
        for one in state["readers"]
    ),
}
"""What has to be reachable, so that the properties are not empty."""
