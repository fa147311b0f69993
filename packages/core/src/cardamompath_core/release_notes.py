"""The configuration as a fold over release notes in log order.

A note carries the revision that it was made against.  Every reader
folds the same records in the same order, so that of racing notes
exactly one is accepted, and the same one everywhere.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import TypedDict

from cardamompath_core import types

__all__ = [
    "NoteFields",
    "NoteResult",
    "apply_note",
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
    added: dict[str, Section]
    changed: dict[str, Section]
    withdrawn: dict[str, list[str]]


class NoteResult(NamedTuple):
    """The configuration after a note, and why the note was refused."""

    cfg: types.Configuration
    errors: tuple[str, ...] = ()


_SPECS: dict[str, Any] = {
    "services": types.ServiceSpec,
    "backends": types.BackendSpec,
    "teams": types.TeamSpec,
}


def apply_note(
    cfg: types.Configuration, note: NoteFields, offset: int
) -> NoteResult:
    """Fold one note into the configuration.

    Parameters
    ----------
    cfg : Configuration
        The configuration before the note.
    note : NoteFields
        The record as read from the log.
    offset : int
        Offset of the record in the log.

    Returns
    -------
    NoteResult
        The new configuration; on a refusal the old one with its offset
        moved on, and every reason.
    """
    moved = cfg._replace(offset=offset)
    base = note.get("base")
    if base != cfg.revision:
        reason = f"note was made against revision {base!r}, "
        return NoteResult(moved, (reason + f"not {cfg.revision}",))
    sections = {}
    faults: list[str] = []
    for section, spec in _SPECS.items():
        sections[section] = _fold_section(cfg, note, section, spec, faults)
    if faults:
        return NoteResult(moved, tuple(faults))
    return NoteResult(moved._replace(revision=cfg.revision + 1, **sections))


def _fold_section(cfg, note, section, spec, faults):
    entries = {entry.name: entry for entry in getattr(cfg, section)}
    for name, fields in note.get("added", {}).get(section, {}).items():
        if name in entries:
            faults.append(f"added {section} {name!r} exists already")
            continue
        _put(entries, spec, name, fields, faults, section)
    for name, fields in note.get("changed", {}).get(section, {}).items():
        if name not in entries:
            faults.append(f"changed {section} {name!r} does not exist")
            continue
        merged = entries[name]._asdict() | fields
        _put(entries, spec, name, merged, faults, section)
    for name in note.get("withdrawn", {}).get(section, []):
        if entries.pop(name, None) is None:
            faults.append(f"withdrawn {section} {name!r} does not exist")
    return tuple(entries.values())


def _put(entries, spec, name, fields, faults, section):
    unknown = sorted(set(fields) - set(spec._fields))
    if unknown:
        faults.append(f"{section} {name!r} has unknown keys {unknown!r}")
        return
    try:
        entries[name] = spec(**(fields | {"name": name}))
    except TypeError as exc:
        faults.append(f"{section} {name!r} lacks keys: {exc}")
