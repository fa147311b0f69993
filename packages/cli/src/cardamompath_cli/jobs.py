"""``cardamompath job``: submit jobs and fetch their answers."""

from __future__ import annotations

import json
import sys
from typing import Annotated
from urllib import parse

import cappa

from cardamompath_cli import answers
from cardamompath_cli import client
from cardamompath_cli import exits
from cardamompath_cli import options

__all__ = [
    "Cancel",
    "Get",
    "Job",
    "Request",
    "Submit",
    "cancel",
    "get",
    "request",
    "submit",
]

WAIT = 30
"""Seconds that one call waits for an answer."""

CANCEL_WAIT = 5
"""Seconds that a cancellation waits for tasks that started."""

CALL_MARGIN = 10.0
"""Seconds beyond its timeout after which a request is given up."""

HTTP_CREATED = 201


def submit(command: Submit) -> int:
    """Ask for an identifier, submit the job under it, and wait."""
    try:
        with open(command.file, encoding="utf-8") as stream:
            body = json.load(stream)
    except (OSError, ValueError) as exc:
        print(f"{command.file}: {exc}", file=sys.stderr)
        return exits.USAGE
    issued = client.call(command.to, "POST", "/v1/jobs")
    if issued.status != HTTP_CREATED:
        return answers.show(issued, command.json)
    wait = 0 if command.detach else WAIT
    path = f"/v1/jobs/{issued.body['job']}?wait={wait}"
    called = client.call(command.to, "PUT", path, body)
    return answers.show(called, command.json)


def get(command: Get) -> int:
    """Fetch the answer of a job."""
    path = f"{_path(command.job)}?wait={command.wait}"
    return answers.show(client.call(command.to, "GET", path), command.json)


def cancel(command: Cancel) -> int:
    """Cancel a job and wait a little for the tasks that started."""
    path = f"{_path(command.job)}?wait={CANCEL_WAIT}"
    called = client.call(command.to, "DELETE", path)
    return answers.show(called, command.json)


def request(command: Request) -> int:
    """Run a single request."""
    try:
        payload = json.loads(command.payload)
    except ValueError as exc:
        print(f"payload {command.payload!r}: {exc}", file=sys.stderr)
        return exits.USAGE
    body = {
        "service": command.service,
        "kind": command.kind,
        "team": command.team,
        "timeout": command.timeout,
        "idempotent": command.idempotent,
        "payload": payload,
    }
    called = client.call(
        command.to,
        "POST",
        "/v1/requests",
        body,
        command.timeout + CALL_MARGIN,
    )
    return answers.show(called, command.json)


def _path(job):
    return "/v1/jobs/" + parse.quote(job, safe="")


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
    wait: Annotated[
        float, cappa.Arg(long="--wait", help="Seconds to wait, up to 60.")
    ] = WAIT
    to: options.Callers = options.CALLERS
    json: options.Json = False


@cappa.command(invoke=cancel)
class Cancel:
    """Cancel a job; tasks that started are awaited."""

    job: Annotated[str, cappa.Arg(help="Identifier of the job.")]
    to: options.Callers = options.CALLERS
    json: options.Json = False


@cappa.command(invoke=request)
class Request:
    """Run a single request and wait for its answer."""

    service: Annotated[str, cappa.Arg(help="Service to ask.")]
    payload: Annotated[str, cappa.Arg(help="Payload in JSON.")] = "null"
    kind: Annotated[
        str, cappa.Arg(long="--kind", help="Kind of the task.")
    ] = "default"
    team: Annotated[
        str, cappa.Arg(long="--team", help="Team that is charged.")
    ] = "default"
    timeout: Annotated[
        float, cappa.Arg(long="--timeout", help="Seconds until the deadline.")
    ] = 30.0
    idempotent: Annotated[
        bool,
        cappa.Arg(
            long="--idempotent", help="It may be retried when it failed."
        ),
    ] = False
    to: options.Callers = options.CALLERS
    json: options.Json = False


@cappa.command
class Job:
    """Submit jobs, fetch their answers, cancel them."""

    command: cappa.Subcommands[Submit | Get | Cancel]
