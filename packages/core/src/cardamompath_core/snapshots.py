"""Snapshots of the configuration, as records of its stream.

A snapshot carries the offset through which it folds.  A reader may
start from one only when every record behind that offset is retained.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import TypedDict

from returns import result

from cardamompath_core import note_fields
from cardamompath_core import release_notes
from cardamompath_core import types

__all__ = [
    "SnapshotFields",
    "SnapshotSeen",
    "is_due",
    "make_record",
    "read_record",
]

SPENT_SHARE = 0.5
"""Share of the retained records, or of the retention, after which a
snapshot is to be appended again."""


class SnapshotFields(TypedDict):
    """A snapshot as it stands in the log."""

    kind: str
    offset: int
    revision: int
    fingerprint: str
    cfg: dict[str, list[dict[str, Any]]]


class SnapshotSeen(NamedTuple):
    """The newest snapshot that was read from the log."""

    through: int
    """Offset through which it folds."""
    read_at: float
    """Time at which it was read."""


def make_record(cfg: types.Configuration) -> SnapshotFields:
    """Make the snapshot record of a configuration."""
    sections = {
        section: [one._asdict() for one in getattr(cfg, section)]
        for section in note_fields.SECTIONS
    }
    return SnapshotFields(
        kind="snapshot",
        offset=cfg.offset,
        revision=cfg.revision,
        fingerprint=release_notes.fingerprint(cfg),
        cfg=sections,
    )


def read_record(record: Any) -> result.Result[types.Configuration, str]:
    """Read a snapshot record; a failure says why it cannot be used."""
    try:
        cfg = _read(record)
        printed = record["fingerprint"]
    except (ArithmeticError, LookupError, TypeError, ValueError) as exc:
        return result.Failure(f"snapshot is broken: {note_fields.quote(exc)}")
    if printed != release_notes.fingerprint(cfg):
        return result.Failure("snapshot does not match its fingerprint")
    return result.Success(cfg)


def _read(record):
    sections = {
        name: tuple(_entry(section, one) for one in record["cfg"][name])
        for name, section in note_fields.SECTIONS.items()
    }
    return types.Configuration(
        _whole(record["revision"]), _whole(record["offset"]), **sections
    )


def _entry(section, given):
    table = {field.key: field for field in section.fields}
    values = {}
    for key, value in given.items():
        if key == "name":
            if not note_fields.is_name(value):
                raise ValueError(note_fields.quote(value))
            values[key] = value
        elif key == "since":
            values[key] = _whole(value)
        else:
            values[key] = table[key].parse(value)
    return section.spec(**values)


def _whole(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{note_fields.quote(value)} is no offset")
    return value


def is_due(
    seen: SnapshotSeen | None,
    oldest: int,
    head: int,
    age: float,
    retention: float,
) -> bool:
    """Tell whether a snapshot is to be appended.

    Parameters
    ----------
    seen : SnapshotSeen or None
        The newest snapshot known.
    oldest, head : int
        Oldest retained offset, and the one of the next append.
    age : float
        Seconds since that snapshot was read, or since the start without
        one.
    retention : float
        Seconds for which the log keeps records.
    """
    if age >= retention * SPENT_SHARE:
        return True
    if oldest == 0:
        return False
    if seen is None:
        return True
    return seen.through - oldest < (head - oldest) * (1 - SPENT_SHARE)
