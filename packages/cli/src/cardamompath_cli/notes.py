"""``cardamompath note``: check and publish release notes, and look back."""

from __future__ import annotations

import getpass
import json
import sys
from typing import Annotated

import cappa
from returns import pipeline

from cardamompath_cli import client
from cardamompath_cli import exits
from cardamompath_cli import note_log
from cardamompath_cli import note_status
from cardamompath_cli import options
from cardamompath_cli import publishing
from cardamompathd.recordlog import errors
from cardamompathd.recordlog import log_client

__all__ = [
    "Check",
    "History",
    "Note",
    "Publish",
    "Status",
    "check",
    "history",
    "publish",
    "status",
]

File = Annotated[str, cappa.Arg(help="JSON file with the note.")]
Platform = Annotated[
    str, cappa.Arg(long="--platform", help="Address of the platform.")
]
PLATFORM = "127.0.0.1:7000"


def check(command: Check) -> int:
    """Check a note and print every fault."""
    loaded = publishing.load(command.file)
    if not pipeline.is_successful(loaded):
        return _complain(loaded.failure())
    report = publishing.check(loaded.unwrap(), command.against)
    return _print(report, command.json)


def publish(command: Publish) -> int:
    """Append a note once and wait for its outcome."""
    loaded = publishing.load(command.file)
    if not pipeline.is_successful(loaded):
        return _complain(loaded.failure())
    operator = command.operator or getpass.getuser()
    log = _client(command.platform)
    report = publishing.publish(log, loaded.unwrap(), operator)
    return _print(report, command.json)


def status(command: Status) -> int:
    """Print where the revision in force is known to be so."""
    called = client.call(command.to, "GET", "/v1/membership")
    if called.status != 200:
        print(f"{command.to} answered {called.status}", file=sys.stderr)
        return exits.UNREACHABLE
    return _print(note_status.report(called.body), command.json)


def history(command: History) -> int:
    """Print the retained notes with their outcomes."""
    try:
        read = note_log.read(_client(command.platform))
    except errors.LogUnavailable as exc:
        print(f"the log cannot be read: {exc}", file=sys.stderr)
        return exits.UNREACHABLE
    rows = [one._asdict() for one in read.outcomes]
    rows += [
        {
            "offset": offset,
            "id": str(record.get("id", "")),
            "operator": str(record.get("operator", "")),
            "revision": None,
            "errors": ["older than the first snapshot that can be used"],
        }
        for offset, record in read.unjudged
    ]
    rows.sort(key=lambda row: row["offset"])
    lines = tuple(_line(row) for row in rows) or ("no note is retained",)
    report = publishing.Report(exits.DONE, "read", lines, {"notes": rows})
    return _print(report, command.json)


def _line(row):
    outcome = f"accepted as revision {row['revision']}"
    if row["revision"] is None:
        outcome = "outcome not known: " + "; ".join(row["errors"])
    elif not row["revision"]:
        outcome = "rejected: " + "; ".join(row["errors"])
    place = f"{row['offset']:8d}  {row['id']:32s}  {row['operator']:16s}"
    return f"{place}  {outcome}"


def _client(address):
    host, _, port = address.rpartition(":")
    return log_client.make_client(host, int(port))


def _complain(text):
    print(text, file=sys.stderr)
    return exits.USAGE


def _print(report, as_json):
    if as_json:
        print(json.dumps({"outcome": report.outcome} | report.fields))
        return report.exit
    bad = report.exit not in (exits.DONE, exits.PENDING)
    for line in report.lines:
        print(line, file=sys.stderr if bad else sys.stdout)
    return report.exit


@cappa.command(invoke=check)
class Check:
    """Check a release note and print every fault.

    Without --against only its form is checked.  Exit codes: 0 right;
    2 faulty; 4 the instance gave no answer.
    """

    file: File
    against: Annotated[
        str, cappa.Arg(long="--against", help="Operators' address.")
    ] = ""
    json: options.Json = False


@cappa.command(invoke=publish)
class Publish:
    """Check a release note, append it once and wait for its outcome.

    The note is made against the newest revision unless it names its
    base.  Exit codes: 0 accepted; 1 rejected, with what changed since
    its base; 2 faulty, not appended; 4 the log gave no answer, not
    appended; 5 the outcome is not known.
    """

    file: File
    platform: Platform = PLATFORM
    operator: Annotated[
        str, cappa.Arg(long="--operator", help="Who publishes.")
    ] = ""
    json: options.Json = False


@cappa.command(invoke=status)
class Status:
    """Show where the revision is in force and where that is not known.

    Exit codes: 0 in force at every instance that is not dead; 4 no
    answer; 5 not known everywhere.
    """

    to: options.Operators = options.OPERATORS
    json: options.Json = False


@cappa.command(invoke=history)
class History:
    """Show the retained notes and what became of them."""

    platform: Platform = PLATFORM
    json: options.Json = False


@cappa.command
class Note:
    """Check and publish release notes."""

    command: cappa.Subcommands[Check | Publish | Status | History]
