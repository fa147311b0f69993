"""``cardamompath job``: submit jobs and fetch their answers."""

from __future__ import annotations

import collections
import json
import sys
from typing import Annotated

import cappa

from cardamompath_cli import client
from cardamompath_cli import exits
from cardamompath_cli import options

__all__ = [
    "Cancel",
    "Get",
    "Job",
    "Submit",
    "cancel",
    "get",
    "submit",
]

WAIT = 30
"""Seconds that one call waits for an answer."""

EXITS = {
    "complete": exits.DONE,
    "failed": exits.FAILED,
    "pending": exits.PENDING,
    "refused": exits.REFUSED,
}


def submit(command: Submit) -> int:
    """Ask for an identifier, submit the job under it, and wait."""
    try:
        with open(command.file, encoding="utf-8") as stream:
            body = json.load(stream)
    except (OSError, ValueError) as exc:
        print(f"{command.file}: {exc}", file=sys.stderr)
        return exits.USAGE
    job = client.call(command.to, "POST", "/v1/jobs", {}).body["job"]
    wait = 0 if command.detach else WAIT
    path = f"/v1/jobs/{job}?wait={wait}"
    return _print(client.call(command.to, "PUT", path, body), command.json)


def get(command: Get) -> int:
    """Fetch the answer of a job."""
    path = f"/v1/jobs/{command.job}?wait={WAIT}"
    return _print(client.call(command.to, "GET", path), command.json)


def cancel(command: Cancel) -> int:
    """Cancel a job."""
    path = f"/v1/jobs/{command.job}"
    return _print(client.call(command.to, "DELETE", path), command.json)


def _print(called, as_json):
    body = called.body
    outcome = body["outcome"]
    if as_json:
        print(json.dumps(body))
        return EXITS[outcome]
    print(f"{outcome}  {body.get('job', '')}  {body.get('reason', '')}")
    tasks = body.get("tasks", ())
    for key in ("state", "backend"):
        counts = collections.Counter(one[key] for one in tasks)
        for name, count in sorted(counts.items()):
            print(f"{key:<8} {name or '-':<24} {count} tasks")
    return EXITS[outcome]


@cappa.command(invoke=submit)
class Submit:
    """Submit a job from a JSON file and wait for its answer."""

    file: Annotated[str, cappa.Arg(help="JSON file with the tasks.")]
    to: options.Callers = options.CALLERS
    json: options.Json = False
    detach: Annotated[
        bool, cappa.Arg(long="--detach", help="Do not wait for the answer.")
    ] = False


@cappa.command(invoke=get)
class Get:
    """Fetch the answer of a job."""

    job: Annotated[str, cappa.Arg(help="Identifier of the job.")]
    to: options.Callers = options.CALLERS
    json: options.Json = False


@cappa.command(invoke=cancel)
class Cancel:
    """Cancel a job; tasks that started are awaited."""

    job: Annotated[str, cappa.Arg(help="Identifier of the job.")]
    to: options.Callers = options.CALLERS
    json: options.Json = False


@cappa.command
class Job:
    """Submit jobs, fetch their answers, cancel them."""

    command: cappa.Subcommands[Submit | Get | Cancel]
