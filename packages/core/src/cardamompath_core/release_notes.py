"""The configuration as a fold over release notes in log order.

A note carries the revision that it was made against.  Every reader folds
the same records in the same order, so exactly one of several concurrent
notes is accepted, and all readers accept the same one.
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
"""Fields of the entries of a section, by the name of the entry."""


class NoteFields(TypedDict, total=False):
    """A release note as stored in the log.

    ``added`` and ``changed`` map a section (``services``, ``backends``,
    ``teams``) to the fields of its entries by name; ``withdrawn`` maps a
    section to a list of names.
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
    """Configuration after a note, and the reasons if it was refused."""

    cfg: types.Configuration
    errors: tuple[str, ...] = ()


def apply_note(
    cfg: types.Configuration, note: NoteFields, offset: int
) -> NoteResult:
    """Fold one note into the configuration.

    Parameters
    ----------
    cfg : Configuration
        Configuration before the note.
    note : NoteFields
        The record as read from the log; a malformed one is refused.
    offset : int
        Log offset of the record.

    Returns
    -------
    NoteResult
        The new configuration.  On a refusal, the old configuration at the
        new offset, and all reasons.
    """
    checked = note_checks.check_note(cfg, note)
    advanced = cfg._replace(offset=offset)
    if checked.faults:
        return NoteResult(advanced, checked.faults)
    sections = {
        section: tuple(entries[name] for name in sorted(entries))
        for section, entries in checked.entries.items()
    }
    return NoteResult(advanced._replace(revision=cfg.revision + 1, **sections))


def fingerprint(cfg: types.Configuration) -> str:
    """Return a hash of the configuration without its offset."""
    text = repr(cfg._replace(offset=-1))
    return xxhash.xxh3_64_hexdigest(text.encode())


def compare(
    before: types.Configuration, after: types.Configuration
) -> tuple[str, ...]:
    """Return the differences between two configurations, one per line."""
    lines = []
    for section in ("services", "backends", "teams"):
        old = {entry.name: entry for entry in getattr(before, section)}
        new = {entry.name: entry for entry in getattr(after, section)}
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
