"""Snapshots of the configuration, stored as records of its stream.

A snapshot contains the offset of the last record that it covers.  A
reader may start from it only if all later records are retained.
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

RENEWAL_SHARE = 0.5
"""Share of the retained records, or of the retention period, after which
a new snapshot is due."""


class SnapshotFields(TypedDict):
    """A snapshot as stored in the log."""

    kind: str
    offset: int
    revision: int
    fingerprint: str
    cfg: dict[str, list[dict[str, Any]]]


class SnapshotSeen(NamedTuple):
    """The newest snapshot read from the log."""

    through: int
    """Offset of the last record that it covers."""
    read_at: float
    """Time at which it was read."""


def make_record(cfg: types.Configuration) -> SnapshotFields:
    """Make the snapshot record of a configuration."""
    sections = {
        section: [entry._asdict() for entry in getattr(cfg, section)]
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
    """Return the configuration in a snapshot record, or why it is unusable."""
    try:
        cfg = _parse(record)
        fingerprint = record["fingerprint"]
    except (ArithmeticError, LookupError, TypeError, ValueError) as exc:
        return result.Failure(
            f"snapshot is malformed: {note_fields.quote(exc)}"
        )
    if fingerprint != release_notes.fingerprint(cfg):
        return result.Failure("snapshot does not match its fingerprint")
    return result.Success(cfg)


def _parse(record):
    sections = {
        name: tuple(
            _parse_entry(section, fields) for fields in record["cfg"][name]
        )
        for name, section in note_fields.SECTIONS.items()
    }
    return types.Configuration(
        _natural(record["revision"]), _natural(record["offset"]), **sections
    )


def _parse_entry(section, fields):
    table = {field.key: field for field in section.fields}
    values = {}
    for key, value in fields.items():
        if key == "name":
            if not note_fields.is_name(value):
                raise ValueError(note_fields.quote(value))
            values[key] = value
        elif key == "since":
            values[key] = _natural(value)
        else:
            values[key] = table[key].parse(value)
    return section.spec(**values)


def _natural(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(
            f"{note_fields.quote(value)} is not an integer of 0 or more"
        )
    return value


def is_due(
    seen: SnapshotSeen | None,
    oldest: int,
    head: int,
    age: float,
    retention: float,
) -> bool:
    """Return whether a new snapshot is to be appended.

    Parameters
    ----------
    seen : SnapshotSeen or None
        The newest known snapshot.
    oldest, head : int
        Oldest retained offset, and offset of the next append.
    age : float
        Seconds since that snapshot was read, or since the start if there
        is none.
    retention : float
        Seconds for which the log retains records.
    """
    if age >= retention * RENEWAL_SHARE:
        return True
    if oldest == 0:
        return False
    if seen is None:
        return True
    return seen.through - oldest < (head - oldest) * (1 - RENEWAL_SHARE)
