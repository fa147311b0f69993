"""The configuration as a fold over release notes in log order.

A note carries the revision that it was made against.  Every reader
folds the same records in the same order, so that of racing notes
exactly one is accepted, and the same one everywhere.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import TypedDict

import xxhash

from cardamompath_core import note_checks
from cardamompath_core import types

__all__ = [
    "NoteFields",
    "NoteResult",
    "apply_note",
    "compare",
    "fingerprint",
]

Section = dict[str, dict[str, Any]]


class NoteFields(TypedDict, total=False):
    """A release note as it stands in the log.

    ``added`` and ``changed`` map a section (``services``, ``backends``,
    ``teams``) to names and their fields; ``withdrawn`` maps a section
    to names.
    """

    kind: str
    id: str
    base: int
    operator: str
    comment: str
    added: dict[str, Section]
    changed: dict[str, Section]
    withdrawn: dict[str, list[str]]


class NoteResult(NamedTuple):
    """The configuration after a note, and why the note was refused."""

    cfg: types.Configuration
    errors: tuple[str, ...] = ()


def apply_note(
    cfg: types.Configuration, note: NoteFields, offset: int
) -> NoteResult:
    """Fold one note into the configuration.

    Parameters
    ----------
    cfg : Configuration
        The configuration before the note.
    note : NoteFields
        The record as read from the log; a broken one is refused.
    offset : int
        Offset of the record in the log.

    Returns
    -------
    NoteResult
        The new configuration; on a refusal the old one with its offset
        moved on, and every reason.
    """
    checked = note_checks.check_note(cfg, note)
    moved = cfg._replace(offset=offset)
    if checked.faults:
        return NoteResult(moved, checked.faults)
    sections = {
        section: tuple(entries[name] for name in sorted(entries))
        for section, entries in checked.entries.items()
    }
    return NoteResult(moved._replace(revision=cfg.revision + 1, **sections))


def fingerprint(cfg: types.Configuration) -> str:
    """Return a hash of what is in force, the offset left aside."""
    text = repr(cfg._replace(offset=-1))
    return xxhash.xxh3_64_hexdigest(text.encode())


def compare(
    before: types.Configuration, after: types.Configuration
) -> tuple[str, ...]:
    """List the differences between two configurations, one a line."""
    lines = []
    for section in ("services", "backends", "teams"):
        old = {one.name: one for one in getattr(before, section)}
        new = {one.name: one for one in getattr(after, section)}
        for name in sorted(old.keys() | new.keys()):
            line = f"{section} {name!r}"
            if name not in old:
                lines.append(f"added {line}")
            elif name not in new:
                lines.append(f"withdrawn {line}")
            else:
                lines += _changes(line, old[name], new[name])
    return tuple(lines)


def _changes(line, old, new):
    return [
        f"changed {line}: {key} from {before!r} to {after!r}"
        for key, before, after in zip(old._fields, old, new, strict=True)
        if before != after and key != "since"
    ]
