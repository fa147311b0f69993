"""Checks and publishes a release note."""

from __future__ import annotations

import json
import uuid
from typing import Any
from typing import NamedTuple

from returns import result

from cardamompath_cli import client
from cardamompath_cli import exits
from cardamompath_cli import note_log
from cardamompath_core import config_fold
from cardamompath_core import note_checks
from cardamompath_core import release_notes
from cardamompath_core import snapshots
from cardamompath_core import types
from cardamompathd.recordlog import errors
from cardamompathd.recordlog import log_client

__all__ = [
    "Report",
    "check",
    "load",
    "publish",
]

READ_BACK = 10
"""Reads, of a second at most each, that look for a lost answer."""


class Report(NamedTuple):
    """What to print and the exit code."""

    exit: int
    outcome: str
    lines: tuple[str, ...]
    fields: dict[str, Any] = {}
    """Further fields of the JSON form."""


def load(file: str) -> result.Result[dict[str, Any], str]:
    """Read a note from a JSON file; a failure says what is wrong."""
    try:
        with open(file, encoding="utf-8") as stream:
            note = json.load(stream)
    except (OSError, ValueError, RecursionError) as exc:
        return result.Failure(f"{file}: {exc}")
    if not isinstance(note, dict):
        return result.Failure(f"{file}: a note is a JSON object")
    return result.Success(note)


def check(note: dict[str, Any], against: str) -> Report:
    """Check a note, against an instance's configuration if one is given.

    Raises
    ------
    CallError
        If the instance cannot be reached.
    """
    if not against:
        faults = note_checks.check_form(note)
        return _checked(faults, "its form; nothing was looked up")
    called = client.call(against, "GET", "/v1/snapshot")
    if called.status != 200:
        line = f"{against} answered {called.status}: {called.body}"
        return Report(exits.UNREACHABLE, "unknown", (line,))
    cfg = snapshots.read_record(called.body).unwrap()
    note = {"base": cfg.revision} | note
    faults = note_checks.check_note(cfg, note).faults
    return _checked(faults, f"revision {cfg.revision}")


def _checked(faults, place):
    if faults:
        return _faulty(faults)
    line = f"the note is right by {place}"
    return Report(exits.DONE, "right", (line,))


def _faulty(faults):
    fields = {"faults": list(faults)}
    return Report(exits.USAGE, "faulty", tuple(faults), fields)


def publish(
    log: log_client.LogClient, note: dict[str, Any], operator: str
) -> Report:
    """Publish a note and wait for its outcome."""
    try:
        before = note_log.read(log)
    except errors.LogUnavailable as exc:
        line = f"the log cannot be read, nothing was appended: {exc}"
        return Report(exits.UNREACHABLE, "not published", (line,))
    cfg = before.state.cfg
    if config_fold.has_gap(before.state):
        line = "the log keeps no snapshot to check against; none appended"
        return Report(exits.UNREACHABLE, "not published", (line,))
    unique = uuid.uuid4().hex
    record = {"base": cfg.revision, "operator": operator} | note
    record |= {"kind": "note", "id": unique}
    if _is_stale(record, cfg):
        return _refused(before.history, record, cfg, {})
    faults = note_checks.check_note(cfg, record).faults
    if faults:
        return _faulty(faults)
    return _append(log, record, before)


def _is_stale(record, cfg):
    base = record["base"]
    whole = isinstance(base, int) and not isinstance(base, bool)
    return whole and 0 <= base != cfg.revision


def _append(log, record, before):
    fields = {"id": record["id"]}
    try:
        appended = note_log.append(log, record, before.head, READ_BACK)
    except errors.LogUnavailable as exc:
        line = f"the log refused the note, nothing was appended: {exc}"
        return Report(exits.UNREACHABLE, "not published", (line,), fields)
    if appended.offset is None:
        return _unknown(fields, "the answer was lost and not found again")
    fields["offset"] = appended.offset
    try:
        after = note_log.read(log)
    except errors.LogUnavailable as exc:
        return _unknown(fields, f"it was appended, but not read yet: {exc}")
    outcome = {one.offset: one for one in after.outcomes}.get(appended.offset)
    if outcome is None:
        return _unknown(fields, "it was appended, but is not folded yet")
    if outcome.revision:
        line = f"accepted as revision {outcome.revision}"
        fields["revision"] = outcome.revision
        return Report(exits.DONE, "accepted", (line,), fields)
    history = before.history | after.history
    return _refused(history, record, after.state.cfg, fields, outcome.errors)


def _unknown(fields, reason):
    lines = (
        f"the outcome of note {fields['id']} is not known: {reason}",
        "ask for it with 'cardamompath note history'; do not publish again",
    )
    return Report(exits.PENDING, "unknown", lines, fields)


def _refused(
    history: dict[int, types.Configuration],
    record: dict[str, Any],
    cfg: types.Configuration,
    fields: dict[str, Any],
    reasons: tuple[str, ...] = (),
) -> Report:
    base = record["base"]
    reasons = reasons or note_checks.check_note(cfg, record).faults[:1]
    lines = [f"rejected: {reason}" for reason in reasons]
    difference = ()
    if base in history:
        difference = release_notes.compare(history[base], cfg)
        lines.append(f"since revision {base}, up to {cfg.revision}:")
        lines += [f"  {line}" for line in difference]
    else:
        lines.append(f"revision {base} is no longer in the log to compare")
    fields = fields | {
        "base": base,
        "revision_in_force": cfg.revision,
        "difference": list(difference),
        "reasons": list(reasons),
    }
    return Report(exits.REFUSED, "rejected", tuple(lines), fields)
