"""Checks and publishes release notes."""

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

READ_BACK_ATTEMPTS = 10
"""Number of reads, of a second at most each, that look for the note in
the log when the answer to its append is lost."""


class Report(NamedTuple):
    """Exit code and output of a command on release notes."""

    exit_code: int
    outcome: str
    lines: tuple[str, ...]
    fields: dict[str, Any] = {}
    """Further fields of the JSON output."""


def load(file: str) -> result.Result[dict[str, Any], str]:
    """Read a note from a JSON file; a failure holds the error message."""
    try:
        with open(file, encoding="utf-8") as stream:
            note = json.load(stream)
    except (OSError, ValueError, RecursionError) as exc:
        return result.Failure(f"{file}: {exc}")
    if not isinstance(note, dict):
        return result.Failure(f"{file}: a note must be a JSON object")
    return result.Success(note)


def check(note: dict[str, Any], against: str) -> Report:
    """Check a note, against an instance's configuration if one is given.

    Raises
    ------
    RequestError
        If the instance cannot be reached.
    """
    if not against:
        faults = note_checks.check_form(note)
        return _report_checked(
            faults, "in its form; no configuration was looked up"
        )
    response = client.send_request(against, "GET", "/v1/snapshot")
    if response.status != 200:
        line = f"{against} returned status {response.status}: {response.body}"
        return Report(exits.UNREACHABLE, "unknown", (line,))
    cfg = snapshots.read_record(response.body).unwrap()
    note = {"base": cfg.revision} | note
    faults = note_checks.check_note(cfg, note).faults
    return _report_checked(faults, f"against revision {cfg.revision}")


def _report_checked(faults, basis):
    if faults:
        return _report_faults(faults)
    line = f"the note is valid {basis}"
    return Report(exits.DONE, "right", (line,))


def _report_faults(faults):
    fields = {"faults": list(faults)}
    return Report(exits.USAGE, "faulty", tuple(faults), fields)


def publish(
    log: log_client.LogClient, note: dict[str, Any], operator: str
) -> Report:
    """Append a note to the log once and wait for its outcome."""
    try:
        before = note_log.read(log)
    except errors.LogUnavailable as exc:
        line = f"the log cannot be read, nothing was appended: {exc}"
        return Report(exits.UNREACHABLE, "not published", (line,))
    cfg = before.state.cfg
    if config_fold.has_gap(before.state):
        line = "the log has no snapshot to check against; nothing was appended"
        return Report(exits.UNREACHABLE, "not published", (line,))
    note_id = uuid.uuid4().hex
    record = {"base": cfg.revision, "operator": operator} | note
    record |= {"kind": "note", "id": note_id}
    if _is_stale(record, cfg):
        return _report_rejected(before.history, record, cfg, {})
    faults = note_checks.check_note(cfg, record).faults
    if faults:
        return _report_faults(faults)
    return _append(log, record, before)


def _is_stale(record, cfg):
    base = record["base"]
    is_integer = isinstance(base, int) and not isinstance(base, bool)
    return is_integer and 0 <= base != cfg.revision


def _append(log, record, before):
    fields = {"id": record["id"]}
    try:
        appended = note_log.append(
            log, record, before.head, READ_BACK_ATTEMPTS
        )
    except errors.LogUnavailable as exc:
        line = f"the log refused the note, nothing was appended: {exc}"
        return Report(exits.UNREACHABLE, "not published", (line,), fields)
    if appended.offset is None:
        return _report_unknown(
            fields,
            "the answer was lost, and the note was not found in the log",
        )
    fields["offset"] = appended.offset
    try:
        after = note_log.read(log)
    except errors.LogUnavailable as exc:
        return _report_unknown(
            fields, f"it was appended, but cannot be read back: {exc}"
        )
    outcome = {each.offset: each for each in after.outcomes}.get(
        appended.offset
    )
    if outcome is None:
        return _report_unknown(
            fields, "it was appended, but its outcome cannot be decided yet"
        )
    if outcome.revision:
        line = f"accepted as revision {outcome.revision}"
        fields["revision"] = outcome.revision
        return Report(exits.DONE, "accepted", (line,), fields)
    history = before.history | after.history
    return _report_rejected(
        history, record, after.state.cfg, fields, outcome.errors
    )


def _report_unknown(fields, reason):
    lines = (
        f"the outcome of note {fields['id']} is not known: {reason}",
        "ask for it with 'cardamompath note history'; do not publish again",
    )
    return Report(exits.PENDING, "unknown", lines, fields)


def _report_rejected(
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
        lines.append(
            f"revision {base} is no longer in the log for a comparison"
        )
    fields = fields | {
        "base": base,
        "revision_in_force": cfg.revision,
        "difference": list(difference),
        "reasons": list(reasons),
    }
    return Report(exits.REFUSED, "rejected", tuple(lines), fields)
