"""``cardamompath note``: checks, publishes and lists release notes."""

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

File = Annotated[str, cappa.Arg(help="JSON file with the release note.")]
Platform = Annotated[
    str, cappa.Arg(long="--platform", help="Address of the platform.")
]
DEFAULT_PLATFORM = "127.0.0.1:7000"


def check(command: Check) -> int:
    """Check a note and print every fault."""
    loaded = publishing.load(command.file)
    if not pipeline.is_successful(loaded):
        return _print_error(loaded.failure())
    report = publishing.check(loaded.unwrap(), command.against)
    return _print_report(report, command.json)


def publish(command: Publish) -> int:
    """Append a note once and wait for its outcome."""
    loaded = publishing.load(command.file)
    if not pipeline.is_successful(loaded):
        return _print_error(loaded.failure())
    operator = command.operator or getpass.getuser()
    log = _make_client(command.platform)
    report = publishing.publish(log, loaded.unwrap(), operator)
    return _print_report(report, command.json)


def status(command: Status) -> int:
    """Print which instances are known to use the revision in force."""
    response = client.send_request(command.to, "GET", "/v1/membership")
    if response.status != 200:
        print(
            f"{command.to} returned status {response.status}", file=sys.stderr
        )
        return exits.UNREACHABLE
    return _print_report(note_status.report(response.body), command.json)


def history(command: History) -> int:
    """Print the retained notes with their outcomes."""
    try:
        log = note_log.read(_make_client(command.platform))
    except errors.LogUnavailable as exc:
        print(f"the log cannot be read: {exc}", file=sys.stderr)
        return exits.UNREACHABLE
    rows = [outcome._asdict() for outcome in log.outcomes]
    rows += [
        {
            "offset": offset,
            "id": str(record.get("id", "")),
            "operator": str(record.get("operator", "")),
            "revision": None,
            "errors": ["older than the first usable snapshot"],
        }
        for offset, record in log.undecided
    ]
    rows.sort(key=lambda row: row["offset"])
    lines = tuple(_format_row(row) for row in rows) or (
        "the log retains no notes",
    )
    report = publishing.Report(exits.DONE, "read", lines, {"notes": rows})
    return _print_report(report, command.json)


def _format_row(row):
    outcome = f"accepted as revision {row['revision']}"
    if row["revision"] is None:
        outcome = "outcome not known: " + "; ".join(row["errors"])
    elif not row["revision"]:
        outcome = "rejected: " + "; ".join(row["errors"])
    columns = f"{row['offset']:8d}  {row['id']:32s}  {row['operator']:16s}"
    return f"{columns}  {outcome}"


def _make_client(address):
    host, _, port = address.rpartition(":")
    return log_client.make_client(host, int(port))


def _print_error(text):
    print(text, file=sys.stderr)
    return exits.USAGE


def _print_report(report, as_json):
    if as_json:
        print(json.dumps({"outcome": report.outcome} | report.fields))
        return report.exit_code
    is_error = report.exit_code not in (exits.DONE, exits.PENDING)
    for line in report.lines:
        print(line, file=sys.stderr if is_error else sys.stdout)
    return report.exit_code


@cappa.command(invoke=check)
class Check:
    """Check a release note and print every fault.

    Without --against only its form is checked.  Exit codes: 0 valid;
    2 invalid; 4 no answer from the instance.
    """

    file: File
    against: Annotated[
        str,
        cappa.Arg(
            long="--against", help="Address of an instance for operators."
        ),
    ] = ""
    json: options.JsonFlag = False


@cappa.command(invoke=publish)
class Publish:
    """Check a release note, append it once and wait for its outcome.

    The base is the newest revision unless the note names another.  Exit
    codes: 0 accepted; 1 rejected, with the changes since its base; 2
    invalid, not appended; 4 no answer from the log, not appended; 5 the
    outcome is not known.
    """

    file: File
    platform: Platform = DEFAULT_PLATFORM
    operator: Annotated[
        str,
        cappa.Arg(
            long="--operator",
            help="Name of the publisher; the current user unless given.",
        ),
    ] = ""
    json: options.JsonFlag = False


@cappa.command(invoke=status)
class Status:
    """Show at which instances the revision is known to be in force.

    Exit codes: 0 in force at every instance that is not dead; 4 no
    answer from the instance; 5 not known for every instance.
    """

    to: options.OperatorsAddress = options.DEFAULT_OPERATORS
    json: options.JsonFlag = False


@cappa.command(invoke=history)
class History:
    """Show the retained notes with their outcomes."""

    platform: Platform = DEFAULT_PLATFORM
    json: options.JsonFlag = False


@cappa.command
class Note:
    """Check, publish and list release notes."""

    command: cappa.Subcommands[Check | Publish | Status | History]
