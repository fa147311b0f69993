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
FIRST_NOTE = ("note", "first", 0)
"""The only note in the initial log; it makes revision 1."""


class Rules(NamedTuple):
    """Decision functions of the protocol."""

    read_records: Callable[..., config_fold.FoldResult] = (
        config_fold.read_records
    )
    apply_update: Callable[..., config_fold.FoldResult] = (
        config_fold.apply_update
    )
    make_update: Callable[..., config_fold.ConfigUpdate] = (
        config_fold.make_update
    )
    snapshot_offset: Callable[[int, int], int] = min
    """Offset that a snapshot states, from the last offset folded and the last
    offset of the log."""
    reads_back: bool = True
    """Whether an operator reads the log before it repeats an append without
    an answer."""


RULES = Rules()


class Bounds(NamedTuple):
    """Bounds of the search, as numbers of events."""

    operators: int = 2
    snapshots: int = 1
    restarts: int = 1
    expired: int = 2
    """Records that may be removed from the log by retention."""
    attempts: int = 2
    """Appends of the same note."""
    updates: int = 1
    """Configuration updates that readers may send to each other."""


class NoteState(NamedTuple):
    """One state of the model."""

    log: tuple
    """All records ever appended, by offset."""
    oldest: int
    """Lowest offset that the log still has."""
    readers: tuple
    """State of each reader's fold, as a number; see `_value_of`."""
    max_revisions: tuple
    """Highest revision of each reader since its last restart."""
    operators: tuple
    """Phase of each operator: ``idle``, ``sent`` with base and attempt,
    ``lost`` with the same, ``appended`` with an offset, or ``told`` with an
    outcome."""
    update: tuple | None
    """Configuration update in flight: its receiver and its number."""
    restarts: int
    update_count: int


_VALUES: list[Any] = []
_NUMBERS: dict[str, int] = {}


def _number_of(value: Any) -> int:
    """Return the number that represents a value in states of the model."""
    text = repr(value)
    if text not in _NUMBERS:
        _NUMBERS[text] = len(_VALUES)
        _VALUES.append(value)
    return _NUMBERS[text]


def _value_of(number: int) -> Any:
    return _VALUES[number]


def make_protocol(
    rules: Rules = RULES, bounds: Bounds | None = None, name: str = "notes"
) -> minicheck.Protocol:
    """Make the protocol that minicheck explores."""
    bounds = bounds or Bounds()
    empty = _number_of(config_fold.FoldState())
    initial = NoteState(
        (FIRST_NOTE,),
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
        successors = []
        for generate in _STEP_GENERATORS:
            successors += generate(state, rules, bounds)
        return [(label, tuple(next_state)) for label, next_state in successors]

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=NoteState._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants=INVARIANTS,
    )


def _replace_item(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


@functools.lru_cache(maxsize=1 << 12)
def _make_record(entry: tuple) -> dict[str, Any]:
    kind, content, detail = entry
    if kind == "snapshot":
        cfg = _value_of(content)._replace(offset=detail)
        return dict(snapshots.make_record(cfg))
    return {
        "kind": "note",
        "id": content,
        "base": detail,
        "operator": content,
        "added": {"teams": {content: {"share": 1.0}}},
    }


@functools.lru_cache(maxsize=1 << 14)
def fold_log(log: tuple) -> tuple[types.Configuration, frozenset[str]]:
    """Return the configuration and the accepted notes of a whole log."""
    if not log:
        return types.Configuration(), frozenset()
    cfg, accepted = fold_log(log[:-1])
    offset = len(log) - 1
    if log[-1][0] != "note":
        return cfg._replace(offset=offset), accepted
    result = release_notes.apply_note(cfg, _make_record(log[-1]), offset)
    if result.cfg.revision > cfg.revision:
        accepted |= {log[-1][1]}
    return result.cfg, accepted


def _operator_steps(state, rules, bounds) -> Iterator[tuple[str, NoteState]]:
    for index, (phase, *detail) in enumerate(state.operators):
        label = f"operator {index}"
        set_phase = functools.partial(_set_phase, state, index)
        if phase == "idle":
            for base in {_revision(state, reader) for reader in READERS} - {0}:
                sent = ("sent", base, 1)
                yield f"{label} sends against {base}", set_phase(sent)
        elif phase == "sent":
            base, attempt = detail
            log = (*state.log, ("note", f"by-{index}", base))
            appended = state._replace(log=log)
            offset = len(state.log)
            done = ("appended", offset)
            yield (
                f"log takes note of {label}",
                _set_phase(appended, index, done),
            )
            lost = ("lost", base, attempt)
            text = f"log takes note of {label}, its answer is lost"
            yield text, _set_phase(appended, index, lost)
            yield f"append of {label} is lost", set_phase(lost)
        elif phase == "lost":
            yield from _resolve_steps(state, rules, bounds, index, detail)
        elif phase == "appended":
            outcome = _outcome(state.log, detail[0])
            yield f"{label} is told {outcome}", set_phase(("told", outcome))


def _set_phase(state, index, phase):
    return state._replace(
        operators=_replace_item(state.operators, index, phase)
    )


def _resolve_steps(state, rules, bounds, index, detail):
    """Yield the steps of an operator whose append got no answer."""
    base, attempt = detail
    label = f"operator {index}"
    names = [entry[1] for entry in state.log]
    found = f"by-{index}" in names and rules.reads_back
    if found:
        offset = names.index(f"by-{index}")
        next_state = _set_phase(state, index, ("appended", offset))
        yield f"{label} reads its note back", next_state
    elif attempt < bounds.attempts:
        again = _set_phase(state, index, ("sent", base, attempt + 1))
        yield f"{label} appends again", again


def _outcome(log, offset):
    before, _ = fold_log(log[:offset])
    after, _ = fold_log(log[: offset + 1])
    return "accepted" if after.revision > before.revision else "refused"


def _revision(state, reader):
    return _value_of(state.readers[reader]).cfg.revision


def _log_steps(state, rules, bounds) -> Iterator[tuple[str, NoteState]]:
    if state.oldest < min(bounds.expired, len(state.log)):
        next_state = state._replace(oldest=state.oldest + 1)
        yield f"log forgets offset {state.oldest}", next_state
    count = sum(entry[0] == "snapshot" for entry in state.log)
    for index in READERS if count < bounds.snapshots else ():
        fold = _value_of(state.readers[index])
        if fold.cfg.revision == 0 or config_fold.has_gap(fold):
            continue
        head = len(state.log)
        stated_offset = rules.snapshot_offset(fold.cfg.offset, head - 1)
        snapshot = ("snapshot", _number_of(fold.cfg), stated_offset)
        next_state = state._replace(log=(*state.log, snapshot))
        yield f"reader {index} appends a snapshot", next_state


def _reader_steps(state, rules, bounds) -> Iterator[tuple[str, NoteState]]:
    head = len(state.log)
    for index in READERS:
        fold = _value_of(state.readers[index])
        first = max(fold.read_through + 1, state.oldest)
        for end in {first + 1, head} if first < head else ():
            next_fold = _fold_records(
                rules.read_records,
                state.readers[index],
                first,
                state.log[first:end],
                state.oldest,
                head,
            )
            label = f"reader {index} reads {end - first} from {first}"
            yield label, _set_reader(state, index, next_fold)
        if state.restarts < bounds.restarts and fold.read_through >= 0:
            empty = _set_reader(
                state, index, _number_of(config_fold.FoldState())
            )
            restarted = empty._replace(
                max_revisions=_replace_item(state.max_revisions, index, 0),
                restarts=state.restarts + 1,
            )
            yield f"reader {index} restarts", restarted


@functools.lru_cache(maxsize=1 << 16)
def _fold_records(read_records, number, first, entries, oldest, head):
    records = tuple(
        (offset, _make_record(entry))
        for offset, entry in enumerate(entries, first)
    )
    return _number_of(
        read_records(_value_of(number), records, oldest, head).state
    )


@functools.lru_cache(maxsize=1 << 16)
def _fold_update(apply_update, number, update):
    return _number_of(apply_update(_value_of(number), _value_of(update)).state)


def _set_reader(state, index, number):
    fold = _value_of(number)
    max_revision = max(state.max_revisions[index], fold.cfg.revision)
    return state._replace(
        readers=_replace_item(state.readers, index, number),
        max_revisions=_replace_item(state.max_revisions, index, max_revision),
    )


def _peer_steps(state, rules, bounds) -> Iterator[tuple[str, NoteState]]:
    for index in READERS if state.update_count < bounds.updates else ():
        other = 1 - index
        fold = _value_of(state.readers[other])
        after_offset = _value_of(state.readers[index]).cfg.offset
        if fold.cfg.revision:
            update = _number_of(rules.make_update(fold, after_offset))
            sent = state._replace(
                update=(index, update), update_count=state.update_count + 1
            )
            yield f"reader {other} hands over to reader {index}", sent
    if state.update is not None:
        index, update = state.update
        next_fold = _fold_update(
            rules.apply_update, state.readers[index], update
        )
        label = f"reader {index} takes what it was handed"
        yield label, _set_reader(state, index, next_fold)


_STEP_GENERATORS = (_operator_steps, _log_steps, _reader_steps, _peer_steps)


def _readers_agree(state):
    return all(_agrees(number, state["log"]) for number in state["readers"])


@functools.lru_cache(maxsize=1 << 16)
def _agrees(number, log):
    cfg = _value_of(number).cfg
    expected, _ = fold_log(log[: cfg.offset + 1])
    return cfg._replace(offset=0) == expected._replace(offset=0)


def _never_reverts(state):
    return all(
        _value_of(number).cfg.revision >= max_revision
        for number, max_revision in zip(
            state["readers"], state["max_revisions"], strict=True
        )
    )


def _one_note_per_base(state):
    log = state["log"]
    bases = [
        entry[2]
        for offset, entry in enumerate(log)
        if entry[0] == "note" and _outcome(log, offset) == "accepted"
    ]
    return len(bases) == len(set(bases))


def _operators_told_correctly(state):
    _, accepted = fold_log(state["log"])
    return all(
        phase[0] != "told"
        or (phase[1] == "accepted") == (f"by-{index}" in accepted)
        for index, phase in enumerate(state["operators"])
    )


INVARIANTS = {
    "a configuration is the fold of the log": _readers_agree,
    "no reader goes back": _never_reverts,
    "of racing notes one wins": _one_note_per_base,
    "operators are told the truth": _operators_told_correctly,
}
"""Properties that hold in every reachable state."""


def _is_told(outcome):
    return lambda state: ("told", outcome) in state["operators"]


WITNESSES = {
    "accepted": _is_told("accepted"),
    "both accepted": lambda state: (
        set(state["operators"]) == {("told", "accepted")}
    ),
    "taken from a peer": lambda state: any(
        _value_of(number).cfg.offset > _value_of(number).read_through
        for number in state["readers"]
    ),
}
"""States that have to be reachable, so that no property holds vacuously."""
