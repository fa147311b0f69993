"""Folds the configuration's stream, gaps and snapshots included.

`FoldState` is what a reader knows.  All its configurations are folds of
prefixes of one log, so that the one with the larger offset is newer.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from returns import pipeline

from cardamompath_core import note_fields
from cardamompath_core import release_notes
from cardamompath_core import snapshots
from cardamompath_core import types

__all__ = [
    "Body",
    "FoldState",
    "Folded",
    "NoteOutcome",
    "adopt",
    "has_gap",
    "make_body",
    "read_records",
    "take_body",
]

MAX_PENDING = 10_000
"""Records kept while the configuration before them is not known."""

MAX_RECENT = 32
"""Notes kept for peers that lack only these."""

Record = tuple[int, Any]


class NoteOutcome(NamedTuple):
    """What became of one note."""

    offset: int
    id: str
    operator: str
    revision: int
    """Revision that it made, 0 for a note that was refused."""
    errors: tuple[str, ...]


class FoldState(NamedTuple):
    """What a reader of the stream knows."""

    cfg: types.Configuration = types.Configuration()
    read_through: int = -1
    """Newest offset that was read from the log."""
    lost_through: int = -1
    """Newest offset that left the log before it was read."""
    pending: tuple[Record, ...] = ()
    """Records read that follow a gap."""
    recent: tuple[Record, ...] = ()
    """The newest notes that were folded."""
    recent_after: int = -1
    """Offset after which `recent` lacks no note."""


class Body(NamedTuple):
    """What a peer hands over: notes behind an offset, or all."""

    after: int
    through: int
    records: tuple[Record, ...] = ()
    """Every note after `after` and up to `through`."""
    snapshot: Any = None
    """Instead of the notes, the configuration through `through`."""


class Folded(NamedTuple):
    """The state after some records, and what they were found to be."""

    state: FoldState
    outcomes: tuple[NoteOutcome, ...] = ()
    snapshot: int | None = None
    """Offset through which the newest usable snapshot read folds."""
    faults: tuple[str, ...] = ()
    """Broken snapshots, and ones that disagree with the fold."""


def has_gap(state: FoldState) -> bool:
    """Tell whether records were lost that the configuration lacks."""
    return state.cfg.offset < state.lost_through


def read_records(
    state: FoldState, records: Sequence[Record], oldest: int, head: int
) -> Folded:
    """Fold records as read from the log.

    Parameters
    ----------
    state : FoldState
        What is known.
    records : sequence of (int, object)
        Offsets and records in log order.
    oldest, head : int
        Oldest retained offset, and the one of the next append.
    """
    if oldest - 1 > state.read_through:
        state = state._replace(lost_through=oldest - 1)
    through = records[-1][0] if records else head - 1
    state = state._replace(read_through=max(state.read_through, through))
    found = _find_snapshots(state, records)
    went_back = ()
    if head <= state.cfg.offset and head <= state.read_through:
        went_back = (
            f"the log ends before offset {head}, but it was folded through "
            f"offset {state.cfg.offset}",
        )
    if found.newest is not None and has_gap(state):
        state = _take(state, found.newest)
    kept = [*state.pending, *_wanted(records)]
    folded = _fold(state, kept)
    newest = found.newest.offset if found.newest else None
    faults = (
        *went_back,
        *found.faults,
        *_compare(folded.state.cfg, found.all),
    )
    return folded._replace(snapshot=newest, faults=faults)


def adopt(state: FoldState, cfg: types.Configuration) -> Folded:
    """Take over a configuration of a peer when it is newer."""
    if cfg.offset < state.cfg.offset:
        return Folded(state)
    faults = _compare(state.cfg, [cfg])
    if cfg.offset == state.cfg.offset:
        return Folded(state, faults=faults)
    if cfg.revision < state.cfg.revision:
        fault = (
            f"offset {cfg.offset} has revision {cfg.revision}, but offset "
            f"{state.cfg.offset} has revision {state.cfg.revision}"
        )
        return Folded(state, faults=(fault,))
    folded = _fold(_take(state, cfg), state.pending)
    return folded._replace(faults=faults)


def make_body(state: FoldState, after: int) -> Body:
    """Make what a peer lacks that folded through `after`."""
    through = state.cfg.offset
    if after < state.recent_after:
        return Body(-1, through, (), snapshots.make_record(state.cfg))
    records = tuple(one for one in state.recent if one[0] > after)
    return Body(after, through, records)


def take_body(state: FoldState, body: Body) -> Folded:
    """Take over what a peer handed over."""
    if body.snapshot is not None:
        read = snapshots.read_record(body.snapshot)
        if not pipeline.is_successful(read):
            return Folded(state, faults=(read.failure(),))
        return adopt(state, read.unwrap())
    if not body.after <= state.cfg.offset < body.through:
        return Folded(state)
    lost = state.lost_through
    open_state = state._replace(lost_through=-1, pending=())
    newer = [one for one in body.records if one[0] <= body.through]
    folded = _fold(open_state, newer, body.through)
    after = folded.state._replace(lost_through=lost, pending=state.pending)
    drained = _fold(after, state.pending)
    return drained._replace(outcomes=folded.outcomes + drained.outcomes)


class _Found(NamedTuple):
    all: list[types.Configuration]
    newest: types.Configuration | None
    faults: list[str]


def _find_snapshots(state, records):
    usable = []
    faults = []
    for offset, record in records:
        if not isinstance(record, dict) or record.get("kind") != "snapshot":
            continue
        read = snapshots.read_record(record)
        if not pipeline.is_successful(read):
            faults.append(f"offset {offset}: {read.failure()}")
        elif read.unwrap().offset >= offset:
            faults.append(f"offset {offset}: snapshot of records after it")
        elif read.unwrap().offset >= state.lost_through:
            usable.append(read.unwrap())
    newest = max(usable, key=lambda cfg: cfg.offset, default=None)
    return _Found(usable, newest, faults)


def _take(state, cfg):
    if cfg.offset <= state.cfg.offset or cfg.revision < state.cfg.revision:
        return state
    return state._replace(cfg=cfg, recent=(), recent_after=cfg.offset)


def _wanted(records):
    return [one for one in records if _is_note(one[1])]


def _is_note(record):
    return isinstance(record, dict) and record.get("kind") == "note"


def _fold(state, records, through=None):
    if has_gap(state):
        return Folded(_keep(state, records))
    outcomes = []
    cfg = state.cfg
    for offset, record in records:
        if offset <= cfg.offset:
            continue
        applied = release_notes.apply_note(cfg, record, offset)
        outcomes.append(_outcome(offset, record, cfg, applied))
        state = _remember(state, offset, record)
        cfg = applied.cfg
    through = state.read_through if through is None else through
    cfg = cfg._replace(offset=max(cfg.offset, through))
    return Folded(state._replace(cfg=cfg, pending=()), tuple(outcomes))


def _outcome(offset, record, before, applied):
    accepted = applied.cfg.revision > before.revision
    return NoteOutcome(
        offset,
        _text(record, "id"),
        _text(record, "operator"),
        applied.cfg.revision if accepted else 0,
        applied.errors,
    )


def _remember(state, offset, record):
    recent = (*state.recent, (offset, record))
    after = state.recent_after
    if len(recent) > MAX_RECENT:
        after = recent[-MAX_RECENT - 1][0]
    return state._replace(recent=recent[-MAX_RECENT:], recent_after=after)


def _keep(state, records):
    dropped = records[:-MAX_PENDING]
    lost = state.lost_through
    if dropped:
        lost = max(lost, dropped[-1][0])
    kept = tuple(records[-MAX_PENDING:])
    return state._replace(pending=kept, lost_through=lost)


def _text(record, key):
    value = record.get(key, "")
    return value if isinstance(value, str) else note_fields.quote(value)


def _compare(cfg, others):
    faults = []
    for other in others:
        if other.revision != cfg.revision:
            continue
        ours = release_notes.fingerprint(cfg)
        theirs = release_notes.fingerprint(other)
        if ours != theirs:
            faults.append(
                f"revision {cfg.revision} is {ours} here and {theirs} in "
                f"the one folded through offset {other.offset}"
            )
    return tuple(faults)
