"""``cardamompath job`` and ``request``: submits work, gets its answer."""

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

ANSWER_WAIT = 30
"""Seconds that a submission waits for the answer."""

CANCEL_WAIT = 5
"""Seconds that a cancellation waits for tasks that have started."""

RESPONSE_MARGIN = 10.0
"""Seconds to wait for the response beyond the timeout of a request."""

HTTP_CREATED = 201


def submit(command: Submit) -> int:
    """Get an identifier, submit the job under it and wait for the answer."""
    try:
        with open(command.file, encoding="utf-8") as stream:
            body = json.load(stream)
    except (OSError, ValueError) as exc:
        print(f"{command.file}: {exc}", file=sys.stderr)
        return exits.USAGE
    issued = client.send_request(command.to, "POST", "/v1/jobs")
    if issued.status != HTTP_CREATED:
        return answers.show(issued, command.json)
    wait = 0 if command.detach else ANSWER_WAIT
    path = f"/v1/jobs/{issued.body['job']}?wait={wait}"
    response = client.send_request(command.to, "PUT", path, body)
    return answers.show(response, command.json)


def get(command: Get) -> int:
    """Fetch the answer of a job."""
    path = f"{_job_path(command.job)}?wait={command.wait}"
    return answers.show(
        client.send_request(command.to, "GET", path), command.json
    )


def cancel(command: Cancel) -> int:
    """Cancel a job and wait `CANCEL_WAIT` for tasks that have started."""
    path = f"{_job_path(command.job)}?wait={CANCEL_WAIT}"
    response = client.send_request(command.to, "DELETE", path)
    return answers.show(response, command.json)


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
    response = client.send_request(
        command.to,
        "POST",
        "/v1/requests",
        body,
        command.timeout + RESPONSE_MARGIN,
    )
    return answers.show(response, command.json)


def _job_path(job):
    return "/v1/jobs/" + parse.quote(job, safe="")


@cappa.command(invoke=submit)
class Submit:
    """Submit a job from a JSON file and wait for its answer."""

    file: Annotated[str, cappa.Arg(help="JSON file with the tasks.")]
    to: options.CallersAddress = options.DEFAULT_CALLERS
    json: options.JsonFlag = False
    detach: Annotated[
        bool, cappa.Arg(long="--detach", help="Do not wait for the answer.")
    ] = False


@cappa.command(invoke=get)
class Get:
    """Fetch the answer of a job."""

    job: Annotated[str, cappa.Arg(help="Identifier of the job.")]
    wait: Annotated[
        float, cappa.Arg(long="--wait", help="Seconds to wait, up to 60.")
    ] = ANSWER_WAIT
    to: options.CallersAddress = options.DEFAULT_CALLERS
    json: options.JsonFlag = False


@cappa.command(invoke=cancel)
class Cancel:
    """Cancel a job; wait a few seconds for tasks that have started."""

    job: Annotated[str, cappa.Arg(help="Identifier of the job.")]
    to: options.CallersAddress = options.DEFAULT_CALLERS
    json: options.JsonFlag = False


@cappa.command(invoke=request)
class Request:
    """Run a single request and wait for its answer."""

    service: Annotated[str, cappa.Arg(help="Service that runs the request.")]
    payload: Annotated[str, cappa.Arg(help="Payload as JSON.")] = "null"
    kind: Annotated[
        str, cappa.Arg(long="--kind", help="Kind of the task.")
    ] = "default"
    team: Annotated[
        str, cappa.Arg(long="--team", help="Team whose quota is charged.")
    ] = "default"
    timeout: Annotated[
        float, cappa.Arg(long="--timeout", help="Seconds until the deadline.")
    ] = 30.0
    idempotent: Annotated[
        bool,
        cappa.Arg(
            long="--idempotent",
            help="The request may be retried after a failure.",
        ),
    ] = False
    to: options.CallersAddress = options.DEFAULT_CALLERS
    json: options.JsonFlag = False


@cappa.command
class Job:
    """Submit jobs, fetch their answers, or cancel them."""

    command: cappa.Subcommands[Submit | Get | Cancel]
