"""Fold over the configuration stream, with gaps and snapshots.

`FoldState` is the state of one reader.  Every configuration is the fold
of a prefix of the same log, so of two configurations the one with the
larger offset is newer.
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
    "ConfigUpdate",
    "FoldResult",
    "FoldState",
    "NoteOutcome",
    "adopt",
    "apply_update",
    "has_gap",
    "make_update",
    "read_records",
]

MAX_PENDING = 10_000
"""Maximum number of records kept that follow a gap."""

MAX_RECENT = 32
"""Number of recent notes kept for peers that lack only these."""

Record = tuple[int, Any]
"""Log offset, and the record as decoded."""


class NoteOutcome(NamedTuple):
    """Whether a release note was accepted."""

    offset: int
    id: str
    operator: str
    revision: int
    """Revision that the note created; 0 if it was refused."""
    errors: tuple[str, ...]


class FoldState(NamedTuple):
    """State of a reader of the stream."""

    cfg: types.Configuration = types.Configuration()
    read_through: int = -1
    """Highest offset read from the log."""
    lost_through: int = -1
    """Highest offset that left the log before it was read."""
    pending: tuple[Record, ...] = ()
    """Records that follow a gap and are not folded in yet."""
    recent: tuple[Record, ...] = ()
    """The last notes folded in."""
    recent_after: int = -1
    """Offset after which `recent` is complete."""


class ConfigUpdate(NamedTuple):
    """Update that a peer sends: notes after an offset, or a snapshot."""

    after: int
    through: int
    records: tuple[Record, ...] = ()
    """All notes after offset `after`, up to and including `through`."""
    snapshot: Any = None
    """Snapshot record through offset `through`, in place of notes."""


class FoldResult(NamedTuple):
    """State after folding in records, and what was found in them."""

    state: FoldState
    outcomes: tuple[NoteOutcome, ...] = ()
    snapshot: int | None = None
    """Last offset covered by the newest usable snapshot read, if any."""
    faults: tuple[str, ...] = ()
    """Messages on unusable snapshots, on configurations that contradict
    the fold, and on a truncated log."""


def has_gap(state: FoldState) -> bool:
    """Return whether the configuration lacks records lost from the log."""
    return state.cfg.offset < state.lost_through


def read_records(
    state: FoldState, records: Sequence[Record], oldest: int, head: int
) -> FoldResult:
    """Fold in records read from the log.

    Parameters
    ----------
    state : FoldState
        State before the records.
    records : sequence of (int, object)
        Offsets and records in log order.
    oldest, head : int
        Oldest retained offset, and offset of the next append.
    """
    if oldest - 1 > state.read_through:
        state = state._replace(lost_through=oldest - 1)
    through = records[-1][0] if records else head - 1
    state = state._replace(read_through=max(state.read_through, through))
    snapshots_read = _find_snapshots(state, records)
    truncation = ()
    if head <= state.cfg.offset and head <= state.read_through:
        truncation = (
            f"the log ends before offset {head}, but it was folded through "
            f"offset {state.cfg.offset}",
        )
    if snapshots_read.newest is not None and has_gap(state):
        state = _adopt_newer(state, snapshots_read.newest)
    unfolded = [*state.pending, *_select_notes(records)]
    folded = _fold(state, unfolded)
    newest = snapshots_read.newest.offset if snapshots_read.newest else None
    faults = (
        *truncation,
        *snapshots_read.faults,
        *_compare(folded.state.cfg, snapshots_read.usable),
    )
    return folded._replace(snapshot=newest, faults=faults)


def adopt(state: FoldState, cfg: types.Configuration) -> FoldResult:
    """Replace the configuration by that of a peer if the latter is newer."""
    if cfg.offset < state.cfg.offset:
        return FoldResult(state)
    faults = _compare(state.cfg, [cfg])
    if cfg.offset == state.cfg.offset:
        return FoldResult(state, faults=faults)
    if cfg.revision < state.cfg.revision:
        fault = (
            f"offset {cfg.offset} has revision {cfg.revision}, but offset "
            f"{state.cfg.offset} has revision {state.cfg.revision}"
        )
        return FoldResult(state, faults=(fault,))
    folded = _fold(_adopt_newer(state, cfg), state.pending)
    return folded._replace(faults=faults)


def make_update(state: FoldState, after: int) -> ConfigUpdate:
    """Make the update for a peer that has folded through `after`."""
    through = state.cfg.offset
    if after < state.recent_after:
        return ConfigUpdate(-1, through, (), snapshots.make_record(state.cfg))
    records = tuple(record for record in state.recent if record[0] > after)
    return ConfigUpdate(after, through, records)


def apply_update(state: FoldState, update: ConfigUpdate) -> FoldResult:
    """Fold in an update from a peer.

    Notes are ignored unless the update starts at or before the offset of
    this reader's configuration and ends after it.
    """
    if update.snapshot is not None:
        read = snapshots.read_record(update.snapshot)
        if not pipeline.is_successful(read):
            return FoldResult(state, faults=(read.failure(),))
        return adopt(state, read.unwrap())
    if not update.after <= state.cfg.offset < update.through:
        return FoldResult(state)
    lost = state.lost_through
    without_gap = state._replace(lost_through=-1, pending=())
    newer = [
        record for record in update.records if record[0] <= update.through
    ]
    folded = _fold(without_gap, newer, update.through)
    after = folded.state._replace(lost_through=lost, pending=state.pending)
    drained = _fold(after, state.pending)
    return drained._replace(outcomes=folded.outcomes + drained.outcomes)


class _SnapshotsRead(NamedTuple):
    usable: list[types.Configuration]
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
            faults.append(
                f"offset {offset}: snapshot covers records after itself"
            )
        elif read.unwrap().offset >= state.lost_through:
            usable.append(read.unwrap())
    newest = max(usable, key=lambda cfg: cfg.offset, default=None)
    return _SnapshotsRead(usable, newest, faults)


def _adopt_newer(state, cfg):
    if cfg.offset <= state.cfg.offset or cfg.revision < state.cfg.revision:
        return state
    return state._replace(cfg=cfg, recent=(), recent_after=cfg.offset)


def _select_notes(records):
    return [record for record in records if _is_note(record[1])]


def _is_note(record):
    return isinstance(record, dict) and record.get("kind") == "note"


def _fold(state, records, through=None):
    if has_gap(state):
        return FoldResult(_keep_pending(state, records))
    outcomes = []
    cfg = state.cfg
    for offset, record in records:
        if offset <= cfg.offset:
            continue
        applied = release_notes.apply_note(cfg, record, offset)
        outcomes.append(_outcome(offset, record, cfg, applied))
        state = _add_recent(state, offset, record)
        cfg = applied.cfg
    through = state.read_through if through is None else through
    cfg = cfg._replace(offset=max(cfg.offset, through))
    return FoldResult(state._replace(cfg=cfg, pending=()), tuple(outcomes))


def _outcome(offset, record, before, applied):
    accepted = applied.cfg.revision > before.revision
    return NoteOutcome(
        offset,
        _text(record, "id"),
        _text(record, "operator"),
        applied.cfg.revision if accepted else 0,
        applied.errors,
    )


def _add_recent(state, offset, record):
    recent = (*state.recent, (offset, record))
    after = state.recent_after
    if len(recent) > MAX_RECENT:
        after = recent[-MAX_RECENT - 1][0]
    return state._replace(recent=recent[-MAX_RECENT:], recent_after=after)


def _keep_pending(state, records):
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
                f"revision {cfg.revision} has fingerprint {ours} here, but "
                f"{theirs} in the one folded through offset {other.offset}"
            )
    return tuple(faults)
